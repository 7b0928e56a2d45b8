#pragma once

// Gives the arrivals of a scenario to a policy and to made-up targets, event
// by event in made-up time, and gathers what callers receive.
//
//   const outcome seen = Run(HotCaller(true), policy_kind::Own);
//   seen.mByLabel.at("others").mResponses …
//
// Used by the benchmark and by the tests of scenarios. One thread.

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

// What the callers of one kind received; times in seconds.
struct caller_outcome
{
  std::uint64_t mOffered = 0;
  std::uint64_t mInTime = 0; // answered before the deadline
  std::uint64_t mLate = 0;
  std::uint64_t mFailed = 0;
  std::array<std::uint64_t, traffic::kRefusalCount> mRefused{};
  std::uint64_t mPending = 0;        // neither, at the end
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
  double mWastedSeconds = 0; // slot time of answers that came too late
  double mWindowSeconds = 0;
  std::uint64_t mOverbooked = 0; // attempts beyond a target's slots
  std::uint64_t mAttempts = 0;
  std::uint64_t mArrivals = 0; // resends included
  std::uint64_t mDispatchedToLeaving =
    0;                        // dispatched to a target that had left
  double mDecisionMicros = 0; // policy's processor time per arrival
};

outcome
Run(const scenario& aScenario, policy_kind aKind);

// Of an unsorted series; aPart in [0, 1]. 0 for an empty one.
double
Percentile(std::vector<double> aSeries, double aPart);

} // namespace oriolewalk::bench
