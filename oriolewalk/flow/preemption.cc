#include "oriolewalk/flow/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A task that was preempted twice has lost two restarts; the next time another
// task is preempted.
constexpr int kMaxPreemptions = 2;

bool
IsPreemptible(const step_spec& aSpec)
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
  for (std::size_t index = 0; index < sizes.size(); ++index) {
    if (missing.at(index) > 0 && sizes.at(index) > 0) {
      return true;
    }
  }
  return false;
}

} // namespace

preemption_planner::preemption_planner(const flow_state& aState,
                                       const preemption_records& aRecords)
  : mState(aState)
  , mRecords(aRecords)
{
  for (const queue_row& queue : mState.Table().mQueues) {
    const auto [lowest, isNew] =
      mLowestPriority.try_emplace(queue.mService, queue.mPriority);
    lowest->second = std::max(lowest->second, queue.mPriority);
  }
}

bool
preemption_planner::HasLowerPriorityQueue(const queue_row& aQueue)
{
  return aQueue.mPriority < mLowestPriority[aQueue.mService];
}

bool
preemption_planner::MayPreempt(const task_ref& aTask) const
{
  if (mPreempted.contains(aTask)) {
    return false;
  }
  const auto found = mRecords.find(aTask);
  return found == mRecords.end() ||
         (!found->second.mInProgress && found->second.mCount < kMaxPreemptions);
}

const std::vector<preemption_planner::candidate>&
preemption_planner::CandidatesAt(worker_number aWorker)
{
  const auto [found, isNew] = mCandidates.try_emplace(aWorker);
  std::vector<candidate>& candidates = found->second;
  if (!isNew) {
    return candidates;
  }
  for (const run_ref& run : mState.RunsAt(aWorker)) {
    const step_spec& spec = *mState.FindStep(run.mTask);
    const job_record& job = *mState.FindJob(run.mTask.mJob);
    if (IsPreemptible(spec) && job.IsActive()) {
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
  if (!HasLowerPriorityQueue(*aStep.mQueue)) {
    return std::nullopt;
  }
  for (const candidate& one : CandidatesAt(aWorker.mNumber)) {
    if (one.mPriority <= aStep.mQueue->mPriority) {
      break; // sorted by priority, the lowest first
    }
    if (!Helps(one.mSize, missing) || !MayPreempt(one.mRun.mTask)) {
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
    mPreempted.insert(run.mTask);
    aWorker.mBeingFreed += mState.FindStep(run.mTask)->Booked();
  }
}

void
preemption_planner::CancelPreemption(const run_ref& aRun, plan_worker& aWorker)
{
  mPreempted.erase(aRun.mTask);
  aWorker.mBeingFreed -= mState.FindStep(aRun.mTask)->Booked();
}

} // namespace oriolewalk::flow
