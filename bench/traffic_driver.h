#pragma once

// A discrete-event simulation: passes the arrivals of a scenario to a policy
// and to simulated targets, and collects what callers receive.
//
//   const outcome seen = Run(HotCaller(true), policy_kind::Own);
//   seen.mByLabel.at("others").mResponses …
//
// Used by the benchmark and by the scenario tests. Single-threaded.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/traffic_baselines.h"
#include "bench/traffic_scenario.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

// What the callers of one label or class received; times in seconds.
struct caller_outcome
{
  std::uint64_t mOffered = 0;
  std::uint64_t mInTime = 0; // answered before the deadline
  std::uint64_t mLate = 0;
  std::uint64_t mFailed = 0;
  std::array<std::uint64_t, traffic::kRefusalCount> mRefused{};
  std::uint64_t mPending = 0;        // undecided at the end
  double mSlotSeconds = 0;           // used within the window
  std::vector<double> mWaits;        // from arrival to the start at the target
  std::vector<double> mResponses;    // from arrival to the answer
  std::vector<double> mRefusalWaits; // from arrival to the refusal
};

struct outcome
{
  std::map<std::string, caller_outcome> mByLabel;
  std::array<caller_outcome, traffic::kClassCount> mByClass;
  double mGoodput = 0;       // service time answered in time / capacity
  double mWastedSeconds = 0; // slot time used after the deadline
  double mWindowSeconds = 0;
  std::uint64_t mOverbooked = 0; // attempts beyond a target's slots
  std::uint64_t mAttempts = 0;
  std::uint64_t mArrivals = 0; // including resends
  std::uint64_t mDispatchedToLeaving =
    0;                        // attempts sent to a target that had left
  double mDecisionMicros = 0; // processor time of the policy per arrival
};

outcome
Run(const scenario& aScenario, policy_kind aKind);

// The quantile aPart, in [0, 1], of an unsorted series; 0 if it is empty.
double
Percentile(std::vector<double> aSeries, double aPart);

} // namespace oriolewalk::bench
