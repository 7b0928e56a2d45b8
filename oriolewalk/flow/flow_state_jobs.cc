// Jobs in the replicated state: submission, occurrences and ends.

#include <algorithm>
#include <utility>

#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

bool
flow_state::AreDependenciesDone(const job_record& aJob,
                                const occurrence_record& aOccurrence,
                                std::uint32_t aStep)
{
  return std::ranges::all_of(
    aJob.mSpec.mSteps[aStep].mDependsOn,
    [&](std::uint32_t aOther) { return aOccurrence.mSteps[aOther].IsDone(); });
}

std::uint64_t
flow_state::PendingJobs(std::string_view aQueue) const
{
  return static_cast<std::uint64_t>(
    std::ranges::count_if(mLive, [&](const auto& aEntry) {
      const job_record& job = *aEntry.second;
      return job.IsActive() && !job.mHasStarted && job.mQueue.mName == aQueue;
    }));
}

apply_outcome
flow_state::On(const submit_job& aSubmit, std::int64_t aWallMs)
{
  return Submit(aSubmit, {}, aWallMs);
}

apply_outcome
flow_state::Submit(const submit_job& aSubmit,
                   const organisation_id& aOwner,
                   std::int64_t aWallMs)
{
  if (const job_record* known = FindJob(aSubmit.mId)) {
    // The same owner's is a retry of the same submission.
    return known->mOwner == aOwner
             ? apply_outcome{}
             : Refuse(error_code::Conflict, "the id is another job's");
  }
  if (!aOwner.Value().empty() && FindOrganisation(aOwner) == nullptr) {
    return Refuse(error_code::NotFound, "the organisation was removed");
  }
  job_record job;
  job.mOwner = aOwner;
  job.mSpec = aSubmit.mSpec;
  job.mQueue = aSubmit.mQueue;
  job.mSubmittedWallMs = aWallMs;
  mJobBytes += SpecBytes(job.mSpec);
  if (job.mSpec.mRecurrence.mRepeatCount == 0) {
    OpenOccurrence(job, 0, aWallMs);
  }
  const auto placed = mJobs.emplace(aSubmit.mId, std::move(job)).first;
  mJobIndex.emplace(aSubmit.mId, &placed->second);
  mLive.emplace(aSubmit.mId, &placed->second);
  return {};
}

void
flow_state::OpenOccurrence(job_record& aJob,
                           std::uint32_t aNumber,
                           std::int64_t aWallMs)
{
  occurrence_record opened;
  opened.mOpenedWallMs = aWallMs;
  for (const step_spec& step : aJob.mSpec.mSteps) {
    opened.mSteps.emplace_back().mTasks.resize(step.mCount);
  }
  aJob.mOccurrences.insert_or_assign(aNumber, std::move(opened));
  mJobBytes += OccurrenceBytes(aJob.mSpec);
  aJob.mNextOccurrence = aNumber + 1;
}

apply_outcome
flow_state::On(const open_occurrence& aOpen, std::int64_t aWallMs)
{
  const auto found = mJobs.find(aOpen.mId);
  if (found == mJobs.end() || !found->second.IsActive() ||
      found->second.mNextOccurrence != aOpen.mOccurrence ||
      aOpen.mOccurrence >= found->second.mSpec.mRecurrence.mRepeatCount) {
    return Refuse(error_code::Conflict, "the occurrence isn't the next one");
  }
  OpenOccurrence(found->second, aOpen.mOccurrence, aWallMs);
  return {};
}

apply_outcome
flow_state::On(const cancel_job& aCancel, std::int64_t aWallMs)
{
  const auto found = mJobs.find(aCancel.mId);
  if (found == mJobs.end()) {
    return Refuse(error_code::NotFound, "no such job");
  }
  apply_outcome outcome;
  if (found->second.IsActive()) {
    EndJob(found->first, found->second, job_state::Cancelled, aWallMs, outcome);
  }
  return outcome;
}

void
flow_state::FinishIfDone(const job_id& aId,
                         job_record& aJob,
                         std::int64_t aWallMs,
                         apply_outcome& aOutcome)
{
  const bool opened =
    aJob.mSpec.mRecurrence.mRepeatCount == 0 ||
    aJob.mNextOccurrence >= aJob.mSpec.mRecurrence.mRepeatCount;
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    occurrence.mDone =
      std::ranges::all_of(occurrence.mSteps, &step_record::IsDone);
  }
  const bool done =
    std::ranges::all_of(aJob.mOccurrences, [](const auto& aOccurrence) {
      return aOccurrence.second.mDone;
    });
  if (opened && done) {
    EndJob(aId, aJob, job_state::Done, aWallMs, aOutcome);
  }
}

void
flow_state::EndJob(const job_id& aId,
                   job_record& aJob,
                   job_state aState,
                   std::int64_t aWallMs,
                   apply_outcome& aOutcome)
{
  aJob.mState = aState;
  aJob.mEndedWallMs = aWallMs;
  aOutcome.mEndedJobs.push_back(aId);
  UpdateLive(aId, aJob);
  ForgetCopies(aId);
  // A failed job's crash records are kept for as long as the job is shown.
  // Other records are erased, since plans iterate over all of them.
  if (aState != job_state::Failed) {
    mCrashes.ForgetJob(aId);
  }
}

void
flow_state::UpdateLive(const job_id& aId, const job_record& aJob)
{
  if (aJob.IsActive() || aJob.mPlacedRuns > 0) {
    mLive.emplace(aId, &aJob);
  } else {
    mLive.erase(aId);
  }
}

void
flow_state::FailJobIfCrashing(const task_ref& aTask,
                              std::int64_t aWallMs,
                              apply_outcome& aOutcome)
{
  const step_record* step = FindStepRecord(aTask);
  if (step == nullptr || step->IsDone() || !mCrashes.ShouldAbandon(aTask) ||
      FindTask(aTask)->mPhase == task_phase::Done) {
    return;
  }
  job_record& job = *FindJobRecord(aTask.mJob);
  if (job.IsActive()) {
    aOutcome.mAbandonedTasks.push_back(aTask);
    EndJob(aTask.mJob, job, job_state::Failed, aWallMs, aOutcome);
  }
}

apply_outcome
flow_state::On(const forget_jobs& aForget, std::int64_t /*aWallMs*/)
{
  for (const job_id& id : aForget.mJobs) {
    const auto found = mJobs.find(id);
    if (found != mJobs.end() && !mLive.contains(id)) {
      mJobIndex.erase(id);
      mJobBytes -= found->second.Bytes();
      mJobs.erase(found);
      mCrashes.ForgetJob(id);
    }
  }
  return {};
}

} // namespace oriolewalk::flow
