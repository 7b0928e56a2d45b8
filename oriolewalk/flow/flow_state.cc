// The table, the lookups, the snapshots and the indexes of the replicated
// state. The commands are in flow_state_jobs.cc, flow_state_runs.cc,
// flow_state_workers.cc, flow_state_organisations.cc, flow_state_copies.cc and
// flow_state_waves.cc.

#include "oriolewalk/flow/flow_state.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

namespace {

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

// The format of snapshots with organisations.
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

// The format of snapshots with copies of tasks or waves of upkeep.
struct saved_state_with_additions
{
  saved_state mState;
  std::map<task_ref, copy_record> mCopies;
  std::map<std::uint64_t, machines::wave_record> mWaves;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mState, mCopies, mWaves);
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

// Reads a snapshot of this or an earlier version.
result<saved_state_with_additions>
ReadSnapshot(std::string_view aBytes)
{
  constexpr std::string_view kWhat = "restoring the workflow state";
  auto read = Decode<saved_state_with_additions>(aBytes, kWhat);
  if (read) {
    return read;
  }
  saved_state_with_additions made;
  if (auto plain = Decode<saved_state>(aBytes, kWhat)) {
    made.mState = std::move(*plain);
    return made;
  }
  if (auto older = Decode<saved_state_without_access>(aBytes, kWhat)) {
    made.mState.mState = std::move(*older);
    return made;
  }
  if (auto oldest = Decode<saved_state_without_crashes>(aBytes, kWhat)) {
    made.mState.mState = std::move(oldest->mState);
    return made;
  }
  return read;
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
  return FindJobRecord(aId);
}

job_record*
flow_state::FindJobRecord(const job_id& aId) const
{
  const auto found = mJobIndex.find(aId);
  return found == mJobIndex.end() ? nullptr : found->second;
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
  job_record* job = FindJobRecord(aTask.mJob);
  return job == nullptr ? nullptr : FindTaskRecord(*job, aTask);
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
  if (task != nullptr && IsRunPlaced(*task, aRun.mAttempt, aWorker)) {
    return true;
  }
  const copy_record* copy = FindPlacedCopy(aRun.mTask);
  return copy != nullptr && copy->mAttempt == aRun.mAttempt &&
         copy->mWorker == aWorker;
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

const queue_row&
flow_state::QueueOf(const job_record& aJob) const
{
  const auto found = mQueueIndexes.find(aJob.mQueue.mName);
  return found == mQueueIndexes.end() ? aJob.mQueue
                                      : mTable.mQueues[found->second];
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
  // A process of an earlier version may receive the snapshot.
  if (!mCopies.empty() || !mWaves.empty()) {
    return Encode(
      saved_state_with_additions{ std::move(saved), mCopies, mWaves });
  }
  const bool hasOrganisations =
    saved.mAccess || !saved.mFormer.empty() || !saved.mOwners.empty();
  return hasOrganisations ? Encode(saved) : Encode(saved.mState);
}

result<void>
flow_state::Restore(std::string_view aBytes)
{
  auto read = ReadSnapshot(aBytes);
  if (!read) {
    return Fail(read.error());
  }
  saved_state& saved = read->mState;
  saved_state_without_access& state = saved.mState;
  mTable = std::move(state.mTable);
  mTableSource = std::move(state.mTableSource);
  mJobs = std::move(state.mJobs);
  mWorkers = std::move(state.mWorkers);
  mLastWorker = state.mLastWorker;
  mCrashes = std::move(state.mCrashes);
  mAccess = std::move(saved.mAccess);
  mFormer = std::move(saved.mFormer);
  mCopies = std::move(read->mCopies);
  mWaves = std::move(read->mWaves);
  for (const auto& [id, owner] : saved.mOwners) {
    mJobs.at(id).mOwner = owner;
  }
  RebuildIndexes();
  return {};
}

void
flow_state::RebuildIndexes()
{
  mJobIndex.clear();
  mLive.clear();
  mJobBytes = 0;
  mNumbers.clear();
  mPlaced.clear();
  mBestEffort.clear();
  mAccounts.clear();
  IndexQueues();
  IndexAccess();
  for (const auto& [number, worker] : mWorkers) {
    mNumbers[worker.mDescription.mId] = number;
  }
  for (auto& [id, job] : mJobs) {
    mJobIndex.emplace(id, &job);
    mJobBytes += job.Bytes();
    UpdateLive(id, job);
    organisations::quota_account* account = AccountOf(job);
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
        IndexPlacedTasks(
          { id, number, step, 0 }, job, occurrence.mSteps[step], account);
      }
    }
  }
  IndexPlacedCopies();
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
      AddPlaced(task.mWorker,
                { aFirst, task.mAttempt },
                aJob.mSpec.mSteps[aFirst.mStep]);
    }
    ++aFirst.mIndex;
  }
}

} // namespace oriolewalk::flow
