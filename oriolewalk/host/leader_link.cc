#include "oriolewalk/host/leader_link.h"

#include <algorithm>
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

} // namespace

leader_link::leader_link(boost::asio::io_context& aContext,
                         wire::rpc_node& aRpc,
                         std::vector<std::string> aControls,
                         std::uint64_t aSeed)
  : mContext(aContext)
  , mRpc(aRpc)
  , mChoice(std::move(aControls))
  , mRandom(aSeed)
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
  asked->mDone = std::move(aDone);
  Try(asked);
}

void
leader_link::Try(const std::shared_ptr<question>& aQuestion)
{
  const time_point now = runtime_clock::now();
  if (now >= aQuestion->mUntil) {
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
  if (aQuestion->mEncoded.empty()) {
    aQuestion->mEncoded = Encode(aQuestion->mRequest);
  }
  mRpc.Call(
    peer,
    flow::kFlowCall,
    aQuestion->mEncoded,
    std::min<duration>(aQuestion->mUntil - now, kTryBound),
    [this, aQuestion, peer](result<bytes> aReply) {
      result<flow::flow_answer> answer =
        aReply ? Decode<flow::flow_answer>(*aReply, "reading control's answer")
               : Fail(aReply.error());
      boost::asio::post(
        mContext, [this, aQuestion, peer, got = std::move(answer)]() mutable {
          OnReply(aQuestion, peer, std::move(got));
        });
    });
}

void
leader_link::OnReply(const std::shared_ptr<question>& aQuestion,
                     const std::string& aPeer,
                     result<flow::flow_answer> aReply)
{
  if (aReply) {
    aQuestion->mDone(std::move(aReply));
    return;
  }
  const error& problem = aReply.error();
  switch (problem.mCode) {
    case error_code::NotLeader:
      mChoice.Redirected(aPeer, problem.mMessage);
      break;
    case error_code::Timeout:
      aQuestion->mMaybeTaken = true;
      mChoice.Failed(aPeer);
      break;
    case error_code::Unavailable:
      mChoice.Failed(aPeer);
      break;
    case error_code::Busy:
      break; // the same one, a little later
    default:
      aQuestion->mDone(std::move(aReply));
      return;
  }
  constexpr auto kSpan =
    static_cast<std::uint64_t>((kMostPause - kLeastPause).count());
  TryLater(aQuestion, kLeastPause + milliseconds(mRandom.Below(kSpan)));
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
