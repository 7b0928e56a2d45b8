#pragma once

// Tracks the health of workers by the runs that end there: which workers fail
// tasks that succeed elsewhere, and which are slow.
//
//   worker_health health;
//   health.OnRunEnded(worker, run_outcome::Failed, now);
//   health.OnTaskTime(worker, took / siblings);
//   if (health.Standing(worker, now).mAvoided) { ... }
//
// A few workers may fail every task at once, and so look free and fast, while a
// task has only two or three attempts. If they weren't avoided they would
// attract the retries as well, and jobs that could succeed would fail.
//
// A worker is avoided for a limited time only, so that one that recovers is
// tried again. The caller must not avoid more than a share of all workers.
//
// Soft state of the leader. Pure; no clock.

#include <cstdint>
#include <unordered_map>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct worker_standing
{
  double mSpeed = 1; // relative to its peers, above 1 is faster; in [0.2, 2]
  bool mAvoided = false;
  time_point mAvoidedUntil{};
  // Tasks have been compared with their siblings there; else mSpeed is 1.
  bool mIsSpeedKnown = false;
};

class worker_health
{
public:
  void OnRunEnded(worker_number aWorker, run_outcome aOutcome, time_point aNow);
  // aRatio: a task's duration there, relative to its finished siblings.
  void OnTaskTime(worker_number aWorker, double aRatio);
  // A run there has stalled, or is far slower than its siblings.
  void OnStall(worker_number aWorker, time_point aNow);
  void Forget(worker_number aWorker) { mWorkers.erase(aWorker); }

  [[nodiscard]] worker_standing Standing(worker_number aWorker,
                                         time_point aNow) const;

private:
  struct record
  {
    double mSpeed = 1;
    bool mIsSpeedKnown = false;
    int mFailuresInRow = 0;
    time_point mAvoidedUntil{};
  };

  std::unordered_map<worker_number, record> mWorkers;
};

} // namespace oriolewalk::flow
