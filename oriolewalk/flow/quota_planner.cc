#include "oriolewalk/flow/quota_planner.h"

namespace oriolewalk::flow {

quota_planner::quota_planner(const flow_state& aState,
                             const std::map<task_ref, worker_number>& aProposed)
  : mState(aState)
{
  if (mState.Accounts().empty()) {
    return;
  }
  for (const auto& [task, worker] : aProposed) {
    const job_record* job = mState.FindJob(task.mJob);
    const step_spec* step = mState.FindStep(task);
    if (job != nullptr && step != nullptr) {
      Hold(*job, *step, 1);
    }
  }
}

organisations::quota_account*
quota_planner::AccountOf(const job_record& aJob)
{
  if (aJob.mOwner.Value().empty()) {
    return nullptr;
  }
  const auto [found, isNew] = mAccounts.try_emplace(aJob.mOwner);
  if (isNew) {
    if (const auto known = mState.Accounts().find(aJob.mOwner);
        known != mState.Accounts().end()) {
      found->second = known->second;
    }
  }
  return &found->second;
}

std::size_t
quota_planner::Startable(const job_record& aJob,
                         const step_spec& aStep,
                         std::size_t aWaiting)
{
  organisations::quota_account* account = AccountOf(aJob);
  if (account == nullptr) {
    return aWaiting;
  }
  if (mHeld.contains(aJob.mOwner)) {
    return 0;
  }
  const std::size_t startable = account->StartableTasks(aStep.mSize, aWaiting);
  return aStep.mGang && startable < aWaiting ? 0 : startable;
}

bool
quota_planner::IsExhausted(const job_record& aJob, const step_spec& aStep)
{
  organisations::quota_account* account = AccountOf(aJob);
  return account != nullptr && !account->MayStart(aStep.mSize);
}

bool
quota_planner::IsOversize(const job_record& aJob, const step_spec& aStep)
{
  const organisations::quota_account* account = AccountOf(aJob);
  return account != nullptr && account->IsOversize(aStep.mSize);
}

void
quota_planner::Hold(const job_record& aJob,
                    const step_spec& aStep,
                    std::size_t aTasks)
{
  if (organisations::quota_account* account = AccountOf(aJob)) {
    for (std::size_t task = 0; task < aTasks; ++task) {
      account->Add(aStep.mSize);
    }
  }
}

void
quota_planner::HoldForWhole(const job_record& aJob,
                            const step_spec& aStep,
                            std::size_t aTasks)
{
  const organisations::quota_account* account = AccountOf(aJob);
  if (account == nullptr) {
    return;
  }
  const organisations::quota_account empty{ .mMaximum = account->mMaximum };
  const std::size_t needed = aStep.mGang ? aTasks : 1;
  if (empty.StartableTasks(aStep.mSize, needed) == needed) {
    mHeld.insert(aJob.mOwner);
  }
}

} // namespace oriolewalk::flow
