#pragma once

// Finds workers that fail what others would finish.
//
//   health.Note(slot, "taksa/settlement", true, now);
//   if (health.IsOut(slot, now)) { ... }
//
// The load it answers: a worker that fails all it starts is soon the emptiest
// of all and so draws ever more work. A worker is taken out when it failed
// work whose kind succeeds elsewhere; a job that fails everywhere is held
// against no worker. Its own failure rate alone would condemn every worker
// that a broken job visits.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/records.h"

namespace oriolewalk::cell {

enum class worker_standing : std::uint8_t
{
  Good,
  Out,     // Gets nothing.
  Probing, // Gets one repeatable task at a time.
};

// Owned by a scheduler; one thread.
class worker_health
{
public:
  // The result of an attempt; stops and losses are not results.
  void Note(worker_slot aSlot,
            const std::string& aFamily,
            bool aFailed,
            time_point aNow);
  // The slot is another worker's now.
  void Reset(worker_slot aSlot);
  // At most a fifth of aWorkers are out at once, and one of three or four:
  // when more fail, the fault is not theirs.
  void SetWorkers(std::size_t aWorkers) { mWorkers = aWorkers; }
  [[nodiscard]] worker_standing Standing(worker_slot aSlot,
                                         time_point aNow) const;
  [[nodiscard]] bool HasSuspects() const { return mOut > 0; }

private:
  struct counts
  {
    std::uint32_t mFailed = 0;
    std::uint32_t mEnded = 0;
  };
  struct record
  {
    // Since its latest success, by family.
    std::map<std::string, counts> mFailures;
    std::uint32_t mInARow = 0;
    bool mOut = false;
    std::uint32_t mTimesOut = 0;
    time_point mOutUntil;
  };

  [[nodiscard]] double Blame(const record& aRecord) const;
  void TakeOut(record& aRecord, time_point aNow);

  std::unordered_map<worker_slot, record> mRecords;
  std::unordered_map<std::string, counts> mFamilies;
  std::size_t mWorkers = 0;
  std::size_t mOut = 0;
};

} // namespace oriolewalk::cell
