// Periodic housekeeping: expired or overdue reservations, throttles to lift,
// and draining workers.

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/reservations.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

// A reservation whose capacity is this late is dropped, and the job reserves
// capacity again where it is now expected to be free first.
constexpr std::int64_t kLateMs = 10'000;
// If preemption hasn't freed the capacity after this many escalations, it is
// searched for elsewhere.
constexpr int kEscalations = 3;

bool
IsOver(const plan_context& aPlan, const reservation& aReservation)
{
  const job_record* job = aPlan.mState.FindJob(aReservation.mJob);
  if (job == nullptr || job->mWaiting == 0 || job->mCancelled ||
      !NextTask(aPlan, *job, 0)) {
    return true;
  }
  const bool lost =
    std::ranges::any_of(aReservation.mPlaces, [&](const auto& aPlace) {
      return !aPlan.mSoft.mIndex.Contains(aPlace.first);
    });
  if (aReservation.mPreempts) {
    return lost || aPlan.mNow.mNow - aReservation.mCreated >
                     aPlan.mSoft.mOptions.mEscalateAfter * kEscalations;
  }
  return lost || aPlan.mNow.mWallMs > aReservation.mStartMs + kLateMs;
}

// Escalates a checkpoint that takes too long to a stop, if the stop costs only
// time.
void
Escalate(plan_context& aPlan, worker_slot aSlot)
{
  for (const task_id& id : aPlan.mState.Workers()[aSlot].mTasks) {
    const job_record& job = *aPlan.mState.FindJob(id.mJob);
    const task_record& task = job.mTasks[id.mIndex];
    if (task.mStop == stop_mode::Checkpoint &&
        task.mStopReason == stop_reason::Preempted && MayRunAgain(job.mSpec)) {
      ProposeStop(aPlan, id, stop_mode::Stop, stop_reason::Preempted);
    }
  }
}

// Ends tasks that backfilled a reservation that is now due. A task that runs
// longer than declared must not delay the reservation.
void
EndBackfill(plan_context& aPlan, worker_slot aSlot)
{
  for (const task_id& id : aPlan.mState.Workers()[aSlot].mTasks) {
    if (aPlan.mSoft.mBackfilled.contains(id)) {
      const job_spec& spec = aPlan.mState.FindJob(id.mJob)->mSpec;
      ProposeStop(aPlan, id, GentlestEnd(spec), stop_reason::Overrun);
    }
  }
}

void
MaintainReservation(plan_context& aPlan, const reservation& aReservation)
{
  const bool late = aPlan.mNow.mNow - aReservation.mCreated >=
                    aPlan.mSoft.mOptions.mEscalateAfter;
  for (const auto& [slot, count] : aReservation.mPlaces) {
    if (aReservation.mPreempts && late) {
      Escalate(aPlan, slot);
    } else if (!aReservation.mPreempts &&
               aPlan.mNow.mWallMs >= aReservation.mStartMs) {
      EndBackfill(aPlan, slot);
    }
  }
}

// Until the deadline, replicas move one at a time, each when all others of its
// service run; at the deadline the remaining ones move together. Tasks with
// checkpoints continue elsewhere; the others may finish until the deadline.
// Tasks that must not run twice are never stopped.
void
DrainTask(plan_context& aPlan, const worker_record& aWorker, const task_id& aId)
{
  const job_record& job = *aPlan.mState.FindJob(aId.mJob);
  const bool due = aWorker.mDrainDeadlineMs != 0 &&
                   aPlan.mNow.mWallMs >= aWorker.mDrainDeadlineMs;
  if (job.mSpec.mKind == job_kind::Service) {
    const bool moving = std::ranges::any_of(job.mTasks, [](const auto& aTask) {
      return aTask.mState == task_state::Placed &&
             aTask.mStop == stop_mode::Stop;
    });
    if (due || (job.mWaiting == 0 && !moving)) {
      ProposeStop(aPlan, aId, stop_mode::Stop, stop_reason::Drained);
    }
  } else if (job.mSpec.mCheckpointable) {
    ProposeStop(aPlan, aId, stop_mode::Checkpoint, stop_reason::Drained);
  } else if (due && job.mSpec.mRepeatable) {
    ProposeStop(aPlan, aId, stop_mode::Stop, stop_reason::Drained);
  }
}

} // namespace

void
MaintainReservations(plan_context& aPlan)
{
  std::vector<job_number> over;
  for (const auto& [job, reserved] : aPlan.mSoft.mReservations.All()) {
    if (IsOver(aPlan, reserved)) {
      over.push_back(job);
    } else {
      MaintainReservation(aPlan, reserved);
    }
  }
  for (const job_number job : over) {
    aPlan.mSoft.DropReservation(job);
  }
  std::erase_if(aPlan.mSoft.mFailedSearches, [&](const auto& aEach) {
    return aPlan.mNow.mNow - aEach.second >= aPlan.mSoft.mOptions.mSeekAgain;
  });
}

void
LiftThrottles(plan_context& aPlan)
{
  soft_state& soft = aPlan.mSoft;
  std::erase_if(soft.mThrottled, [&](const task_id& aTask) {
    const task_record* task = aPlan.mState.FindTask(aTask);
    return task == nullptr || task->mState != task_state::Placed ||
           task->mStop != stop_mode::Throttle;
  });
  for (const task_id& id : soft.mThrottled) {
    const job_record& job = *aPlan.mState.FindJob(id.mJob);
    const task_record& task = job.mTasks[id.mIndex];
    const resources more = job.mSpec.mEach - Booking(job.mSpec, task);
    if (task.mThrottled && !soft.mReservations.IsReserved(task.mWorker) &&
        more.FitsIn(soft.Free(aPlan.mState, task.mWorker)) &&
        soft.Propose(proposal_kind::Resume, id)) {
      aPlan.mCommands.emplace_back(resume_task{ id, task.mAttempt });
    }
  }
}

void
PlanDrains(plan_context& aPlan)
{
  for (const worker_record& worker : aPlan.mState.Workers()) {
    if (worker.mKnown && worker.mPresent && worker.mDraining) {
      for (const task_id& id : worker.mTasks) {
        DrainTask(aPlan, worker, id);
      }
    }
  }
}

} // namespace oriolewalk::cell
