#pragma once

// Detects runs that take far longer than their siblings, so that they can be
// stopped and rescheduled.
//
//   straggler_detector detector;
//   detector.OnRunStarted(run, now);
//   detector.OnRunEnded(sibling, run_outcome::Done, now);
//   if (detector.MarkIfStraggler(run, now)) { /* stop it */ }
//
// A worker may slow down by a factor of six, or tasks may stall on it. Without
// detection a step waits for its slowest task, and the job is late although all
// the rest was in time. A stopped run loses its work since the last checkpoint,
// so only clear cases are stopped, and each task at most kMaxStops times.
//
// Soft state of the leader. Pure; no clock. Cost of a call: logarithmic in the
// runs that are watched.

#include <cstdint>
#include <map>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

class straggler_detector
{
public:
  void OnRunStarted(const run_ref& aRun, time_point aNow);
  // Returns the run's duration relative to the mean of the step's finished
  // tasks. Returns nullopt for the step's first one, for runs that an earlier
  // leader started, and for any other outcome than Done.
  std::optional<double> OnRunEnded(const run_ref& aRun,
                                   run_outcome aOutcome,
                                   time_point aNow);
  // How long the run has taken; nullopt if this leader didn't start it.
  [[nodiscard]] std::optional<double> ElapsedMs(const run_ref& aRun,
                                                time_point aNow) const;
  // Whether the run has taken so long that it should be stopped and
  // rescheduled. If so, the stop counts towards the task's limit.
  bool MarkIfStraggler(const run_ref& aRun, time_point aNow);
  void Forget(const job_id& aJob);

private:
  struct step_times
  {
    double mMeanMs = 0;
    int mFinished = 0;
  };

  std::map<run_ref, time_point> mStartedAt;
  std::map<step_ref, step_times> mSteps;
  std::map<task_ref, int> mStops;
};

} // namespace oriolewalk::flow
