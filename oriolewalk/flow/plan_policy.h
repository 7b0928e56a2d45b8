#pragma once

// Switches for the planner's rules. Benchmarks disable a rule or replace it by
// a simpler one to measure its benefit.
//
//   plan_policy policy;
//   policy.mOrder = plan_order::Arrival;

#include <cstdint>

namespace oriolewalk::flow {

// The order in which waiting steps are served.
enum class plan_order : std::uint8_t
{
  LeastSlack, // priority, then least time until it must start
  // Like LeastSlack, but of one priority the steps whose job can have no more
  // value to its caller come last.
  UsefulFirst,
  Priority, // priority, then arrival
  Arrival,  // first come, first served
};

// Which waiting steps a plan considers.
enum class plan_scope : std::uint8_t
{
  All,
  TopPriority, // only top-priority steps, whatever the backlog behind them
};

// How the steps of a priority are ordered among organisations.
enum class share_rule : std::uint8_t
{
  None, // like the steps of one organisation
  // Steps beyond their organisation's share of the capacity come last. The
  // share counts only where several organisations have waiting steps.
  WithinShare,
  // The organisation with the smallest weighted dominant share is next.
  DominantShare,
};

// How a worker is selected from those on which a task fits.
enum class placement_rule : std::uint8_t
{
  Packing,   // fills the accelerators of one worker before the next
  Spreading, // prefers the largest share of free processors
  FirstFit,
};

struct plan_policy
{
  plan_order mOrder = plan_order::LeastSlack;
  placement_rule mPlacement = placement_rule::Packing;
  bool mQueriesAhead = true; // advice queries include workers that are full
  bool mReservesCapacity =
    true;                // reserves capacity for steps that can't start yet
  bool mPreempts = true; // preempts runs of lower-priority queues
  bool mSharesAdvisors = true; // guarantees each queue a share of the advisors
  share_rule mShares = share_rule::WithinShare;
  bool mCopies = true; // copies of slow tasks, where their steps allow them
  bool mLearnsDurations = true; // instead of taking callers' estimates
  bool mForecastsDemand = true; // keeps capacity free before a peak
  bool mPlacesBySpeed = true;   // leaves fast workers to those that need them
  bool mRefusesHopeless = true; // jobs that can't be done while they have value
};

} // namespace oriolewalk::flow
