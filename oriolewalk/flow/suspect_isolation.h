#pragma once

// How tasks that may have crashed their workers start again. A suspect
// starts at once, apart from others where there is room; a prime suspect alone:
// nothing else starts beside it meanwhile, and of its job one suspect at a
// time. And a task waits while it isn't known whether the workers that it was
// lost with have crashed, if they are many.
//
//   probation watch;
//   watch.Lost(runs, now);
//   suspicions known = watch.Find(state, proposed, isFresh, now);
//   // known.MostOf(state, job), known.mHeld, known.mAt
//
// The load it answers: a task that crashes each worker that starts it, and
// takes the tasks there with it. Started again side by side they crash
// together, and nobody can tell which of them is the cause; started at once, a
// step whose tasks all do so takes every worker away.
//
// Soft state of the leader. Pure; no clock. Cost: the suspects.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// Suspects that run at a worker and may be about to crash it.
struct worker_suspects
{
  std::uint32_t mCount = 0;
  std::uint32_t mHighSuspicion = 0; // of those

  void Add(suspicion aOne);
  void Remove(suspicion aOne);
};

// What one plan knows of suspects.
struct suspect_summary
{
  std::set<task_ref> mBlocked; // not to be started now
  std::map<worker_number, worker_suspects> mByWorker;
  std::map<job_id, std::uint32_t> mRunningByJob; // of those in mAt

  // How many more suspects of the job may start now.
  [[nodiscard]] std::uint32_t MaxStarts(const crash_tracker& aBook,
                                        const job_id& aJob) const;
};

class suspect_isolation
{
public:
  // Whether the run at that worker has just started.
  using newly_started_predicate =
    std::function<bool(worker_number aWorker, const run_ref& aRun)>;

  // They were given up with a worker that can't be reached.
  void OnRunsLost(std::span<const run_ref> aRuns, time_point aNow);
  void Forget(const job_id& aJob);
  // aProposed: starts that are not yet applied, and where.
  suspect_summary Summarize(const flow_state& aState,
                            const std::map<task_ref, worker_number>& aProposed,
                            const newly_started_predicate& aIsFresh,
                            time_point aNow);

private:
  [[nodiscard]] bool IsHeld(const crash_tracker& aBook,
                            const task_ref& aTask,
                            std::uint32_t aLosses,
                            time_point aNow);

  std::map<task_ref, time_point> mLostAt;
};

} // namespace oriolewalk::flow
