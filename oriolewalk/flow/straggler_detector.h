#pragma once

// Which runs should be taken back, because their siblings show that they take
// far too long where they are.
//
//   straggler_watch watch;
//   watch.Began(run, worker, now);
//   watch.Ended(run, run_outcome::Done, now);
//   for (const auto& late : watch.Find(step, placed, now)) { /* stop it */ }
//
// The load it answers: a worker that has turned slow by a factor of six, or on
// which tasks stand still. Without this a step waits for its slowest task, and
// the job is late though all the rest was in time. A stop loses what the run
// has done since its last checkpoint, so only clear cases are taken, and each
// task only so often.
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
  // How long it took against the step's finished tasks; none for the first
  // one, and for runs that were begun by an earlier leader.
  std::optional<double> OnRunEnded(const run_ref& aRun,
                                   run_outcome aOutcome,
                                   time_point aNow);
  // Whether the run has taken so long that it should be taken back. Counts it
  // as taken back if so.
  bool MarkIfStraggler(const run_ref& aRun, time_point aNow);
  void Forget(const job_id& aJob);

private:
  struct step_times
  {
    double mMeanMs = 0;
    int mFinished = 0;
  };

  std::map<run_ref, time_point> mBegan;
  std::map<step_ref, step_times> mSteps;
  std::map<task_ref, int> mTakenBack;
};

} // namespace oriolewalk::flow
