// Implements the job commands: submit, cancel, finish and forget.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <utility>

#include "oriolewalk/base/error.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;

job_state
FinalState(const job_record& aJob)
{
  const auto has = [&](task_state aState) {
    return std::ranges::find(aJob.mTasks, aState, &task_record::mState) !=
           aJob.mTasks.end();
  };
  if (has(task_state::Unknown)) {
    return job_state::Unknown;
  }
  if (has(task_state::Failed)) {
    return job_state::Failed;
  }
  if (has(task_state::Stopped)) {
    return job_state::Stopped;
  }
  if (has(task_state::Cancelled)) {
    return has(task_state::Succeeded) ? job_state::Stopped
                                      : job_state::Cancelled;
  }
  return job_state::Succeeded;
}

} // namespace

job_state
job_record::State() const
{
  if (mRefusal) {
    return job_state::Refused;
  }
  if (mFinishedMs != 0) {
    return FinalState(*this);
  }
  if (mCancelled) {
    return job_state::Cancelling;
  }
  return mPlaced > 0 ? job_state::Running : job_state::Waiting;
}

std::optional<refusal>
cell_state::NeverFits(const job_spec& aSpec) const
{
  // Absent workers are included, so that a job is not refused because a rack
  // is temporarily down.
  resources largest;
  std::int64_t fittingTasks = 0;
  const worker_record* best = nullptr;
  for (const worker_record& worker : mWorkers) {
    if (!worker.mKnown) {
      continue;
    }
    const std::int64_t times = aSpec.mEach.TimesIn(worker.mCapacity);
    fittingTasks += std::min<std::int64_t>(times, aSpec.mTasks);
    if (best == nullptr ||
        (best->mCapacity.FirstExcess(worker.mCapacity) == std::nullopt)) {
      best = &worker;
    }
    largest = Largest(largest, worker.mCapacity);
  }
  const std::int64_t needed = aSpec.mKind == job_kind::Gang ? aSpec.mTasks : 1;
  if (best == nullptr || fittingTasks >= needed) {
    // Jobs are accepted before the first worker registers.
    return std::nullopt;
  }
  const dimension shortOf = aSpec.mEach.FirstExcess(largest).value_or(
    aSpec.mEach.FirstExcess(best->mCapacity).value_or(dimension::Processors));
  const auto at = static_cast<std::size_t>(shortOf);
  const auto most =
    std::ranges::max_element(mWorkers, {}, [&](const worker_record& aWorker) {
      return aWorker.mKnown ? aWorker.mCapacity.Amounts().at(at) : -1;
    });
  const std::int64_t tasks =
    aSpec.mEach.TimesIn(largest) > 0 && fittingTasks > 0 ? aSpec.mTasks : 1;
  return refusal{ shortOf,
                  aSpec.mEach.Amounts().at(at) * tasks,
                  most->mCapacity.Amounts().at(at),
                  most->mId };
}

void
cell_state::Do(const submit_job& aCommand, apply_outcome& aOutcome)
{
  if (aCommand.mKey.Value().empty() ||
      aCommand.mKey.Value().size() > kMaxKeyBytes) {
    aOutcome.mRefusal = error{ error_code::InvalidArgument,
                               "submit job",
                               {},
                               "key must have 1 to 128 bytes" };
    return;
  }
  const auto known = FindKey(aCommand.mSpec.mOrganisation, aCommand.mKey);
  if (known) {
    if (Job(*known)->mSpec != aCommand.mSpec) {
      aOutcome.mRefusal = error{ error_code::Conflict,
                                 "submit job",
                                 {},
                                 "the key names a job with another spec" };
      return;
    }
    aOutcome.mJob = *known;
    aOutcome.mReplayed = true;
    return;
  }
  if (const auto valid = CheckSpec(aCommand.mSpec); !valid) {
    aOutcome.mRefusal = valid.error().At("submit job");
    return;
  }
  const job_number number(mNextJob++);
  job_record& job = mJobs[number];
  job.mNumber = number;
  job.mKey = aCommand.mKey;
  job.mSpec = aCommand.mSpec;
  job.mSubmittedMs = mClockMs;
  job.mRefusal = NeverFits(job.mSpec);
  if (job.mRefusal) {
    job.mFinishedMs = std::max<std::int64_t>(mClockMs, 1);
  } else {
    job.mTasks.resize(job.mSpec.mTasks);
  }
  Recount(job);
  aOutcome.mChanged = true;
  aOutcome.mJob = number;
  aOutcome.mJobs.push_back(number);
}

void
cell_state::Do(const cancel_job& aCommand, apply_outcome& aOutcome)
{
  job_record* job = Job(aCommand.mJob);
  if (job == nullptr) {
    aOutcome.mRefusal =
      error{ error_code::NotFound, "cancel job", {}, "no such job" };
    return;
  }
  aOutcome.mJob = aCommand.mJob;
  if (job->mFinishedMs != 0 || job->mCancelled) {
    return; // Cancelling is idempotent; a final state never changes.
  }
  job->mCancelled = true;
  for (std::uint32_t at = 0; at < job->mTasks.size(); ++at) {
    CancelTask(*job, at);
    if (job->mTasks[at].mState == task_state::Placed) {
      aOutcome.mWorkers.push_back(job->mTasks[at].mWorker);
    }
  }
  FinishIfDone(*job);
  UpdateWaiting(*job);
  aOutcome.mChanged = true;
  aOutcome.mJobs.push_back(aCommand.mJob);
}

void
cell_state::CancelTask(job_record& aJob, std::uint32_t aIndex)
{
  task_record& task = aJob.mTasks[aIndex];
  if (task.mState == task_state::Waiting) {
    SetState(aJob,
             aIndex,
             task.mAttempt == 0 ? task_state::Cancelled : task_state::Stopped);
  } else if (task.mState == task_state::Placed) {
    // The start may be in flight, so the booking stays until the worker
    // confirms the end.
    task.mStop = stop_mode::Stop;
    task.mStopReason = stop_reason::Cancelled;
  }
}

void
cell_state::FinishIfDone(job_record& aJob)
{
  if (aJob.mFinishedMs != 0 || aJob.mWaiting + aJob.mPlaced > 0) {
    return;
  }
  aJob.mFinishedMs = std::max<std::int64_t>(mClockMs, 1);
  mFinished.emplace(aJob.mFinishedMs, aJob.mNumber);
}

void
cell_state::Do(const forget_jobs& aCommand, apply_outcome& aOutcome)
{
  const std::int64_t before =
    std::min(aCommand.mBeforeMs, mClockMs - kMinRetentionMs);
  while (!mFinished.empty() && mFinished.begin()->first < before) {
    const job_number number = mFinished.begin()->second;
    const job_record& job = mJobs.at(number);
    mKeys.erase({ job.mSpec.mOrganisation, job.mKey });
    mRecords -= job.Records();
    mJobs.erase(number);
    mFinished.erase(mFinished.begin());
    aOutcome.mChanged = true;
  }
}

} // namespace oriolewalk::cell
