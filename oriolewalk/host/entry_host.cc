#include "oriolewalk/host/entry_host.h"

#include <random>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

namespace oriolewalk::host {

namespace {

constexpr milliseconds kBeatEvery{ 500 };
// A leader that is late answers within this, and the next beat is still sent
// before callers are sent elsewhere.
constexpr milliseconds kBeatBound{ 1'200 };
// After three beats without an answer callers are better served elsewhere.
constexpr milliseconds kReadyFor{ 1'800 };
constexpr milliseconds kPeerSilence{ 800 };
// Under an election's time, so that a restarted process is found at once.
constexpr milliseconds kMostBackoff{ 250 };

} // namespace

entry_host::entry_host(boost::asio::io_context& aContext,
                       entry_options aOptions,
                       policy_port aPolicy,
                       observe::decision_log& aLog)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mPolicy(std::move(aPolicy))
  , mLog(aLog)
  , mTimer(aContext)
  , mRpc({ .mMaxBackoff = kMostBackoff,
           .mSilenceTimeout = kPeerSilence,
           .mMaxIncoming = mOptions.mBudget.mMaxPeers,
           .mMaxReceivingBytes = mOptions.mBudget.mMaxPeerBytes,
           .mSeed = std::random_device{}() })
  , mLink(aContext, mRpc, mOptions.mControls, std::random_device{}())
{
}

entry_host::~entry_host()
{
  mRpc.Stop();
}

result<void>
entry_host::Start()
{
  const auto port = mRpc.Listen(
    mOptions.mListen.empty() ? mOptions.mAddress : mOptions.mListen,
    [this](std::uint16_t aKind,
           const bytes& aBody,
           const wire::reply_function& aReply) {
      OnCall(aKind, aBody, aReply);
    },
    [](const bytes& /*aMessage*/) {});
  if (!port) {
    return Fail(port.error());
  }
  Beat();
  return {};
}

void
entry_host::OnCall(std::uint16_t aKind,
                   const bytes& aBody,
                   const wire::reply_function& aReply)
{
  auto asked = aKind == flow::kAdviceCall
                 ? Decode<flow::advice_request>(aBody, "advice")
                 : Fail(error_code::InvalidArgument, "call", "unknown kind");
  if (!asked) {
    aReply(Fail(asked.error()));
    return;
  }
  boost::asio::post(mContext, [this, request = std::move(*asked), aReply]() {
    mPolicy(request, [aReply](result<flow::approvals> aAnswer) {
      aReply(aAnswer ? result<bytes>(Encode(*aAnswer)) : Fail(aAnswer.error()));
    });
  });
}

void
entry_host::Ask(flow::flow_request aRequest,
                time_point aUntil,
                flow_callback aDone)
{
  mLink.Ask(std::move(aRequest), aUntil, std::move(aDone));
}

bool
entry_host::IsReady() const
{
  return mConfigured && runtime_clock::now() < mHeardAt + kReadyFor;
}

void
entry_host::Beat()
{
  mLink.Ask(flow::entry_heartbeat{ mOptions.mAddress },
            runtime_clock::now() + kBeatBound,
            [this](const result<flow::flow_answer>& aAnswer) {
              BeatAnswered(aAnswer);
              ArmBeat();
            });
}

void
entry_host::BeatAnswered(const result<flow::flow_answer>& aAnswer)
{
  const auto* beat =
    aAnswer ? std::get_if<flow::entry_heartbeat_answer>(&*aAnswer) : nullptr;
  if (std::exchange(mInTouch, beat != nullptr) != (beat != nullptr)) {
    mLog.Write(beat != nullptr ? "control.regained" : "control.lost",
               { { "peer", mLink.Current() },
                 { "problem", aAnswer ? "" : aAnswer.error().Describe() } });
  }
  if (beat != nullptr) {
    mHeardAt = runtime_clock::now();
    mConfigured = beat->mTableVersion > 0;
    mLink.Learn(beat->mMembers);
    if (mConfigured && mOnLimits) {
      mOnLimits(beat->mLimits);
    }
  }
}

void
entry_host::ArmBeat()
{
  mTimer.expires_after(kBeatEvery);
  mTimer.async_wait([this](const auto& aProblem) {
    if (!aProblem) {
      Beat();
    }
  });
}

} // namespace oriolewalk::host
