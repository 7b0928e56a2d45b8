#pragma once

// The arrivals and target events of one traffic scenario. A scenario is data:
// each policy gets the same seeded arrivals.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

// Independent (Poisson) arrivals with exponential service times.
struct source
{
  std::string mLabel; // outcomes are grouped by it
  organisation_id mOrganisation;
  traffic::work_class mClass = traffic::work_class::Normal;
  double mPerSecond = 0;
  double mMeanSeconds = 0.02;
  duration mDeadline = seconds(2);
  std::uint32_t mCallers = 20; // number of caller keys, equally likely
  bool mRepeatable = false;
  double mFrom = 0; // seconds
  double mTo = 1e9;
};

enum class target_change : std::uint8_t
{
  Slow,    // service times are multiplied by mFactor
  Fail,    // every request fails within a millisecond
  Recover, // ends Slow and Fail
  Leave,   // announces that it leaves; ends when idle
};

struct target_event
{
  double mAt = 0;
  std::size_t mTarget = 0;
  target_change mChange = target_change::Recover;
  double mFactor = 1;
};

enum class resend_rule : std::uint8_t
{
  Never,
  AfterRefusal, // after the time that the refusal gives; at most five times
  Immediately,  // 20 ms after any failure or refusal; at most ten times
};

struct scenario
{
  std::string mName;
  std::vector<source> mSources;
  std::vector<target_event> mEvents;
  traffic::share_policy mPolicy;
  traffic::dispatch_options mOptions; // of the project's own policy
  std::size_t mTargets = 50;
  std::uint32_t mSlots = 8;
  std::uint32_t mDataCentres = 4;
  double mSeconds = 14;
  double mWarmUp = 2; // outcomes of earlier arrivals do not count
  resend_rule mResend = resend_rule::Never;
  double mLeaderLostSeconds = -1; // seconds; negative: never
  // Delay between a decision and its effect, uniformly distributed: the commit
  // of the claim.
  double mMinCommitSeconds = 0;
  double mMaxCommitSeconds = 0;
  // Additional share of all arrivals that goes to the first of seven entries.
  double mSkew = 0;
  std::uint64_t mSeed = 1;
};

// Requests per second with this mean service time that fill all slots.
inline double
FullLoad(const scenario& aScenario, double aMeanSeconds)
{
  return static_cast<double>(aScenario.mTargets * aScenario.mSlots) /
         aMeanSeconds;
}

// The scenarios of docs/POLICY.md.
std::vector<scenario>
AllScenarios();
scenario
Overload(double aTimes);
scenario
SharesUnderOverload();
scenario
HotCaller(bool aHot);
scenario
HotKey(bool aHot);
scenario
SlowTarget();
scenario
FailingTarget();
scenario
LongAmongShort();
scenario
Burst();
scenario
RetryStorm();
scenario
ThirdLeaves();
scenario
LeaderChange();

} // namespace oriolewalk::bench
