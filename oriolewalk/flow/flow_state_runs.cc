// Runs in the replicated state: starts, ends, and what is released by which
// proof. Second runs of a task are in flow_state_copies.cc.

#include <algorithm>
#include <iterator>
#include <utility>

#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

namespace {

// The members of a gang share one checkpoint, which any member may report.
void
SetCheckpoint(task_record& aTask,
              step_record& aStep,
              const step_spec& aSpec,
              const std::string& aCheckpoint)
{
  if (!aSpec.mGang) {
    aTask.mCheckpoint = aCheckpoint;
    return;
  }
  for (task_record& member : aStep.mTasks) {
    member.mCheckpoint = aCheckpoint;
  }
}

} // namespace

std::uint32_t
flow_state::MaxAttempts(const job_record& aJob) const
{
  return std::max(QueueOf(aJob).mMaxAttempts, 1U);
}

apply_outcome
flow_state::On(const start_runs& aStart, std::int64_t /*aWallMs*/)
{
  const std::set<task_ref> refused = GangsBeyondQuota(aStart);
  apply_outcome outcome;
  std::ranges::copy_if(
    aStart.mRuns,
    std::back_inserter(outcome.mStarted),
    [&](const run_start& aOne) {
      const task_ref& task = aOne.mRun.mTask;
      return !refused.contains(
               { task.mJob, task.mOccurrence, task.mStep, 0 }) &&
             Start(aOne);
    });
  return outcome;
}

bool
flow_state::Start(const run_start& aStart)
{
  const task_ref& ref = aStart.mRun.mTask;
  job_record* known = FindJobRecord(ref.mJob);
  const worker_record* worker = FindWorker(aStart.mWorker);
  if (known == nullptr || !known->IsActive() || worker == nullptr ||
      worker->mDraining || mCrashes.HasCrashed(aStart.mWorker)) {
    return false;
  }
  job_record& job = *known;
  task_record* task = FindTaskRecord(job, ref);
  if (task == nullptr || task->mPhase != task_phase::Waiting ||
      aStart.mRun.mAttempt <= LastAttempt(ref)) {
    return false;
  }
  occurrence_record& occurrence = job.mOccurrences.at(ref.mOccurrence);
  const step_spec& step = job.mSpec.mSteps[ref.mStep];
  organisations::quota_account* account = AccountOf(job);
  if (!AreDependenciesDone(job, occurrence, ref.mStep) ||
      (account != nullptr && !account->MayStart(step.mSize))) {
    return false;
  }
  if (account != nullptr) {
    account->Add(step.mSize);
  }
  task->mPhase = task_phase::Placed;
  task->mAttempt = aStart.mRun.mAttempt;
  task->mWorker = aStart.mWorker;
  occurrence.mHasStarted = true;
  job.mHasStarted = true;
  ++job.mPlacedRuns;
  AddPlaced(aStart.mWorker, aStart.mRun, step);
  return true;
}

void
flow_state::AddPlaced(worker_number aWorker,
                      const run_ref& aRun,
                      const step_spec& aStep)
{
  mPlaced[aWorker].Add(aRun, aStep);
  if (aStep.mBestEffort) {
    mBestEffort.insert(aWorker);
  }
}

void
flow_state::Release(const run_ref& aRun, worker_number aWorker)
{
  job_record& job = *FindJobRecord(aRun.mTask.mJob);
  task_record* task = FindTaskRecord(job, aRun.mTask);
  const step_record& step =
    job.mOccurrences.at(aRun.mTask.mOccurrence).mSteps[aRun.mTask.mStep];
  if (!ReleaseOneOfTwo(aRun, aWorker, *task)) {
    task->mPhase = step.IsDone() ? task_phase::Done : task_phase::Waiting;
    task->mWorker = 0;
  }
  --job.mPlacedRuns;
  const auto placed = mPlaced.find(aWorker);
  placed->second.Remove(aRun, job.mSpec.mSteps[aRun.mTask.mStep]);
  if (placed->second.mAmounts.mBestEffort == 0) {
    mBestEffort.erase(aWorker);
  }
  if (placed->second.mRuns.empty()) {
    mPlaced.erase(placed);
  }
  if (organisations::quota_account* account = AccountOf(job)) {
    account->Remove(job.mSpec.mSteps[aRun.mTask.mStep].mSize);
  }
  UpdateLive(aRun.mTask.mJob, job);
  ForgetCopyIfOver(aRun.mTask);
}

apply_outcome
flow_state::On(const end_runs& aEnd, std::int64_t aWallMs)
{
  const auto worker = mWorkers.find(aEnd.mWorker);
  if (worker == mWorkers.end()) {
    return Refuse(error_code::NotFound, "the worker has gone");
  }
  apply_outcome outcome;
  for (const run_end& end : aEnd.mEnds) {
    End(aEnd.mWorker, end, aWallMs, outcome);
  }
  worker->second.mCursor = std::max(worker->second.mCursor, aEnd.mCursor);
  return outcome;
}

// The ends of a worker that has gone are skipped; those of the others count.
apply_outcome
flow_state::On(const end_runs_on_workers& aEnds, std::int64_t aWallMs)
{
  apply_outcome all;
  for (const end_runs& ends : aEnds.mWorkers) {
    apply_outcome one = On(ends, aWallMs);
    std::ranges::move(one.mEndedJobs, std::back_inserter(all.mEndedJobs));
  }
  return all;
}

