// Implements the task commands: start, stop, throttle, resume and end.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

constexpr std::int64_t kThrottleDivisor = 10;

error
Conflict(std::string aMessage)
{
  return { error_code::Conflict, "apply", {}, std::move(aMessage) };
}

bool
IsOutsideReason(stop_reason aReason)
{
  return aReason == stop_reason::Preempted || aReason == stop_reason::Drained ||
         aReason == stop_reason::Overrun;
}

} // namespace

std::int64_t
ThrottledMilliProcessors(const job_spec& aSpec)
{
  return std::min(
    aSpec.mEach.mMilliProcessors,
    std::max<std::int64_t>(1, aSpec.mEach.mMilliProcessors / kThrottleDivisor));
}

resources
Booking(const job_spec& aSpec, const task_record& aTask)
{
  resources booking = aSpec.mEach;
  if (aTask.mThrottled) {
    booking.mMilliProcessors = ThrottledMilliProcessors(aSpec);
  }
  return booking;
}

void
cell_state::Book(job_record& aJob, task_record& aTask, std::int64_t aSign)
{
  const resources change = Booking(aJob.mSpec, aTask) * aSign;
  mWorkers.at(aTask.mWorker).mBooked += change;
  mOrganisations[aJob.mOrganisation].mBooked += change;
}

void
cell_state::SetState(job_record& aJob, std::uint32_t aIndex, task_state aState)
{
  task_record& task = aJob.mTasks[aIndex];
  aJob.mWaiting -= task.mState == task_state::Waiting ? 1 : 0;
  aJob.mPlaced -= task.mState == task_state::Placed ? 1 : 0;
  task.mState = aState;
  aJob.mWaiting += aState == task_state::Waiting ? 1 : 0;
  aJob.mPlaced += aState == task_state::Placed ? 1 : 0;
  if (aState == task_state::Waiting) {
    aJob.mFirstWaiting = std::min(aJob.mFirstWaiting, aIndex);
  }
  while (aJob.mFirstWaiting < aJob.mTasks.size() &&
         aJob.mTasks[aJob.mFirstWaiting].mState != task_state::Waiting) {
    ++aJob.mFirstWaiting;
  }
}

std::optional<error>
cell_state::CheckPlacement(const placement& aPlacement) const
{
  const job_record* job = FindJob(aPlacement.mTask.mJob);
  const task_record* task = FindTask(aPlacement.mTask);
  if (job == nullptr || task == nullptr) {
    return Conflict("no such task");
  }
  if (job->mCancelled || job->mGangBroken ||
      task->mState != task_state::Waiting ||
      aPlacement.mAttempt != task->mAttempt + 1) {
    return Conflict("the task does not wait for this attempt");
  }
  const worker_record* worker = FindWorker(aPlacement.mWorker);
  if (worker == nullptr || !worker->TakesWork() ||
      worker->mBoot != aPlacement.mBoot) {
    return Conflict("the worker takes no work in this life");
  }
  if (const auto excess = job->mSpec.mEach.FirstExcess(worker->Free())) {
    return Conflict("no room: " + std::string(ToString(*excess)));
  }
  if (!mOrganisations[job->mOrganisation].Allows(job->mSpec.mEach)) {
    return Conflict("the organisation's quota is used up");
  }
  return std::nullopt;
}

void
cell_state::Place(const placement& aPlacement, apply_outcome& aOutcome)
{
  job_record& job = *Job(aPlacement.mTask.mJob);
  task_record& task = job.mTasks[aPlacement.mTask.mIndex];
  SetState(job, aPlacement.mTask.mIndex, task_state::Placed);
  task.mAttempt = aPlacement.mAttempt;
  task.mWorker = FindSlot(aPlacement.mWorker).value_or(kNoWorker);
  task.mStop = stop_mode::None;
  task.mStopReason = stop_reason::None;
  task.mThrottled = false;
  task.mThrottledOnce = false;
  task.mPlacedMs = mClockMs;
  job.mLatestStartMs = mClockMs;
  Book(job, task, 1);
  mWorkers[task.mWorker].mTasks.insert(aPlacement.mTask);
  UpdateWaiting(job);
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(task.mWorker);
  aOutcome.mJobs.push_back(job.mNumber);
}

