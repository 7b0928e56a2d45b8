#pragma once

// Places that are held for work that doesn't fit yet, so that smaller work
// that comes later cannot pass it by for ever.
//
//   book.Add({ job, spec.mEach, { { slot, 1 } }, startMs, ... });
//   book.HeldOn(slot, exceptJob);

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

struct reservation
{
  job_number mJob;
  organisation_slot mOrganisation = 0;
  job_class mClass = job_class::Normal; // Urgent also for aged work.
  resources mEach;
  std::map<worker_slot, std::uint32_t> mPlaces;
  // When the room is expected (wall clock); others may run there until then.
  std::int64_t mStartMs = 0;
  std::int64_t mExpectedMs = 0; // How long it will run from then.
  bool mPreempts = false;       // The room is being made by ending other work.
  time_point mMade;
};

// What others hold on a worker.
struct held_room
{
  resources mAmount;
  std::int64_t mFromMs = 0; // The earliest start of them.
  job_class mClass = job_class::Heavy;
};

// Owned by a scheduler; one thread.
class reservation_book
{
public:
  void Add(reservation aReservation);
  void Remove(job_number aJob);
  // One of the job's places on the worker was used.
  void Use(job_number aJob, worker_slot aSlot);

  [[nodiscard]] const reservation* Find(job_number aJob) const;
  [[nodiscard]] const std::map<job_number, reservation>& All() const
  {
    return mByJob;
  }
  // Reservations that preempt, or that only wait.
  [[nodiscard]] std::size_t Count(bool aPreempts) const
  {
    return aPreempts ? mPreempting : mByJob.size() - mPreempting;
  }
  // The organisation holds a place that only waits.
  [[nodiscard]] bool Waits(organisation_slot aOrganisation) const;
  // The jobs that hold places on the worker.
  [[nodiscard]] std::vector<job_number> HoldersOn(worker_slot aSlot) const
  {
    const auto found = mOn.find(aSlot);
    return found == mOn.end() ? std::vector<job_number>() : found->second;
  }
  [[nodiscard]] bool IsHeld(worker_slot aSlot) const
  {
    return mOn.contains(aSlot);
  }
  // None, if nobody but aJob holds anything there.
  [[nodiscard]] std::optional<held_room> HeldOn(worker_slot aSlot,
                                                job_number aJob) const;

private:
  void Count(const reservation& aReservation, bool aAdded);

  std::map<job_number, reservation> mByJob;
  std::size_t mPreempting = 0;
  std::map<organisation_slot, std::uint32_t> mWaitingOf;
  std::unordered_map<worker_slot, std::vector<job_number>> mOn;
};

} // namespace oriolewalk::cell