void
flow_state::End(worker_number aWorker,
                const run_end& aEnd,
                std::int64_t aWallMs,
                apply_outcome& aOutcome)
{
  if (!IsPlaced(aEnd.mRun, aWorker)) {
    return; // reported again, or its attempt was withdrawn
  }
  const task_ref& ref = aEnd.mRun.mTask;
  job_record& job = *FindJobRecord(ref.mJob);
  Release(aEnd.mRun, aWorker);
  step_record& step = job.mOccurrences.at(ref.mOccurrence).mSteps[ref.mStep];
  // The task may be done by its other run.
  const bool isTaskDone = step.mTasks[ref.mIndex].mPhase == task_phase::Done;
  if (job.IsActive() && !step.IsDone() && !isTaskDone) {
    CountEnd(aEnd, job, step, job.mSpec.mSteps[ref.mStep], aWallMs, aOutcome);
  }
}

void
flow_state::CountEnd(const run_end& aEnd,
                     job_record& aJob,
                     step_record& aStep,
                     const step_spec& aSpec,
                     std::int64_t aWallMs,
                     apply_outcome& aOutcome)
{
  task_record& task = aStep.mTasks[aEnd.mRun.mTask.mIndex];
  if (!aEnd.mCheckpoint.empty()) {
    SetCheckpoint(task, aStep, aSpec, aEnd.mCheckpoint);
  }
  if (aSpec.mLongRunning) {
    return; // it is restarted whatever its outcome
  }
  if (aEnd.mOutcome == run_outcome::Done) {
    MarkDone(aEnd.mRun, aStep, aSpec);
    FinishIfDone(aEnd.mRun.mTask.mJob, aJob, aWallMs, aOutcome);
  } else if (aEnd.mOutcome == run_outcome::Failed) {
    CountFailure(aEnd.mRun, aJob, aStep, aSpec, aWallMs, aOutcome);
  }
}

// The members of a gang are done together: the first member that ends as done
// completes the step, so that a member whose worker is lost at that moment is
// not restarted alone. The capacity of each other member stays booked until its
// own end is reported.
void
flow_state::MarkDone(const run_ref& aRun,
                     step_record& aStep,
                     const step_spec& aSpec)
{
  if (!aSpec.mGang) {
    SetOvertaken(aRun.mTask, aStep.mTasks[aRun.mTask.mIndex]);
    ++aStep.mDoneTasks;
    return;
  }
  aStep.mDoneTasks = static_cast<std::uint32_t>(aStep.mTasks.size());
  for (task_record& member : aStep.mTasks) {
    if (member.mPhase == task_phase::Waiting) {
      member.mPhase = task_phase::Done;
    }
  }
}

void
flow_state::CountFailure(const run_ref& aRun,
                         job_record& aJob,
                         step_record& aStep,
                         const step_spec& aSpec,
                         std::int64_t aWallMs,
                         apply_outcome& aOutcome)
{
  std::uint32_t failures = 0;
  if (aSpec.mGang) {
    if (aStep.mLastFailedAttempt != aRun.mAttempt) {
      aStep.mLastFailedAttempt = aRun.mAttempt;
      ++aStep.mGangFailures;
    }
    failures = aStep.mGangFailures;
  } else {
    failures = ++aStep.mTasks[aRun.mTask.mIndex].mFailures;
  }
  if (failures >= MaxAttempts(aJob)) {
    EndJob(aRun.mTask.mJob, aJob, job_state::Failed, aWallMs, aOutcome);
  }
}

apply_outcome
flow_state::On(const drop_runs& aDrop, std::int64_t /*aWallMs*/)
{
  ReleaseAll(aDrop.mWorker, aDrop.mRuns);
  return {};
}

std::vector<run_ref>
flow_state::ReleaseAll(worker_number aWorker, const std::vector<run_ref>& aRuns)
{
  std::vector<run_ref> released;
  std::ranges::copy_if(
    aRuns, std::back_inserter(released), [&](const run_ref& aRun) {
      return IsPlaced(aRun, aWorker);
    });
  for (const run_ref& run : released) {
    Release(run, aWorker);
  }
  return released;
}

apply_outcome
flow_state::On(const mark_runs_lost& aLost, std::int64_t /*aWallMs*/)
{
  const std::vector<run_ref> lost = ReleaseAll(aLost.mWorker, aLost.mRuns);
  if (!lost.empty()) {
    mCrashes.OnRunsLost(aLost.mWorker, lost);
  }
  return {};
}

apply_outcome
flow_state::On(const save_checkpoints& aSave, std::int64_t /*aWallMs*/)
{
  for (const run_checkpoint& saved : aSave.mRuns) {
    const task_ref& ref = saved.mRun.mTask;
    const auto found = mJobs.find(ref.mJob);
    task_record* task =
      found == mJobs.end() ? nullptr : FindTaskRecord(found->second, ref);
    const copy_record* copy = FindPlacedCopy(ref);
    const bool isInProgress =
      task != nullptr && task->mPhase == task_phase::Placed &&
      (task->mAttempt == saved.mRun.mAttempt ||
       (copy != nullptr && copy->mAttempt == saved.mRun.mAttempt));
    if (isInProgress) {
      job_record& job = found->second;
      SetCheckpoint(*task,
                    job.mOccurrences.at(ref.mOccurrence).mSteps[ref.mStep],
                    job.mSpec.mSteps[ref.mStep],
                    saved.mCheckpoint);
    }
  }
  return {};
}

} // namespace oriolewalk::flow
