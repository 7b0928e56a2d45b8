#pragma once

// Simulates a load against the leader core of the workflow scheduler, in
// simulated time: workers, the policy service and commits are events in a
// queue; each decision is the product's own.
//
//   const flow_outcome outcome = SimulateLoad(load, policy);
//
// Cost: that of the decisions; 350 workers and 40 s take a few seconds.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/flow_scenario.h"
#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/plan_policy.h"

namespace oriolewalk::bench {

struct queue_outcome
{
  std::size_t mJobs = 0; // feasible and not cancelled
  std::size_t mInTime = 0;
  std::size_t mLate = 0; // up to three times the objective
  std::size_t mNever = 0;
  // Jobs in the largest tenth by processor time.
  std::size_t mLargest = 0;
  std::size_t mLargestInTime = 0;
  std::vector<double> mFirstStartMs; // from submission to the first start
};

struct flow_outcome
{
  std::map<std::string, queue_outcome> mQueues;
  std::map<std::string, double> mWaitMs;      // of steps, by cause
  std::map<std::string, std::size_t> mEvents; // log lines, by event
  double mLostWorkMs = 0; // task time of work that no checkpoint saved
  std::size_t mQueries = 0;
  double mAdviceMs = 0; // the policy service's work
  std::size_t mQueriedWorkers = 0;
  std::size_t mOverCapacity = 0; // starts beyond a worker's capacity
  double mDecisionMs = 0;        // processor time of the plans, measured
  // Processor time of the leader's other work, measured, by activity.
  std::map<std::string, double> mActivityMs;
  flow::decision_counts mCounts; // of the last leader
  std::size_t mStarts = 0;
  double mPlanShare = 0; // of the leader's time, by its counted cost
};

// What the leader's work costs on its processor. While the processor is busy,
// what arrives waits. Counted work and not measured time, so that each run is
// the same.
struct processor_costs
{
  std::chrono::nanoseconds mEvent{}; // a message, commit or tick
  std::chrono::nanoseconds mPlan{};
  std::chrono::nanoseconds mPlannedStep{};
  std::chrono::nanoseconds mPlannedTask{};
  std::chrono::nanoseconds mPlannedWorker{};
  std::chrono::nanoseconds mComparison{};
};

// The costs on a core of which the leader has three fifths, at aPercent of
// their usual price; 0: everything is free.
processor_costs
LeaderCosts(int aPercent);

flow_outcome
SimulateLoad(const flow_load& aLoad,
             const flow::plan_policy& aPolicy,
             const processor_costs& aCosts = {});

} // namespace oriolewalk::bench
