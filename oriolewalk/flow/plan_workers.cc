#include "oriolewalk/flow/plan_workers.h"

#include "oriolewalk/flow/placement.h"

namespace oriolewalk::flow {

void
plan_workers::Put(plan_worker aWorker)
{
  const worker_number number = aWorker.mNumber;
  Remove(number);
  if (aWorker.mAvoided) {
    mAvoided.insert(number);
    aWorker.mAvoided = mAvoids;
  }
  entry& added = mEntries[number];
  added.mService = aWorker.mDescription->mService;
  added.mRack = aWorker.mDescription->mRack;
  added.mCapacity = aWorker.mDescription->mCapacity;
  added.mWorker = std::move(aWorker);
  mCapacity += added.mCapacity;
  mFree += added.mWorker.mFree;
  mByRack[added.mRack].insert(number);
  Index(added);
}

void
plan_workers::Index(entry& aEntry)
{
  aEntry.mRank = { -BaseScore(aEntry.mWorker, mPlacement),
                   aEntry.mWorker.mNumber };
  mByService[aEntry.mService][aEntry.mCapacity.Amounts()].emplace(
    aEntry.mRank, &aEntry.mWorker);
}

void
plan_workers::Unindex(const entry& aEntry)
{
  rankings& service = mByService.at(aEntry.mService);
  const auto found = service.find(aEntry.mCapacity.Amounts());
  found->second.erase(aEntry.mRank);
  if (found->second.empty()) {
    service.erase(found);
  }
}

void
plan_workers::Remove(worker_number aWorker)
{
  const auto found = mEntries.find(aWorker);
  if (found == mEntries.end()) {
    return;
  }
  const entry& removed = found->second;
  mCapacity -= removed.mCapacity;
  mFree -= removed.mWorker.mFree;
  Unindex(removed);
  const auto rack = mByRack.find(removed.mRack);
  rack->second.erase(aWorker);
  if (rack->second.empty()) {
    mByRack.erase(rack);
  }
  mAvoided.erase(aWorker);
  mEntries.erase(found);
}

void
plan_workers::UpdateAvoidance()
{
  // If more than a third of the workers seem bad the cause lies elsewhere, and
  // no worker is avoided.
  constexpr std::size_t kMinWorkersPerAvoided = 3;
  const bool avoids =
    mAvoided.size() * kMinWorkersPerAvoided <= mEntries.size();
  if (std::exchange(mAvoids, avoids) == avoids) {
    return;
  }
  for (const worker_number number : mAvoided) {
    entry& changed = mEntries.at(number);
    Unindex(changed);
    changed.mWorker.mAvoided = avoids;
    Index(changed);
  }
}

const plan_worker*
plan_workers::Find(worker_number aWorker) const
{
  const auto found = mEntries.find(aWorker);
  return found == mEntries.end() ? nullptr : &found->second.mWorker;
}

const plan_workers::rankings&
plan_workers::Ranked(const service_id& aService) const
{
  static const rankings sNone;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? sNone : found->second;
}

const std::set<worker_number>&
plan_workers::InRack(const rack_id& aRack) const
{
  static const std::set<worker_number> sNone;
  const auto found = mByRack.find(aRack);
  return found == mByRack.end() ? sNone : found->second;
}

} // namespace oriolewalk::flow
