#pragma once

// The stages of one Plan, in the order in which they run. Internal.

#include <cstdint>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/policy.h"
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
};

// Lost workers, quotas: what is due by time, every mHousekeeping.
void
PlanHousekeeping(plan_context& aPlan, const cell_policy& aPolicy);

// Takes waiting work in its order and starts what has room.
void
PlanStarts(plan_context& aPlan);

enum class start_result : std::uint8_t
{
  Started,
  NoRoom,
  NoQuota,
};

// Starts one task, or all of a gang, on the best workers.
start_result
TryStart(plan_context& aPlan, const job_record& aJob, std::uint32_t aIndex);

} // namespace oriolewalk::cell
