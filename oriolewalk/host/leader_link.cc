#include "oriolewalk/host/leader_link.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "oriolewalk/base/timer.h"

namespace oriolewalk::host {

namespace {

constexpr milliseconds kLeastPause{ 10 };
constexpr milliseconds kMostPause{ 50 };
// One control process is waited for so long: a commit takes two round trips
// and a sync, 30 ms; a slow disk ten times that.
constexpr milliseconds kTryBound{ 700 };
// A leader that answered this lately is taken to be there. Callers' questions
// come every few ms under load, so that probes are rare; each costs 2 ms.
constexpr milliseconds kFresh{ 150 };
constexpr milliseconds kProbeBound{ 200 };

} // namespace

leader_link::leader_link(boost::asio::io_context& aContext,
                         wire::rpc_node& aRpc,
                         std::vector<std::string> aControls,
                         std::uint64_t aSeed)
  : mContext(aContext)
  , mRpc(aRpc)
  , mChoice(std::move(aControls))
  , mRandom(aSeed)
  , mOutage(runtime_clock::now())
{
}

void
leader_link::SetLocal(std::string aAddress, local_ask aAsk)
{
  mLocalAddress = std::move(aAddress);
  mLocalAsk = std::move(aAsk);
}

void
leader_link::Learn(const std::vector<std::string>& aControls)
{
  mChoice.Learn(aControls);
}

void
leader_link::Ask(flow::flow_request aRequest,
                 time_point aUntil,
                 flow_callback aDone)
{
  auto asked = std::make_shared<question>();
  asked->mRequest = std::move(aRequest);
  asked->mUntil = aUntil;
  const time_point now = runtime_clock::now();
  asked->mRefuseAt = now + mOutage.KeepFor(now);
  asked->mDone = std::move(aDone);
  Try(asked);
}

void
leader_link::Try(const std::shared_ptr<question>& aQuestion)
{
  const time_point now = runtime_clock::now();
  if (now >= aQuestion->End()) {
    aQuestion->mDone(Fail(aQuestion->mMaybeTaken ? error_code::Timeout
                                                 : error_code::Unavailable,
                          "asking control",
                          "no leader answered in time"));
    return;
  }
  const std::string peer = mChoice.Current();
  if (peer == mLocalAddress) {
    mLocalAsk(aQuestion->mRequest,
              [this, aQuestion, peer](result<flow::flow_answer> aReply) {
                OnReply(aQuestion, peer, std::move(aReply));
              });
    return;
  }
  const bool fresh = mAnsweredBy == peer && mOutage.LastedFor(now) < kFresh;
  if (fresh || aQuestion->mMaybeTaken) {
    Send(aQuestion, peer);
  } else {
    Probe(aQuestion, peer);
  }
}

void
leader_link::Probe(const std::shared_ptr<question>& aQuestion,
                   const std::string& aPeer)
{
  const duration bound =
    std::min<duration>(aQuestion->End() - runtime_clock::now(), kProbeBound);
  mRpc.Call(aPeer,
            flow::kFlowCall,
            Encode(flow::flow_request(flow::leader_probe{})),
            bound,
            [this, aQuestion, aPeer](const result<bytes>& aReply) {
              boost::asio::post(mContext,
                                [this,
                                 aQuestion,
                                 aPeer,
                                 problem = aReply ? error{} : aReply.error(),
                                 there = aReply.has_value()]() {
                                  if (there) {
                                    mAnsweredBy = aPeer;
                                    mOutage.Answered(runtime_clock::now());
                                    Send(aQuestion, aPeer);
                                  } else {
                                    NoteProblem(aPeer, problem);
                                    TryLater(aQuestion, Pause());
                                  }
                                });
            });
}

void
leader_link::Send(const std::shared_ptr<question>& aQuestion,
                  const std::string& aPeer)
{
  if (aQuestion->mEncoded.empty()) {
    aQuestion->mEncoded = Encode(aQuestion->mRequest);
  }
  const duration bound =
    std::min<duration>(aQuestion->mUntil - runtime_clock::now(), kTryBound);
  mRpc.Call(
    aPeer,
    flow::kFlowCall,
    aQuestion->mEncoded,
    bound,
    [this, aQuestion, aPeer](result<bytes> aReply) {
      result<flow::flow_answer> answer =
        aReply ? Decode<flow::flow_answer>(*aReply, "reading control's answer")
               : Fail(aReply.error());
      boost::asio::post(
        mContext, [this, aQuestion, aPeer, got = std::move(answer)]() mutable {
          OnReply(aQuestion, aPeer, std::move(got));
        });
    });
}

void
leader_link::OnReply(const std::shared_ptr<question>& aQuestion,
                     const std::string& aPeer,
                     result<flow::flow_answer> aReply)
{
  if (aReply) {
    mAnsweredBy = aPeer;
    mOutage.Answered(runtime_clock::now());
    aQuestion->mDone(std::move(aReply));
    return;
  }
  const error& problem = aReply.error();
  switch (problem.mCode) {
    case error_code::Timeout:
      aQuestion->mMaybeTaken = true;
      break;
    case error_code::NotLeader:
    case error_code::Unavailable:
    case error_code::Busy:
      break;
    default:
      aQuestion->mDone(std::move(aReply));
      return;
  }
  NoteProblem(aPeer, problem);
  TryLater(aQuestion, Pause());
}

void
leader_link::NoteProblem(const std::string& aPeer, const error& aProblem)
{
  if (aProblem.mCode == error_code::NotLeader) {
    mChoice.Redirected(aPeer, aProblem.mMessage);
  } else if (aProblem.mCode != error_code::Busy) {
    mChoice.Failed(aPeer);
  }
}

void
leader_link::Told(const std::string& aLeader)
{
  mChoice.Redirected(mChoice.Current(), aLeader);
  mAnsweredBy = aLeader;
  mOutage.Answered(runtime_clock::now());
}

std::string
leader_link::Leader() const
{
  return mOutage.MayBeElection(runtime_clock::now()) ? mAnsweredBy
                                                     : std::string();
}

duration
leader_link::SilentFor() const
{
  return mOutage.LastedFor(runtime_clock::now());
}

milliseconds
leader_link::ComeBackAfter() const
{
  return mOutage.ComeBackAfter(runtime_clock::now());
}

duration
leader_link::Pause()
{
  constexpr auto kSpan =
    static_cast<std::uint64_t>((kMostPause - kLeastPause).count());
  return kLeastPause + milliseconds(mRandom.Below(kSpan));
}

void
leader_link::TryLater(const std::shared_ptr<question>& aQuestion,
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

} // namespace oriolewalk::host
