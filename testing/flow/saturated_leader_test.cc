// A full cell whose leader's processor is dearer than usual, played in
// simulated time with counted costs.

#include <cstddef>

#include <catch2/catch.hpp>

#include "bench/flow_driver.h"
#include "bench/flow_scenario.h"

namespace oriolewalk::bench {

namespace {

// The worth earned of that owed; a late job earns a fifth.
double
Earned(const queue_outcome& aQueue)
{
  constexpr double kLateWorth = 0.2;
  return (static_cast<double>(aQueue.mInTime) +
          kLateWorth * static_cast<double>(aQueue.mLate)) /
         static_cast<double>(aQueue.mJobs);
}

} // namespace

TEST_CASE("a leader with a dearer processor goes on serving urgent jobs")
{
  // Guards against work that grows as the leader falls behind.
  constexpr int kPricePercent = 150;
  constexpr double kFloor = 0.45;
  const flow_outcome outcome = SimulateLoad(
    MakeLoad(FlowScenarios().back(), 11), {}, LeaderCosts(kPricePercent));
  CHECK(Earned(outcome.mQueues.at("urgent")) >= kFloor);
}

TEST_CASE("plans of a late leader leave most of its time to messages")
{
  // Guards against plans that make commits and answers late, however dear they
  // are.
  constexpr double kMaxShare = 0.25;
  for (const int pricePercent : { 150, 200 }) {
    const flow_outcome outcome = SimulateLoad(
      MakeLoad(FlowScenarios().back(), 11), {}, LeaderCosts(pricePercent));
    INFO("at " << pricePercent << " percent");
    CHECK(outcome.mPlanShare <= kMaxShare);
  }
}

} // namespace oriolewalk::bench
