#pragma once

// Decides which tasks of long-running steps the scheduler may end now without
// making more of a step's tasks unavailable at once than its caller allows
// (step_spec::mMaxMisses).
//
//   availability_budget budget(notice);
//   budget.Observe(step, tasks, now);  // all tasks of the step, regularly
//   for (std::uint32_t task : budget.Grant(step, spec, candidates, now)) { ...
//   }
//
// Every action that ends a long-running task at work asks it first, whatever
// its reason. Draining workers, cancelled jobs and unhealthy workers don't ask.
//
// A task is unavailable if
// - a run of it was granted to end, and no later run has been at work since;
// - it isn't placed, or its run is new and hasn't been at work yet. The leader
//   can't tell a lease that lapsed by its order from a fault, so such a task
//   counts at once;
// - its run hasn't been at work for the notice time.
//
// Soft state of the leader: a task that this leader hasn't seen at work is
// unavailable. Bounded by the observed steps, see Forget(). Pure; no clock.
// Cost: logarithmic in the observed tasks of a step, for each task.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct observed_task
{
  std::uint32_t mIndex = 0;
  attempt_t mAttempt = 0; // of the placed run; 0: it isn't placed
  rack_id mRack;          // of the run's worker
  bool mIsAtWork = false; // at full pace, by its worker's latest answer
};

class availability_budget
{
public:
  // aNotice: how long a run may be away from work before its task is
  // unavailable.
  explicit availability_budget(milliseconds aNotice)
    : mNotice(aNotice)
  {
  }

  // aTasks: all tasks of the step. A task that is missing keeps its state.
  void Observe(const step_ref& aStep,
               std::span<const observed_task> aTasks,
               time_point aNow);
  // Selects those candidates, indexes of observed tasks of the step, that may
  // be ended now, and counts them as ended. Of a step that limits its misses
  // that is one at most, on a rack with as few unavailable tasks of the step as
  // possible.
  std::vector<std::uint32_t> Grant(const step_ref& aStep,
                                   const step_spec& aSpec,
                                   std::span<const std::uint32_t> aCandidates,
                                   time_point aNow);
  [[nodiscard]] std::size_t Unavailable(const step_ref& aStep,
                                        time_point aNow) const;
  // Keeps only these steps.
  void Retain(const std::set<step_ref>& aSteps);

private:
  struct task_state
  {
    attempt_t mAttempt = 0;
    attempt_t mEndedAttempt = 0; // the last one that was granted to end
    rack_id mRack;
    // Of mAttempt; none: it hasn't been seen at work.
    std::optional<time_point> mLastAtWork;
  };
  struct step_state
  {
    std::map<std::uint32_t, task_state> mTasks;
    // Granted to end; its successor hasn't been at work yet.
    std::optional<std::uint32_t> mLastEnded;
  };

  struct unavailable_tasks
  {
    std::size_t mAll = 0;
    std::map<rack_id, std::size_t> mByRack;
  };

  [[nodiscard]] unavailable_tasks CountUnavailable(const step_state& aStep,
                                                   const step_spec& aSpec,
                                                   time_point aNow) const;
  [[nodiscard]] bool IsUnavailable(const task_state& aTask,
                                   time_point aNow) const;

  milliseconds mNotice;
  std::map<step_ref, step_state> mSteps;
};

} // namespace oriolewalk::flow
