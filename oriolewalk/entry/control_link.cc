#include "oriolewalk/entry/control_link.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/base/timer.h"

namespace oriolewalk::entry {

namespace {

constexpr milliseconds kMinRetryDelay{ 10 };
constexpr milliseconds kMaxRetryDelay{ 60 };

// A retried claim has less time left than at its first attempt.
void
UpdateDeadline(protocol::request_body& aBody,
               time_point aUntil,
               time_point aNow)
{
  if (auto* claim = std::get_if<protocol::claim_request>(&aBody)) {
    const auto left =
      std::chrono::duration_cast<milliseconds>(aUntil - aNow).count();
    claim->mDeadlineMs =
      std::min(claim->mDeadlineMs,
               static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
  }
}

} // namespace

control_link::control_link(boost::asio::io_context& aContext,
                           observe::event_log& aEvents,
                           std::vector<std::string> aControls,
                           std::uint64_t aSeed)
  : mContext(aContext)
  , mEvents(aEvents)
  , mChoice(std::move(aControls))
  , mRandom(aSeed)
  , mRpc({ .mSeed = aSeed })
{
}

void
control_link::Send(protocol::request_body aBody,
                   time_point aUntil,
                   control_callback aDone)
{
  SendAttempt(std::make_shared<pending_request>(pending_request{
    std::move(aBody), runtime_clock::now(), aUntil, std::move(aDone) }));
}

void
control_link::SendAttempt(const std::shared_ptr<pending_request>& aRequest)
{
  const time_point now = runtime_clock::now();
  if (now >= aRequest->mUntil) {
    aRequest->mDone(Fail(
      error_code::Timeout, "asking control", "no leader answered in time"));
    return;
  }
  UpdateDeadline(aRequest->mBody, aRequest->mUntil, now);
  std::string peer;
  {
    const std::lock_guard lock(mMutex);
    peer = mChoice.Current();
  }
  bytes body = Encode(protocol::request{ mEvents.Stamp(), aRequest->mBody });
  mRpc.Call(peer,
            protocol::kControlCall,
            std::move(body),
            aRequest->mUntil - now,
            [this, aRequest, peer](result<bytes> aReply) {
              OnReply(aRequest, peer, std::move(aReply));
            });
}

void
control_link::OnReply(const std::shared_ptr<pending_request>& aRequest,
                      const std::string& aPeer,
                      result<bytes> aReply)
{
  if (aReply) {
    auto answer = Decode<protocol::answer>(*aReply, "reading control's answer");
    if (!answer) {
      aRequest->mDone(Fail(answer.error().With(aPeer)));
      return;
    }
    mEvents.Merge(answer->mStamp);
    aRequest->mDone(std::move(answer->mBody));
    return;
  }
  const error& problem = aReply.error();
  const bool shouldRetry = problem.mCode == error_code::NotLeader ||
                           problem.mCode == error_code::Unavailable ||
                           problem.mCode == error_code::Timeout;
  if (!shouldRetry) {
    aRequest->mDone(Fail(problem));
    return;
  }
  duration delay{};
  {
    const std::lock_guard lock(mMutex);
    if (problem.mCode == error_code::NotLeader) {
      mChoice.Redirected(aPeer, problem.mMessage);
    } else {
      mChoice.Failed(aPeer);
    }
    delay = RetryDelay();
  }
  ++mRetries;
  RetryAfter(aRequest, delay);
}

duration
control_link::RetryDelay()
{
  constexpr auto kSpan =
    static_cast<std::uint64_t>((kMaxRetryDelay - kMinRetryDelay).count());
  return kMinRetryDelay + milliseconds(mRandom.Below(kSpan));
}

void
control_link::RetryAfter(const std::shared_ptr<pending_request>& aRequest,
                         duration aDelay)
{
  auto timer = std::make_shared<runtime_timer>(mContext);
  timer->expires_after(aDelay);
  timer->async_wait([this, timer, aRequest](const auto& aProblem) {
    if (!aProblem) {
      SendAttempt(aRequest);
    }
  });
}

} // namespace oriolewalk::entry
