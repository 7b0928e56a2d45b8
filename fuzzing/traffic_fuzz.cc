// Runs the dispatcher against a simple oracle: applies any sequence of events
// and checks after each event the guarantees that hold whatever it decides.

#include <fuzzer/FuzzedDataProvider.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <numeric>
#include <string>
#include <variant>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/traffic/dispatcher.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

void
Require(bool aCondition, const char* aGuarantee)
{
  if (!aCondition) {
    std::fprintf(stderr, "broken: %s\n", aGuarantee);
    std::abort();
  }
}

struct known_target
{
  target_state mState;
  bool mIsServing = false;
  bool mIsLeaving = false;
  std::uint32_t mHeld = 0;
};

struct running_request
{
  target_id mTarget;
  organisation_id mOrganisation;
  work_class mClass = work_class::Normal;
};

class oracle
{
public:
  oracle(const std::uint8_t* aData, std::size_t aSize)
    : mData(aData, aSize)
    , mTraffic(dispatch_options{}, mData.ConsumeIntegral<std::uint8_t>())
  {
  }

  void Run()
  {
    while (mData.remaining_bytes() > 0) {
      Step();
      CheckDecisions();
      CheckSums();
    }
    Drain();
  }

private:
  target_id PickTarget()
  {
    return target_id("t" + std::to_string(mData.ConsumeIntegralInRange(0, 5)));
  }
  organisation_id PickOrganisation()
  {
    return organisation_id("o" +
                           std::to_string(mData.ConsumeIntegralInRange(0, 3)));
  }
  work_class PickClass()
  {
    return kClasses.at(mData.ConsumeIntegralInRange<std::size_t>(0, 2));
  }
  request_id PickRequest()
  {
    return request_id(mData.ConsumeIntegralInRange<std::uint64_t>(0, mNext));
  }

  void Step()
  {
    switch (mData.ConsumeIntegralInRange(0, 10)) {
      case 0:
        return AnnounceTarget();
      case 1:
        return StartTargetLeave();
      case 2:
        return RemoveTarget();
      case 3:
      case 4:
      case 5:
        return Arrive();
      case 6:
        return Cancel();
      case 7:
        return Restore();
      case 8:
        return Finish(PickRequest(), finish_result::Answered);
      case 9:
        return mData.ConsumeBool() ? SetPolicy() : FinishOldest();
      default:
        return AdvanceTime();
    }
  }

  void AnnounceTarget()
  {
    const target_id id = PickTarget();
    const target_state state{
      id,
      service_id("s"),
      data_centre_id(mData.ConsumeBool() ? "a" : "b"),
      mData.ConsumeIntegralInRange<std::uint32_t>(0, 20),
      mData.ConsumeIntegralInRange<std::uint32_t>(1, 20)
    };
    known_target& target = mTargets[id];
    if (!target.mIsLeaving) {
      target.mState = state;
      target.mIsServing = true;
    }
    mTraffic.OnTargetUp(state, mNow);
  }

  void StartTargetLeave()
  {
    const target_id id = PickTarget();
    known_target& target = mTargets[id];
    target.mIsLeaving = target.mIsLeaving || target.mIsServing;
    target.mIsServing = false;
    mTraffic.OnTargetLeaving(id, mNow);
  }

  void RemoveTarget()
  {
    const target_id id = PickTarget();
    mTargets[id].mIsServing = false;
    mTargets[id].mIsLeaving = false;
    mTraffic.OnTargetGone(id, mNow);
  }

  void Arrive()
  {
    arrival made;
    made.mId = request_id(++mNext);
    made.mService = service_id("s");
    made.mOrganisation = PickOrganisation();
    made.mCallerKey =
      std::string(1, static_cast<char>(mData.ConsumeIntegralInRange('a', 'd')));
    made.mClass = PickClass();
    made.mRepeatable = mData.ConsumeBool();
    made.mOrigin = data_centre_id("a");
    made.mDeadline =
      mNow + milliseconds(mData.ConsumeIntegralInRange(-5, 5000));
    mWaiting.emplace(made.mId, made);
    Require(mTraffic.OnArrival(made, mNow), "a new id is accepted");
    CheckDecisions();
    const bool held =
      mWaiting.contains(made.mId) || mRunning.contains(made.mId);
    if (held) {
      Require(!mTraffic.OnArrival(made, mNow), "an id is accepted only once");
    }
  }

  void Cancel()
  {
    const request_id id = PickRequest();
    Require(mTraffic.Cancel(id, mNow) == (mWaiting.erase(id) > 0),
            "exactly the waiting requests can be cancelled");
  }

  void Restore()
  {
    const running_attempt attempt{ request_id(++mNext),
                                   service_id("s"),
                                   PickTarget(),
                                   PickOrganisation(),
                                   PickClass() };
    known_target& target = mTargets[attempt.mTarget];
    ++target.mHeld;
    ++mHeld[{ attempt.mOrganisation, attempt.mClass }];
    mRunning.emplace(attempt.mId,
                     running_request{ attempt.mTarget,
                                      attempt.mOrganisation,
                                      attempt.mClass });
    mTraffic.Restore(attempt, mNow);
  }

  void Finish(request_id aId, finish_result aResult)
  {
    const auto found = mRunning.find(aId);
    if (found != mRunning.end()) {
      --mTargets.at(found->second.mTarget).mHeld;
      --mHeld[{ found->second.mOrganisation, found->second.mClass }];
      mRunning.erase(found);
    }
    mTraffic.OnFinished(
      aId,
      { aResult, milliseconds(mData.ConsumeIntegralInRange(0, 3000)) },
      mNow);
  }

