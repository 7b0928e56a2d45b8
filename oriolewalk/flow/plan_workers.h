#pragma once

// The workers on which plans may start tasks, indexed for the planner and kept
// from plan to plan.
//
//   plan_workers workers(policy.mPlacement);
//   workers.Put(worker);   // a new one, or one of which something changed
//   workers.Remove(number);
//   workers.UpdateAvoidance();
//   for (const auto& [capacity, ranked] : workers.Ranked(service)) { ... }
//
// A plan only reads it and keeps what it books to itself. So a plan costs what
// it looks at, and a change the logarithm of the workers; an index that is made
// for each plan costs all workers many times a second.
//
// Pure. Owned by plan_worker_cache; one thread.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "oriolewalk/flow/plan_policy.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/speed_spread.h"

namespace oriolewalk::flow {

class plan_workers
{
public:
  // The best score first, then the lowest number. The first part is the
  // negated score.
  using rank = std::pair<double, worker_number>;
  using ranking = std::map<rank, const plan_worker*>;
  // Separate for each capacity that workers have, which are few: a step that
  // fits none of them needn't look at the workers.
  using rankings = std::map<std::array<std::int64_t, 3>, ranking>;

  struct service_totals
  {
    cell::resources mCapacity;
    cell::resources mFree;
  };

  explicit plan_workers(placement_rule aPlacement)
    : mPlacement(aPlacement)
  {
  }

  // Its indexes point into it.
  plan_workers(const plan_workers&) = delete;
  plan_workers& operator=(const plan_workers&) = delete;
  plan_workers(plan_workers&&) = default;
  plan_workers& operator=(plan_workers&&) = default;
  ~plan_workers() = default;

  void Put(const plan_worker& aWorker);
  void Remove(worker_number aWorker);
  // Decides anew whether workers are avoided at all; after changes.
  void UpdateAvoidance();

  // Null if nothing may start there.
  [[nodiscard]] const plan_worker* Find(worker_number aWorker) const;
  // The workers of a service, by their capacity, and then by the part of their
  // score that doesn't depend on the task.
  [[nodiscard]] const rankings& Ranked(const service_id& aService,
                                       speed_use aUse = speed_use::Any) const;
  [[nodiscard]] speed_spread Speeds(const service_id& aService) const;
  // Workers of the service of known speed.
  [[nodiscard]] std::size_t KnownSpeeds(const service_id& aService) const;
  [[nodiscard]] const std::set<worker_number>& InRack(
    const rack_id& aRack) const;
  [[nodiscard]] std::size_t Size() const { return mEntries.size(); }
  // The sums of all workers.
  [[nodiscard]] const cell::resources& Capacity() const { return mCapacity; }
  [[nodiscard]] const cell::resources& Free() const { return mFree; }
  // The same of the workers of each service.
  [[nodiscard]] const std::unordered_map<service_id, service_totals>& Totals()
    const
  {
    return mTotals;
  }
  [[nodiscard]] const cell::resources& Capacity(
    const service_id& aService) const
  {
    return TotalsOf(aService).mCapacity;
  }
  [[nodiscard]] const cell::resources& Free(const service_id& aService) const
  {
    return TotalsOf(aService).mFree;
  }

private:
  // The keys by which a worker is indexed; its description may have changed.
  struct entry
  {
    plan_worker mWorker;
    service_id mService;
    rack_id mRack;
    cell::resources mCapacity;
    rank mRank;
    rank mRankLeavingFast; // for steps that leave fast workers to others
  };

  struct service_index
  {
    rankings mRankings;
    rankings mLeavingFast;
    speed_histogram mSpeeds;
    std::size_t mWorkers = 0;
  };

  static bool HasSameKeys(const entry& aEntry, const plan_worker& aWorker);
  void Replace(entry& aEntry, const plan_worker& aWorker);
  void Index(entry& aEntry);
  void Unindex(const entry& aEntry);
  [[nodiscard]] std::pair<rank, rank> RanksOf(const plan_worker& aWorker) const;
  [[nodiscard]] const service_index& IndexOf(const service_id& aService) const;
  [[nodiscard]] const service_totals& TotalsOf(
    const service_id& aService) const;

  placement_rule mPlacement;
  std::unordered_map<worker_number, entry> mEntries;
  std::unordered_map<service_id, service_index> mByService;
  std::unordered_map<rack_id, std::set<worker_number>> mByRack;
  std::set<worker_number> mAvoided; // failed or stalled recently
  bool mAvoids = true;              // false: too many of them
  cell::resources mCapacity;
  cell::resources mFree;
  std::unordered_map<service_id, service_totals> mTotals;
};

} // namespace oriolewalk::flow
