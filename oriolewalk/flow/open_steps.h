#pragma once

// The first stage of a plan: collects the steps that have tasks to place, in
// the order in which they are served.
//
//   for (const open_step& step : CollectOpenSteps(state, proposed, wallMs)) ...
//
// Steps are ordered by priority, then by least slack. Without the order by
// slack, large jobs that have time left take the capacity of jobs that must
// start now. Late steps stay in front, because otherwise the largest jobs of a
// queue starve: the fraction of a queue's jobs in time fell from 0.99 to 0.95
// on one day and from 0.87 to 0.72 on another.
//
// Pure. The cost is linear in the live jobs and the waiting tasks, of which at
// most kMaxConsidered are listed.

#include <cstdint>
#include <map>
#include <vector>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// aProposed: starts that are not yet applied; these tasks count as started.
std::vector<open_step>
CollectOpenSteps(const flow_state& aState,
                 const std::map<task_ref, worker_number>& aProposed,
                 std::int64_t aWallMs,
                 plan_order aOrder = plan_order::LeastSlack,
                 plan_scope aScope = plan_scope::All,
                 const suspect_summary& aSuspicions = {});

// How many milliseconds after its first submission a job must end to be in
// time, from the caller's estimates.
std::int64_t
ObjectiveMs(const job_spec& aJob, const queue_row& aQueue);

// Milliseconds until aStep must start for its job to meet its objective, from
// the caller's estimates. Negative if it is late.
std::int64_t
SlackMs(const job_record& aJob,
        const queue_row& aQueue,
        const occurrence_record& aOccurrence,
        std::uint32_t aStep,
        std::int64_t aWallMs);

} // namespace oriolewalk::flow
