#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/server.h"
#include "platform/worker_calls.h"

namespace {

namespace flow = oriolewalk::flow;
namespace http = oriolewalk::http;
using oriolewalk::milliseconds;

// What a look comes to at a worker that answers with this body.
flow::order_answer
LookAt(const std::string& aBody)
{
  boost::asio::io_context context;
  http::server worker(
    context,
    { "127.0.0.1", 0 },
    {},
    [&](const http::request& /*aRequest*/, const http::responder& aResponder) {
      aResponder.Send({ .mStatus = 200, .mBody = aBody });
    });
  const auto port = worker.Start();
  REQUIRE(port);
  http::client client(context, {});
  flow::worker_order order;
  order.mLife = oriolewalk::worker_id("w");
  order.mAddress = "127.0.0.1:" + std::to_string(*port);
  order.mBody = flow::hold_order{ 0, 0 };
  std::optional<flow::order_answer> answer;
  platform::MakeWorkerPort(client, {})(order, [&](flow::order_answer aAnswer) {
    answer = std::move(aAnswer);
    context.stop();
  });
  context.run_for(oriolewalk::seconds(20));
  REQUIRE(answer);
  return *answer;
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
  CHECK(sound.mBornMs == 0);
}

TEST_CASE("a look's answer says whose lists it holds")
{
  // Lists of a process that started since must not be read as those of the one
  // before. Where whose they are can't be read, they say nothing.
  CHECK(LookAt(R"({"born":1785721069176,"running":[]})").mBornMs ==
        1'785'721'069'176);
  for (const char* strange : { R"("1785721069176")", "null", "-4", "[1]" }) {
    INFO(strange);
    CHECK(
      LookAt(R"({"running":[],"born":)" + std::string(strange) + "}").mResult ==
      flow::order_result::NoAnswer);
  }
}
