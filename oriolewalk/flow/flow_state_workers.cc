// Workers in the replicated state: their incarnations, crashes and ends.

#include <algorithm>
#include <utility>

#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

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
    if (copy_record* copy = FindPlacedCopyRecord(run)) {
      copy->mWorker = aTo;
    } else {
      FindTaskRecord(mJobs.at(run.mTask.mJob), run.mTask)->mWorker = aTo;
    }
  }
  if (mBestEffort.erase(aFrom) != 0) {
    mBestEffort.insert(aTo);
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

} // namespace oriolewalk::flow
