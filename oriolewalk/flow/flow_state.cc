#include "oriolewalk/flow/flow_state.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace oriolewalk::flow {

namespace {

apply_outcome
Refuse(error_code aCode, std::string aMessage)
{
  return { .mError = error{ aCode, "apply", {}, std::move(aMessage) } };
}

task_record*
Task(job_record& aJob, const task_ref& aTask)
{
  const auto found = aJob.mOccurrences.find(aTask.mOccurrence);
  if (found == aJob.mOccurrences.end() ||
      aTask.mStep >= found->second.mSteps.size()) {
    return nullptr;
  }
  step_record& step = found->second.mSteps[aTask.mStep];
  return aTask.mIndex < step.mTasks.size() ? &step.mTasks[aTask.mIndex]
                                           : nullptr;
}

// The format of snapshots without organisations, and the beginning of all.
struct saved_state_without_access
{
  queue_table mTable;
  bytes mTableSource;
  std::map<job_id, job_record> mJobs;
  std::map<worker_number, worker_record> mWorkers;
  worker_number mLastWorker = 0;
  crash_tracker mCrashes;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTable, mTableSource, mJobs, mWorkers, mLastWorker, mCrashes);
  }
};

// The format of a snapshot.
struct saved_state
{
  saved_state_without_access mState;
  std::optional<access_rules> mAccess;
  std::map<organisation_id, organisations::organisation_row> mFormer;
  std::map<job_id, organisation_id> mOwners;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mState, mAccess, mFormer, mOwners);
  }
};

// The format of snapshots from before crashes were counted.
struct saved_state_without_crashes
{
  saved_state_without_access mState;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mState.mTable,
             mState.mTableSource,
             mState.mJobs,
             mState.mWorkers,
             mState.mLastWorker);
  }
};

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

// Reads a snapshot of this or an earlier version.
result<saved_state>
ReadSnapshot(std::string_view aBytes)
{
  constexpr std::string_view kWhat = "restoring the workflow state";
  auto read = Decode<saved_state>(aBytes, kWhat);
  if (read) {
    return read;
  }
  if (auto older = Decode<saved_state_without_access>(aBytes, kWhat)) {
    return saved_state{ std::move(*older), std::nullopt, {}, {} };
  }
  if (auto oldest = Decode<saved_state_without_crashes>(aBytes, kWhat)) {
    return saved_state{ std::move(oldest->mState), std::nullopt, {}, {} };
  }
  return read;
}

bool
IsRunPlaced(const task_record& aTask, attempt_t aAttempt, worker_number aWorker)
{
  return aTask.mPhase == task_phase::Placed && aTask.mAttempt == aAttempt &&
         aTask.mWorker == aWorker;
}

} // namespace

flow_state::flow_state(std::uint64_t aKeySeed)
  : mKeys(aKeySeed)
{
}

apply_outcome
flow_state::Apply(const command& aCommand)
{
  return std::visit(
    [&](const auto& aBody) { return On(aBody, aCommand.mWallMs); },
    aCommand.mBody);
}

const job_record*
flow_state::FindJob(const job_id& aId) const
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const worker_record*
flow_state::FindWorker(worker_number aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? nullptr : &found->second;
}

worker_number
flow_state::NumberOf(const worker_id& aId) const
{
  const auto found = mNumbers.find(aId);
  return found == mNumbers.end() ? 0 : found->second;
}

const task_record*
flow_state::FindTask(const task_ref& aTask) const
{
  const auto found = mJobs.find(aTask.mJob);
  // The const_cast avoids a second copy of the lookup; Task() changes nothing.
  return found == mJobs.end()
           ? nullptr
           : Task(const_cast<job_record&>(found->second), aTask);
}

const step_spec*
flow_state::FindStep(const task_ref& aTask) const
{
  const job_record* job = FindJob(aTask.mJob);
  return job != nullptr && aTask.mStep < job->mSpec.mSteps.size()
           ? &job->mSpec.mSteps[aTask.mStep]
           : nullptr;
}

const step_record*
flow_state::FindStepRecord(const task_ref& aTask) const
{
  const job_record* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->mOccurrences.find(aTask.mOccurrence);
  return found != job->mOccurrences.end() &&
             aTask.mStep < found->second.mSteps.size()
           ? &found->second.mSteps[aTask.mStep]
           : nullptr;
}

