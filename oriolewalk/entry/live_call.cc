#include "oriolewalk/entry/live_call.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/entry/answers.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::entry {

namespace {

traffic::entry_request
ToEntryRequest(const protocol::claim_request& aClaim)
{
  return { aClaim.mRef.mOrganisation, aClaim.mCallerKey, aClaim.mClass };
}

// A burst at one entry while control is idle belongs in the leader's queues,
// which order it by the organisations' shares. The entry refuses only what
// control could not handle. The leader handles about 4,000 requests a second,
// so 512 requests are an eighth of a second of its work. With an initial limit
// of 64 and 256 callers at one entry, nine of ten first attempts were refused.
traffic::entry_options
LimiterOptions()
{
  constexpr double kInitialLimit = 512;
  traffic::entry_options options;
  options.mInitialLimit = kInitialLimit;
  return options;
}

milliseconds
TimeLeft(time_point aUntil, time_point aNow)
{
  return std::max(std::chrono::duration_cast<milliseconds>(aUntil - aNow),
                  milliseconds(1));
}

} // namespace

shared_limits::shared_limits(std::uint64_t aSeed)
  : mLimiter(LimiterOptions(), aSeed)
{
}

void
shared_limits::SetPolicy(const traffic::share_policy& aPolicy)
{
  const std::lock_guard lock(mMutex);
  mLimiter.SetPolicy(aPolicy);
}

traffic::entry_verdict
shared_limits::Admit(const protocol::claim_request& aClaim, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mLimiter.Admit(ToEntryRequest(aClaim), aNow);
}

void
shared_limits::OnFinished(const protocol::claim_request& aClaim,
                          const traffic::control_call& aCall,
                          time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mLimiter.OnFinished(ToEntryRequest(aClaim), aCall, aNow);
}

void
shared_limits::OnSuccess(const service_id& aService)
{
  const std::lock_guard lock(mMutex);
  mBudgets[aService].OnSuccess();
}

bool
shared_limits::TrySpendRetry(const service_id& aService, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mBudgets[aService].TrySpend(aNow);
}

std::size_t
shared_limits::InProgress()
{
  const std::lock_guard lock(mMutex);
  return mLimiter.InProgress();
}

void
admission::OnEnded(const protocol::claim_request& aClaim,
                   const traffic::control_call& aCall,
                   time_point aNow)
{
  if (!std::exchange(mEnded, true)) {
    mLimits.OnFinished(aClaim, aCall, aNow);
  }
}

live_call::live_call(call_services& aServices,
                     http::request aRequest,
                     parsed_call aCall,
                     http::responder aResponder,
                     std::uint64_t aSeed,
                     time_point aNow)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mCall(std::move(aCall))
  , mResponder(std::move(aResponder))
  , mFlow(mCall.mClaim, aNow + mCall.mDeadline, aSeed)
  , mAdmission(aServices.mLimits)
  , mArrivedAt(aNow)
{
}