void
cell_state::Unplace(const placement& aPlacement)
{
  job_record& job = *Job(aPlacement.mTask.mJob);
  task_record& task = job.mTasks[aPlacement.mTask.mIndex];
  Book(job, task, -1);
  mWorkers[task.mWorker].mTasks.erase(aPlacement.mTask);
  task.mWorker = kNoWorker;
  --task.mAttempt;
  SetState(job, aPlacement.mTask.mIndex, task_state::Waiting);
  UpdateWaiting(job);
}

void
cell_state::Do(const start_tasks& aCommand, apply_outcome& aOutcome)
{
  std::map<job_number, std::vector<placement>> gangs;
  for (const placement& each : aCommand.mPlacements) {
    const job_record* job = FindJob(each.mTask.mJob);
    if (job != nullptr && job->mSpec.mKind == job_kind::Gang) {
      gangs[each.mTask.mJob].push_back(each);
      continue;
    }
    if (auto refused = CheckPlacement(each)) {
      aOutcome.mRefusedPlacements.push_back(each.mTask);
      aOutcome.mRefusal = aOutcome.mRefusal ? aOutcome.mRefusal : refused;
      continue;
    }
    Place(each, aOutcome);
  }
  for (const auto& [number, members] : gangs) {
    StartGang(members, aOutcome);
  }
}

void
cell_state::StartGang(std::span<const placement> aMembers,
                      apply_outcome& aOutcome)
{
  const job_record& job = *FindJob(aMembers.front().mTask.mJob);
  std::optional<error> refused;
  if (job.mPlaced > 0 || aMembers.size() != job.mWaiting) {
    refused = Conflict("a gang starts whole");
  }
  apply_outcome trial;
  std::size_t done = 0;
  while (!refused && done < aMembers.size()) {
    refused = CheckPlacement(aMembers[done]);
    if (!refused) {
      Place(aMembers[done++], trial);
    }
  }
  if (!refused) {
    aOutcome.mChanged = true;
    std::ranges::copy(trial.mWorkers, std::back_inserter(aOutcome.mWorkers));
    aOutcome.mJobs.push_back(job.mNumber);
    return;
  }
  std::ranges::for_each(aMembers.first(done),
                        [this](const placement& aMember) { Unplace(aMember); });
  std::ranges::transform(aMembers,
                         std::back_inserter(aOutcome.mRefusedPlacements),
                         &placement::mTask);
  aOutcome.mRefusal = aOutcome.mRefusal ? aOutcome.mRefusal : refused;
}

job_record*
cell_state::CurrentAttempt(const task_id& aTask,
                           std::uint32_t aAttempt,
                           const worker_life* aIncarnation,
                           apply_outcome& aOutcome)
{
  const task_record* task = FindTask(aTask);
  if (task == nullptr || task->mState != task_state::Placed ||
      task->mAttempt != aAttempt) {
    aOutcome.mRefusal = Conflict("not the current attempt");
    return nullptr;
  }
  const worker_record& worker = mWorkers[task->mWorker];
  if (aIncarnation != nullptr && (worker.mId != aIncarnation->mWorker ||
                                  worker.mBoot != aIncarnation->mBoot)) {
    aOutcome.mRefusal = Conflict("the attempt is on another worker");
    return nullptr;
  }
  return Job(aTask.mJob);
}

