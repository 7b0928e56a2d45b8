#include "oriolewalk/cell/reservations.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"

namespace oriolewalk::cell {

void
reservation_table::Add(reservation aReservation)
{
  const job_number job = aReservation.mJob;
  Remove(job);
  for (const auto& [slot, count] : aReservation.mPlaces) {
    mJobsBySlot[slot].push_back(job);
  }
  Count(aReservation, true);
  mByJob.emplace(job, std::move(aReservation));
}

void
reservation_table::Remove(job_number aJob)
{
  const auto found = mByJob.find(aJob);
  if (found == mByJob.end()) {
    return;
  }
  for (const auto& [slot, count] : found->second.mPlaces) {
    auto& jobs = mJobsBySlot[slot];
    std::erase(jobs, aJob);
    if (jobs.empty()) {
      mJobsBySlot.erase(slot);
    }
  }
  Count(found->second, false);
  mByJob.erase(found);
}

void
reservation_table::Use(job_number aJob, worker_slot aSlot)
{
  const auto found = mByJob.find(aJob);
  if (found == mByJob.end()) {
    return;
  }
  reservation changed = found->second;
  const auto place = changed.mPlaces.find(aSlot);
  if (place == changed.mPlaces.end()) {
    return;
  }
  Remove(aJob);
  if (--place->second == 0) {
    changed.mPlaces.erase(place);
  }
  if (!changed.mPlaces.empty()) {
    Add(std::move(changed));
  }
}

const reservation*
reservation_table::Find(job_number aJob) const
{
  const auto found = mByJob.find(aJob);
  return found == mByJob.end() ? nullptr : &found->second;
}

bool
reservation_table::Waits(organisation_slot aOrganisation) const
{
  return mWaitingByOrganisation.contains(aOrganisation);
}

void
reservation_table::Count(const reservation& aReservation, bool aAdded)
{
  if (aReservation.mPreempts) {
    mPreempting += aAdded ? 1 : -1;
    return;
  }
  std::uint32_t& waiting = mWaitingByOrganisation[aReservation.mOrganisation];
  waiting += aAdded ? 1 : -1;
  if (waiting == 0) {
    mWaitingByOrganisation.erase(aReservation.mOrganisation);
  }
}

std::optional<reserved_capacity>
reservation_table::ReservedOn(worker_slot aSlot, job_number aJob) const
{
  const auto found = mJobsBySlot.find(aSlot);
  if (found == mJobsBySlot.end()) {
    return std::nullopt;
  }
  std::optional<reserved_capacity> reserved;
  for (const job_number job : found->second) {
    if (job == aJob) {
      continue;
    }
    const reservation& each = mByJob.at(job);
    if (!reserved) {
      reserved = reserved_capacity{ {}, each.mStartMs, each.mClass };
    }
    reserved->mAmount += each.mEach * each.mPlaces.at(aSlot);
    reserved->mFromMs = std::min(reserved->mFromMs, each.mStartMs);
    reserved->mClass = std::min(reserved->mClass, each.mClass);
  }
  return reserved;
}

} // namespace oriolewalk::cell