bool
flow_state::IsPlaced(const run_ref& aRun, worker_number aWorker) const
{
  const task_record* task = FindTask(aRun.mTask);
  return task != nullptr && IsRunPlaced(*task, aRun.mAttempt, aWorker);
}

const std::set<run_ref>&
flow_state::RunsAt(worker_number aWorker) const
{
  static const std::set<run_ref> sNone;
  const auto found = mPlaced.find(aWorker);
  return found == mPlaced.end() ? sNone : found->second.mRuns;
}

void
flow_state::placed_runs::Add(const run_ref& aRun, const step_spec& aStep)
{
  mRuns.insert(aRun);
  mAmounts.mBooked += aStep.Booked();
  mAmounts.mLatencySensitive += aStep.mTailLatencyTargetMs > 0 ? 1 : 0;
  mAmounts.mBestEffort += aStep.mBestEffort ? 1 : 0;
  mAmounts.mLongRunning += aStep.mLongRunning || aStep.mGang ? 1 : 0;
}

void
flow_state::placed_runs::Remove(const run_ref& aRun, const step_spec& aStep)
{
  mRuns.erase(aRun);
  mAmounts.mBooked -= aStep.Booked();
  mAmounts.mLatencySensitive -= aStep.mTailLatencyTargetMs > 0 ? 1 : 0;
  mAmounts.mBestEffort -= aStep.mBestEffort ? 1 : 0;
  mAmounts.mLongRunning -= aStep.mLongRunning || aStep.mGang ? 1 : 0;
}

placed_totals
flow_state::TotalsAt(worker_number aWorker) const
{
  const auto found = mPlaced.find(aWorker);
  return found == mPlaced.end() ? placed_totals{} : found->second.mAmounts;
}

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

const queue_row&
flow_state::QueueOf(const job_record& aJob) const
{
  const auto found = mQueueIndexes.find(aJob.mQueue.mName);
  return found == mQueueIndexes.end() ? aJob.mQueue
                                      : mTable.mQueues[found->second];
}

std::uint32_t
flow_state::MaxAttempts(const job_record& aJob) const
{
  return std::max(QueueOf(aJob).mMaxAttempts, 1U);
}

apply_outcome
flow_state::On(const put_table& aPut, std::int64_t /*aWallMs*/)
{
  PutTable(aPut, std::nullopt);
  return {};
}

