// Explains a job's state, with the workers grouped by reason.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/health.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/reservations.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/cell/soft_state.h"

namespace oriolewalk::cell {
namespace {

std::string
DescribeRefusal(const refusal& aRefusal)
{
  return "it can never fit: it asks for " + std::to_string(aRefusal.mAsked) +
         " of " + std::string(ToString(aRefusal.mDimension)) +
         ", the largest worker, " + aRefusal.mLargestWorker.Value() + ", has " +
         std::to_string(aRefusal.mLargest);
}

std::string
DescribeWorker(const soft_state& aSoft,
               const cell_state& aState,
               const job_spec& aSpec,
               worker_slot aSlot,
               const instant& aNow)
{
  const worker_record& worker = aState.Workers()[aSlot];
  if (!worker.mPresent) {
    return "absent";
  }
  if (worker.mDraining) {
    return "draining";
  }
  if (aSoft.mHealth.Standing(aSlot, aNow.mNow) == worker_standing::Out) {
    return "out: it failed what others finish";
  }
  if (!aSoft.MayTakeWork(aState, aSlot, aNow.mNow)) {
    return "quiet";
  }
  if (const auto excess = aSpec.mEach.FirstExcess(worker.mCapacity)) {
    return "too small: " + std::string(ToString(*excess));
  }
  if (aSoft.mHealth.Standing(aSlot, aNow.mNow) == worker_standing::Probing) {
    return "probed after it failed what others finish";
  }
  if (const auto excess = aSpec.mEach.FirstExcess(aSoft.Free(aState, aSlot))) {
    return "no room now: " + std::string(ToString(*excess));
  }
  if (aSoft.mReservations.IsReserved(aSlot)) {
    return "held for work that comes first";
  }
  return "has room";
}

std::string
DescribeWait(const cell_state& aState,
             const job_record& aJob,
             const instant& aNow)
{
  const auto waits = [&](const task_record& aTask) {
    return aTask.mState == task_state::Waiting;
  };
  const auto task = std::ranges::find_if(aJob.mTasks, waits);
  if (aJob.mGangBroken) {
    return "a task of the gang ended early; the others are being stopped";
  }
  if (task != aJob.mTasks.end() && task->mNotBeforeMs > aNow.mWallMs) {
    return "it failed and is tried again in " +
           std::to_string(task->mNotBeforeMs - aNow.mWallMs) + " ms";
  }
  const organisation_record& organisation =
    aState.Organisations()[aJob.mOrganisation];
  if (!organisation.Allows(aJob.mSpec.mEach)) {
    return "the quota of " + organisation.mId.Value() + " is used up";
  }
  return aJob.mSpec.mKind == job_kind::Gang
           ? "it waits until all its tasks have room at once"
           : "it waits for room";
}

std::string
DescribeMoves(const job_record& aJob)
{
  if (aJob.mMoves == 0) {
    return {};
  }
  const bool lost = aJob.mLatestMove == stop_reason::None;
  return "; moved " + std::to_string(aJob.mMoves) + " times, the latest: " +
         (lost ? std::string("its worker was lost")
               : std::string(ToString(aJob.mLatestMove)));
}

std::string
DescribeReservation(const soft_state& aSoft, job_number aJob)
{
  const reservation* reserved = aSoft.mReservations.Find(aJob);
  if (reserved == nullptr) {
    return {};
  }
  return reserved->mPreempts
           ? "; lesser work is being ended to make room"
           : "; places are held for it where room comes first";
}

} // namespace

explanation
cell_scheduler::Explain(const cell_state& aState,
                        job_number aJob,
                        const instant& aNow) const
{
  explanation answer;
  answer.mJob = aJob;
  const job_record* job = aState.FindJob(aJob);
  if (job == nullptr) {
    answer.mReason = "no such job";
    return answer;
  }
  answer.mState = job->State();
  if (job->mRefusal) {
    answer.mReason = DescribeRefusal(*job->mRefusal);
    return answer;
  }
  if (job->mWaiting == 0 || IsFinal(answer.mState)) {
    answer.mReason = std::string(ToString(answer.mState)) + DescribeMoves(*job);
    return answer;
  }
  answer.mReason = DescribeWait(aState, *job, aNow) +
                   DescribeReservation(*mSoft, aJob) + DescribeMoves(*job);
  std::map<std::string, worker_group> groups;
  for (worker_slot slot = 0; slot < aState.Workers().size(); ++slot) {
    const worker_record& worker = aState.Workers()[slot];
    if (!worker.mKnown || slot >= mSoft->mWorkers.size()) {
      continue;
    }
    std::string reason = DescribeWorker(*mSoft, aState, job->mSpec, slot, aNow);
    worker_group& group = groups[reason];
    if (++group.mCount == 1) {
      group.mReason = std::move(reason);
      group.mExample = worker.mId;
    }
  }
  for (auto& [reason, group] : groups) {
    answer.mWorkers.push_back(std::move(group));
  }
  std::ranges::stable_sort(
    answer.mWorkers, std::greater{}, &worker_group::mCount);
  return answer;
}

} // namespace oriolewalk::cell
