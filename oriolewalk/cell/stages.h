#pragma once

// The stages of one Plan, in the order in which they run. Internal.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/soft_state.h"

namespace oriolewalk::cell {

// What the stages of one Plan share.
struct plan_context
{
  soft_state& mSoft;
  const cell_state& mState;
  const instant& mNow;
  start_tasks mStarts;                 // Becomes one command.
  std::vector<cell_command> mCommands; // All others.
  std::size_t mScanned = 0;            // For room; see mMostPlanScans.
};

// What is due by time, every mHousekeeping: lost workers, drains, overruns,
// reservations that lapse, throttles that are taken back. False: not yet due.
bool
PlanHousekeeping(plan_context& aPlan, const cell_policy& aPolicy);
void
KeepReservations(plan_context& aPlan);
void
KeepThrottles(plan_context& aPlan);
void
KeepDrains(plan_context& aPlan);

// The longest waiting job beyond its class's bound goes first.
void
PlanAged(plan_context& aPlan);

// Takes waiting work in its order and starts what has room.
void
PlanStarts(plan_context& aPlan);

enum class start_result : std::uint8_t
{
  Started,
  NoRoom,
  NoQuota,
  Paced, // A restart that must wait for its token.
};

// Starts one task, or all of a gang, on the best workers.
start_result
TryStart(plan_context& aPlan, const job_record& aJob, std::uint32_t aIndex);

// The first task from aFrom on that may start now.
std::optional<std::uint32_t>
NextTask(const plan_context& aPlan,
         const job_record& aJob,
         std::uint32_t aFrom);

// For a job that found no room: makes room by ending lesser work, or holds
// the places where room comes first. True, if room is being made.
bool
MakeRoom(plan_context& aPlan, const job_record& aJob);
bool
TryPreempt(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded);
bool
TryReserve(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded);

// How long the job has waited for its next start, in ms.
std::int64_t
WaitedMs(const plan_context& aPlan, const job_record& aJob);
// Waits longer than its class's bound.
bool
IsAged(const plan_context& aPlan, const job_record& aJob);

// A task that can be ended without losing work that must not be lost.
inline bool
IsEvictable(const job_spec& aSpec)
{
  return MayRunAgain(aSpec) || aSpec.mCheckpointable;
}
// By checkpoint, if it has any.
stop_mode
GentlestEnd(const job_spec& aSpec);

// When the task will end (wall clock, ms); never, for replicas.
std::int64_t
ExpectedEndMs(const plan_context& aPlan,
              const job_record& aJob,
              const task_record& aTask);

// Proposes a stop, unless it is in flight or as much was asked already.
void
ProposeStop(plan_context& aPlan,
            const task_id& aTask,
            stop_mode aMode,
            stop_reason aReason);

} // namespace oriolewalk::cell
