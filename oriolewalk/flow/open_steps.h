#pragma once

// The first stage of a plan: the steps that have tasks to place, in the order
// in which they are served.
//
//   for (const open_step& step : CollectOpenSteps(state, proposed, wallMs)) ...
//
// The order: priority, then least slack. Without an order by slack, large jobs
// that have time left take the room of those that must start now; what is late
// already stays in front, since otherwise the largest jobs of a queue starve
// (share of a queue in time 0.99 -> 0.95 and 0.87 -> 0.72 on two days).
//
// Pure. Cost: live jobs, and waiting tasks, bounded by kMostConsidered.

#include <cstdint>
#include <map>
#include <vector>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// aProposed: starts that are not yet applied, which are no longer waiting.
std::vector<open_step>
CollectOpenSteps(const flow_state& aState,
                 const std::map<task_ref, worker_number>& aProposed,
                 std::int64_t aWallMs,
                 plan_order aOrder = plan_order::LeastSlack,
                 plan_scope aScope = plan_scope::All,
                 const suspect_summary& aSuspicions = {});

// Milliseconds from a job's first send within which it is in time, by the
// caller's estimates.
std::int64_t
ObjectiveMs(const job_spec& aJob, const queue_row& aQueue);

// Milliseconds until aStep must start for its job to meet its objective;
// negative when it is late. From the callers' estimates.
std::int64_t
SlackMs(const job_record& aJob,
        const queue_row& aQueue,
        const occurrence_record& aOccurrence,
        std::uint32_t aStep,
        std::int64_t aWallMs);

} // namespace oriolewalk::flow
