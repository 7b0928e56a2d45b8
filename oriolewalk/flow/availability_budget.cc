#include "oriolewalk/flow/availability_budget.h"

#include <algorithm>
#include <limits>

namespace oriolewalk::flow {

void
availability_budget::Observe(const step_ref& aStep,
                             std::span<const observed_task> aTasks,
                             time_point aNow)
{
  step_state& step = mSteps[aStep];
  for (const observed_task& seen : aTasks) {
    task_state& task = step.mTasks[seen.mIndex];
    if (task.mAttempt != seen.mAttempt) {
      task.mAttempt = seen.mAttempt;
      task.mLastAtWork.reset();
    }
    if (seen.mAttempt != 0) {
      task.mRack = seen.mRack;
    }
    if (seen.mAttempt != 0 && seen.mIsAtWork) {
      task.mLastAtWork = aNow;
      if (step.mLastEnded == seen.mIndex &&
          task.mAttempt > task.mEndedAttempt) {
        step.mLastEnded.reset();
      }
    }
  }
}

bool
availability_budget::IsUnavailable(const task_state& aTask,
                                   time_point aNow) const
{
  return aTask.mAttempt <= aTask.mEndedAttempt || !aTask.mLastAtWork ||
         aNow >= *aTask.mLastAtWork + mNotice;
}

std::size_t
availability_budget::Unavailable(const step_ref& aStep, time_point aNow) const
{
  const auto found = mSteps.find(aStep);
  return found == mSteps.end()
           ? 0
           : static_cast<std::size_t>(std::ranges::count_if(
               found->second.mTasks, [&](const auto& aEntry) {
                 return IsUnavailable(aEntry.second, aNow);
               }));
}

availability_budget::unavailable_tasks
availability_budget::CountUnavailable(const step_state& aStep,
                                      const step_spec& aSpec,
                                      time_point aNow) const
{
  unavailable_tasks counts;
  // Tasks that the step's rows lack count as well: nothing is known of them.
  counts.mAll =
    aSpec.mCount - std::min<std::size_t>(aSpec.mCount, aStep.mTasks.size());
  for (const auto& [index, task] : aStep.mTasks) {
    if (IsUnavailable(task, aNow)) {
      ++counts.mAll;
      ++counts.mByRack[task.mRack];
    }
  }
  return counts;
}

std::vector<std::uint32_t>
availability_budget::Grant(const step_ref& aStep,
                           const step_spec& aSpec,
                           std::span<const std::uint32_t> aCandidates,
                           time_point aNow)
{
  if (!aSpec.mHasMaxMisses) {
    return { aCandidates.begin(), aCandidates.end() };
  }
  const auto found = mSteps.find(aStep);
  if (found == mSteps.end() || found->second.mLastEnded) {
    return {}; // the last one's successor hasn't been at work yet
  }
  step_state& step = found->second;
  unavailable_tasks unavailable = CountUnavailable(step, aSpec, aNow);
  std::optional<std::uint32_t> best;
  std::size_t fewest = std::numeric_limits<std::size_t>::max();
  for (const std::uint32_t index : aCandidates) {
    const auto task = step.mTasks.find(index);
    if (task == step.mTasks.end() || task->second.mAttempt == 0 ||
        task->second.mAttempt <= task->second.mEndedAttempt) {
      continue;
    }
    const std::size_t others =
      unavailable.mAll - (IsUnavailable(task->second, aNow) ? 1 : 0);
    const std::size_t onRack = unavailable.mByRack[task->second.mRack];
    if (others < aSpec.mMaxMisses && onRack < fewest) {
      best = index;
      fewest = onRack;
    }
  }
  if (!best) {
    return {};
  }
  task_state& ended = step.mTasks.at(*best);
  ended.mEndedAttempt = ended.mAttempt;
  step.mLastEnded = best;
  return { *best };
}

void
availability_budget::Retain(const std::set<step_ref>& aSteps)
{
  std::erase_if(
    mSteps, [&](const auto& aEntry) { return !aSteps.contains(aEntry.first); });
}

} // namespace oriolewalk::flow
