#include "oriolewalk/flow/plan_workers.h"

#include <tuple>
#include <utility>

#include "oriolewalk/flow/placement.h"
#include "oriolewalk/flow/speed_preference.h"

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

std::pair<plan_workers::rank, plan_workers::rank>
plan_workers::RanksOf(const plan_worker& aWorker) const
{
  const double score = BaseScore(aWorker, mPlacement);
  const double leaving =
    score + SpeedScore({ speed_use::LeaveFast }, aWorker.mSpeed);
  return { { -score, aWorker.mNumber }, { -leaving, aWorker.mNumber } };
}

namespace {

void
Rerank(plan_workers::ranking& aRanking,
       plan_workers::rank& aRank,
       const plan_workers::rank& aNew)
{
  if (aRank == aNew) {
    return;
  }
  auto node = aRanking.extract(aRank);
  aRank = aNew;
  node.key() = aNew;
  aRanking.insert(std::move(node));
}

void
EraseFrom(plan_workers::rankings& aRankings,
          const cell::resources& aCapacity,
          const plan_workers::rank& aRank)
{
  const auto found = aRankings.find(aCapacity.Amounts());
  found->second.erase(aRank);
  if (found->second.empty()) {
    aRankings.erase(found);
  }
}

} // namespace

// Most changes are of what is free, so the indexes' nodes are kept.
void
plan_workers::Replace(entry& aEntry, const plan_worker& aWorker)
{
  const cell::resources freed = aWorker.mFree - aEntry.mWorker.mFree;
  mFree += freed;
  mTotals.at(aEntry.mService).mFree += freed;
  service_index& service = mByService.at(aEntry.mService);
  if (aEntry.mWorker.mIsSpeedKnown) {
    service.mSpeeds.Remove(aEntry.mWorker.mSpeed);
  }
  if (aWorker.mIsSpeedKnown) {
    service.mSpeeds.Add(aWorker.mSpeed);
  }
  aEntry.mWorker = aWorker;
  const auto [next, leavingFast] = RanksOf(aWorker);
  const auto capacity = aEntry.mCapacity.Amounts();
  Rerank(service.mRankings.at(capacity), aEntry.mRank, next);
  Rerank(
    service.mLeavingFast.at(capacity), aEntry.mRankLeavingFast, leavingFast);
}

void
plan_workers::Index(entry& aEntry)
{
  std::tie(aEntry.mRank, aEntry.mRankLeavingFast) = RanksOf(aEntry.mWorker);
  service_index& service = mByService[aEntry.mService];
  const auto capacity = aEntry.mCapacity.Amounts();
  service.mRankings[capacity].emplace(aEntry.mRank, &aEntry.mWorker);
  service.mLeavingFast[capacity].emplace(aEntry.mRankLeavingFast,
                                         &aEntry.mWorker);
  ++service.mWorkers;
  if (aEntry.mWorker.mIsSpeedKnown) {
    service.mSpeeds.Add(aEntry.mWorker.mSpeed);
  }
}

void
plan_workers::Unindex(const entry& aEntry)
{
  service_index& service = mByService.at(aEntry.mService);
  EraseFrom(service.mRankings, aEntry.mCapacity, aEntry.mRank);
  EraseFrom(service.mLeavingFast, aEntry.mCapacity, aEntry.mRankLeavingFast);
  --service.mWorkers;
  if (aEntry.mWorker.mIsSpeedKnown) {
    service.mSpeeds.Remove(aEntry.mWorker.mSpeed);
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

const plan_workers::service_totals&
plan_workers::TotalsOf(const service_id& aService) const
{
  static const service_totals sNone;
  const auto found = mTotals.find(aService);
  return found == mTotals.end() ? sNone : found->second;
}

const plan_workers::service_index&
plan_workers::IndexOf(const service_id& aService) const
{
  static const service_index sNone;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? sNone : found->second;
}

const plan_workers::rankings&
plan_workers::Ranked(const service_id& aService, speed_use aUse) const
{
  const service_index& service = IndexOf(aService);
  return aUse == speed_use::LeaveFast ? service.mLeavingFast
                                      : service.mRankings;
}

speed_spread
plan_workers::Speeds(const service_id& aService) const
{
  const service_index& service = IndexOf(aService);
  return service.mSpeeds.Spread(service.mWorkers);
}

std::size_t
plan_workers::KnownSpeeds(const service_id& aService) const
{
  return IndexOf(aService).mSpeeds.Known();
}

const std::set<worker_number>&
plan_workers::InRack(const rack_id& aRack) const
{
  static const std::set<worker_number> sNone;
  const auto found = mByRack.find(aRack);
  return found == mByRack.end() ? sNone : found->second;
}

} // namespace oriolewalk::flow
