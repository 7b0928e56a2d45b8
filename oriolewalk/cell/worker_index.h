#pragma once

// Finds a worker for a request without scanning all workers.
//
//   worker_index index;
//   index.Set(slot, free, capacity);
//   index.Find(shaped_fit{}, request, acceptAll, random);
//
// Workers are grouped in buckets by their free capacity, in sixteenths of the
// largest worker. The number of buckets in use stops growing long before the
// number of workers does, so a decision at 4,800 workers costs little more
// than at 480. A linear scan would cost ten times as much.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "oriolewalk/base/random.h"
#include "oriolewalk/cell/packing.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Owned by a scheduler; one thread.
class worker_index
{
public:
  using accept_function = std::function<bool(worker_slot)>;

  // Returns true if the worker is new or its free capacity grew in any
  // dimension.
  bool Set(worker_slot aSlot,
           const resources& aFree,
           const resources& aCapacity);
  void Erase(worker_slot aSlot);
  void Clear();

  [[nodiscard]] bool Contains(worker_slot aSlot) const
  {
    return aSlot < mEntries.size() && mEntries[aSlot].mIn;
  }

  // Returns the best worker by the policy of those that fit and that aAccept
  // accepts, or nullopt if there is none. Cost of shaped and best fit: the
  // buckets in use and a few workers; all workers only if none is found. The
  // other policies scan all workers.
  std::optional<worker_slot> Find(const packing_policy& aPolicy,
                                  const resources& aRequest,
                                  const accept_function& aAccept,
                                  random_source& aRandom);

private:
  using bucket_key = std::uint32_t;
  struct entry
  {
    bool mIn = false;
    resources mFree;
    resources mCapacity;
    bucket_key mBucket = 0;
    std::size_t mPosition = 0; // In its bucket.
  };
  struct bucket
  {
    std::vector<worker_slot> mSlots;
    std::size_t mNext = 0; // Where the next short scan starts.
  };
  struct choice
  {
    double mScore = 0;
    worker_slot mSlot = kNoWorker;
  };

  [[nodiscard]] bucket_key KeyOf(const resources& aFree) const;
  [[nodiscard]] resources LowerBound(bucket_key aKey) const;
  [[nodiscard]] resources UpperBound(bucket_key aKey) const;
  void Insert(worker_slot aSlot);
  void Remove(worker_slot aSlot);
  void Grow(const resources& aCapacity);
  // Tries the buckets in the order of their scores.
  template<class Policy>
  std::optional<worker_slot> FindScored(const Policy& aPolicy,
                                        const resources& aRequest,
                                        const accept_function& aAccept);
  template<class Policy>
  void RankBuckets(const Policy& aPolicy, const resources& aRequest);
  template<class Policy>
  std::optional<worker_slot> BestOf(const Policy& aPolicy,
                                    bucket& aBucket,
                                    const resources& aRequest,
                                    const accept_function& aAccept,
                                    std::size_t aMost);
  [[nodiscard]] std::optional<worker_slot> FindFirst(
    const resources& aRequest,
    const accept_function& aAccept) const;
  std::optional<worker_slot> FindRandom(const resources& aRequest,
                                        const accept_function& aAccept,
                                        random_source& aRandom) const;

  resources mUnit{ 1, 1, 1 };
  resources mLargest;
  std::vector<entry> mEntries; // By slot.
  std::map<bucket_key, bucket> mBuckets;
  std::vector<std::pair<double, bucket_key>> mRanked; // Reuses its memory.
};

} // namespace oriolewalk::cell