void
cell_state::Do(const stop_task& aCommand, apply_outcome& aOutcome)
{
  job_record* job =
    CurrentAttempt(aCommand.mTask, aCommand.mAttempt, nullptr, aOutcome);
  if (job == nullptr) {
    return;
  }
  task_record& task = job->mTasks[aCommand.mTask.mIndex];
  const job_spec& spec = job->mSpec;
  const bool throttle = aCommand.mMode == stop_mode::Throttle;
  if (aCommand.mMode == stop_mode::None || !IsOutsideReason(aCommand.mReason)) {
    aOutcome.mRefusal = Conflict("not a mode or reason to ask for");
  } else if (aCommand.mMode == stop_mode::Checkpoint && !spec.mCheckpointable) {
    aOutcome.mRefusal = Conflict("the task has no checkpoints");
  } else if (aCommand.mMode == stop_mode::Stop && !MayRunAgain(spec)) {
    // Stopping it would lose its work, because it must not run twice.
    aOutcome.mRefusal = Conflict("the task is not repeatable");
  } else if (aCommand.mMode <= task.mStop) {
    aOutcome.mRefusal = Conflict("it is asked to end already");
  } else if (throttle && task.mThrottledOnce) {
    aOutcome.mRefusal = Conflict("it was throttled already");
  }
  if (aOutcome.mRefusal) {
    return;
  }
  if (spec.mKind == job_kind::Gang && !throttle) {
    BreakGang(*job, aCommand.mMode, aCommand.mReason, aOutcome);
  } else {
    task.mThrottledOnce = task.mThrottledOnce || throttle;
    task.mStop = aCommand.mMode;
    task.mStopReason = aCommand.mReason;
  }
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(task.mWorker);
  aOutcome.mJobs.push_back(job->mNumber);
}

void
cell_state::Do(const task_throttled& aCommand, apply_outcome& aOutcome)
{
  const worker_life incarnation{ aCommand.mWorker, aCommand.mBoot };
  job_record* job =
    CurrentAttempt(aCommand.mTask, aCommand.mAttempt, &incarnation, aOutcome);
  if (job == nullptr) {
    return;
  }
  task_record& task = job->mTasks[aCommand.mTask.mIndex];
  if (task.mStop != stop_mode::Throttle || task.mThrottled) {
    aOutcome.mRefusal = Conflict("no throttle was asked for");
    return;
  }
  Book(*job, task, -1);
  task.mThrottled = true;
  Book(*job, task, 1);
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(task.mWorker);
}

void
cell_state::Do(const resume_task& aCommand, apply_outcome& aOutcome)
{
  job_record* job =
    CurrentAttempt(aCommand.mTask, aCommand.mAttempt, nullptr, aOutcome);
  if (job == nullptr) {
    return;
  }
  task_record& task = job->mTasks[aCommand.mTask.mIndex];
  if (task.mStop != stop_mode::Throttle) {
    aOutcome.mRefusal = Conflict("the task is not throttled");
    return;
  }
  const resources more = job->mSpec.mEach - Booking(job->mSpec, task);
  if (!more.FitsIn(mWorkers[task.mWorker].Free())) {
    aOutcome.mRefusal = Conflict("no room for the whole size");
    return;
  }
  Book(*job, task, -1);
  task.mThrottled = false;
  task.mStop = stop_mode::None;
  task.mStopReason = stop_reason::None;
  Book(*job, task, 1);
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(task.mWorker);
}

void
cell_state::Do(const task_ended& aCommand, apply_outcome& aOutcome)
{
  const worker_life incarnation{ aCommand.mWorker, aCommand.mBoot };
  if (CurrentAttempt(
        aCommand.mTask, aCommand.mAttempt, &incarnation, aOutcome) == nullptr) {
    return;
  }
  const auto end = [&] {
    switch (aCommand.mResult) {
      case attempt_result::Succeeded:
        return ending::Succeeded;
      case attempt_result::Failed:
        return ending::Failed;
      case attempt_result::Checkpointed:
        return ending::Checkpointed;
      case attempt_result::Stopped:
        break;
    }
    return ending::Stopped;
  }();
  EndAttempt(aCommand.mTask, end, aOutcome);
  aOutcome.mEnded.back().mResult = aCommand.mResult;
}

void
cell_state::EndAttempt(const task_id& aTask,
                       ending aEnding,
                       apply_outcome& aOutcome)
{
  job_record& job = *Job(aTask.mJob);
  task_record& task = job.mTasks[aTask.mIndex];
  Book(job, task, -1);
  mWorkers[task.mWorker].mTasks.erase(aTask);
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(task.mWorker);
  aOutcome.mJobs.push_back(job.mNumber);
  aOutcome.mEnded.push_back({ aTask,
                              task.mAttempt,
                              task.mWorker,
                              std::nullopt,
                              mClockMs - task.mPlacedMs });
  const task_state next = StateAfter(job, task, aEnding);
  if (next == task_state::Waiting && aEnding != ending::Failed) {
    ++job.mMoves;
    job.mLatestMove =
      aEnding == ending::Lost ? stop_reason::None : task.mStopReason;
  }
  task.mWorker = kNoWorker;
  task.mStop = stop_mode::None;
  task.mStopReason = stop_reason::None;
  task.mThrottled = false;
  SetState(job, aTask.mIndex, next);
  if (job.mSpec.mKind == job_kind::Gang && !job.mCancelled) {
    if (next != task_state::Succeeded && !job.mGangBroken) {
      const bool goesOn =
        next == task_state::Waiting && job.mSpec.mCheckpointable;
      BreakGang(job,
                goesOn ? stop_mode::Checkpoint : stop_mode::Stop,
                stop_reason::GangBroken,
                aOutcome);
    }
    ResolveBrokenGang(job);
  }
  FinishIfDone(job);
  UpdateWaiting(job);
}

