#pragma once

// The planner's rules, so that each can be switched off or set against a plain
// one, to measure what it is worth.
//
//   plan_policy policy;
//   policy.mOrder = plan_order::Arrival;

#include <cstdint>

namespace oriolewalk::flow {

// Which waiting step is served first.
enum class plan_order : std::uint8_t
{
  LeastSlack, // priority, then least time until it must start
  Priority,   // priority, then arrival
  Arrival,    // first come, first served
};

// Which waiting steps a plan looks at.
enum class plan_scope : std::uint8_t
{
  All,
  TopPriority, // those that come before all others, whatever waits behind them
};

// Which of the workers with room a task goes to.
enum class placement_rule : std::uint8_t
{
  Packing,   // accelerators are filled worker by worker
  Spreading, // where most processors are free
  FirstFit,
};

struct plan_policy
{
  plan_order mOrder = plan_order::LeastSlack;
  placement_rule mPlacement = placement_rule::Packing;
  bool mQueriesAhead =
    true; // the policy service, about workers that are full too
  bool mReservesCapacity = true; // room is kept for what comes next
  bool mPreempts = true;         // work of later queues gives way
  bool mSharesAdvisors = true;   // each queue has a share of the advisors
};

} // namespace oriolewalk::flow
