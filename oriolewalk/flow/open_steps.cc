#include "oriolewalk/flow/open_steps.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "oriolewalk/flow/organisation_order.h"

namespace oriolewalk::flow {

namespace {

// A plan considers at most this many waiting tasks, in the order of their
// steps; the others can wait for the next plan, some milliseconds later. The
// limit applies after the steps are ordered, since it would otherwise hide
// urgent jobs behind a backlog.
constexpr std::size_t kMaxConsidered = 4'000;

// The sum of the tasks' durations along the longest dependency chain that
// starts with aStep, in milliseconds. aDurationOf: of a step's task.
template<class DurationOf>
std::int64_t
LongestChainMs(const job_spec& aJob,
               std::uint32_t aStep,
               const DurationOf& aDurationOf)
{
  std::vector<std::int64_t> chain(aJob.mSteps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t step = aStep; step < aJob.mSteps.size(); ++step) {
    const step_spec& spec = aJob.mSteps[step];
    const bool isReached =
      step == aStep ||
      std::ranges::any_of(spec.mDependsOn, [&](std::uint32_t aOther) {
        return aOther >= aStep && chain[aOther] > 0;
      });
    if (!isReached) {
      continue;
    }
    std::int64_t before = 0;
    for (const std::uint32_t other : spec.mDependsOn) {
      before = std::max(before, chain[other]);
    }
    chain[step] = before + std::max<std::int64_t>(aDurationOf(step), 1);
    longest = std::max(longest, chain[step]);
  }
  return longest;
}

std::int64_t
LongestChainMs(const job_spec& aJob,
               std::uint32_t aStep,
               std::span<const duration_estimate> aDurations)
{
  return LongestChainMs(aJob, aStep, [&](std::size_t aAt) {
    return aDurations.empty()
             ? aJob.mSteps[aAt].mEstimateMs
             : static_cast<std::int64_t>(aDurations[aAt].mMeanMs);
  });
}

// A job has no value to its caller after this many times its objective.
constexpr std::int64_t kObjectivesOfValue = 3;

std::int64_t
ObjectiveFor(std::int64_t aLongestChainMs, const queue_row& aQueue)
{
  const auto chain = static_cast<double>(aLongestChainMs);
  return static_cast<std::int64_t>(aQueue.mStretch * chain) + aQueue.mTargetMs;
}

// Moves the steps whose job can have no more value behind the others of their
// priority. The order is otherwise kept.
void
MovePastValueLast(std::vector<open_step>& aSteps)
{
  std::ranges::stable_sort(aSteps, {}, [](const open_step& aStep) {
    return std::pair(aStep.mQueue->mPriority, aStep.mIsPastValue);
  });
}

class collector
{
public:
  collector(const flow_state& aState, const open_steps_input& aInput)
    : mState(aState)
    , mInput(aInput)
  {
  }

  // All open steps with a waiting task. The tasks aren't listed yet.
  [[nodiscard]] std::vector<open_step> Find() const
  {
    std::vector<open_step> steps;
    for (const auto& [id, record] : mState.LiveJobs()) {
      const job_record& job = *record;
      if (!job.IsActive()) {
        continue;
      }
      for (const auto& [number, occurrence] : job.mOccurrences) {
        if (!occurrence.mDone) {
          Add(id, job, number, occurrence, steps);
        }
      }
    }
    return steps;
  }

