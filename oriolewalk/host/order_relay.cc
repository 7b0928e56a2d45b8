#include "oriolewalk/host/order_relay.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/flow/messages.h"

namespace oriolewalk::host {

namespace {

// What comes within this time goes together; a commit takes ten times as long.
constexpr milliseconds kGather{ 2 };
// A message between two control processes is taken over within this, or the
// receiver is stuck: twenty times a sound one's time.
constexpr milliseconds kHandOverBound{ 400 };
// Beside an order's own time: two messages and the waiting of both processes.
constexpr milliseconds kRelayMargin{ 300 };

flow::order_answer
Unanswered(flow::order_result aResult)
{
  flow::order_answer answer;
  answer.mResult = aResult;
  return answer;
}

} // namespace

order_relay::order_relay(boost::asio::io_context& aContext,
                         wire::rpc_node& aRpc,
                         std::string aSelf,
                         worker_port aWorkers,
                         flow::flow_options aOptions,
                         std::function<void(const std::string&)> aCarrierFailed)
  : mContext(aContext)
  , mRpc(aRpc)
  , mSelf(std::move(aSelf))
  , mWorkers(std::move(aWorkers))
  , mOptions(aOptions)
  , mCarrierFailed(std::move(aCarrierFailed))
  , mTimer(aContext)
{
}

duration
order_relay::BoundOf(const flow::worker_order& aOrder) const
{
  const auto* hold = std::get_if<flow::poll_order>(&aOrder.mBody);
  return mOptions.mAnswerMargin + kRelayMargin +
         milliseconds(hold == nullptr ? 0 : hold->mWaitMs);
}

void
order_relay::Send(const flow::worker_order& aOrder, order_callback aDone)
{
  if (aOrder.mRelay.empty() || aOrder.mRelay == mSelf) {
    SendToWorker(aOrder, std::move(aDone));
    return;
  }
  const order_key key{ aOrder.mFence, aOrder.mId };
  mOpen.insert_or_assign(key, std::move(aDone));
  mDue.emplace(runtime_clock::now() + BoundOf(aOrder), key);
  mToHandOver[aOrder.mRelay].push_back(aOrder);
  ArmFlush();
}

void
order_relay::SendToWorker(const flow::worker_order& aOrder,
                          order_callback aDone)
{
  if (aOrder.IsExpired(runtime_clock::now())) {
    aDone(Unanswered(flow::order_result::NotSent));
    return;
  }
  mWorkers(aOrder, std::move(aDone));
}

void
order_relay::ArmFlush()
{
  if (std::exchange(mFlushArmed, true)) {
    return;
  }
  mTimer.expires_after(kGather);
  mTimer.async_wait([this](const auto& aProblem) {
    mFlushArmed = false;
    if (!aProblem) {
      Flush();
    }
  });
}

void
order_relay::Flush()
{
  for (auto& [carrier, orders] : std::exchange(mToHandOver, {})) {
    HandOver(carrier, std::move(orders));
  }
  std::vector<std::string> leaders;
  std::ranges::copy_if(mToGiveBack | std::views::keys,
                       std::back_inserter(leaders),
                       [this](const std::string& aLeader) {
                         return !mGivingBack.contains(aLeader);
                       });
  std::ranges::for_each(
    leaders, [this](const std::string& aLeader) { GiveBack(aLeader); });
}

void
order_relay::HandOver(const std::string& aCarrier,
                      std::vector<flow::worker_order> aOrders)
{
  std::vector<order_key> keys;
  std::ranges::transform(
    aOrders, std::back_inserter(keys), [](const flow::worker_order& aOrder) {
      return order_key{ aOrder.mFence, aOrder.mId };
    });
  mRpc.Call(aCarrier,
            flow::kTimedOrdersCall,
            Encode(flow::MakeTimedBatch({ mSelf, std::move(aOrders) },
                                        runtime_clock::now())),
            kHandOverBound,
            [this, aCarrier, handed = std::move(keys)](
              const result<bytes>& aReply) mutable {
              if (aReply) {
                return;
              }
              boost::asio::post(mContext,
                                [this,
                                 aCarrier,
                                 handed = std::move(handed),
                                 problem = aReply.error()]() {
                                  HandedOver(aCarrier, handed, problem);
                                });
            });
}

void
order_relay::HandedOver(const std::string& aCarrier,
                        const std::vector<order_key>& aOrders,
                        const error& aProblem)
{
  // Unavailable: surely not delivered. Any other: it may have been, and the
  // orders may still be carried out.
  const auto result = aProblem.mCode == error_code::Unavailable
                        ? flow::order_result::NotSent
                        : flow::order_result::NoAnswer;
  mCarrierFailed(aCarrier);
  for (const order_key& key : aOrders) {
    End(key, Unanswered(result));
  }
}

void
order_relay::End(const order_key& aKey, const flow::order_answer& aAnswer)
{
  if (auto open = mOpen.extract(aKey); !open.empty()) {
    open.mapped()(aAnswer);
  }
}

void
order_relay::Carry(flow::timed_order_batch aBatch)
{
  const time_point now = runtime_clock::now();
  const std::string leader = aBatch.mBatch.mLeader;
  const duration excess = mTransitDelays[leader].OnMessage(
    time_point(duration(aBatch.mSentAtNs)), now);
  CarryAll(leader, flow::TakeOrders(std::move(aBatch), now, excess));
}

void
order_relay::Carry(const flow::order_batch& aBatch)
{
  CarryAll(aBatch.mLeader, aBatch.mOrders);
}

void
order_relay::CarryAll(const std::string& aLeader,
                      const std::vector<flow::worker_order>& aOrders)
{
  for (const flow::worker_order& order : aOrders) {
    SendToWorker(
      order,
      [this, leader = aLeader, fence = order.mFence, id = order.mId](
        flow::order_answer aAnswer) {
        mToGiveBack[leader].push_back({ fence, id, std::move(aAnswer) });
        ArmFlush();
      });
  }
}

// An answer that gets lost here ends as NoAnswer at the leader, which looks at
// the worker again.
void
order_relay::GiveBack(const std::string& aLeader)
{
  auto answers = mToGiveBack.extract(aLeader);
  mGivingBack.insert(aLeader);
  mRpc.Call(aLeader,
            flow::kAnswersCall,
            Encode(flow::answer_batch{ std::move(answers.mapped()) }),
            kHandOverBound,
            [this, aLeader](const result<bytes>& /*aReply*/) {
              boost::asio::post(mContext, [this, aLeader]() {
                mGivingBack.erase(aLeader);
                if (mToGiveBack.contains(aLeader)) {
                  GiveBack(aLeader);
                }
              });
            });
}

void
order_relay::Answered(const flow::answer_batch& aBatch)
{
  for (const flow::answered_order& answered : aBatch.mAnswers) {
    End({ answered.mFence, answered.mId }, answered.mAnswer);
  }
}

void
order_relay::Tick(time_point aNow)
{
  while (!mDue.empty() && mDue.top().first <= aNow) {
    const order_key key = mDue.top().second;
    mDue.pop();
    End(key, Unanswered(flow::order_result::NoAnswer));
  }
}

} // namespace oriolewalk::host
