#include "oriolewalk/flow/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A task that was preempted twice has lost two restarts; the next time another
// task is preempted.
constexpr int kMostYields = 2;

bool
SavesItself(const step_spec& aSpec)
{
  return aSpec.mCheckpoints && !aSpec.mGang && !aSpec.mLongRunning;
}

bool
IsCovered(const cell::resources& aMissing)
{
  return std::ranges::all_of(aMissing.Amounts(),
                             [](std::int64_t aAmount) { return aAmount <= 0; });
}

// Whether stopping a task of this size frees any of the missing resources.
bool
Helps(const cell::resources& aSize, const cell::resources& aMissing)
{
  const auto sizes = aSize.Amounts();
  const auto missing = aMissing.Amounts();
  for (std::size_t place = 0; place < sizes.size(); ++place) {
    if (missing.at(place) > 0 && sizes.at(place) > 0) {
      return true;
    }
  }
  return false;
}

} // namespace

preemption_planner::preemption_planner(const flow_state& aState,
                                       preemption_records aYields)
  : mState(aState)
  , mYields(std::move(aYields))
{
  for (const queue_row& queue : mState.Table().mQueues) {
    const auto [last, fresh] =
      mLastPriority.try_emplace(queue.mService, queue.mPriority);
    last->second = std::max(last->second, queue.mPriority);
  }
}

bool
preemption_planner::HasLaterQueue(const queue_row& aQueue)
{
  return aQueue.mPriority < mLastPriority[aQueue.mService];
}

bool
preemption_planner::MayYield(const task_ref& aTask) const
{
  const auto found = mYields.find(aTask);
  return found == mYields.end() ||
         (!found->second.mInProgress && found->second.mCount < kMostYields);
}

const std::vector<preemption_planner::candidate>&
preemption_planner::CandidatesAt(worker_number aWorker)
{
  const auto [found, fresh] = mCandidates.try_emplace(aWorker);
  std::vector<candidate>& candidates = found->second;
  if (!fresh) {
    return candidates;
  }
  for (const run_ref& run : mState.RunsAt(aWorker)) {
    const step_spec& spec = *mState.FindStep(run.mTask);
    const job_record& job = *mState.FindJob(run.mTask.mJob);
    if (SavesItself(spec) && job.IsActive()) {
      candidates.push_back(
        { run, mState.QueueOf(job).mPriority, spec.Booked() });
    }
  }
  std::ranges::sort(candidates, {}, [](const candidate& aOne) {
    return std::make_tuple(-aOne.mPriority,
                           -aOne.mSize.mAccelerators,
                           -aOne.mSize.mMilliProcessors,
                           aOne.mRun);
  });
  return candidates;
}

std::optional<std::vector<run_ref>>
preemption_planner::RunsToPreempt(const open_step& aStep,
                                  const plan_worker& aWorker)
{
  cell::resources missing =
    aStep.mSpec->Booked() -
    (aWorker.mFree + aWorker.mBeingFreed - aWorker.mReserved);
  std::vector<run_ref> stops;
  if (IsCovered(missing)) {
    return stops;
  }
  if (!HasLaterQueue(*aStep.mQueue)) {
    return std::nullopt;
  }
  for (const candidate& one : CandidatesAt(aWorker.mNumber)) {
    if (one.mPriority <= aStep.mQueue->mPriority) {
      break; // sorted by priority, the lowest first
    }
    if (!Helps(one.mSize, missing) || !MayYield(one.mRun.mTask)) {
      continue;
    }
    stops.push_back(one.mRun);
    missing -= one.mSize;
    if (IsCovered(missing)) {
      return stops;
    }
  }
  return std::nullopt;
}

void
preemption_planner::Preempt(const std::vector<run_ref>& aRuns,
                            plan_worker& aWorker)
{
  for (const run_ref& run : aRuns) {
    mYields[run.mTask].mInProgress = true;
    aWorker.mBeingFreed += mState.FindStep(run.mTask)->Booked();
  }
}

void
preemption_planner::CancelPreemption(const run_ref& aRun, plan_worker& aWorker)
{
  mYields[aRun.mTask].mInProgress = false;
  aWorker.mBeingFreed -= mState.FindStep(aRun.mTask)->Booked();
}

} // namespace oriolewalk::flow