task_state
cell_state::StateAfter(job_record& aJob,
                       task_record& aTask,
                       ending aEnding) const
{
  const job_spec& spec = aJob.mSpec;
  if (aJob.mCancelled) {
    return StateAfterCancel(spec, aEnding);
  }
  if (aEnding == ending::Succeeded && spec.mKind != job_kind::Service) {
    return task_state::Succeeded;
  }
  if (aEnding == ending::Failed || aEnding == ending::Succeeded) {
    return StateAfterFailure(aJob, aTask);
  }
  if (MayRunAgain(spec) ||
      (aEnding == ending::Checkpointed && spec.mCheckpointable)) {
    return task_state::Waiting;
  }
  // The attempt started and its progress is unknown, except when the cell
  // stopped it because its gang broke.
  return aEnding == ending::Stopped &&
             aTask.mStopReason == stop_reason::GangBroken
           ? task_state::Stopped
           : task_state::Unknown;
}

task_state
cell_state::StateAfterCancel(const job_spec& aSpec, ending aEnding)
{
  switch (aEnding) {
    case ending::Succeeded:
      return task_state::Succeeded;
    case ending::Failed:
      return task_state::Failed;
    case ending::Lost:
      return MayRunAgain(aSpec) ? task_state::Stopped : task_state::Unknown;
    case ending::Checkpointed:
    case ending::Stopped:
      break;
  }
  return task_state::Stopped;
}

task_state
cell_state::StateAfterFailure(const job_record& aJob, task_record& aTask) const
{
  if (mClockMs - aTask.mPlacedMs >= kMaxBackoffMs) {
    aTask.mFailures = 0;
  }
  ++aTask.mFailures;
  const bool service = aJob.mSpec.mKind == job_kind::Service;
  if (!service &&
      (!aJob.mSpec.mRepeatable || aTask.mFailures >= kMaxFailures)) {
    return task_state::Failed;
  }
  constexpr std::uint32_t kMaxDoublings = 6;
  const std::uint32_t doublings = std::min(aTask.mFailures - 1, kMaxDoublings);
  aTask.mNotBeforeMs =
    mClockMs + std::min(kMaxBackoffMs, kMinBackoffMs << doublings);
  return task_state::Waiting;
}

void
cell_state::BreakGang(job_record& aJob,
                      stop_mode aMode,
                      stop_reason aReason,
                      apply_outcome& aOutcome)
{
  aJob.mGangBroken = true;
  for (task_record& member : aJob.mTasks) {
    if (member.mState == task_state::Placed && member.mStop < aMode) {
      member.mStop = aMode;
      member.mStopReason = aReason;
      aOutcome.mWorkers.push_back(member.mWorker);
    }
  }
}

void
cell_state::ResolveBrokenGang(job_record& aJob)
{
  if (!aJob.mGangBroken || aJob.mPlaced > 0) {
    return;
  }
  aJob.mGangBroken = false;
  const bool isOver = std::ranges::any_of(aJob.mTasks, [](const auto& aTask) {
    return IsFinal(aTask.mState) && aTask.mState != task_state::Succeeded;
  });
  if (!isOver) {
    return; // All unfinished tasks are waiting and restart together.
  }
  for (std::uint32_t at = 0; at < aJob.mTasks.size(); ++at) {
    if (aJob.mTasks[at].mState == task_state::Waiting) {
      SetState(aJob, at, task_state::Stopped);
    }
  }
}

} // namespace oriolewalk::cell
