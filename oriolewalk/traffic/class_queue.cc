#include "oriolewalk/traffic/class_queue.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// Estimate before the first answer, in seconds: a typical short request. It
// affects only fairness; no request is refused because of it.
constexpr double kInitialEstimateSeconds = 0.02;
// Lower bound of the drain, so that the expected wait stays finite.
constexpr double kMinDrainSlots = 0.01;
// Up to this many flows keep their measured service time while they are idle.
constexpr std::size_t kMaxIdleFlows = 1024;

void
ApplyRule(flow& aFlow, const share_rule& aRule, time_point aNow)
{
  aFlow.mRule = aRule;
  aFlow.mBucket.Configure(aRule.mRequestsPerSecond, aRule.mBurst, aNow);
}

} // namespace

flow*
class_queue::FindOrAddFlow(const organisation_id& aOrganisation,
                           const share_rule& aRule,
                           std::size_t aMaxFlows,
                           time_point aNow)
{
  const auto found = mFlows.find(aOrganisation);
  if (found != mFlows.end()) {
    return found->second.get();
  }
  if (mFlows.size() >= aMaxFlows) {
    return nullptr;
  }
  auto made = std::make_unique<flow>();
  made->mOrganisation = aOrganisation;
  made->mTag.mWeight = aRule.mWeight;
  ApplyRule(*made, aRule, aNow);
  return mFlows.emplace(aOrganisation, std::move(made)).first->second.get();
}

void
class_queue::SetPolicy(const share_policy& aPolicy,
                       work_class aClass,
                       time_point aNow)
{
  for (const auto& [organisation, owned] : mFlows) {
    ApplyRule(*owned, aPolicy.Of(organisation, aClass), aNow);
    if (owned->mWaiting == 0) {
      owned->mTag.mWeight = owned->mRule.mWeight;
    }
  }
  for (flow* each : WaitingFlows()) {
    mOrder.SetWeight(*each, each->mRule.mWeight);
    UpdateActivation(*each);
  }
}

queue_position
class_queue::Push(flow& aFlow, waiting_request aRequest)
{
  const std::string& key = aRequest.mArrival.mCallerKey;
  caller_queue& caller = aFlow.mCallers[key];
  if (caller.mWaiting.empty()) {
    caller.mKey = key;
    aFlow.mOrder.Activate(caller);
  }
  const auto place =
    caller.mWaiting.insert(caller.mWaiting.end(), std::move(aRequest));
  ++aFlow.mWaiting;
  ++mWaiting;
  UpdateActivation(aFlow);
  return { &aFlow, &caller, place };
}

void
class_queue::Remove(const queue_position& aPosition)
{
  flow& owner = *aPosition.mFlow;
  caller_queue& caller = *aPosition.mCaller;
  caller.mWaiting.erase(aPosition.mRequest);
  --owner.mWaiting;
  --mWaiting;
  if (caller.mWaiting.empty()) {
    owner.mOrder.Deactivate(caller);
    owner.mCallers.erase(owner.mCallers.find(caller.mKey));
  }
  UpdateActivation(owner);
}

double
class_queue::Start(const queue_position& aPosition)
{
  flow& owner = *aPosition.mFlow;
  const double charge = Estimate(owner);
  owner.mOrder.Serve(*aPosition.mCaller);
  owner.mOrder.Charge(*aPosition.mCaller, charge);
  mOrder.Serve(owner);
  mOrder.Charge(owner, charge);
  owner.mChargedSeconds += charge;
  ++owner.mHeld;
  ++mHeld;
  Remove(aPosition);
  return charge;
}

void
class_queue::StartRestored(flow& aFlow)
{
  ++aFlow.mHeld;
  ++mHeld;
  UpdateActivation(aFlow);
}

void
class_queue::Finish(flow& aFlow,
                    std::string_view aCallerKey,
                    double aCharged,
                    duration aHeld,
                    bool aMeasured)
{
  const double correction = ToSeconds(aHeld) - aCharged;
  const auto caller = aFlow.mCallers.find(std::string(aCallerKey));
  if (caller != aFlow.mCallers.end()) {
    aFlow.mOrder.Charge(caller->second, correction);
  }
  mOrder.Charge(aFlow, correction);
  aFlow.mChargedSeconds += correction;
  if (aMeasured) {
    aFlow.mTime.Add(aHeld);
    mTime.Add(aHeld);
  }
  --aFlow.mHeld;
  --mHeld;
  UpdateActivation(aFlow);
}

