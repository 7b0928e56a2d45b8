#include "oriolewalk/flow/plan_workers.h"

#include "oriolewalk/flow/placement.h"

namespace oriolewalk::flow {

void
plan_workers::Put(const plan_worker& aWorker)
{
  const worker_number number = aWorker.mNumber;
  const auto known = mEntries.find(number);
  const bool keepsKeys =
    known != mEntries.end() && HasSameKeys(known->second, aWorker);
  if (!keepsKeys) {
    Remove(number);
  }
  if (aWorker.mAvoided) {
    mAvoided.insert(number);
  } else {
    mAvoided.erase(number);
  }
  plan_worker worker = aWorker;
  worker.mAvoided = aWorker.mAvoided && mAvoids;
  if (keepsKeys) {
    Replace(known->second, worker);
    return;
  }
  entry& added = mEntries[number];
  added.mService = worker.mDescription->mService;
  added.mRack = worker.mDescription->mRack;
  added.mCapacity = worker.mDescription->mCapacity;
  added.mWorker = worker;
  mCapacity += added.mCapacity;
  mFree += added.mWorker.mFree;
  service_totals& totals = mTotals[added.mService];
  totals.mCapacity += added.mCapacity;
  totals.mFree += added.mWorker.mFree;
  mByRack[added.mRack].insert(number);
  Index(added);
}

bool
plan_workers::HasSameKeys(const entry& aEntry, const plan_worker& aWorker)
{
  const worker_description& description = *aWorker.mDescription;
  return aEntry.mService == description.mService &&
         aEntry.mRack == description.mRack &&
         aEntry.mCapacity == description.mCapacity;
}

// Most changes are of what is free, so the indexes' nodes are kept.
void
plan_workers::Replace(entry& aEntry, const plan_worker& aWorker)
{
  const cell::resources freed = aWorker.mFree - aEntry.mWorker.mFree;
  mFree += freed;
  mTotals.at(aEntry.mService).mFree += freed;
  aEntry.mWorker = aWorker;
  const rank former = aEntry.mRank;
  aEntry.mRank.first = -BaseScore(aEntry.mWorker, mPlacement);
  if (aEntry.mRank != former) {
    ranking& ranked =
      mByService.at(aEntry.mService).at(aEntry.mCapacity.Amounts());
    auto node = ranked.extract(former);
    node.key() = aEntry.mRank;
    ranked.insert(std::move(node));
  }
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
  service_totals& totals = mTotals.at(removed.mService);
  totals.mCapacity -= removed.mCapacity;
  totals.mFree -= removed.mWorker.mFree;
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
