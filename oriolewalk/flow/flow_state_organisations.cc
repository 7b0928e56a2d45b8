// The part of the state that deals with organisations: who may use which queue,
// and what each has running against its maximum.

#include <algorithm>
#include <utility>

#include "oriolewalk/flow/flow_state.h"

namespace oriolewalk::flow {

apply_outcome
flow_state::On(const put_table_with_access& aPut, std::int64_t /*aWallMs*/)
{
  PutTable(aPut.mPut, aPut.mAccess);
  return {};
}

apply_outcome
flow_state::On(const submit_owned_job& aSubmit, std::int64_t aWallMs)
{
  return Submit(aSubmit.mSubmit, aSubmit.mOwner, aWallMs);
}

bool
flow_state::IsPublic(const queue_row& aQueue) const
{
  return !mAccess || mPublicQueues.contains(aQueue.mName);
}

const organisations::organisation_row*
flow_state::FindOrganisation(const organisation_id& aName) const
{
  if (const auto found = mOrganisationIndexes.find(aName);
      found != mOrganisationIndexes.end()) {
    return &mAccess->mOrganisations[found->second];
  }
  const auto former = mFormer.find(aName);
  return former == mFormer.end() ? nullptr : &former->second;
}

void
flow_state::KeepFormerOrganisations(const std::optional<access_rules>& aNext)
{
  if (mAccess) {
    for (organisations::organisation_row row : mAccess->mOrganisations) {
      row.mKeys.clear();
      mFormer.insert_or_assign(row.mName, std::move(row));
    }
  }
  if (aNext) {
    for (const organisations::organisation_row& row : aNext->mOrganisations) {
      mFormer.erase(row.mName);
    }
  }
  if (mFormer.empty()) {
    return;
  }
  std::set<organisation_id> owners;
  for (const auto& [id, job] : mJobs) {
    owners.insert(job.mOwner);
  }
  std::erase_if(mFormer, [&](const auto& aEntry) {
    return !owners.contains(aEntry.first);
  });
}

void
flow_state::IndexAccess()
{
  static const std::vector<organisations::organisation_row> sNone;
  const auto& rows = mAccess ? mAccess->mOrganisations : sNone;
  mKeys.Update(rows);
  mPublicQueues.clear();
  if (mAccess) {
    mPublicQueues.insert(mAccess->mPublicQueues.begin(),
                         mAccess->mPublicQueues.end());
  }
  mOrganisationIndexes.clear();
  for (std::size_t index = 0; index < rows.size(); ++index) {
    mOrganisationIndexes[rows[index].mName] = index;
    mAccounts[rows[index].mName].mMaximum = rows[index].mMaximum;
  }
  for (const auto& [name, row] : mFormer) {
    mAccounts[name].mMaximum = row.mMaximum;
  }
  std::erase_if(mAccounts, [this](const auto& aEntry) {
    return FindOrganisation(aEntry.first) == nullptr &&
           aEntry.second.mTasks == 0;
  });
}

organisations::quota_account*
flow_state::AccountOf(const job_record& aJob)
{
  return aJob.mOwner.Value().empty() ? nullptr : &mAccounts[aJob.mOwner];
}

std::set<task_ref>
flow_state::GangsBeyondQuota(const start_runs& aStart) const
{
  std::map<task_ref, std::size_t> members; // by the gang's first task
  for (const run_start& start : aStart.mRuns) {
    const task_ref& task = start.mRun.mTask;
    const step_spec* step = FindStep(task);
    if (step != nullptr && step->mGang) {
      ++members[{ task.mJob, task.mOccurrence, task.mStep, 0 }];
    }
  }
  std::set<task_ref> beyond;
  for (const auto& [first, count] : members) {
    const auto account = mAccounts.find(FindJob(first.mJob)->mOwner);
    if (account != mAccounts.end() &&
        account->second.StartableTasks(FindStep(first)->mSize, count) < count) {
      beyond.insert(first);
    }
  }
  return beyond;
}

} // namespace oriolewalk::flow
