#pragma once

// Reserves capacity for jobs that don't fit yet, so that later, smaller jobs
// can't starve them.
//
//   reservations.Add({ job, spec.mEach, { { slot, 1 } }, startMs, ... });
//   reservations.ReservedOn(slot, exceptJob);

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
  job_class mClass = job_class::Normal; // Urgent also for aged jobs.
  resources mEach;
  std::map<worker_slot, std::uint32_t> mPlaces;
  // When the capacity is expected to be free (wall clock); other tasks may run
  // there until then.
  std::int64_t mStartMs = 0;
  std::int64_t mExpectedMs = 0; // Expected run time.
  bool mPreempts = false;       // Running tasks are being preempted.
  time_point mCreated;
};

// Capacity of a worker that is reserved for other jobs.
struct reserved_capacity
{
  resources mAmount;
  std::int64_t mFromMs = 0; // The earliest start.
  job_class mClass = job_class::Heavy;
};

// Owned by a scheduler; one thread.
class reservation_table
{
public:
  void Add(reservation aReservation);
  void Remove(job_number aJob);
  // Consumes one of the job's places on the worker.
  void Use(job_number aJob, worker_slot aSlot);

  [[nodiscard]] const reservation* Find(job_number aJob) const;
  [[nodiscard]] const std::map<job_number, reservation>& All() const
  {
    return mByJob;
  }
  // Counts the reservations that preempt, or those that only wait.
  [[nodiscard]] std::size_t Count(bool aPreempts) const
  {
    return aPreempts ? mPreempting : mByJob.size() - mPreempting;
  }
  // Returns true if the organisation has a reservation that only waits.
  [[nodiscard]] bool Waits(organisation_slot aOrganisation) const;
  // Returns the jobs with reservations on the worker.
  [[nodiscard]] std::vector<job_number> JobsReservedOn(worker_slot aSlot) const
  {
    const auto found = mJobsBySlot.find(aSlot);
    return found == mJobsBySlot.end() ? std::vector<job_number>()
                                      : found->second;
  }
  [[nodiscard]] bool IsReserved(worker_slot aSlot) const
  {
    return mJobsBySlot.contains(aSlot);
  }
  // Returns nullopt if no job other than aJob has a reservation there.
  [[nodiscard]] std::optional<reserved_capacity> ReservedOn(
    worker_slot aSlot,
    job_number aJob) const;

private:
  void Count(const reservation& aReservation, bool aAdded);

  std::map<job_number, reservation> mByJob;
  std::size_t mPreempting = 0;
  std::map<organisation_slot, std::uint32_t> mWaitingByOrganisation;
  std::unordered_map<worker_slot, std::vector<job_number>> mJobsBySlot;
};

} // namespace oriolewalk::cell
