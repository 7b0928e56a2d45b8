#pragma once

// Decides how tasks that may have crashed their workers start again. A suspect
// starts at once, on a worker without other suspects if one has free capacity.
// A task under high suspicion starts alone: nothing else starts beside it until
// it has run for a while, and only one suspect of its job runs at a time. A
// task that was lost with several workers waits while it isn't known whether
// those workers crashed.
//
//   suspect_isolation isolation;
//   isolation.OnRunsLost(runs, now);
//   suspect_summary known = isolation.Summarize(state, proposed, isFresh, now);
//   // known.MaxStarts(crashes, job), known.mBlocked, known.mByWorker
//
// A task may crash each worker that starts it, and with the worker the other
// tasks there. Suspects that start again side by side crash together, and the
// cause can't be determined. If they start again at once, a step whose tasks
// all crash their workers takes every worker away.
//
// Soft state of the leader. Pure; no clock. Cost: linear in the suspects.

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

  void Add(suspicion aSuspicion);
  void Remove(suspicion aSuspicion);
};

// The suspects as one plan sees them.
struct suspect_summary
{
  std::set<task_ref> mBlocked; // must not start now
  std::map<worker_number, worker_suspects> mByWorker;
  std::map<job_id, std::uint32_t> mRunningByJob; // of those in mByWorker

  // How many more suspects of the job may start now.
  [[nodiscard]] std::uint32_t MaxStarts(const crash_tracker& aCrashes,
                                        const job_id& aJob) const;
};

class suspect_isolation
{
public:
  // Whether the run at that worker has just started.
  using newly_started_predicate =
    std::function<bool(worker_number aWorker, const run_ref& aRun)>;

  // The runs were abandoned with a worker that is unreachable.
  void OnRunsLost(std::span<const run_ref> aRuns, time_point aNow);
  void Forget(const job_id& aJob);
  // aProposed: starts that are not yet applied, and their workers.
  suspect_summary Summarize(const flow_state& aState,
                            const std::map<task_ref, worker_number>& aProposed,
                            const newly_started_predicate& aIsNewlyStarted,
                            time_point aNow);

private:
  [[nodiscard]] bool IsBlocked(const crash_tracker& aCrashes,
                               const task_ref& aTask,
                               std::uint32_t aLosses,
                               time_point aNow);

  std::map<task_ref, time_point> mLostAt;
};

} // namespace oriolewalk::flow
