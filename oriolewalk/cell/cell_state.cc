#include "oriolewalk/cell/cell_state.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

apply_outcome
cell_state::Apply(const cell_command& aCommand, std::int64_t aCommittedWallMs)
{
  // The wall clocks of successive leaders differ. A backward step would extend
  // backoffs and retention periods, so the clock never decreases.
  mClockMs = std::max(mClockMs, aCommittedWallMs);
  apply_outcome outcome;
  std::visit([&](const auto& aCase) { Do(aCase, outcome); }, aCommand);
  return outcome;
}

const job_record*
cell_state::FindJob(job_number aJob) const
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

job_record*
cell_state::Job(job_number aJob)
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

const task_record*
cell_state::FindTask(const task_id& aTask) const
{
  const job_record* job = FindJob(aTask.mJob);
  if (job == nullptr || aTask.mIndex >= job->mTasks.size()) {
    return nullptr;
  }
  return &job->mTasks[aTask.mIndex];
}

std::optional<worker_slot>
cell_state::FindSlot(const worker_id& aWorker) const
{
  const auto found = mSlots.find(aWorker);
  return found == mSlots.end() ? std::nullopt : std::optional(found->second);
}

const worker_record*
cell_state::FindWorker(const worker_id& aWorker) const
{
  const auto slot = FindSlot(aWorker);
  return slot ? &mWorkers[*slot] : nullptr;
}

std::optional<job_number>
cell_state::FindKey(const organisation_id& aOrganisation,
                    const request_key& aKey) const
{
  const auto found = mKeys.find({ aOrganisation, aKey });
  return found == mKeys.end() ? std::nullopt : std::optional(found->second);
}

void
cell_state::Do(const quotas_changed& aCommand, apply_outcome& aOutcome)
{
  mQuotas = aCommand.mQuotas;
  for (organisation_record& organisation : mOrganisations) {
    const auto found = mQuotas.find(organisation.mId);
    organisation.mQuota =
      found == mQuotas.end() ? std::nullopt : std::optional(found->second);
  }
  aOutcome.mChanged = true;
}

organisation_slot
cell_state::FindOrAddOrganisation(const organisation_id& aOrganisation)
{
  const auto next = static_cast<organisation_slot>(mOrganisations.size());
  const auto [found, isNew] =
    mOrganisationSlots.try_emplace(aOrganisation, next);
  if (isNew) {
    organisation_record& record = mOrganisations.emplace_back();
    record.mId = aOrganisation;
    if (const auto quota = mQuotas.find(aOrganisation);
        quota != mQuotas.end()) {
      record.mQuota = quota->second;
    }
  }
  return found->second;
}

void
cell_state::Rebuild()
{
  mSlots.clear();
  mKeys.clear();
  mOrganisations.clear();
  mOrganisationSlots.clear();
  mFinished.clear();
  std::ranges::for_each(mWaiting, [](auto& aSet) { aSet.clear(); });
  mCapacity = {};
  mRecords = 0;
  for (std::size_t slot = 0; slot < mWorkers.size(); ++slot) {
    worker_record& worker = mWorkers[slot];
    worker.mBooked = {};
    worker.mTasks.clear();
    if (worker.mKnown) {
      mSlots.emplace(worker.mId, static_cast<worker_slot>(slot));
    }
    if (worker.mKnown && worker.mPresent) {
      mCapacity += worker.mCapacity;
    }
  }
  for (auto& [number, job] : mJobs) {
    Recount(job);
  }
}

void
cell_state::Recount(job_record& aJob)
{
  mKeys.emplace(std::pair(aJob.mSpec.mOrganisation, aJob.mKey), aJob.mNumber);
  mRecords += aJob.Records();
  aJob.mOrganisation = FindOrAddOrganisation(aJob.mSpec.mOrganisation);
  if (aJob.mFinishedMs != 0) {
    mFinished.emplace(aJob.mFinishedMs, aJob.mNumber);
  }
  aJob.mWaiting = 0;
  aJob.mPlaced = 0;
  aJob.mFirstWaiting = 0;
  for (std::size_t at = 0; at < aJob.mTasks.size(); ++at) {
    task_record& task = aJob.mTasks[at];
    aJob.mWaiting += task.mState == task_state::Waiting ? 1 : 0;
    if (task.mState == task_state::Placed) {
      ++aJob.mPlaced;
      Book(aJob, task, 1);
      mWorkers.at(task.mWorker)
        .mTasks.insert({ aJob.mNumber, static_cast<std::uint32_t>(at) });
    }
  }
  UpdateWaiting(aJob);
}

void
cell_state::UpdateWaiting(job_record& aJob)
{
  const auto at = static_cast<std::size_t>(aJob.mSpec.mClass);
  auto& jobs = mOrganisations[aJob.mOrganisation].mWaiting.at(at);
  const bool hasWaitingTasks = aJob.mWaiting > 0 && !aJob.mCancelled &&
                               !aJob.mGangBroken && aJob.mFinishedMs == 0;
  if (hasWaitingTasks) {
    jobs.insert(aJob.mNumber);
  } else {
    jobs.erase(aJob.mNumber);
  }
  if (jobs.empty()) {
    mWaiting.at(at).erase(aJob.mOrganisation);
  } else {
    mWaiting.at(at).insert(aJob.mOrganisation);
  }
}

} // namespace oriolewalk::cell
