#pragma once

// Detects workers on which tasks fail that succeed on other workers.
//
//   health.OnResult(slot, "taksa/settlement", true, now);
//   if (health.Standing(slot, now) == worker_standing::Out) { ... }
//
// A worker on which every task fails is soon the emptiest one and attracts ever
// more work. A worker is taken out of service when tasks fail on it whose
// family succeeds elsewhere. A job that fails everywhere counts against no
// worker; a plain failure rate would take out every worker that a broken job
// runs on.

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
  Out,     // Gets no tasks.
  Probing, // Gets one repeatable task at a time.
};

// Owned by a scheduler; one thread.
class worker_health
{
public:
  // Records the result of an attempt; stops and losses are not results.
  void OnResult(worker_slot aSlot,
                const std::string& aFamily,
                bool aFailed,
                time_point aNow);
  // Must be called when the slot is reused for another worker.
  void Reset(worker_slot aSlot);
  // At most a fifth of aWorkers are out at once, or one if there are three or
  // four. If more fail, the cause isn't the workers.
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
    // Failures since the latest success, by family.
    std::map<std::string, counts> mFailures;
    std::uint32_t mConsecutiveFailures = 0;
    bool mOut = false;
    std::uint32_t mOutCount = 0;
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