double
class_queue::ExpectedWait(const flow& aFlow,
                          const std::string& aCallerKey,
                          double aDrain) const
{
  return WaitBehind(aFlow,
                    static_cast<double>(WaitingOf(aFlow, aCallerKey)),
                    static_cast<double>(aFlow.mWaiting),
                    aDrain);
}

double
class_queue::ExpectedWaitOfLast(const flow& aFlow,
                                const caller_queue& aCaller,
                                double aDrain) const
{
  return WaitBehind(aFlow,
                    static_cast<double>(aCaller.mWaiting.size()) - 1,
                    static_cast<double>(aFlow.mWaiting) - 1,
                    aDrain);
}

// Callers are served in turn, so a request waits for one round of all callers
// for each request ahead of it in its own queue, and never for more than the
// whole flow. The flow drains at its share or at the number of slots that it
// holds now, whichever is larger: by Little's law the held slots are the slot
// seconds that it receives per second, including capacity lent by others.
double
class_queue::WaitBehind(const flow& aFlow,
                        double aInCaller,
                        double aInFlow,
                        double aDrain) const
{
  const auto callers = static_cast<double>(aFlow.mCallers.size());
  const double ahead = std::min(aInFlow, (aInCaller + 1) * callers);
  const double weight = aFlow.mTag.mWeight;
  const double others =
    std::max(0.0, mOrder.Weight() - (aFlow.mTag.mActive ? weight : 0));
  double drain = std::max(aDrain * weight / (others + weight),
                          static_cast<double>(aFlow.mHeld));
  if (aFlow.mRule.mMaxSlots) {
    drain = std::min<double>(drain, *aFlow.mRule.mMaxSlots);
  }
  return ahead * Estimate(aFlow) / std::max(drain, kMinDrainSlots);
}

std::size_t
class_queue::WaitingOf(const flow& aFlow, const std::string& aCallerKey)
{
  const auto caller = aFlow.mCallers.find(aCallerKey);
  return caller == aFlow.mCallers.end() ? 0 : caller->second.mWaiting.size();
}

double
class_queue::Estimate(const flow& aFlow) const
{
  if (aFlow.mTime.IsKnown()) {
    return aFlow.mTime.Seconds();
  }
  return mTime.IsKnown() ? mTime.Seconds() : kInitialEstimateSeconds;
}

std::vector<flow*>
class_queue::WaitingFlows() const
{
  std::vector<flow*> flows;
  for (const auto& [organisation, owned] : mFlows) {
    if (owned->mWaiting > 0) {
      flows.push_back(owned.get());
    }
  }
  std::ranges::sort(flows, {}, &flow::mOrganisation);
  return flows;
}

void
class_queue::DropIdle(time_point aNow)
{
  if (mFlows.size() <= kMaxIdleFlows) {
    return;
  }
  // With no waiting flow, virtual times carry no debt that must be preserved.
  const bool noneWaiting = mOrder.Nodes().empty();
  std::erase_if(mFlows, [&](const auto& aEntry) {
    const flow& each = *aEntry.second;
    return each.mWaiting == 0 && each.mHeld == 0 &&
           (noneWaiting || each.mTag.mVirtual <= mOrder.VirtualTime()) &&
           each.mBucket.IsFull(aNow);
  });
}

queue_position
class_queue::Front(flow& aFlow)
{
  caller_queue* caller =
    aFlow.mOrder.First([](const caller_queue&) { return true; });
  return { &aFlow, caller, caller->mWaiting.begin() };
}

// A flow at its slot limit leaves the order, so that the choice of the next
// flow never has to skip flows that may not run.
void
class_queue::UpdateActivation(flow& aFlow)
{
  const auto limit = aFlow.mRule.mMaxSlots;
  if (aFlow.mWaiting > 0 && (!limit || aFlow.mHeld < *limit)) {
    mOrder.Activate(aFlow);
  } else {
    mOrder.Deactivate(aFlow);
  }
}

} // namespace oriolewalk::traffic
