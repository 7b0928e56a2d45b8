#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/server.h"
#include "platform/worker_calls.h"

namespace {

namespace flow = oriolewalk::flow;
namespace http = oriolewalk::http;
using oriolewalk::milliseconds;

// What an order comes to at a worker that answers everything like this.
// aPaths: what it was asked, in order.
flow::order_answer
SendTo(const http::response& aSaid,
       flow::worker_order aOrder,
       std::vector<std::string>* aPaths = nullptr)
{
  boost::asio::io_context context;
  http::server worker(
    context,
    { "127.0.0.1", 0 },
    {},
    [&](const http::request& aRequest, const http::responder& aResponder) {
      if (aPaths != nullptr) {
        aPaths->push_back(aRequest.mTarget);
      }
      aResponder.Send(aSaid);
    });
  const auto port = worker.Start();
  REQUIRE(port);
  http::client client(context, {});
  flow::worker_order order = std::move(aOrder);
  order.mWorkerId = oriolewalk::worker_id("w");
  order.mAddress = "127.0.0.1:" + std::to_string(*port);
  std::optional<flow::order_answer> answer;
  platform::MakeWorkerPort(client, {})(order, [&](flow::order_answer aAnswer) {
    answer = std::move(aAnswer);
    context.stop();
  });
  context.run_for(oriolewalk::seconds(20));
  REQUIRE(answer);
  return *answer;
}

// What a look comes to at a worker that answers with this body.
flow::order_answer
LookAt(const std::string& aBody)
{
  flow::worker_order look;
  look.mBody = flow::poll_order{ 0, 0 };
  return SendTo({ .mStatus = 200, .mBody = aBody }, look);
}

// A start that only the process of this time may get.
flow::worker_order
StartFor(std::int64_t aBornMs)
{
  flow::worker_order start;
  start.mProcessStartMs = aBornMs;
  start.mBody = flow::start_order{};
  return start;
}

} // namespace

TEST_CASE("a look's answer that can't be read says nothing of what runs")
{
  // A worker, or something on the way, answers 200 with bytes that are no
  // lists. Read as lists that are empty, the runs there would seem gone and be
  // started again elsewhere while they go on.
  CHECK(LookAt("{\"running\":[[\"0").mResult == flow::order_result::NoAnswer);
  CHECK(LookAt("").mResult == flow::order_result::NoAnswer);
  const flow::order_answer sound = LookAt(
    R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"half",41]]})");
  CHECK(sound.mResult == flow::order_result::Done);
  CHECK(sound.mRunning.size() == 1);
  CHECK(sound.mProcessStartMs == 0);
}

TEST_CASE("a look's answer says whose lists it holds")
{
  // Lists of a process that started since must not be read as those of the one
  // before. Where whose they are can't be read, they say nothing.
  CHECK(LookAt(R"({"born":1785721069176,"running":[]})").mProcessStartMs ==
        1'785'721'069'176);
  for (const char* strange : { R"("1785721069176")", "null", "-4", "[1]" }) {
    INFO(strange);
    CHECK(
      LookAt(R"({"running":[],"born":)" + std::string(strange) + "}").mResult ==
      flow::order_result::NoAnswer);
  }
}

TEST_CASE("an order goes to no other process than the one that it names")
{
  // Guards against a start, a stop or a cursor that a worker's next process
  // takes for its own.
  using flow::order_result;
  using paths = std::vector<std::string>;
  const http::response first{ .mStatus = 200,
                              .mBody = R"({"born":1000,"running":[]})" };
  paths seen;
  CHECK(SendTo(first, StartFor(1'000), &seen).mResult == order_result::Done);
  CHECK(seen == paths{ "/v1/hold", "/v1/run-start" });
  seen.clear();
  const flow::order_answer other = SendTo(first, StartFor(999), &seen);
  CHECK(other.mResult == order_result::NotSent);
  CHECK(other.mProcessStartMs == 1'000);
  CHECK(seen == paths{ "/v1/hold" });
  seen.clear();
  CHECK(SendTo(first, StartFor(0), &seen).mResult == order_result::Done);
  CHECK(seen == paths{ "/v1/run-start" });
}

TEST_CASE("what a worker says instead of its start is the order's answer")
{
  using flow::order_result;
  const auto startAt = [](unsigned aStatus, const char* aBody) {
    return SendTo({ .mStatus = aStatus, .mBody = aBody }, StartFor(1'000))
      .mResult;
  };
  CHECK(startAt(421, "{}") == order_result::OtherIncarnation);
  CHECK(startAt(409, R"({"reason":"fence"})") == order_result::Superseded);
  CHECK(startAt(503, "") == order_result::Unhealthy);
  CHECK(startAt(500, "") == order_result::NotSent);
  CHECK(startAt(200, R"({"running":[]})") == order_result::NotSent);
  CHECK(startAt(200, R"({"running":)") == order_result::NotSent);
}
