#include "oriolewalk/cell/reservations.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"

namespace oriolewalk::cell {

void
reservation_book::Add(reservation aReservation)
{
  const job_number job = aReservation.mJob;
  Remove(job);
  for (const auto& [slot, count] : aReservation.mPlaces) {
    mOn[slot].push_back(job);
  }
  Count(aReservation, true);
  mByJob.emplace(job, std::move(aReservation));
}

void
reservation_book::Remove(job_number aJob)
{
  const auto found = mByJob.find(aJob);
  if (found == mByJob.end()) {
    return;
  }
  for (const auto& [slot, count] : found->second.mPlaces) {
    auto& jobs = mOn[slot];
    std::erase(jobs, aJob);
    if (jobs.empty()) {
      mOn.erase(slot);
    }
  }
  Count(found->second, false);
  mByJob.erase(found);
}

void
reservation_book::Use(job_number aJob, worker_slot aSlot)
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
reservation_book::Find(job_number aJob) const
{
  const auto found = mByJob.find(aJob);
  return found == mByJob.end() ? nullptr : &found->second;
}

bool
reservation_book::Waits(organisation_slot aOrganisation) const
{
  return mWaitingOf.contains(aOrganisation);
}

void
reservation_book::Count(const reservation& aReservation, bool aAdded)
{
  if (aReservation.mPreempts) {
    mPreempting += aAdded ? 1 : -1;
    return;
  }
  std::uint32_t& waiting = mWaitingOf[aReservation.mOrganisation];
  waiting += aAdded ? 1 : -1;
  if (waiting == 0) {
    mWaitingOf.erase(aReservation.mOrganisation);
  }
}

std::optional<held_room>
reservation_book::HeldOn(worker_slot aSlot, job_number aJob) const
{
  const auto found = mOn.find(aSlot);
  if (found == mOn.end()) {
    return std::nullopt;
  }
  std::optional<held_room> held;
  for (const job_number job : found->second) {
    if (job == aJob) {
      continue;
    }
    const reservation& each = mByJob.at(job);
    if (!held) {
      held = held_room{ {}, each.mStartMs, each.mClass };
    }
    held->mAmount += each.mEach * each.mPlaces.at(aSlot);
    held->mFromMs = std::min(held->mFromMs, each.mStartMs);
    held->mClass = std::min(held->mClass, each.mClass);
  }
  return held;
}

} // namespace oriolewalk::cell