  void FinishOldest()
  {
    const auto result =
      static_cast<finish_result>(mData.ConsumeIntegralInRange(0, 4));
    if (!mRunning.empty()) {
      Finish(mRunning.begin()->first, result);
    }
  }

  void SetPolicy()
  {
    share_rule rule;
    rule.mWeight = mData.ConsumeIntegralInRange(0, 9);
    if (mData.ConsumeBool()) {
      rule.mMaxSlots = mData.ConsumeIntegralInRange<std::uint32_t>(0, 4);
    }
    if (mData.ConsumeBool()) {
      rule.mRequestsPerSecond = mData.ConsumeIntegralInRange(0, 9);
    }
    if (mData.ConsumeBool()) {
      rule.mMaxWaiting = mData.ConsumeIntegralInRange<std::uint32_t>(0, 5);
    }
    mPolicy.Set(PickOrganisation(), PickClass(), rule);
    mTraffic.SetPolicy(mPolicy, mNow);
  }

  void AdvanceTime()
  {
    mNow += milliseconds(mData.ConsumeIntegralInRange(0, 2000));
    // The owner's tick may be late, so that other events come first.
    mHasTicked = mData.ConsumeBool();
    if (mHasTicked) {
      mTraffic.Tick(mNow);
    }
  }

  void CheckDecisions()
  {
    const auto stats = mTraffic.Stats();
    for (const decision& each : mTraffic.TakeDecisions()) {
      std::visit(overloaded{ [&](const dispatch& aDispatch) {
                              CheckDispatch(aDispatch, stats);
                            },
                             [&](const refuse& aRefuse) {
                               Require(mWaiting.erase(aRefuse.mId) > 0,
                                       "each arrival gets one decision");
                               Require(aRefuse.mRetryAfter > duration::zero(),
                                       "a refusal gives a retry delay");
                             } },
                 each);
    }
    if (!mHasTicked) {
      return;
    }
    mHasTicked = false;
    for (const auto& [id, waits] : mWaiting) {
      Require(mNow < waits.mDeadline, "no request waits past its deadline");
    }
  }

  void CheckDispatch(const dispatch& aDispatch, const dispatcher_stats& aStats)
  {
    const auto found = mWaiting.find(aDispatch.mId);
    Require(found != mWaiting.end(),
            "only a waiting request is dispatched, and once");
    const arrival request = found->second;
    mWaiting.erase(found);
    Require(mNow < request.mDeadline, "no expired request is dispatched");
    known_target& target = mTargets.at(aDispatch.mTarget);
    Require(target.mIsServing, "a leaving or gone target gets no request");
    ++target.mHeld;
    Require(target.mHeld <=
              std::min(target.mState.mSlots, target.mState.mConnections),
            "slots and connections are not exceeded");
    const auto limit =
      mPolicy.Of(request.mOrganisation, request.mClass).mMaxSlots;
    const std::uint32_t held =
      ++mHeld[{ request.mOrganisation, request.mClass }];
    Require(!limit || held <= *limit,
            "an organisation's limit is not exceeded");
    for (const target_stats& seen : aStats.mServices.at(0).mTargets) {
      Require(
        seen.mId != aDispatch.mTarget ||
          (seen.mPhase != target_phase::Ejected && seen.mHeld <= seen.mAllowed),
        "allowed slots are not exceeded, and an ejected target gets no "
        "request");
    }
    mRunning.emplace(aDispatch.mId,
                     running_request{ aDispatch.mTarget,
                                      request.mOrganisation,
                                      request.mClass });
  }

  void CheckSums()
  {
    std::size_t waiting = 0;
    std::size_t held = 0;
    for (const service_stats& each : mTraffic.Stats().mServices) {
      waiting += std::accumulate(
        each.mWaiting.begin(), each.mWaiting.end(), std::size_t{ 0 });
      held +=
        std::accumulate(each.mHeld.begin(), each.mHeld.end(), std::size_t{ 0 });
      for (const target_stats& target : each.mTargets) {
        Require(target.mHeld == mTargets[target.mId].mHeld,
                "slots held are those of running attempts");
      }
    }
    Require(waiting == mWaiting.size(), "no waiting request is lost");
    Require(held == mRunning.size(), "no running attempt is lost");
    const auto due = mTraffic.NextWake();
    for (const auto& [id, waits] : mWaiting) {
      Require(due && *due <= waits.mDeadline, "a wake-up is requested in time");
    }
  }

  // Ends all attempts and checks that each arrival got its decision.
  void Drain()
  {
    while (!mRunning.empty()) {
      Finish(mRunning.begin()->first, finish_result::Answered);
      CheckDecisions();
    }
    mNow += seconds(100);
    mTraffic.Tick(mNow);
    mHasTicked = true;
    CheckDecisions();
    const dispatch_counters& counters = mTraffic.Counters();
    const std::uint64_t refused = std::accumulate(
      counters.mRefused.begin(), counters.mRefused.end(), std::uint64_t{ 0 });
    Require(mWaiting.empty(), "every request gets its decision");
    Require(counters.mArrived ==
              counters.mDispatched + counters.mCancelled + refused,
            "arrivals are dispatched, cancelled or refused");
  }

  FuzzedDataProvider mData;
  dispatcher mTraffic;
  share_policy mPolicy;
  time_point mNow{ seconds(1000) };
  std::uint64_t mNext = 0;
  bool mHasTicked = false;
  std::map<request_id, arrival> mWaiting;
  std::map<request_id, running_request> mRunning;
  std::map<target_id, known_target> mTargets;
  std::map<std::pair<organisation_id, work_class>, std::uint32_t> mHeld;
};

} // namespace
} // namespace oriolewalk::traffic

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  oriolewalk::traffic::oracle(aData, aSize).Run();
  return 0;
}
