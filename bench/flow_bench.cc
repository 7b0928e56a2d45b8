// oriole-bench flow: plays seeded arrivals of jobs of several steps on
// simulated workers, under the product's policy, with each of its mechanisms
// switched off, and under plain baselines. Times are simulated; only the
// processor time of the decisions is measured on this machine.

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <ranges>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/flow_driver.h"
#include "bench/flow_scenario.h"
#include "bench/report.h"

namespace oriolewalk::bench {
namespace {

constexpr std::array<std::uint64_t, 2> kSeeds{ 11, 12 };

struct named_policy
{
  std::string_view mName;
  flow::plan_policy mPolicy;
};

std::vector<named_policy>
Policies()
{
  using flow::placement_rule;
  using flow::plan_order;
  using flow::plan_policy;
  using flow::share_rule;
  std::vector<named_policy> all{ { "own", {} } };
  const auto add = [&](std::string_view aName, auto aChange) {
    plan_policy policy;
    aChange(policy);
    all.push_back({ aName, policy });
  };
  const auto plain = [](plan_policy& aPolicy) {
    aPolicy = { plan_order::LeastSlack,
                placement_rule::Spreading,
                false,
                false,
                false,
                false,
                share_rule::None,
                false,
                false,
                false,
                false,
                false };
  };
  add("callers_estimates",
      [](plan_policy& aOne) { aOne.mLearnsDurations = false; });
  add("useful_first",
      [](plan_policy& aOne) { aOne.mOrder = plan_order::UsefulFirst; });
  add("no_packing",
      [](plan_policy& aOne) { aOne.mPlacement = placement_rule::Spreading; });
  add("no_asking_ahead", [](plan_policy& aOne) { aOne.mQueriesAhead = false; });
  add("no_holds", [](plan_policy& aOne) { aOne.mReservesCapacity = false; });
  add("no_preemption", [](plan_policy& aOne) { aOne.mPreempts = false; });
  add("no_shares", [](plan_policy& aOne) { aOne.mSharesAdvisors = false; });
  add("first_fit",
      [](plan_policy& aOne) { aOne.mPlacement = placement_rule::FirstFit; });
  add("plain_least_slack", plain);
  add("plain_priority", [&](plan_policy& aOne) {
    plain(aOne);
    aOne.mOrder = plan_order::Priority;
  });
  add("plain_arrival", [&](plan_policy& aOne) {
    plain(aOne);
    aOne.mOrder = plan_order::Arrival;
  });
  return all;
}

// The product's policy, and with one of the mechanisms for uneven workers and
// demand switched off.
std::vector<named_policy>
UnevenPolicies()
{
  using flow::plan_policy;
  std::vector<named_policy> all{ { "own", {} } };
  const auto add = [&](std::string_view aName, bool plan_policy::*aSwitch) {
    plan_policy policy;
    policy.*aSwitch = false;
    all.push_back({ aName, policy });
  };
  add("no_speeds", &plan_policy::mPlacesBySpeed);
  add("no_forecast", &plan_policy::mForecastsDemand);
  add("no_learned_durations", &plan_policy::mLearnsDurations);
  add("no_copies", &plan_policy::mCopies);
  return all;
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last)];
}

void
AddQueue(bench_report& aReport,
         const std::string& aName,
         const queue_outcome& aQueue)
{
  const auto share = [](std::size_t aPart, std::size_t aWhole) {
    return aWhole == 0
             ? 1.0
             : static_cast<double>(aPart) / static_cast<double>(aWhole);
  };
  aReport.Add(aName + ".in_time", share(aQueue.mInTime, aQueue.mJobs), "share");
  aReport.Add(aName + ".late", share(aQueue.mLate, aQueue.mJobs), "share");
  aReport.Add(aName + ".never", share(aQueue.mNever, aQueue.mJobs), "share");
  aReport.Add(aName + ".largest_in_time",
              share(aQueue.mLargestInTime, aQueue.mLargest),
              "share");
  constexpr double kTailQuantile = 0.95;
  aReport.Add(aName + ".first_start_p95",
              Quantile(aQueue.mFirstStartMs, kTailQuantile),
              "ms");
}

void
AddQueues(bench_report& aReport,
          const std::string& aName,
          const std::map<std::string, queue_outcome>& aQueues)
{
  for (const auto& [queue, outcome] : aQueues) {
    std::string figure = aName + ".";
    figure += queue;
    AddQueue(aReport, figure, outcome);
  }
}

void
Add(queue_outcome& aSum, const queue_outcome& aOne)
{
  aSum.mJobs += aOne.mJobs;
  aSum.mInTime += aOne.mInTime;
  aSum.mLate += aOne.mLate;
  aSum.mNever += aOne.mNever;
  aSum.mLargest += aOne.mLargest;
  aSum.mLargestInTime += aOne.mLargestInTime;
  aSum.mFirstStartMs.insert(aSum.mFirstStartMs.end(),
                            aOne.mFirstStartMs.begin(),
                            aOne.mFirstStartMs.end());
}

