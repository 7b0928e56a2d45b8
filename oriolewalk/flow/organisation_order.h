#pragma once

// Orders the waiting steps of a plan among organisations, by their weights.
//
//   OrderByShares(steps, state, capacity, share_rule::WithinShare);
//
// Without it, an organisation that submits much urgent work at once takes the
// capacity of all others: its steps are late first and thus served first. With
// it, each organisation with waiting steps gets its share of the capacity, by
// weight and in the dimension that it uses most. What others leave of their
// shares goes to the steps beyond.
//
// Pure. The cost is linear in the steps, and for DominantShare a logarithm of
// the organisations more.

#include <vector>

#include "oriolewalk/cell/resources.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/plan_policy.h"
#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// aSteps: in the order within an organisation, sorted by priority first, which
// stays. aCapacity: of all workers together.
void
OrderByShares(std::vector<open_step>& aSteps,
              const flow_state& aState,
              const cell::resources& aCapacity,
              share_rule aRule);

} // namespace oriolewalk::flow
