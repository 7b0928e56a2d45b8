#pragma once

// The stage of a plan that selects the workers to include in an advice query to
// the policy service.
//
//   const auto numbers =
//     WorkersToQuery(step, need, workers, advice, policy, now);
//
// The policy service takes 0.03 to 1.5 s to answer, and each advisor relays one
// query at a time. A verdict is final, so a step that has queried enough
// workers once only renews tickets afterwards; queries of single workers would
// delay its start by many answers.
//
// Pure. The cost is linear in the workers that are considered.

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

// How long the policy service takes to answer a query about this many workers.
milliseconds
AdviceTime(const advice_timing& aTerms, std::size_t aWorkerCount);

// What a step needs a query for.
struct query_need
{
  std::size_t mTasks = 0;            // waiting tasks
  std::set<worker_number> mReserved; // workers with capacity reserved for them
  bool mHasSurplusAdvisors = false;  // no other step needs the advisors
};

// The policy service accepts at most this many workers in a query. A wide step
// of a queue whose policy approves few workers needs most of them.
inline constexpr std::size_t kMaxQueriedWorkers = 100;

// A query for the step includes at most this many workers.
std::size_t
MaxWorkersToQuery(const open_step& aStep,
                  const query_need& aNeed,
                  const advice_cache& aAdvice);

// Empty if no query is worthwhile.
std::vector<worker_number>
WorkersToQuery(const open_step& aStep,
               const query_need& aNeed,
               std::span<const plan_worker* const> aWorkers,
               const advice_cache& aAdvice,
               const plan_policy& aPolicy,
               time_point aNow);

} // namespace oriolewalk::flow