  // Lists the waiting tasks of the first steps until kMaxConsidered is reached,
  // and removes the other steps.
  void ListTasks(std::vector<open_step>& aSteps) const
  {
    std::size_t considered = 0;
    std::map<job_id, std::uint32_t> listedSuspects;
    for (open_step& step : aSteps) {
      if (considered >= kMaxConsidered) {
        break;
      }
      if (mInput.mQuotas != nullptr &&
          mInput.mQuotas->IsExhausted(*step.mJob, *step.mSpec)) {
        step.mAtQuota = true;
        continue;
      }
      step.mWaiting = WaitingOf(step.mRef, *step.mRecord);
      if (!mState.Crashes().Records().empty()) {
        MoveSuspectsLast(step, listedSuspects[step.mRef.mJob]);
      }
      considered += step.mWaiting.size();
    }
    std::erase_if(aSteps, [](const open_step& aStep) {
      return aStep.mWaiting.empty() && !aStep.mAtQuota;
    });
  }

private:
  void Add(const job_id& aId,
           const job_record& aJob,
           std::uint32_t aNumber,
           const occurrence_record& aOccurrence,
           std::vector<open_step>& aSteps) const
  {
    const queue_row& queue = mState.QueueOf(aJob);
    std::span<const duration_estimate> durations;
    for (std::uint32_t step = 0; step < aOccurrence.mSteps.size(); ++step) {
      const step_record& record = aOccurrence.mSteps[step];
      if (mInput.mLoad != nullptr && !record.IsDone()) {
        mInput.mLoad->AddRunning(aJob, queue, aJob.mSpec.mSteps[step], record);
      }
      const bool hasWaitingTask =
        (mInput.mScope == plan_scope::All ||
         IsTopPriority(queue, aJob.mSpec.mSteps[step])) &&
        !record.IsDone() &&
        flow_state::AreDependenciesDone(aJob, aOccurrence, step) &&
        std::ranges::any_of(record.mTasks, [](const task_record& aTask) {
          return aTask.mPhase == task_phase::Waiting;
        });
      if (!hasWaitingTask) {
        continue;
      }
      if (mInput.mDurations != nullptr && durations.empty()) {
        durations =
          mInput.mDurations->Of(aId, aJob, queue, aNumber, mInput.mNow);
      }
      const step_ref ref{ aId, aNumber, step };
      aSteps.push_back(
        { .mRef = ref,
          .mJob = &aJob,
          .mQueue = &queue,
          .mSpec = &aJob.mSpec.mSteps[step],
          .mRecord = &record,
          .mWaiting = {},
          .mSuspects = {},
          .mSlackMs =
            SlackMs(aJob, queue, aOccurrence, step, mInput.mWallMs, durations),
          .mChainMs = LongestChainMs(aJob.mSpec, step, durations),
          .mCopyWorkers = aJob.mSpec.mSteps[step].MayHaveCopies()
                            ? CopyWorkers(mState, ref)
                            : std::vector<worker_number>() });
      // A step that has time left isn't past its value.
      open_step& added = aSteps.back();
      added.mIsPastValue =
        mInput.mOrder == plan_order::UsefulFirst && added.mSlackMs < 0 &&
        !MayHaveValue(
          aJob, queue, aOccurrence, step, mInput.mWallMs, durations);
    }
  }

  [[nodiscard]] std::vector<std::uint32_t> WaitingOf(
    const step_ref& aStep,
    const step_record& aRecord) const
  {
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
      const task_ref ref{ aStep.mJob, aStep.mOccurrence, aStep.mStep, index };
      if (aRecord.mTasks[index].mPhase == task_phase::Waiting &&
          !mInput.mProposed->contains(ref) &&
          !mInput.mSuspicions->mBlocked.contains(ref)) {
        waiting.push_back(index);
      }
    }
    return waiting;
  }

