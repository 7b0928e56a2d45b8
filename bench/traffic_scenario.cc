#include "bench/traffic_scenario.h"

#include <cstddef>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

using traffic::work_class;

namespace {

constexpr double kQuick = 0.02; // seconds; a fee check
constexpr double kLong = 3;     // seconds; a settlement
constexpr double kUrgentPart = 0.3;
constexpr double kHeavyPart = 0.2;

source
Urgent(const scenario& aScenario, double aPart)
{
  return { .mLabel = "urgent",
           .mOrganisation = organisation_id("taksa"),
           .mClass = work_class::Urgent,
           .mPerSecond = aPart * FullLoad(aScenario, kQuick),
           .mMeanSeconds = kQuick,
           .mDeadline = seconds(1) };
}

source
Normal(const scenario& aScenario, double aPart, const std::string& aName)
{
  return { .mLabel = aName,
           .mOrganisation = organisation_id(aName),
           .mPerSecond = aPart * FullLoad(aScenario, kQuick),
           .mMeanSeconds = kQuick };
}

source
Heavy(const scenario& aScenario, double aPart)
{
  return { .mLabel = "heavy",
           .mOrganisation = organisation_id("taksa"),
           .mClass = work_class::Heavy,
           .mPerSecond = aPart * FullLoad(aScenario, kLong),
           .mMeanSeconds = kLong,
           .mDeadline = seconds(120) };
}

} // namespace

// The load is aTimes the capacity in total; the urgent part alone always fits.
scenario
Overload(double aTimes)
{
  scenario made;
  made.mName = "overload_" + std::to_string(aTimes).substr(0, 4) + "x";
  made.mSources = { Urgent(made, kUrgentPart),
                    Normal(made, aTimes - kUrgentPart - kHeavyPart, "normal"),
                    Heavy(made, kHeavyPart) };
  return made;
}

// Four organisations with weights 1 : 2 : 3 : 4 offer far more than fits.
scenario
SharesUnderOverload()
{
  scenario made;
  made.mName = "shares";
  for (int weight = 1; weight <= 4; ++weight) {
    const std::string name = "weight" + std::to_string(weight);
    // Service times differ, because shares are of slot time, not of requests.
    source each = Normal(made, 1.5, name);
    each.mMeanSeconds = kQuick * weight;
    each.mPerSecond /= weight;
    made.mSources.push_back(each);
    made.mPolicy.Set(organisation_id(name),
                     work_class::Normal,
                     { .mWeight = static_cast<double>(weight) });
  }
  return made;
}

// Twenty callers of one organisation use two thirds of the capacity. If aHot,
// one more caller sends twice the capacity.
scenario
HotCaller(bool aHot)
{
  scenario made;
  made.mName = aHot ? "hot_caller" : "no_hot_caller";
  made.mSources = { Normal(made, 0.66, "others") };
  if (aHot) {
    source hot = Normal(made, 2, "others");
    hot.mLabel = "hot";
    hot.mCallers = 1;
    made.mSources.push_back(hot);
  }
  return made;
}

// 200 urgent callers with little work each. If aHot, one key is requested at
// three times the capacity of the service.
scenario
HotKey(bool aHot)
{
  scenario made;
  made.mName = aHot ? "hot_key" : "no_hot_key";
  source others = Urgent(made, 0.4);
  others.mLabel = "others";
  others.mCallers = 200;
  made.mSources = { others };
  if (aHot) {
    source hot = Urgent(made, 3);
    hot.mLabel = "hot";
    hot.mCallers = 1;
    made.mSources.push_back(hot);
  }
  return made;
}

// Two of fifty targets become ten times slower at second 3.
scenario
SlowTarget()
{
  scenario made;
  made.mName = "slow_target";
  made.mSources = { Urgent(made, kUrgentPart), Normal(made, 0.5, "normal") };
  made.mEvents = { { 3, 0, target_change::Slow, 10 },
                   { 3, 25, target_change::Slow, 10 } };
  return made;
}

// Three of fifty targets fail every request immediately from second 3 to 6.
scenario
FailingTarget()
{
  scenario made;
  made.mName = "failing_target";
  made.mSources = { Urgent(made, kUrgentPart), Normal(made, 0.5, "normal") };
  for (const std::size_t target : { 1U, 20U, 40U }) {
    made.mEvents.push_back({ 3, target, target_change::Fail, 1 });
    made.mEvents.push_back({ 6, target, target_change::Recover, 1 });
  }
  return made;
}

// Long work in the heavy class and mislabelled as normal, before and among
// short work. The long work alone would fill the slots twice.
scenario
LongAmongShort()
{
  scenario made;
  made.mName = "long_among_short";
  source hidden = Heavy(made, 1);
  hidden.mClass = work_class::Normal;
  hidden.mOrganisation = organisation_id("hidden");
  hidden.mLabel = "hidden";
  hidden.mDeadline = seconds(20);
  made.mSources = { Heavy(made, 1),
                    hidden,
                    Urgent(made, kUrgentPart),
                    Normal(made, 0.2, "normal") };
  return made;
}

// Half of the capacity, plus eight times the capacity for half a second.
scenario
Burst()
{
  scenario made;
  made.mName = "burst";
  source burst = Normal(made, 8, "burst");
  burst.mFrom = 4;
  burst.mTo = 4.5;
  made.mSources = { Urgent(made, 0.2), Normal(made, 0.3, "normal"), burst };
  return made;
}

// A sixth over capacity, with callers that send again immediately.
scenario
RetryStorm()
{
  scenario made;
  made.mName = "retry_storm";
  made.mSources = { Urgent(made, kUrgentPart), Normal(made, 0.87, "normal") };
  for (auto& each : made.mSources) {
    each.mRepeatable = true;
  }
  made.mResend = resend_rule::Immediately;
  return made;
}

// At four fifths of the capacity, 17 of 50 targets leave at second 4.
scenario
ThirdLeaves()
{
  scenario made;
  made.mName = "third_leaves";
  made.mSources = { Urgent(made, kUrgentPart), Normal(made, 0.5, "normal") };
  for (std::size_t target = 0; target < 17; ++target) {
    made.mEvents.push_back({ 4, target * 3 % 50, target_change::Leave, 1 });
  }
  return made;
}

// 1.5 times the capacity, without a leader for half a second from second 4 on.
scenario
LeaderChange()
{
  scenario made = Overload(1.5);
  made.mName = "leader_change";
  made.mLeaderLostSeconds = 4;
  return made;
}

std::vector<scenario>
AllScenarios()
{
  return { Overload(1.0),   Overload(1.5),         Overload(3.0),
           Overload(10.0),  SharesUnderOverload(), HotCaller(false),
           HotCaller(true), HotKey(false),         HotKey(true),
           SlowTarget(),    FailingTarget(),       LongAmongShort(),
           Burst(),         RetryStorm(),          ThirdLeaves(),
           LeaderChange() };
}

} // namespace oriolewalk::bench
