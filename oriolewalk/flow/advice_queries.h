#pragma once

// The stage of a plan that chooses what to ask the policy service: of which
// workers the verdict on a step is worth knowing.
//
//   const auto named = WorkersToName(step, need, workers, book, policy, now);
//
// The load it answers: a policy service that takes 0.03 to 1.5 s for an answer,
// one question at a time for each that asks. A verdict stays, so a step that
// has asked about enough workers once only renews tickets. Asked about one
// worker with room at a time, a step took 16 questions and 48 s to its start.
//
// Pure. Cost: the service's workers.

#include <set>
#include <span>
#include <vector>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

struct advice_query
{
  step_ref mStep;
  std::vector<worker_number> mWorkers;
};

// What a question of aNamed workers takes at the policy service.
milliseconds
AdviceTime(const advice_timing& aTerms, std::size_t aNamed);

// What a question is wanted for.
struct query_need
{
  std::size_t mTasks = 0;            // that wait for a place
  std::set<worker_number> mReserved; // where room is kept for them
  bool mHasSurplusAdvisors = false;  // nobody else needs the advisors
};

// Empty: there is nothing worth asking.
std::vector<worker_number>
WorkersToQuery(const open_step& aStep,
               const query_need& aNeed,
               std::span<plan_worker* const> aWorkers,
               const advice_cache& aAdvice,
               const plan_policy& aPolicy,
               time_point aNow);

} // namespace oriolewalk::flow
