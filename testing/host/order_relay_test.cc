#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "oriolewalk/flow/messages.h"
#include "oriolewalk/host/order_relay.h"

namespace oriolewalk::host {

namespace {

// A control process with a relay, its RPC on loopback, and a worker port that
// keeps each order until the test answers it.
struct relay_process
{
  boost::asio::io_context& mContext;
  wire::rpc_node mRpc{ wire::rpc_options{} };
  std::string mAddress;
  std::vector<flow::worker_order> mOrders;
  std::vector<order_callback> mAnswers;
  std::vector<std::string> mFailed;
  std::unique_ptr<order_relay> mRelay;
  bool mSuspended = false;
  std::vector<flow::timed_order_batch> mWaiting;

  explicit relay_process(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
    const auto port = mRpc.Listen(
      "127.0.0.1:0",
      [this](std::uint16_t aKind,
             const bytes& aBody,
             const wire::reply_function& aReply) {
        aReply(bytes());
        boost::asio::post(mContext, [this, aKind, aBody]() {
          if (aKind == flow::kTimedOrdersCall) {
            Carry(*Decode<flow::timed_order_batch>(aBody, "test"));
          } else {
            mRelay->Answered(*Decode<flow::answer_batch>(aBody, "test"));
          }
        });
      },
      [](const bytes& /*aMessage*/) {});
    REQUIRE(port);
    mAddress = "127.0.0.1:" + std::to_string(*port);
    mRelay = std::make_unique<order_relay>(
      aContext,
      mRpc,
      mAddress,
      [this](const flow::worker_order& aOrder, order_callback aDone) {
        mOrders.push_back(aOrder);
        mAnswers.push_back(std::move(aDone));
      },
      flow::flow_options{},
      [this](const std::string& aCarrier) { mFailed.push_back(aCarrier); });
  }
  ~relay_process() { mRpc.Stop(); }
  relay_process(const relay_process&) = delete;
  relay_process& operator=(const relay_process&) = delete;
  relay_process(relay_process&&) = delete;
  relay_process& operator=(relay_process&&) = delete;

  // While it is suspended, batches wait in its socket.
  void Carry(flow::timed_order_batch aBatch)
  {
    if (mSuspended) {
      mWaiting.push_back(std::move(aBatch));
    } else {
      mRelay->Carry(std::move(aBatch));
    }
  }
  void Resume()
  {
    mSuspended = false;
    for (flow::timed_order_batch& batch : mWaiting) {
      mRelay->Carry(std::move(batch));
    }
    mWaiting.clear();
  }

