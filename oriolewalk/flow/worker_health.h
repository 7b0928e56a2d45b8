#pragma once

// What the leader learns of workers from what ends there: who fails what others
// finish, and who is slow.
//
//   worker_health health;
//   health.Ended(worker, run_outcome::Failed, now);
//   health.Took(worker, took / siblings, now);
//   if (health.IsAvoided(worker, now)) { ... }
//
// The load it answers: a few workers that fail all they start at once, and so
// look free and fast, while a task has only two or three attempts. Without this
// they draw the retries as well, and jobs that could be done end as failed.
//
// Bounded: a worker is avoided for a while only, so that one that recovers is
// tried again; and whoever plans must not avoid more than a share of all.
//
// Soft state of the leader. Pure; no clock.

#include <cstdint>
#include <unordered_map>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct worker_standing
{
  double mSpeed = 1; // 1 is like its peers, above is faster; in [0.2, 2]
  bool mAvoided = false;
};

class worker_health
{
public:
  void OnRunEnded(worker_number aWorker, run_outcome aOutcome, time_point aNow);
  // aRatio: how long a task took there against its finished siblings elsewhere.
  void OnTaskTime(worker_number aWorker, double aRatio);
  // A run stands still there, or is far slower than its siblings.
  void OnStall(worker_number aWorker, time_point aNow);
  void Forget(worker_number aWorker) { mWorkers.erase(aWorker); }

  [[nodiscard]] worker_standing Standing(worker_number aWorker,
                                         time_point aNow) const;

private:
  struct record
  {
    double mSpeed = 1;
    int mFailuresInRow = 0;
    time_point mAvoidedUntil{};
  };

  std::unordered_map<worker_number, record> mWorkers;
};

} // namespace oriolewalk::flow
