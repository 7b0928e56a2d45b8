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
// Speeds are relative to the mean of all workers. What was learned fades while
// no run ends at a worker: one that was slow gets few runs, and would otherwise
// never be seen to have recovered.
//
// A worker is avoided for a limited time only, so that one that recovers is
// tried again. The caller must not avoid more than a share of all workers.
//
// Soft state of the leader. Pure; no clock.

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct worker_standing
{
  double mSpeed = 1; // relative to its peers, above 1 is faster; in [0.2, 2]
  bool mIsSpeedKnown = false; // from enough runs to rely on it
  bool mAvoided = false;
  time_point mAvoidedUntil{};
};

class worker_health
{
public:
  void OnRunEnded(worker_number aWorker, run_outcome aOutcome, time_point aNow);
  // aRatio: a task's duration there, relative to what its finished siblings
  // would have taken on a worker of speed 1.
  void OnTaskTime(worker_number aWorker, double aRatio);
  // The geometric mean of the speeds learned. Ratios between workers determine
  // speeds only up to a factor; a caller that multiplies its ratios by this
  // mean keeps the mean at 1.
  [[nodiscard]] double MeanSpeed() const;
  // A run there has stalled, or is far slower than its siblings.
  void OnStall(worker_number aWorker, time_point aNow);
  void Forget(worker_number aWorker);

  [[nodiscard]] worker_standing Standing(worker_number aWorker,
                                         time_point aNow) const;

private:
  struct record
  {
    double mLogSpeed = 0;
    int mSpeedSamples = 0;
    std::optional<time_point> mLastEndAt;
    int mFailuresInRow = 0;
    time_point mAvoidedUntil{};
  };

  static void FadeSpeed(record& aWorker, time_point aNow);

  std::unordered_map<worker_number, record> mWorkers;
  double mLogSpeedSum = 0;
  std::size_t mLearnedSpeeds = 0;
};

} // namespace oriolewalk::flow
