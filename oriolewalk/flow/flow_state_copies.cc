// Copies of tasks in the replicated state. A task of a step that allows copies
// may have two runs in progress on two workers. The first one that ends as done
// makes the task done; the other one's capacity stays booked until its own end
// is reported or it is dropped.

#include <algorithm>
#include <iterator>

#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

attempt_t
flow_state::LastAttempt(const task_ref& aTask) const
{
  const task_record* task = FindTask(aTask);
  const auto copy = mCopies.find(aTask);
  return std::max(task == nullptr ? 0 : task->mAttempt,
                  copy == mCopies.end() ? 0 : copy->second.mLastAttempt);
}

const copy_record*
flow_state::FindPlacedCopy(const task_ref& aTask) const
{
  const auto found = mCopies.find(aTask);
  return found == mCopies.end() || !found->second.IsPlaced() ? nullptr
                                                             : &found->second;
}

copy_record*
flow_state::FindPlacedCopyRecord(const run_ref& aRun)
{
  const auto found = mCopies.find(aRun.mTask);
  return found != mCopies.end() && found->second.IsPlaced() &&
             found->second.mAttempt == aRun.mAttempt
           ? &found->second
           : nullptr;
}

apply_outcome
flow_state::On(const start_copies& aStart, std::int64_t /*aWallMs*/)
{
  apply_outcome outcome;
  std::ranges::copy_if(aStart.mRuns,
                       std::back_inserter(outcome.mStarted),
                       [&](const run_start& aOne) { return StartCopy(aOne); });
  return outcome;
}

bool
flow_state::StartCopy(const run_start& aStart)
{
  const task_ref& ref = aStart.mRun.mTask;
  const auto found = mJobs.find(ref.mJob);
  const worker_record* worker = FindWorker(aStart.mWorker);
  if (found == mJobs.end() || !found->second.IsActive() || worker == nullptr ||
      worker->mDraining || mCrashes.HasCrashed(aStart.mWorker)) {
    return false;
  }
  job_record& job = found->second;
  const task_record* task = FindTaskRecord(job, ref);
  if (task == nullptr || task->mPhase != task_phase::Placed ||
      task->mWorker == aStart.mWorker || FindPlacedCopy(ref) != nullptr ||
      aStart.mRun.mAttempt <= LastAttempt(ref)) {
    return false;
  }
  const step_spec& step = job.mSpec.mSteps[ref.mStep];
  organisations::quota_account* account = AccountOf(job);
  if (!step.MayHaveCopies() ||
      (account != nullptr && !account->MayStart(step.mSize))) {
    return false;
  }
  if (account != nullptr) {
    account->Add(step.mSize);
  }
  mCopies[ref] = { aStart.mRun.mAttempt, aStart.mRun.mAttempt, aStart.mWorker };
  ++job.mPlacedRuns;
  AddPlaced(aStart.mWorker, aStart.mRun, step);
  return true;
}

bool
flow_state::ReleaseOneOfTwo(const run_ref& aRun,
                            worker_number aWorker,
                            task_record& aTask)
{
  const auto found = mCopies.find(aRun.mTask);
  if (found == mCopies.end() || !found->second.IsPlaced()) {
    return false;
  }
  copy_record& copy = found->second;
  if (IsRunPlaced(aTask, aRun.mAttempt, aWorker)) {
    aTask.mAttempt = copy.mAttempt;
    aTask.mWorker = copy.mWorker;
  }
  copy.mAttempt = 0;
  copy.mWorker = 0;
  return true;
}

void
flow_state::SetOvertaken(const task_ref& aTask, task_record& aRecord)
{
  if (aRecord.mPhase == task_phase::Placed) {
    copy_record& copy = mCopies.at(aTask);
    copy.mAttempt = aRecord.mAttempt;
    copy.mWorker = aRecord.mWorker;
  }
  aRecord.mPhase = task_phase::Done;
  aRecord.mWorker = 0;
  ForgetCopyIfOver(aTask);
}

void
flow_state::ForgetCopyIfOver(const task_ref& aTask)
{
  const auto found = mCopies.find(aTask);
  if (found == mCopies.end() || found->second.IsPlaced()) {
    return;
  }
  if (!FindJob(aTask.mJob)->IsActive() ||
      FindTask(aTask)->mPhase == task_phase::Done) {
    mCopies.erase(found);
  }
}

void
flow_state::ForgetCopies(const job_id& aJob)
{
  for (auto next = mCopies.lower_bound({ aJob, 0, 0, 0 });
       next != mCopies.end() && next->first.mJob == aJob;) {
    next = next->second.IsPlaced() ? std::next(next) : mCopies.erase(next);
  }
}

void
flow_state::IndexPlacedCopies()
{
  for (const auto& [ref, copy] : mCopies) {
    if (!copy.IsPlaced()) {
      continue;
    }
    const job_record& job = mJobs.at(ref.mJob);
    const step_spec& step = job.mSpec.mSteps[ref.mStep];
    if (organisations::quota_account* account = AccountOf(job)) {
      account->Add(step.mSize);
    }
    AddPlaced(copy.mWorker, { ref, copy.mAttempt }, step);
  }
}

} // namespace oriolewalk::flow
