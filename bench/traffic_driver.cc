#include "bench/traffic_driver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "bench/traffic_baselines.h"
#include "bench/traffic_scenario.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/dispatcher.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

using traffic::dispatcher;
using traffic::finish_result;
using traffic::FromSeconds;
using traffic::request_id;
using traffic::ToSeconds;

namespace {

const service_id kService("service");
constexpr double kNearRoundTripSeconds = 0.0002; // round trip
constexpr double kFarRoundTripSeconds = 0.002;
constexpr double kFailSeconds = 0.001;
constexpr double kLeaderGapSeconds = 0.5;
constexpr double kRenewSeconds = 0.5;

struct request
{
  std::size_t mSource = 0;
  std::string mCaller;
  std::size_t mOrigin = 0;
  double mService = 0;
  time_point mArrivedAt{};
  time_point mDeadline{};
  time_point mTriedAt{}; // when the current try arrived
  std::size_t mTarget = 0;
  bool mHoldsSlot = false; // whether it holds a slot of mTarget
  std::uint32_t mTries = 0;
  bool mIsUndecided = false;
  bool mIsCounted = false;
  bool mIsRunning = false;
  double mHeld = 0;
  time_point mBeganAt{};
};

struct fake_target
{
  traffic::target_state mState;
  std::uint32_t mRunning = 0;
  std::deque<std::size_t> mQueue; // indexes of requests
  double mFactor = 1;
  bool mIsFailing = false;
  bool mHasLeft = false;
};

enum class event_kind : std::uint8_t
{
  Arrive,
  ReachTarget, // a dispatched request reaches its target
  End,
  Change,
  LeaderLost,
  LeaderElected,
  Renew,
};

struct event
{
  time_point mAt{};
  std::uint64_t mOrder = 0;
  event_kind mKind = event_kind::Arrive;
  std::size_t mIndex = 0;

  bool operator<(const event& aOther) const
  {
    return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
  }
};

class runner
{
public:
  runner(const scenario& aScenario, policy_kind aKind)
    : mScenario(aScenario)
    , mKind(aKind)
    , mRandom(aScenario.mSeed)
    , mPolicy(
        MakePolicy(aKind, aScenario.mOptions, aScenario.mSkew, aScenario.mSeed))
  {
  }

  outcome Run();

private:
  // Setup.
  void MakeTargets();
  void MakeArrivals();
  void MakeArrivalsOf(std::size_t aSource);
  double Exponential(double aMean);

  // Events.
  void Handle(const event& aEvent);
  void Arrive(std::size_t aRequest);
  void OnReachedTarget(std::size_t aRequest);
  void Begin(std::size_t aRequest);
  void End(std::size_t aRequest);
  void CountSlotTime(std::size_t aRequest, bool aFailed);
  void Change(const target_event& aEvent);
  void LoseLeader();
  void ElectLeader();

  // Between the policy and the simulated system.
  template<class Call>
  void CallPolicy(Call aCall);
  void Offer(std::size_t aRequest);
  void Apply(const traffic::decision& aDecision);
  void Dispatched(const traffic::dispatch& aDispatch);
  void Refused(const traffic::refuse& aRefuse);
  bool Resend(std::size_t aRequest, duration aRetryAfter);
  void Wake();
  template<class Count>
  void Record(std::size_t aRequest, Count aCount);
  void Schedule(time_point aAt, event_kind aKind, std::size_t aIndex);
  [[nodiscard]] time_point At(double aSeconds) const
  {
    return mStart + FromSeconds(aSeconds);
  }

