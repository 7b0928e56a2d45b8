#pragma once

// The first stage of a plan: collects the steps that have tasks to place, in
// the order in which they are served.
//
//   for (const open_step& step :
//        CollectOpenSteps(state, { .mProposed = &proposed, .mWallMs = now }))
//        ...
//
// Steps are ordered by priority, then by least slack. Without the order by
// slack, large jobs that have time left take the capacity of jobs that must
// start now. Late steps stay in front, because otherwise the largest jobs of a
// queue starve. With plan_order::UsefulFirst those that are so late that their
// job can have no more value come last of their priority, and still before all
// lower ones.
//
// Of an organisation that is at its maximum the tasks aren't listed, however
// many wait.
//
// Pure. The cost is linear in the live jobs and the waiting tasks, of which at
// most kMaxConsidered are listed.

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "oriolewalk/flow/cell_load.h"
#include "oriolewalk/flow/expected_durations.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/quota_planner.h"

namespace oriolewalk::flow {

struct open_steps_input
{
  // Starts that are not yet applied; these tasks count as started.
  const std::map<task_ref, worker_number>* mProposed = nullptr;
  std::int64_t mWallMs = 0;
  plan_order mOrder = plan_order::LeastSlack;
  share_rule mShares = share_rule::None;
  plan_scope mScope = plan_scope::All;
  const suspect_summary* mSuspicions = nullptr;
  quota_planner* mQuotas = nullptr;
  cell::resources mCapacity{}; // of all workers together
  // Null: the callers' estimates.
  expected_durations* mDurations = nullptr;
  time_point mNow{};               // used with mDurations
  load_collector* mLoad = nullptr; // counts the tasks that run, if any
};

std::vector<open_step>
CollectOpenSteps(const flow_state& aState, const open_steps_input& aInput);

// How many milliseconds after its first submission a job must end to be in
// time. aDurations: by step; none: the caller's estimates.
std::int64_t
ObjectiveMs(const job_spec& aJob,
            const queue_row& aQueue,
            std::span<const duration_estimate> aDurations = {});

// Milliseconds until aStep must start for its job to meet its objective.
// Negative if it is late. aDurations: by step; none: the caller's estimates.
std::int64_t
SlackMs(const job_record& aJob,
        const queue_row& aQueue,
        const occurrence_record& aOccurrence,
        std::uint32_t aStep,
        std::int64_t aWallMs,
        std::span<const duration_estimate> aDurations = {});

// Whether the job can still have a value to its caller, which ends at three
// times its objective, if aStep starts now. True unless all durations are
// learned. Assumes that each task takes as long as few of its kind do, because
// that moves the objective by more than the job's end.
bool
MayHaveValue(const job_record& aJob,
             const queue_row& aQueue,
             const occurrence_record& aOccurrence,
             std::uint32_t aStep,
             std::int64_t aWallMs,
             std::span<const duration_estimate> aDurations);

} // namespace oriolewalk::flow
