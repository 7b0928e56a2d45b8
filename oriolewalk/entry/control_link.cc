#include "oriolewalk/entry/control_link.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/base/timer.h"

namespace oriolewalk::entry {

namespace {

constexpr milliseconds kLeastPause{ 10 };
constexpr milliseconds kMostPause{ 60 };

// A retried claim has less time left than at its first attempt.
void
Shorten(protocol::request_body& aBody, time_point aUntil, time_point aNow)
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
control_link::Ask(protocol::request_body aBody,
                  time_point aUntil,
                  control_callback aDone)
{
  Try(std::make_shared<question>(question{
    std::move(aBody), runtime_clock::now(), aUntil, std::move(aDone) }));
}

void
control_link::Try(const std::shared_ptr<question>& aQuestion)
{
  const time_point now = runtime_clock::now();
  if (now >= aQuestion->mUntil) {
    aQuestion->mDone(Fail(
      error_code::Timeout, "calling control", "no leader answered in time"));
    return;
  }
  Shorten(aQuestion->mBody, aQuestion->mUntil, now);
  std::string peer;
  {
    const std::lock_guard lock(mMutex);
    peer = mChoice.Current();
  }
  bytes body = Encode(protocol::request{ mEvents.Stamp(), aQuestion->mBody });
  mRpc.Call(peer,
            protocol::kControlCall,
            std::move(body),
            aQuestion->mUntil - now,
            [this, aQuestion, peer](result<bytes> aReply) {
              OnReply(aQuestion, peer, std::move(aReply));
            });
}

void
control_link::OnReply(const std::shared_ptr<question>& aQuestion,
                      const std::string& aPeer,
                      result<bytes> aReply)
{
  if (aReply) {
    auto answer = Decode<protocol::answer>(*aReply, "reading control's answer");
    if (!answer) {
      aQuestion->mDone(Fail(answer.error().With(aPeer)));
      return;
    }
    mEvents.Merge(answer->mStamp);
    aQuestion->mDone(std::move(answer->mBody));
    return;
  }
  const error& problem = aReply.error();
  const bool elsewhere = problem.mCode == error_code::NotLeader ||
                         problem.mCode == error_code::Unavailable ||
                         problem.mCode == error_code::Timeout;
  if (!elsewhere) {
    aQuestion->mDone(Fail(problem));
    return;
  }
  duration pause{};
  {
    const std::lock_guard lock(mMutex);
    if (problem.mCode == error_code::NotLeader) {
      mChoice.Redirected(aPeer, problem.mMessage);
    } else {
      mChoice.Failed(aPeer);
    }
    pause = Pause();
  }
  ++mRetries;
  TryLater(aQuestion, pause);
}

duration
control_link::Pause()
{
  constexpr auto kSpan =
    static_cast<std::uint64_t>((kMostPause - kLeastPause).count());
  return kLeastPause + milliseconds(mRandom.Below(kSpan));
}

void
control_link::TryLater(const std::shared_ptr<question>& aQuestion,
                       duration aPause)
{
  auto timer = std::make_shared<runtime_timer>(mContext);
  timer->expires_after(aPause);
  timer->async_wait([this, timer, aQuestion](const auto& aProblem) {
    if (!aProblem) {
      Try(aQuestion);
    }
  });
}

} // namespace oriolewalk::entry