  // Moves suspects behind the other tasks and removes those beyond the number
  // that the job may start at a time. A gang keeps all, because it starts
  // whole. aListed: suspects of the job that this plan has listed.
  void MoveSuspectsLast(open_step& aStep, std::uint32_t& aListed) const
  {
    const step_ref& ref = aStep.mRef;
    const crash_tracker& crashes = mState.Crashes();
    for (const std::uint32_t index : aStep.mWaiting) {
      const suspicion known =
        crashes.SuspicionOf({ ref.mJob, ref.mOccurrence, ref.mStep, index });
      if (known != suspicion::None) {
        aStep.mSuspects[index] = known;
      }
    }
    if (aStep.mSuspects.empty()) {
      return;
    }
    // Tasks of high suspicion precede other suspects, because their outcome is
    // the most informative.
    constexpr std::array kOrder = { suspicion::None,
                                    suspicion::High,
                                    suspicion::Low };
    std::ranges::stable_sort(aStep.mWaiting, {}, [&](std::uint32_t aIndex) {
      return std::ranges::find(kOrder, SuspicionOf(aStep, aIndex));
    });
    if (aStep.mSpec->mGang) {
      return;
    }
    const std::uint32_t max = mInput.mSuspicions->MaxStarts(crashes, ref.mJob);
    const auto suspects = static_cast<std::uint32_t>(aStep.mSuspects.size());
    const std::uint32_t allowed =
      std::min(suspects, max - std::min(max, aListed));
    aStep.mWaiting.resize(aStep.mWaiting.size() - (suspects - allowed));
    aListed += allowed;
  }

  const flow_state& mState;
  const open_steps_input& mInput;
};

} // namespace

std::int64_t
ObjectiveMs(const job_spec& aJob,
            const queue_row& aQueue,
            std::span<const duration_estimate> aDurations)
{
  return ObjectiveFor(LongestChainMs(aJob, 0, aDurations), aQueue);
}

std::int64_t
SlackMs(const job_record& aJob,
        const queue_row& aQueue,
        const occurrence_record& aOccurrence,
        std::uint32_t aStep,
        std::int64_t aWallMs,
        std::span<const duration_estimate> aDurations)
{
  return aOccurrence.mOpenedWallMs +
         ObjectiveMs(aJob.mSpec, aQueue, aDurations) - aWallMs -
         LongestChainMs(aJob.mSpec, aStep, aDurations);
}

bool
MayHaveValue(const job_record& aJob,
             const queue_row& aQueue,
             const occurrence_record& aOccurrence,
             std::uint32_t aStep,
             std::int64_t aWallMs,
             std::span<const duration_estimate> aDurations)
{
  if (aDurations.empty() ||
      !std::ranges::all_of(aDurations, &duration_estimate::mIsLearned)) {
    return true;
  }
  const auto tail = [&](std::size_t aAt) {
    return static_cast<std::int64_t>(aDurations[aAt].mTailMs);
  };
  const std::int64_t objective =
    ObjectiveFor(LongestChainMs(aJob.mSpec, 0, tail), aQueue);
  return aWallMs + LongestChainMs(aJob.mSpec, aStep, tail) <=
         aOccurrence.mOpenedWallMs + kObjectivesOfValue * objective;
}

std::vector<open_step>
CollectOpenSteps(const flow_state& aState, const open_steps_input& aInput)
{
  const collector collect(aState, aInput);
  std::vector<open_step> steps = collect.Find();
  std::ranges::sort(steps, {}, [&](const open_step& aStep) {
    const int priority =
      aInput.mOrder == plan_order::Arrival ? 0 : aStep.mQueue->mPriority;
    const bool bySlack = aInput.mOrder == plan_order::LeastSlack ||
                         aInput.mOrder == plan_order::UsefulFirst;
    const std::int64_t next =
      bySlack ? aStep.mSlackMs : aStep.mJob->mSubmittedWallMs;
    return std::tuple<int, bool, std::int64_t, const step_ref&>(
      priority, aStep.mIsPastValue, next, aStep.mRef);
  });
  if (aInput.mOrder != plan_order::Arrival) {
    OrderByShares(steps, aState, aInput.mCapacity, aInput.mShares);
  }
  if (aInput.mOrder == plan_order::UsefulFirst) {
    MovePastValueLast(steps); // also of those within their organisation's share
  }
  collect.ListTasks(steps);
  return steps;
}

} // namespace oriolewalk::flow