void
AddOutcome(bench_report& aReport,
           const std::string& aName,
           const flow_outcome& aOne)
{
  constexpr double kMsPerSecond = 1'000;
  for (const auto& [cause, ms] : aOne.mWaitMs) {
    std::string figure = aName + ".wait.";
    figure += cause;
    aReport.Add(std::move(figure), ms / kMsPerSecond, "s");
  }
  aReport.Add(
    aName + ".questions", static_cast<double>(aOne.mQueries), "questions");
  aReport.Add(aName + ".advice", aOne.mAdviceMs / kMsPerSecond, "s");
  aReport.Add(
    aName + ".thrown_away", aOne.mLostWorkMs / kMsPerSecond, "task s");
  aReport.Add(
    aName + ".over_booked", static_cast<double>(aOne.mOverCapacity), "starts");
  aReport.Add(aName + ".decisions", aOne.mDecisionMs, "processor ms");
  aReport.Add(aName + ".starts", static_cast<double>(aOne.mStarts), "starts");
}

void
RunScenario(bench_report& aReport,
            const flow_scenario& aScenario,
            const named_policy& aPolicy)
{
  const std::string name =
    "workers_" + aScenario.mName + "." + std::string(aPolicy.mName);
  std::map<std::string, queue_outcome> queues;
  queue_outcome all;
  for (const std::uint64_t seed : kSeeds) {
    const flow_outcome one =
      SimulateLoad(MakeLoad(aScenario, seed), aPolicy.mPolicy);
    for (const auto& [queue, outcome] : one.mQueues) {
      Add(queues[queue], outcome);
      Add(all, outcome);
    }
    AddOutcome(aReport, name + ".seed_" + std::to_string(seed), one);
  }
  AddQueues(aReport, name, queues);
  AddQueue(aReport, name + ".all", all);
}

const registered_bench kFlow("flow", [](bench_report& aReport) {
  const std::vector<flow_scenario> scenarios = FlowScenarios();
  for (const named_policy& policy : Policies()) {
    RunScenario(aReport, scenarios.front(), policy);
  }
  // The larger scenarios use only the product's policy, to show what decisions
  // cost there.
  for (const flow_scenario& larger : scenarios | std::views::drop(1)) {
    RunScenario(aReport, larger, Policies().front());
  }
  for (const named_policy& policy : UnevenPolicies()) {
    RunScenario(aReport, UnevenScenario(), policy);
  }
});

const registered_bench kUneven("uneven", [](bench_report& aReport) {
  for (const named_policy& policy : UnevenPolicies()) {
    RunScenario(aReport, UnevenScenario(), policy);
  }
});

void
AddCounts(bench_report& aReport,
          const std::string& aName,
          const flow::decision_counts& aCounts)
{
  const auto add = [&](std::string_view aWhat, std::uint64_t aCount) {
    aReport.Add(
      std::string(aName).append(aWhat), static_cast<double>(aCount), "count");
  };
  add(".plans", aCounts.mPlans);
  add(".planned_workers", aCounts.mPlannedWorkers);
  add(".evaluated_workers", aCounts.mEvaluatedWorkers);
  add(".ticked_workers", aCounts.mTickedWorkers);
  add(".planned_steps", aCounts.mPlannedSteps);
  add(".planned_tasks", aCounts.mPlannedTasks);
  add(".comparisons", aCounts.mComparisons);
}

// The cost of one load in cells of growing size.
const registered_bench kFleet("fleet", [](bench_report& aReport) {
  for (const flow_scenario& scenario : FleetScenarios()) {
    const flow_outcome one =
      SimulateLoad(MakeLoad(scenario, kSeeds.front()), {});
    const std::string name = "workers_" + scenario.mName;
    for (const auto& [activity, ms] : one.mActivityMs) {
      std::string figure = name + ".";
      figure += activity;
      aReport.Add(std::move(figure), ms, "processor ms");
    }
    aReport.Add(name + ".plan", one.mDecisionMs, "processor ms");
    AddCounts(aReport, name, one.mCounts);
    AddQueues(aReport, name, one.mQueues);
  }
});

// A full cell with processors of growing price: where its leader saturates.
const registered_bench kSaturation("saturation", [](bench_report& aReport) {
  constexpr std::array kPrices{ 0, 100, 150, 200 };
  const flow_load load = MakeLoad(FlowScenarios().back(), kSeeds.front());
  for (const int percent : kPrices) {
    const flow_outcome one = SimulateLoad(load, {}, LeaderCosts(percent));
    const std::string name = "price_" + std::to_string(percent);
    AddOutcome(aReport, name, one);
    AddCounts(aReport, name, one.mCounts);
    AddQueues(aReport, name, one.mQueues);
    aReport.Add(name + ".plan_share", one.mPlanShare, "share");
  }
});

// What each optional part of a plan adds to its cost, in a full cell.
const registered_bench kParts("parts", [](bench_report& aReport) {
  const flow_load load = MakeLoad(FlowScenarios().back(), kSeeds.front());
  std::vector<named_policy> policies = UnevenPolicies();
  flow::plan_policy noRefusals;
  noRefusals.mRefusesHopeless = false;
  policies.push_back({ "no_refusals", noRefusals });
  flow::plan_policy none = noRefusals;
  none.mPlacesBySpeed = false;
  none.mForecastsDemand = false;
  none.mLearnsDurations = false;
  none.mCopies = false;
  policies.push_back({ "none", none });
  for (const named_policy& policy : policies) {
    constexpr double kMicroseconds = 1'000;
    const flow_outcome one = SimulateLoad(load, policy.mPolicy);
    const std::string name(policy.mName);
    aReport.Add(name + ".plan",
                kMicroseconds * one.mDecisionMs /
                  static_cast<double>(one.mCounts.mPlans),
                "processor us");
    aReport.Add(
      name + ".applied", one.mActivityMs.at("applied"), "processor ms");
    AddQueues(aReport, name, one.mQueues);
  }
});

} // namespace
} // namespace oriolewalk::bench
