#pragma once

// Keeps the planner's view of the workers up to date between plans, at the cost
// of the workers that changed.
//
//   plan_worker_cache cache(policy.mPlacement);
//   cache.Invalidate(number);  // a run started there, or a heartbeat arrived
//   const plan_workers& workers = cache.Refresh(now, evaluate);
//
// Some conditions end by time alone, as when a worker falls silent; an
// evaluation says until when it holds and is repeated then.
//
// Pure; owned by leader_core; control thread only.

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/plan_workers.h"

namespace oriolewalk::flow {

struct worker_evaluation
{
  std::optional<plan_worker> mWorker{}; // none: nothing may start there
  time_point mValidUntil = time_point::max();
};

class plan_worker_cache
{
public:
  using evaluator = std::function<worker_evaluation(worker_number)>;

  explicit plan_worker_cache(placement_rule aPlacement)
    : mWorkers(aPlacement)
  {
  }

  // Something about the worker changed, or it was added or removed.
  void Invalidate(worker_number aWorker) { mInvalid.push_back(aWorker); }
  const plan_workers& Refresh(time_point aNow, const evaluator& aEvaluate);
  // Workers evaluated so far, each counted once a refresh.
  [[nodiscard]] std::uint64_t Evaluations() const { return mEvaluations; }

private:
  void Evaluate(worker_number aWorker, const evaluator& aEvaluate);

  plan_workers mWorkers;
  std::vector<worker_number> mInvalid; // may name one several times
  // When evaluations end. A worker's entry stays if its evaluation comes to
  // hold longer: one too many is cheaper than an entry for each.
  std::set<std::pair<time_point, worker_number>> mExpiries;
  std::unordered_map<worker_number, time_point> mExpiryOf;
  std::uint64_t mEvaluations = 0;
};

} // namespace oriolewalk::flow