  void Send(std::uint64_t aId,
            const std::string& aCarrier,
            std::vector<flow::order_answer>& aAnswers,
            std::optional<duration> aSendWithin = std::nullopt) const
  {
    flow::worker_order order;
    order.mId = aId;
    order.mFence = 3;
    order.mWorkerId = worker_id("w");
    order.mRelay = aCarrier;
    order.mLeaseClockMs = 5'000;
    if (aSendWithin) {
      order.mSendBefore = runtime_clock::now() + *aSendWithin;
    }
    order.mBody = flow::start_order{
      { { job_id("job"), 0, 1, 2 }, 4 }, "payload", "half", "ticket"
    };
    mRelay->Send(order, [&aAnswers](flow::order_answer aAnswer) {
      aAnswers.push_back(std::move(aAnswer));
    });
  }
};

// Lets the context run until aDone, for some seconds at most.
template<class Done>
bool
RunUntil(boost::asio::io_context& aContext, Done aDone)
{
  const time_point until = runtime_clock::now() + seconds(20);
  while (!aDone() && runtime_clock::now() < until) {
    aContext.restart();
    aContext.run_for(milliseconds(5));
  }
  return aDone();
}

// The same while the runtime's clock is paused.
template<class Done>
bool
Poll(boost::asio::io_context& aContext, Done aDone)
{
  constexpr int kMaxRounds = 4'000;
  for (int round = 0; round < kMaxRounds && !aDone(); ++round) {
    aContext.restart();
    aContext.poll();
    paused_clock::Advance(milliseconds(0));
    std::this_thread::sleep_for(milliseconds(1));
  }
  return aDone();
}

} // namespace

TEST_CASE("an order goes through its carrier whole, and its answer comes back")
{
  boost::asio::io_context context;
  relay_process leader(context);
  relay_process carrier(context);
  std::vector<flow::order_answer> answers;
  leader.Send(1, carrier.mAddress, answers);
  leader.Send(2, carrier.mAddress, answers);
  REQUIRE(RunUntil(context, [&]() { return carrier.mOrders.size() == 2; }));
  const auto& start = std::get<flow::start_order>(carrier.mOrders[0].mBody);
  CHECK(start.mRun == flow::run_ref{ { job_id("job"), 0, 1, 2 }, 4 });
  CHECK(start.mPayload == "payload");
  CHECK(start.mCheckpoint == "half");
  CHECK(start.mTicket == "ticket");
  CHECK(carrier.mOrders[0].mFence == 3);
  CHECK(carrier.mOrders[0].mLeaseClockMs == 5'000);
  flow::order_answer answer;
  answer.mResult = flow::order_result::Done;
  answer.mClockMs = 1'234;
  answer.mEnded.push_back(
    { 9, { start.mRun, flow::run_outcome::Failed, "x" } });
  carrier.mAnswers[0](answer);
  REQUIRE(RunUntil(context, [&]() { return answers.size() == 1; }));
  CHECK(answers[0].mClockMs == 1'234);
  REQUIRE(answers[0].mEnded.size() == 1);
  CHECK(answers[0].mEnded[0].mNumber == 9);
  CHECK(answers[0].mEnded[0].mEnd.mOutcome == flow::run_outcome::Failed);
  CHECK(leader.mRelay->Open() == 1);
}

TEST_CASE(
  "an order that waited in a suspended carrier's socket isn't sent late")
{
  // Guards against a start that reaches a worker after its capacity shrank.
  const paused_clock clock;
  boost::asio::io_context context;
  relay_process leader(context);
  relay_process carrier(context);
  std::vector<flow::order_answer> answers;
  leader.Send(1, carrier.mAddress, answers, milliseconds(500));
  paused_clock::Advance(milliseconds(10));
  REQUIRE(Poll(context, [&]() { return carrier.mOrders.size() == 1; }));
  flow::order_answer done;
  done.mResult = flow::order_result::Done;
  carrier.mAnswers[0](done);
  carrier.mSuspended = true;
  leader.Send(2, carrier.mAddress, answers, milliseconds(500));
  leader.Send(3, carrier.mAddress, answers);
  paused_clock::Advance(milliseconds(10));
  REQUIRE(Poll(context, [&]() { return carrier.mWaiting.size() == 1; }));
  paused_clock::Advance(milliseconds(900));
  carrier.Resume();
  CHECK(carrier.mOrders.size() == 2); // the third, which may wait
  CHECK(carrier.mOrders.back().mId == 3);
  paused_clock::Advance(milliseconds(10));
  REQUIRE(Poll(context, [&]() { return answers.size() == 2; }));
  CHECK(answers[1].mResult == flow::order_result::NotSent);
}

TEST_CASE("answers wait until the leader has received the batch before")
{
  // Guards against a late leader that gets a message for each answer.
  boost::asio::io_context context;
  std::vector<std::size_t> batches; // answers in each
  std::vector<wire::reply_function> receipts;
  wire::rpc_node leader{ wire::rpc_options{} };
  const auto port = leader.Listen(
    "127.0.0.1:0",
    [&](std::uint16_t /*aKind*/,
        const bytes& aBody,
        const wire::reply_function& aReply) {
      boost::asio::post(context, [&batches, &receipts, aBody, aReply]() {
        batches.push_back(
          Decode<flow::answer_batch>(aBody, "test")->mAnswers.size());
        receipts.push_back(aReply);
      });
    },
    [](const bytes& /*aMessage*/) {});
  REQUIRE(port);
  relay_process carrier(context);
  flow::order_batch orders{ "127.0.0.1:" + std::to_string(*port), {} };
  constexpr std::size_t kOrders = 3;
  orders.mOrders.resize(kOrders);
  carrier.mRelay->Carry(orders);
  carrier.mAnswers[0](flow::order_answer{});
  REQUIRE(RunUntil(context, [&]() { return batches.size() == 1; }));
  carrier.mAnswers[1](flow::order_answer{});
  context.restart();
  context.run_for(milliseconds(20));
  carrier.mAnswers[2](flow::order_answer{});
  context.restart();
  context.run_for(milliseconds(20));
  CHECK(batches.size() == 1);
  receipts[0](bytes());
  REQUIRE(RunUntil(context, [&]() { return batches.size() == 2; }));
  CHECK(batches[1] == 2);
  receipts[1](bytes());
  leader.Stop();
}

TEST_CASE("an order whose carrier is not there was surely not sent")
{
  // The carrier has died. The leader is told at once, so that the order goes
  // another way, and is told the truth: its worker never saw it.
  boost::asio::io_context context;
  relay_process leader(context);
  std::string gone;
  {
    const relay_process carrier(context);
    gone = carrier.mAddress;
  }
  std::vector<flow::order_answer> answers;
  leader.Send(1, gone, answers);
  REQUIRE(RunUntil(context, [&]() { return answers.size() == 1; }));
  CHECK(answers[0].mResult == flow::order_result::NotSent);
  CHECK(leader.mFailed == std::vector<std::string>{ gone });
}

TEST_CASE("an order that its carrier says nothing of has no answer, once")
{
  // The carrier took it over and hangs. Whether the worker got it is not known;
  // an answer that comes after all is dropped, or the order would end twice.
  boost::asio::io_context context;
  relay_process leader(context);
  relay_process carrier(context);
  std::vector<flow::order_answer> answers;
  leader.Send(1, carrier.mAddress, answers);
  REQUIRE(RunUntil(context, [&]() { return carrier.mOrders.size() == 1; }));
  leader.mRelay->Tick(runtime_clock::now() + seconds(2));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].mResult == flow::order_result::NoAnswer);
  carrier.mAnswers[0](flow::order_answer{});
  leader.Send(2, carrier.mAddress, answers);
  REQUIRE(RunUntil(context, [&]() { return carrier.mOrders.size() == 2; }));
  carrier.mAnswers[1](flow::order_answer{});
  REQUIRE(RunUntil(context, [&]() { return answers.size() == 2; }));
  CHECK(leader.mRelay->Open() == 0);
}

} // namespace oriolewalk::host
