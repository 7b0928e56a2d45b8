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

// State that the stages of one Plan share.
struct plan_context
{
  soft_state& mSoft;
  const cell_state& mState;
  const instant& mNow;
  start_tasks mStarts;                 // Becomes one command.
  std::vector<cell_command> mCommands; // All others.
  std::size_t mScanned = 0;            // Workers examined; see mMostPlanScans.
};

// Runs the periodic work every mHousekeeping: lost workers, drains, overruns,
// expired reservations and throttles to lift. Returns false if it isn't due.
bool
PlanHousekeeping(plan_context& aPlan, const cell_policy& aPolicy);
void
MaintainReservations(plan_context& aPlan);
void
LiftThrottles(plan_context& aPlan);
void
PlanDrains(plan_context& aPlan);

// Starts the longest waiting job of those beyond their class's wait bound.
void
PlanAged(plan_context& aPlan);

// Takes waiting jobs in scheduling order and starts those that fit.
void
PlanStarts(plan_context& aPlan);

enum class start_result : std::uint8_t
{
  Started,
  DoesNotFit,
  ExceedsQuota,
  Paced, // A restart that must wait for a recovery token.
};

// Starts one task, or all tasks of a gang, on the best workers.
start_result
TryStart(plan_context& aPlan, const job_record& aJob, std::uint32_t aIndex);

// Returns the first task at or after aFrom that may start now.
std::optional<std::uint32_t>
NextTask(const plan_context& aPlan,
         const job_record& aJob,
         std::uint32_t aFrom);

// Frees capacity for a job that doesn't fit by preempting less important work,
// or reserves capacity where it will be free first. Returns true if capacity
// is being freed.
bool
FreeCapacityFor(plan_context& aPlan, const job_record& aJob);
bool
TryPreempt(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded);
bool
TryReserve(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded);

// Returns how long the job has waited for its next start, in ms.
std::int64_t
WaitedMs(const plan_context& aPlan, const job_record& aJob);
// Returns true if the job has waited longer than its class's bound.
bool
IsAged(const plan_context& aPlan, const job_record& aJob);

// Returns true if a task can be ended without losing work that must be kept.
inline bool
IsEvictable(const job_spec& aSpec)
{
  return MayRunAgain(aSpec) || aSpec.mCheckpointable;
}
// Returns the least disruptive way to end a task: a checkpoint if supported.
stop_mode
GentlestEnd(const job_spec& aSpec);

// Returns when the task will end (wall clock, ms); replicas never end.
std::int64_t
ExpectedEndMs(const plan_context& aPlan,
              const job_record& aJob,
              const task_record& aTask);

// Proposes a stop, unless it is in flight or a stop at least as strong was
// already requested.
void
ProposeStop(plan_context& aPlan,
            const task_id& aTask,
            stop_mode aMode,
            stop_reason aReason);

} // namespace oriolewalk::cell