  const scenario& mScenario;
  policy_kind mKind;
  random_source mRandom;
  any_policy mPolicy;
  bool mHasLeader = true;
  time_point mStart{ seconds(1000) };
  time_point mNow = mStart;
  std::vector<fake_target> mTargets;
  std::vector<request> mRequests;
  // By try: the index of its request. The policy's request id is the index of
  // the try.
  std::vector<std::size_t> mTries;
  std::vector<std::uint64_t> mLastTry; // by request: its last try
  std::priority_queue<event> mEvents;
  std::uint64_t mOrder = 0;
  std::vector<std::size_t> mDeferred; // arrivals while there is no leader
  std::chrono::nanoseconds mPolicyTime{};
  outcome mOutcome;
};

outcome
runner::Run()
{
  MakeTargets();
  MakeArrivals();
  for (std::size_t index = 0; index < mScenario.mEvents.size(); ++index) {
    Schedule(At(mScenario.mEvents[index].mAt), event_kind::Change, index);
  }
  if (mScenario.mLeaderLostSeconds >= 0) {
    Schedule(At(mScenario.mLeaderLostSeconds), event_kind::LeaderLost, 0);
    Schedule(At(mScenario.mLeaderLostSeconds + kLeaderGapSeconds),
             event_kind::LeaderElected,
             0);
  }
  const time_point last = At(mScenario.mSeconds);
  while (!mEvents.empty() && mEvents.top().mAt <= last) {
    const event next = mEvents.top();
    Wake();
    if (mEvents.top().mAt < next.mAt) {
      continue; // Wake scheduled an earlier event
    }
    mEvents.pop();
    mNow = std::max(mNow, next.mAt);
    Handle(next);
  }
  mNow = last;
  for (std::size_t index = 0; index < mRequests.size(); ++index) {
    if (mRequests[index].mIsRunning) {
      CountSlotTime(index, false);
    }
  }
  mOutcome.mWindowSeconds = mScenario.mSeconds - mScenario.mWarmUp;
  mOutcome.mGoodput /= mOutcome.mWindowSeconds *
                       static_cast<double>(mScenario.mTargets) *
                       mScenario.mSlots;
  mOutcome.mDecisionMicros =
    std::chrono::duration<double, std::micro>(mPolicyTime).count() /
    static_cast<double>(std::max<std::uint64_t>(mOutcome.mArrivals, 1));
  for (std::size_t index = 0; index < mRequests.size(); ++index) {
    if (mRequests[index].mIsUndecided) {
      Record(index, [](caller_outcome& aSeen) { ++aSeen.mPending; });
    }
  }
  return std::move(mOutcome);
}

void
runner::MakeTargets()
{
  CallPolicy([&](auto& aPolicy) {
    if constexpr (requires { aPolicy.SetPolicy(mScenario.mPolicy, mNow); }) {
      aPolicy.SetPolicy(mScenario.mPolicy, mNow);
    }
  });
  for (std::size_t index = 0; index < mScenario.mTargets; ++index) {
    fake_target made;
    made.mState = { target_id(std::to_string(index)),
                    kService,
                    data_centre_id(
                      std::to_string(index % mScenario.mDataCentres)),
                    mScenario.mSlots,
                    60 };
    mTargets.push_back(made);
    CallPolicy([&](auto& aPolicy) { aPolicy.OnTargetUp(made.mState, mNow); });
  }
}

void
runner::MakeArrivals()
{
  for (std::size_t index = 0; index < mScenario.mSources.size(); ++index) {
    MakeArrivalsOf(index);
  }
  mLastTry.resize(mRequests.size());
}

void
runner::MakeArrivalsOf(std::size_t aSource)
{
  const source& from = mScenario.mSources[aSource];
  const double last = std::min(from.mTo, mScenario.mSeconds);
  double at = from.mFrom + Exponential(1 / from.mPerSecond);
  while (at < last) {
    request made;
    made.mSource = aSource;
    made.mCaller = from.mLabel + std::to_string(mRandom.Below(from.mCallers));
    made.mOrigin = mRandom.Below(mScenario.mDataCentres);
    made.mService = Exponential(from.mMeanSeconds);
    made.mArrivedAt = At(at);
    made.mDeadline = made.mArrivedAt + from.mDeadline;
    made.mIsCounted = at >= mScenario.mWarmUp;
    mRequests.push_back(made);
    Schedule(made.mArrivedAt, event_kind::Arrive, mRequests.size() - 1);
    Record(mRequests.size() - 1,
           [](caller_outcome& aSeen) { ++aSeen.mOffered; });
    at += Exponential(1 / from.mPerSecond);
  }
}

double
runner::Exponential(double aMean)
{
  return -aMean * std::log(1 - mRandom.Fraction());
}

void
runner::Handle(const event& aEvent)
{
  switch (aEvent.mKind) {
    case event_kind::Arrive:
      return Arrive(aEvent.mIndex);
    case event_kind::ReachTarget:
      return OnReachedTarget(aEvent.mIndex);
    case event_kind::End:
      return End(aEvent.mIndex);
    case event_kind::Change:
      return Change(mScenario.mEvents[aEvent.mIndex]);
    case event_kind::LeaderLost:
      return LoseLeader();
    case event_kind::LeaderElected:
      return ElectLeader();
    case event_kind::Renew:
      return CallPolicy([&](auto& aPolicy) {
        aPolicy.OnTargetUp(mTargets[aEvent.mIndex].mState, mNow);
      });
  }
}

void
runner::Arrive(std::size_t aRequest)
{
  mRequests[aRequest].mTriedAt = mNow;
  ++mOutcome.mArrivals;
  if (mHasLeader) {
    Offer(aRequest);
  } else {
    mDeferred.push_back(aRequest);
  }
}

void
runner::OnReachedTarget(std::size_t aRequest)
{
  fake_target& target = mTargets[mRequests[aRequest].mTarget];
  if (target.mRunning < target.mState.mSlots) {
    Begin(aRequest);
    return;
  }
  ++mOutcome.mOverbooked;
  target.mQueue.push_back(aRequest);
}

void
runner::Begin(std::size_t aRequest)
{
  request& starts = mRequests[aRequest];
  fake_target& target = mTargets[starts.mTarget];
  ++target.mRunning;
  ++mOutcome.mAttempts;
  const bool far =
    std::to_string(starts.mOrigin) != target.mState.mDataCentre.Value();
  starts.mHeld =
    target.mIsFailing ? kFailSeconds : starts.mService * target.mFactor;
  starts.mHeld += far ? kFarRoundTripSeconds : kNearRoundTripSeconds;
  starts.mBeganAt = mNow;
  starts.mIsRunning = true;
  Record(aRequest, [&](caller_outcome& aSeen) {
    aSeen.mWaits.push_back(ToSeconds(mNow - starts.mArrivedAt));
  });
  Schedule(mNow + FromSeconds(starts.mHeld), event_kind::End, aRequest);
}

void
runner::End(std::size_t aRequest)
{
  request& ends = mRequests[aRequest];
  fake_target& target = mTargets[ends.mTarget];
  --target.mRunning;
  ends.mIsRunning = false;
  const bool failed = target.mIsFailing;
  const bool late = mNow > ends.mDeadline;
  Record(aRequest, [&](caller_outcome& aSeen) {
    aSeen.mFailed += failed ? 1 : 0;
    aSeen.mLate += !failed && late ? 1 : 0;
    aSeen.mInTime += !failed && !late ? 1 : 0;
    aSeen.mResponses.push_back(ToSeconds(mNow - ends.mArrivedAt));
  });
  CountSlotTime(aRequest, failed);
  if (!target.mQueue.empty()) {
    const std::size_t next = target.mQueue.front();
    target.mQueue.pop_front();
    Begin(next);
  }
  const traffic::finish finish{ failed ? finish_result::FailedFast
                                       : finish_result::Answered,
                                FromSeconds(ends.mHeld) };
  const target_id held = target.mState.mId;
  ends.mHoldsSlot = false;
  if (failed) {
    Resend(aRequest, milliseconds(20));
  }
  if (!mHasLeader) {
    return; // the ledger has its end, so the next leader won't restore it
  }
  CallPolicy([&](auto& aPolicy) {
    const request_id id(mLastTry[aRequest]);
    if constexpr (std::is_same_v<std::decay_t<decltype(aPolicy)>, dispatcher>) {
      aPolicy.OnFinished(id, finish, mNow);
    } else {
      aPolicy.OnFinished(id, held, finish, mNow);
    }
  });
}

// Counts the part of the slot time that lies in the window, for work that has
// ended or still runs.
void
runner::CountSlotTime(std::size_t aRequest, bool aFailed)
{
  const request& counted = mRequests[aRequest];
  const source& from = mScenario.mSources[counted.mSource];
  const time_point begin = std::max(counted.mBeganAt, At(mScenario.mWarmUp));
  const double used = std::max(0.0, ToSeconds(mNow - begin));
  mOutcome.mByLabel[from.mLabel].mSlotSeconds += used;
  mOutcome.mByClass.at(IndexOf(from.mClass)).mSlotSeconds += used;
  if (mNow > counted.mDeadline) {
    mOutcome.mWastedSeconds += used;
  } else if (!aFailed && counted.mHeld > 0) {
    mOutcome.mGoodput += used * counted.mService / counted.mHeld;
  }
}

void
runner::Change(const target_event& aEvent)
{
  fake_target& target = mTargets[aEvent.mTarget];
  switch (aEvent.mChange) {
    case target_change::Slow:
      target.mFactor = aEvent.mFactor;
      break;
    case target_change::Fail:
      target.mIsFailing = true;
      break;
    case target_change::Recover:
      target.mFactor = 1;
      target.mIsFailing = false;
      break;
    case target_change::Leave:
      target.mHasLeft = true;
      CallPolicy([&](auto& aPolicy) {
        aPolicy.OnTargetLeaving(target.mState.mId, mNow);
      });
      break;
  }
}

void
runner::LoseLeader()
{
  mHasLeader = false;
  for (std::size_t index = 0; index < mRequests.size(); ++index) {
    if (mRequests[index].mIsUndecided) {
      mRequests[index].mIsUndecided = false;
      mDeferred.push_back(index);
    }
  }
}

// The new leader learns of running attempts from the ledger and of targets from
// their renewals, and the entries send it the undecided requests again.
void
runner::ElectLeader()
{
  mHasLeader = true;
  mPolicy =
    MakePolicy(mKind, mScenario.mOptions, mScenario.mSkew, mScenario.mSeed + 1);
  CallPolicy([&](auto& aPolicy) {
    if constexpr (requires { aPolicy.SetPolicy(mScenario.mPolicy, mNow); }) {
      aPolicy.SetPolicy(mScenario.mPolicy, mNow);
    }
    if constexpr (std::is_same_v<std::decay_t<decltype(aPolicy)>, dispatcher>) {
      for (std::size_t index = 0; index < mRequests.size(); ++index) {
        const request& each = mRequests[index];
        if (each.mHoldsSlot) {
          const source& from = mScenario.mSources[each.mSource];
          aPolicy.Restore({ request_id(mLastTry[index]),
                            kService,
                            mTargets[each.mTarget].mState.mId,
                            from.mOrganisation,
                            from.mClass },
                          mNow);
        }
      }
    }
  });
  for (std::size_t index = 0; index < mTargets.size(); ++index) {
    Schedule(mNow + FromSeconds(mRandom.Fraction() * kRenewSeconds),
             event_kind::Renew,
             index);
  }
  for (const std::size_t held : std::exchange(mDeferred, {})) {
    Offer(held);
  }
}

// Calls the policy and applies its decisions. Only the call itself is timed.
template<class Call>
void
runner::CallPolicy(Call aCall)
{
  if (!mHasLeader) {
    return;
  }
  const auto before = std::chrono::steady_clock::now();
  auto decided = std::visit(
    [&](auto& aPolicy) {
      aCall(aPolicy);
      return aPolicy.TakeDecisions();
    },
    mPolicy);
  mPolicyTime += std::chrono::steady_clock::now() - before;
  for (const traffic::decision& each : decided) {
    Apply(each);
  }
}

void
runner::Offer(std::size_t aRequest)
{
  request& offered = mRequests[aRequest];
  const source& from = mScenario.mSources[offered.mSource];
  mLastTry[aRequest] = mTries.size();
  mTries.push_back(aRequest);
  offered.mIsUndecided = true;
  const traffic::arrival arrival{
    request_id(mLastTry[aRequest]),
    kService,
    from.mOrganisation,
    offered.mCaller,
    from.mClass,
    from.mRepeatable,
    data_centre_id(std::to_string(offered.mOrigin)),
    mKind == policy_kind::NoLimit ? mNow + seconds(86400) : offered.mDeadline
  };
  CallPolicy([&](auto& aPolicy) { aPolicy.OnArrival(arrival, mNow); });
}

void
runner::Apply(const traffic::decision& aDecision)
{
  std::visit(
    overloaded{
      [this](const traffic::dispatch& aDispatch) { Dispatched(aDispatch); },
      [this](const traffic::refuse& aRefuse) { Refused(aRefuse); } },
    aDecision);
}

void
runner::Dispatched(const traffic::dispatch& aDispatch)
{
  const std::size_t index = mTries.at(aDispatch.mId.Value());
  request& placed = mRequests[index];
  placed.mIsUndecided = false;
  placed.mTarget = std::stoul(aDispatch.mTarget.Value());
  placed.mHoldsSlot = true;
  mOutcome.mDispatchedToLeaving += mTargets[placed.mTarget].mHasLeft ? 1 : 0;
  const double commit = mScenario.mMinCommitSeconds +
                        (mRandom.Fraction() * (mScenario.mMaxCommitSeconds -
                                               mScenario.mMinCommitSeconds));
  if (commit > 0) {
    Schedule(mNow + FromSeconds(commit), event_kind::ReachTarget, index);
  } else {
    OnReachedTarget(index);
  }
}

void
runner::Refused(const traffic::refuse& aRefuse)
{
  const std::size_t index = mTries.at(aRefuse.mId.Value());
  request& refused = mRequests[index];
  refused.mIsUndecided = false;
  Record(index, [&](caller_outcome& aSeen) {
    aSeen.mRefusalWaits.push_back(ToSeconds(mNow - refused.mTriedAt));
  });
  if (!Resend(index, aRefuse.mRetryAfter)) {
    Record(index, [&](caller_outcome& aSeen) {
      ++aSeen.mRefused.at(static_cast<std::size_t>(aRefuse.mReason));
    });
  }
}

bool
runner::Resend(std::size_t aRequest, duration aRetryAfter)
{
  constexpr std::uint32_t kMaxResends = 5;
  constexpr std::uint32_t kMaxStormResends = 10;
  const bool storm = mScenario.mResend == resend_rule::Immediately;
  request& again = mRequests[aRequest];
  const time_point at = mNow + (storm ? milliseconds(20) : aRetryAfter);
  if (mScenario.mResend == resend_rule::Never || at >= again.mDeadline ||
      again.mTries >= (storm ? kMaxStormResends : kMaxResends)) {
    return false;
  }
  ++again.mTries;
  Schedule(at, event_kind::Arrive, aRequest);
  return true;
}

// Ticks the policy at each time that it requests before the next event.
void
runner::Wake()
{
  const time_point next = mEvents.top().mAt;
  while (mHasLeader && mEvents.top().mAt >= next) {
    std::optional<time_point> due;
    std::visit(
      [&](auto& aPolicy) {
        if constexpr (requires { aPolicy.NextWake(); }) {
          due = aPolicy.NextWake();
        }
      },
      mPolicy);
    if (!due || *due >= next) {
      return;
    }
    mNow = std::max(mNow, *due);
    CallPolicy([&](auto& aPolicy) {
      if constexpr (requires { aPolicy.Tick(mNow); }) {
        aPolicy.Tick(mNow);
      }
    });
  }
}

template<class Count>
void
runner::Record(std::size_t aRequest, Count aCount)
{
  const request& seen = mRequests[aRequest];
  if (!seen.mIsCounted) {
    return;
  }
  const source& from = mScenario.mSources[seen.mSource];
  aCount(mOutcome.mByLabel[from.mLabel]);
  aCount(mOutcome.mByClass.at(IndexOf(from.mClass)));
}

void
runner::Schedule(time_point aAt, event_kind aKind, std::size_t aIndex)
{
  mEvents.push({ aAt, ++mOrder, aKind, aIndex });
}

} // namespace

outcome
Run(const scenario& aScenario, policy_kind aKind)
{
  return runner(aScenario, aKind).Run();
}

double
Percentile(std::vector<double> aSeries, double aPart)
{
  if (aSeries.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSeries.size() - 1);
  const auto place = static_cast<std::ptrdiff_t>(std::lround(last * aPart));
  std::ranges::nth_element(aSeries, aSeries.begin() + place);
  return aSeries[static_cast<std::size_t>(place)];
}

} // namespace oriolewalk::bench
