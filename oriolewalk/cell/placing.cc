// Where a task goes.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

std::optional<worker_slot>
ChooseWorker(plan_context& aPlan, const job_record& aJob)
{
  soft_state& soft = aPlan.mSoft;
  const resources& size = aJob.mSpec.mEach;
  if (soft.IsKnownToLackRoom(size)) {
    return std::nullopt;
  }
  const auto accept = [](worker_slot) { return true; };
  const auto found =
    soft.mIndex.Find(soft.mOptions.mPacking, size, accept, soft.mRandom);
  if (!found) {
    soft.NoteNoRoom(size);
  }
  return found;
}

void
ProposeStart(plan_context& aPlan,
             const job_record& aJob,
             std::uint32_t aIndex,
             worker_slot aSlot)
{
  const worker_record& worker = aPlan.mState.Workers()[aSlot];
  const task_id task{ aJob.mNumber, aIndex };
  aPlan.mStarts.mPlacements.push_back(
    { task, aJob.mTasks[aIndex].mAttempt + 1, worker.mId, worker.mBoot });
  aPlan.mSoft.AddStart(aPlan.mState,
                       task,
                       { aSlot, aJob.mOrganisation, aJob.mSpec.mEach },
                       aPlan.mNow.mNow);
}

// All or none: a gang that held some of its places while it waits for the
// others could wait for a second gang that does the same, for ever.
start_result
TryStartGang(plan_context& aPlan, const job_record& aJob)
{
  const std::size_t before = aPlan.mStarts.mPlacements.size();
  for (std::uint32_t at = aJob.mFirstWaiting; at < aJob.mTasks.size(); ++at) {
    if (aJob.mTasks[at].mState != task_state::Waiting) {
      continue;
    }
    const auto slot = ChooseWorker(aPlan, aJob);
    if (slot) {
      ProposeStart(aPlan, aJob, at, *slot);
      continue;
    }
    while (aPlan.mStarts.mPlacements.size() > before) {
      aPlan.mSoft.ClearStart(
        aPlan.mState, aPlan.mStarts.mPlacements.back().mTask, aPlan.mNow.mNow);
      aPlan.mStarts.mPlacements.pop_back();
    }
    return start_result::NoRoom;
  }
  return start_result::Started;
}

} // namespace

start_result
TryStart(plan_context& aPlan, const job_record& aJob, std::uint32_t aIndex)
{
  const bool gang = aJob.mSpec.mKind == job_kind::Gang;
  const resources needed = aJob.mSpec.mEach * (gang ? aJob.mWaiting : 1);
  if (!aPlan.mSoft.QuotaAllows(aPlan.mState, aJob.mOrganisation, needed)) {
    return start_result::NoQuota;
  }
  if (gang) {
    return TryStartGang(aPlan, aJob);
  }
  const auto slot = ChooseWorker(aPlan, aJob);
  if (!slot) {
    return start_result::NoRoom;
  }
  ProposeStart(aPlan, aJob, aIndex, *slot);
  return start_result::Started;
}

} // namespace oriolewalk::cell