void
live_call::Start()
{
  mResponder.OnDisconnected([weak = weak_from_this()]() {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  WriteEvent("arrived", mCall.mClaim.mService.Value());
  Execute(mFlow.Start(mArrivedAt));
}

void
live_call::WriteEvent(std::string_view aKind, std::string aDetail)
{
  mServices.mEvents.Write(
    { .mKind = std::string(aKind),
      .mRequest = mCall.mClaim.mRef.ToString(),
      .mOrganisation = mCall.mClaim.mRef.mOrganisation.Value(),
      .mDetail = std::move(aDetail) });
}

void
live_call::Execute(flow_step aStep)
{
  std::visit(
    overloaded{
      [this](const control_request& aRequest) { SendToControl(aRequest); },
      [this](const forward& aForward) { Forward(aForward); },
      [this](answer_caller& aAnswer) { Answer(std::move(aAnswer)); } },
    aStep);
}

void
live_call::SendToControl(const control_request& aRequest)
{
  mClaiming = std::holds_alternative<protocol::claim_request>(aRequest.mBody);
  const time_point now = runtime_clock::now();
  mServices.mLink.Send(
    aRequest.mBody,
    aRequest.mUntil,
    [self = shared_from_this(), now](const control_answer& aAnswer) {
      self->OnControl(aAnswer, now);
    });
}

void
live_call::OnControl(const control_answer& aAnswer, time_point aSentAt)
{
  const time_point now = runtime_clock::now();
  if (std::exchange(mClaiming, false)) {
    ReportClaim(aAnswer, now - aSentAt, now);
  }
  Execute(mFlow.OnControl(aAnswer, now));
}

// Reports control's latency to the limiter, without the time that the request
// spent in the queue, which does not depend on the load of control itself.
void
live_call::ReportClaim(const control_answer& aAnswer,
                       duration aElapsed,
                       time_point aNow)
{
  traffic::control_call call{ traffic::call_result::Lost, aElapsed };
  const auto* claimed =
    aAnswer ? std::get_if<protocol::claim_answer>(&*aAnswer) : nullptr;
  if (claimed != nullptr) {
    const bool busy = std::holds_alternative<protocol::claim_busy>(*claimed);
    call.mResult =
      busy ? traffic::call_result::Refused : traffic::call_result::Accepted;
    const auto* granted = std::get_if<protocol::claim_granted>(claimed);
    // A refusal may follow a time in the queue that its answer does not
    // contain.
    call.mLatency = granted != nullptr
                      ? aElapsed - milliseconds(granted->mWaitedMs)
                      : duration{};
  }
  mAdmission.OnEnded(mCall.mClaim, call, aNow);
}

void
live_call::Forward(const forward& aForward)
{
  const time_point now = runtime_clock::now();
  const auto address = settings::ParseAddress(aForward.mAddress);
  if (!address) {
    OnTarget(http::never_started{ address.error() });
    return;
  }
  mServices.mForwarded.Add();
  WriteEvent("forwarded",
             aForward.mAddress + " attempt " +
               std::to_string(aForward.mAttempt));
  mSentAt = now;
  const milliseconds timeLeft = TimeLeft(aForward.mUntil, now);
  http::send_options options;
  options.mTotalTimeout = timeLeft;
  options.mConnectTimeout = std::min(options.mConnectTimeout, timeLeft);
  options.mMustMatch = { { "Oriole-Request", mCall.mClaim.mRef.ToString() },
                         { "Oriole-Attempt",
                           std::to_string(aForward.mAttempt) } };
  mServices.mClient.Send(
    *address,
    MakeTargetRequest(mRequest, mCall, aForward.mAttempt, timeLeft),
    options,
    [self = shared_from_this()](http::send_outcome aOutcome) {
      self->OnTarget(std::move(aOutcome));
    });
}

void
live_call::OnTarget(http::send_outcome aOutcome)
{
  const time_point now = runtime_clock::now();
  mTargetTime += now - mSentAt;
  const service_id& service = mCall.mClaim.mService;
  bool mayRetry = false;
  if (std::holds_alternative<http::answered>(aOutcome)) {
    mServices.mLimits.OnSuccess(service);
  } else if (std::holds_alternative<http::never_started>(aOutcome)) {
    mayRetry = mServices.mLimits.TrySpendRetry(service, now);
  }
  Execute(mFlow.OnTarget(std::move(aOutcome), mayRetry, now));
}

void
live_call::Answer(answer_caller aAnswer)
{
  const duration total = runtime_clock::now() - mArrivedAt;
  mServices.mAddedMs.Add(
    std::chrono::duration<double, std::milli>(total - mTargetTime).count());
  WriteEvent(
    "answered",
    std::string(aAnswer.mResponse.Find(kOutcomeHeader).value_or("error")));
  mResponder.Send(std::move(aAnswer.mResponse));
  if (aAnswer.mReport) {
    mServices.mLateReports.Add();
    mServices.mLink.Send(aAnswer.mReport->mBody,
                         aAnswer.mReport->mUntil,
                         [](const control_answer&) {});
  }
}

// Only a queued request can be cancelled. The leader then answers the claim.
void
live_call::OnCallerDisconnected()
{
  constexpr seconds kTimeout{ 2 };
  mServices.mLink.Send(
    protocol::cancel_request{ mFlow.Claim().mRef, mFlow.Claim().mToken },
    runtime_clock::now() + kTimeout,
    [](const control_answer&) {});
}

} // namespace oriolewalk::entry
