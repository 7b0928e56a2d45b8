#include "oriolewalk/cell/soft_state.h"

#include <algorithm>
#include <cstddef>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

// Bounds the remembered requests; a cell has fewer common sizes.
constexpr std::size_t kMaxUnplaced = 32;
constexpr double kMinWeight = 1e-6;

} // namespace

bool
soft_state::MayTakeWork(const cell_state& aState,
                        worker_slot aSlot,
                        time_point aNow) const
{
  const worker_view& view = mWorkers[aSlot];
  return aState.Workers()[aSlot].TakesWork() && view.mHasContact &&
         !view.mLossProposed && aNow - view.mLastContact <= mOptions.mQuiet &&
         mHealth.Standing(aSlot, aNow) != worker_standing::Out;
}

void
soft_state::Refresh(const cell_state& aState,
                    worker_slot aSlot,
                    time_point aNow)
{
  if (aSlot >= mWorkers.size()) {
    mWorkers.resize(aState.Workers().size());
  }
  const worker_record& worker = aState.Workers()[aSlot];
  if (mWorkers[aSlot].mId != worker.mId) {
    const worker_view& former = mWorkers[aSlot];
    mRacks[former.mDataCentre][former.mRack].erase(aSlot);
    mWorkers[aSlot] = {};
    mWorkers[aSlot].mId = worker.mId;
    mWorkers[aSlot].mLastContact = aNow;
    mHealth.Reset(aSlot);
  }
  worker_view& view = mWorkers[aSlot];
  if (view.mRack != worker.mRack || view.mDataCentre != worker.mDataCentre) {
    mRacks[view.mDataCentre][view.mRack].erase(aSlot);
    view.mRack = worker.mRack;
    view.mDataCentre = worker.mDataCentre;
  }
  mRacks[view.mDataCentre][view.mRack].insert(aSlot);
  if (!MayTakeWork(aState, aSlot, aNow)) {
    mIndex.Erase(aSlot);
    return;
  }
  if (mIndex.Set(aSlot, Free(aState, aSlot), worker.mCapacity)) {
    mUnplaced.clear();
  }
}

void
soft_state::RefreshAll(const cell_state& aState, time_point aNow)
{
  for (worker_slot slot = 0; slot < aState.Workers().size(); ++slot) {
    Refresh(aState, slot, aNow);
  }
}

void
soft_state::ReadPolicy(const cell_state& aState, const cell_policy& aPolicy)
{
  const auto organisations = aState.Organisations();
  mOrganisationInFlight.resize(organisations.size());
  if (!mPolicyRead || mPolicyVersion != aPolicy.mVersion) {
    mWeights.clear();
    mPolicyRead = true;
    mPolicyVersion = aPolicy.mVersion;
  }
  for (std::size_t at = mWeights.size(); at < organisations.size(); ++at) {
    const auto found = aPolicy.mWeights.find(organisations[at].mId);
    mWeights.push_back(found == aPolicy.mWeights.end()
                         ? 1.0
                         : std::max(kMinWeight, found->second));
  }
}

double
soft_state::ShareOf(const cell_state& aState,
                    organisation_slot aOrganisation) const
{
  const resources used = aState.Organisations()[aOrganisation].mBooked +
                         mOrganisationInFlight[aOrganisation];
  return DominantShare(used, aState.TotalCapacity()) / mWeights[aOrganisation];
}

bool
soft_state::QuotaAllows(const cell_state& aState,
                        organisation_slot aOrganisation,
                        const resources& aMore) const
{
  return aState.Organisations()[aOrganisation].Allows(
    mOrganisationInFlight[aOrganisation] + aMore);
}

bool
soft_state::IsKnownUnplaceable(const unplaced_request& aRequest) const
{
  return std::ranges::any_of(mUnplaced, [&](const unplaced_request& aKnown) {
    return aKnown.Covers(aRequest);
  });
}

void
soft_state::AddUnplaced(const unplaced_request& aRequest)
{
  std::erase_if(mUnplaced, [&](const unplaced_request& aKnown) {
    return aRequest.Covers(aKnown);
  });
  if (mUnplaced.size() < kMaxUnplaced) {
    mUnplaced.push_back(aRequest);
  }
}

bool
soft_state::TakeRecoveryToken(time_point aNow)
{
  const std::chrono::duration<double> passed = aNow - mRecoveryAt;
  mRecoveryAt = aNow;
  mRecoveryTokens = std::min<double>(
    mOptions.mRecoveryBurst,
    mRecoveryTokens + passed.count() * mOptions.mRecoveryPerSecond);
  if (mRecoveryTokens < 1) {
    return false;
  }
  mRecoveryTokens -= 1;
  return true;
}

void
soft_state::AddStart(const cell_state& aState,
                     const task_id& aTask,
                     const start_in_flight& aStart,
                     time_point aNow)
{
  mStarts.emplace(aTask, aStart);
  mWorkers[aStart.mWorker].mInFlight += aStart.mSize;
  mOrganisationInFlight[aStart.mOrganisation] += aStart.mSize;
  Refresh(aState, aStart.mWorker, aNow);
}

void
soft_state::ClearStart(const cell_state& aState,
                       const task_id& aTask,
                       time_point aNow)
{
  const auto found = mStarts.find(aTask);
  if (found == mStarts.end()) {
    return;
  }
  const start_in_flight start = found->second;
  mStarts.erase(found);
  mWorkers[start.mWorker].mInFlight -= start.mSize;
  mOrganisationInFlight[start.mOrganisation] -= start.mSize;
  Refresh(aState, start.mWorker, aNow);
}

} // namespace oriolewalk::cell
