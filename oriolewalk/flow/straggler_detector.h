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
#include <span>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/copy_planner.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// What a step's runs tell about the duration of its tasks, from those that
// began without a checkpoint, on a worker of speed 1.
struct step_progress
{
  std::optional<double> mFinishedMeanMs; // none: no task has finished
  // Of the tasks at work, so far. 0 once a task has finished.
  double mLongestRunningMs = 0;
};

// How a run began.
struct run_origin
{
  bool mFromCheckpoint = false; // not with the task's beginning
  double mSpeed = 1;            // of its worker, relative to the worker's peers
};

class straggler_detector
{
public:
  void OnRunStarted(const run_ref& aRun,
                    time_point aNow,
                    const run_origin& aOrigin = {});
  // Returns the run's duration relative to the mean of the step's finished
  // tasks. Returns nullopt for the step's first one, for runs that an earlier
  // leader started, and for any other outcome than Done.
  std::optional<double> OnRunEnded(const run_ref& aRun,
                                   run_outcome aOutcome,
                                   time_point aNow);
  // Whether the run has taken far longer than usual.
  [[nodiscard]] bool IsStraggler(
    const run_ref& aRun,
    time_point aNow,
    std::optional<double> aLearnedMs = std::nullopt) const;
  // Whether the run should be stopped and rescheduled for that. If so, the stop
  // counts towards the task's limit.
  // aLearnedMs: what nearly all tasks of its kind take at most on a worker of
  // speed 1, for steps without a finished task; none if nothing was learned.
  bool MarkIfStraggler(const run_ref& aRun,
                       time_point aNow,
                       std::optional<double> aLearnedMs = std::nullopt);
  // How long the step's tasks took that ended as done, of the runs that this
  // leader started.
  [[nodiscard]] finished_tasks FinishedTasks(const step_ref& aStep) const;
  // The runs ended without an end that their worker reported.
  void OnRunsDropped(std::span<const run_ref> aRuns);
  void Forget(const job_id& aJob);

  // How long a run has taken from the task's beginning. Returns nullopt for
  // runs that began with a checkpoint or that an earlier leader started.
  [[nodiscard]] std::optional<double> WholeRunMs(const run_ref& aRun,
                                                 time_point aNow) const;
  // The cost is linear in the runs of the step until a task has finished.
  [[nodiscard]] step_progress ProgressOf(const step_ref& aStep,
                                         time_point aNow) const;

private:
  struct run_times
  {
    time_point mStartedAt{};
    run_origin mOrigin;
  };
  struct step_times : finished_tasks
  {
    // Of those that began without a checkpoint, at a speed of 1.
    double mMeanWorkMs = 0;
    int mFinishedWhole = 0;
  };

  std::map<run_ref, run_times> mRuns;
  std::map<step_ref, step_times> mSteps;
  std::map<task_ref, int> mStops;
};

} // namespace oriolewalk::flow