void
flow_state::PutTable(const put_table& aPut, std::optional<access_rules> aAccess)
{
  // A version that is not higher changes nothing and is no error: it may be a
  // retry, or a later change may have overtaken it.
  if (aPut.mTable.mVersion <= mTable.mVersion) {
    return;
  }
  mTable = aPut.mTable;
  mTableSource = aPut.mSource;
  KeepFormerOrganisations(aAccess);
  mAccess = std::move(aAccess);
  IndexQueues();
  IndexAccess();
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
  if (job.mSpec.mRecurrence.mRepeatCount == 0) {
    OpenOccurrence(job, 0, aWallMs);
  }
  const auto placed = mJobs.emplace(aSubmit.mId, std::move(job)).first;
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
  const auto found = mJobs.find(ref.mJob);
  const worker_record* worker = FindWorker(aStart.mWorker);
  if (found == mJobs.end() || !found->second.IsActive() || worker == nullptr ||
      worker->mDraining || mCrashes.HasCrashed(aStart.mWorker)) {
    return false;
  }
  job_record& job = found->second;
  task_record* task = Task(job, ref);
  if (task == nullptr || task->mPhase != task_phase::Waiting ||
      aStart.mRun.mAttempt <= task->mAttempt) {
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
  mPlaced[aStart.mWorker].Add(aStart.mRun, step);
  return true;
}

void
flow_state::Release(const run_ref& aRun, worker_number aWorker)
{
  job_record& job = mJobs.at(aRun.mTask.mJob);
  task_record* task = Task(job, aRun.mTask);
  const step_record& step =
    job.mOccurrences.at(aRun.mTask.mOccurrence).mSteps[aRun.mTask.mStep];
  task->mPhase = step.IsDone() ? task_phase::Done : task_phase::Waiting;
  task->mWorker = 0;
  --job.mPlacedRuns;
  const auto placed = mPlaced.find(aWorker);
  placed->second.Remove(aRun, job.mSpec.mSteps[aRun.mTask.mStep]);
  if (placed->second.mRuns.empty()) {
    mPlaced.erase(placed);
  }
  if (organisations::quota_account* account = AccountOf(job)) {
    account->Remove(job.mSpec.mSteps[aRun.mTask.mStep].mSize);
  }
  UpdateLive(aRun.mTask.mJob, job);
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
  job_record& job = mJobs.at(ref.mJob);
  Release(aEnd.mRun, aWorker);
  step_record& step = job.mOccurrences.at(ref.mOccurrence).mSteps[ref.mStep];
  if (job.IsActive() && !step.IsDone()) {
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
    aStep.mTasks[aRun.mTask.mIndex].mPhase = task_phase::Done;
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
flow_state::On(const record_worker_return& aReturn, std::int64_t /*aWallMs*/)
{
  mCrashes.OnWorkerReturn(aReturn.mWorker);
  return {};
}

apply_outcome
flow_state::On(const record_worker_crash& aCrash, std::int64_t aWallMs)
{
  if (FindWorker(aCrash.mWorker) == nullptr) {
    return Refuse(error_code::NotFound, "the worker has gone");
  }
  apply_outcome outcome;
  for (const task_ref& task :
       mCrashes.OnCrash(aCrash.mWorker, RunsAt(aCrash.mWorker), aCrash)) {
    FailJobIfCrashing(task, aWallMs, outcome);
  }
  return outcome;
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
  job_record& job = mJobs.at(aTask.mJob);
  if (job.IsActive()) {
    aOutcome.mAbandonedTasks.push_back(aTask);
    EndJob(aTask.mJob, job, job_state::Failed, aWallMs, aOutcome);
  }
}

apply_outcome
flow_state::On(const register_worker& aWorker, std::int64_t /*aWallMs*/)
{
  apply_outcome outcome;
  worker_number number = NumberOf(aWorker.mDescription.mId);
  const std::int64_t knownStartMs =
    number == 0 ? 0 : mWorkers.at(number).mDescription.mProcessStartMs;
  if (aWorker.mDescription.mProcessStartMs < knownStartMs) {
    return Refuse(error_code::Conflict, "an earlier life of the worker");
  }
  // Each incarnation needs a number of its own. Otherwise its ends would be
  // compared with the cursor of the previous incarnation and be skipped, and
  // their tasks would start again or never. A new number also resets all that
  // is kept of a worker, and commands for the previous incarnation that are
  // still in flight have no effect.
  if (number == 0 || aWorker.mDescription.mProcessStartMs > knownStartMs) {
    outcome.mPreviousIncarnation = std::exchange(number, ++mLastWorker);
    mNumbers[aWorker.mDescription.mId] = number;
  }
  worker_record& record = mWorkers[number];
  record.mDescription = aWorker.mDescription;
  record.mDraining = record.mDraining || aWorker.mDraining;
  if (outcome.mPreviousIncarnation != 0) {
    MoveRuns(outcome.mPreviousIncarnation, number);
    mWorkers.erase(outcome.mPreviousIncarnation);
    mCrashes.ForgetWorker(outcome.mPreviousIncarnation);
  }
  return outcome;
}

// If the runs were released instead, a task could start elsewhere while the new
// process executes a start order that was in flight to the previous one.
void
flow_state::MoveRuns(worker_number aFrom, worker_number aTo)
{
  auto placed = mPlaced.extract(aFrom);
  if (placed.empty()) {
    return;
  }
  for (const run_ref& run : placed.mapped().mRuns) {
    Task(mJobs.at(run.mTask.mJob), run.mTask)->mWorker = aTo;
  }
  placed.key() = aTo;
  mPlaced.insert(std::move(placed));
}

apply_outcome
flow_state::On(const remove_worker& aWorker, std::int64_t aWallMs)
{
  const auto found = mWorkers.find(aWorker.mWorker);
  if (found == mWorkers.end()) {
    return {};
  }
  apply_outcome outcome;
  if (!found->second.mDraining) {
    for (const task_ref& task : mCrashes.OnWorkerRemoved(aWorker.mWorker)) {
      FailJobIfCrashing(task, aWallMs, outcome);
    }
  }
  const std::set<run_ref> runs = RunsAt(aWorker.mWorker);
  for (const run_ref& run : runs) {
    Release(run, aWorker.mWorker);
  }
  mNumbers.erase(found->second.mDescription.mId);
  mWorkers.erase(found);
  mCrashes.ForgetWorker(aWorker.mWorker);
  return outcome;
}

apply_outcome
flow_state::On(const forget_jobs& aForget, std::int64_t /*aWallMs*/)
{
  for (const job_id& id : aForget.mJobs) {
    const auto found = mJobs.find(id);
    if (found != mJobs.end() && !mLive.contains(id)) {
      mJobs.erase(found);
      mCrashes.ForgetJob(id);
    }
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
      found == mJobs.end() ? nullptr : Task(found->second, ref);
    if (task != nullptr && task->mPhase == task_phase::Placed &&
        task->mAttempt == saved.mRun.mAttempt) {
      job_record& job = found->second;
      SetCheckpoint(*task,
                    job.mOccurrences.at(ref.mOccurrence).mSteps[ref.mStep],
                    job.mSpec.mSteps[ref.mStep],
                    saved.mCheckpoint);
    }
  }
  return {};
}

bytes
flow_state::Save() const
{
  saved_state saved{
    { mTable, mTableSource, mJobs, mWorkers, mLastWorker, mCrashes },
    mAccess,
    mFormer,
    {}
  };
  for (const auto& [id, job] : mJobs) {
    if (!job.mOwner.Value().empty()) {
      saved.mOwners.emplace(id, job.mOwner);
    }
  }
  return Encode(saved);
}

result<void>
flow_state::Restore(std::string_view aBytes)
{
  auto read = ReadSnapshot(aBytes);
  if (!read) {
    return Fail(read.error());
  }
  saved_state_without_access& state = read->mState;
  mTable = std::move(state.mTable);
  mTableSource = std::move(state.mTableSource);
  mJobs = std::move(state.mJobs);
  mWorkers = std::move(state.mWorkers);
  mLastWorker = state.mLastWorker;
  mCrashes = std::move(state.mCrashes);
  mAccess = std::move(read->mAccess);
  mFormer = std::move(read->mFormer);
  for (const auto& [id, owner] : read->mOwners) {
    mJobs.at(id).mOwner = owner;
  }
  RebuildIndexes();
  return {};
}

void
flow_state::RebuildIndexes()
{
  mLive.clear();
  mNumbers.clear();
  mPlaced.clear();
  mAccounts.clear();
  IndexQueues();
  IndexAccess();
  for (const auto& [number, worker] : mWorkers) {
    mNumbers[worker.mDescription.mId] = number;
  }
  for (const auto& [id, job] : mJobs) {
    UpdateLive(id, job);
    organisations::quota_account* account = AccountOf(mJobs.at(id));
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
        IndexPlacedTasks(
          { id, number, step, 0 }, job, occurrence.mSteps[step], account);
      }
    }
  }
}

// The index makes lookups fast: a table may have hundreds of queues, and every
// plan looks up the queue of each open job.
void
flow_state::IndexQueues()
{
  mQueueIndexes.clear();
  for (std::size_t index = 0; index < mTable.mQueues.size(); ++index) {
    mQueueIndexes[mTable.mQueues[index].mName] = index;
  }
}

void
flow_state::IndexPlacedTasks(task_ref aFirst,
                             const job_record& aJob,
                             const step_record& aStep,
                             organisations::quota_account* aAccount)
{
  for (const task_record& task : aStep.mTasks) {
    if (task.mPhase == task_phase::Placed) {
      if (aAccount != nullptr) {
        aAccount->Add(aJob.mSpec.mSteps[aFirst.mStep].mSize);
      }
      mPlaced[task.mWorker].Add({ aFirst, task.mAttempt },
                                aJob.mSpec.mSteps[aFirst.mStep]);
    }
    ++aFirst.mIndex;
  }
}

} // namespace oriolewalk::flow
