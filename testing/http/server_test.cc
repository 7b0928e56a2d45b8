#include <catch2/catch.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "testing/http/loopback.h"

namespace oriolewalk::http {
namespace {

// Answers with what it was sent, and counts.
struct echo_server
{
  explicit echo_server(server_limits aLimits = {})
    : mServer(mContext.Get(),
              kAnyPort,
              aLimits,
              [this](request aRequest, const responder& aCall) {
                ++mHandled;
                aCall.Send({ 200,
                             { { "X-Method", aRequest.mMethod } },
                             aRequest.mTarget + " " + aRequest.mBody });
              })
    , mPort(mServer.Start().value())
  {
  }

  running_context mContext;
  std::atomic<int> mHandled = 0;
  server mServer;
  std::uint16_t mPort;
};

// Moves the paused clock until the server has closed the caller's connection.
std::string
ReadWhileTimePasses(raw_caller& aCaller, milliseconds aStep)
{
  auto read =
    std::async(std::launch::async, [&] { return aCaller.ReadToEnd(); });
  while (read.wait_for(milliseconds(1)) != std::future_status::ready) {
    paused_clock::Advance(aStep);
  }
  return read.get();
}

TEST_CASE("a connection is kept, and pipelined requests answered in order")
{
  echo_server echo;
  raw_caller caller(echo.mPort);
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
              "GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
              "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
              "HEAD /d HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string text = caller.ReadToEnd();
  const auto first = text.find("/a hi");
  const auto second = text.find("/b ");
  const auto third = text.find("/c abc");
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
  CHECK_THAT(text, Catch::EndsWith("\r\n\r\n")); // HEAD has no body
  CHECK(echo.mHandled == 4);
}

TEST_CASE("limits that change hold from the next request on")
{
  echo_server echo;
  raw_caller before(echo.mPort);
  const std::string post = "POST /a HTTP/1.1\r\nContent-Length: 20\r\n"
                           "Connection: close\r\n\r\n" +
                           std::string(20, 'b');
  before.Send(post);
  CHECK_THAT(before.ReadToEnd(), Catch::StartsWith("HTTP/1.1 200"));
  server_limits limits;
  limits.mMaxBodyBytes = 10;
  std::promise<void> set;
  boost::asio::post(echo.mContext.Get(), [&]() {
    echo.mServer.SetLimits(limits);
    set.set_value();
  });
  set.get_future().wait();
  raw_caller after(echo.mPort);
  after.Send(post);
  CHECK_THAT(after.ReadToEnd(), Catch::StartsWith("HTTP/1.1 413"));
}

TEST_CASE("malformed and oversized requests are refused before the handler")
{
  // The caller gets a 4xx and a close; the handler never sees the request.
  const auto [bytes, status] = GENERATE(table<std::string, std::string>({
    { "nonsense\r\n\r\n", "400" },
    { "GET / HTTP/9.9\r\n\r\n", "400" },
    { "GET x HTTP/1.1\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nbad header\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400" },
    { "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", "431" },
    { "GET / HTTP/1.1\r\nA: " + std::string(9000, 'a'), "431" },
    { "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413" },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
        std::string(101, 'b') + "\r\n0\r\n\r\n",
      "413" },
  }));
  server_limits limits;
  limits.mMaxHeaderBytes = 1000;
  limits.mMaxBodyBytes = 100;
  echo_server echo(limits);
  raw_caller caller(echo.mPort);
  caller.Send(bytes);
  CAPTURE(bytes);
  CHECK_THAT(caller.ReadToEnd(), Catch::StartsWith("HTTP/1.1 " + status));
  CHECK(echo.mHandled == 0);
  raw_caller next(echo.mPort); // the server goes on
  next.Send("GET /ok HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK_THAT(next.ReadToEnd(), Catch::Contains("/ok"));
}

TEST_CASE("a slow sender gets 408, and an idle connection is closed")
{
  const auto [bytes, start] = GENERATE(table<std::string, std::string>({
    { "GET / HT", "HTTP/1.1 408" },
    { "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 408" },
    { "", "" },
  }));
  const paused_clock clock;
  echo_server echo;
  raw_caller caller(echo.mPort);
  caller.Send(bytes);
  CHECK_THAT(ReadWhileTimePasses(caller, milliseconds(1000)),
             Catch::StartsWith(start));
  CHECK(echo.mHandled == 0);
}

TEST_CASE("a caller that closes its sending half still gets its answer, and "
          "one that closes in the middle gets 400")
{
  echo_server echo;
  raw_caller whole(echo.mPort);
  whole.Send("GET /half HTTP/1.1\r\n\r\n");
  whole.CloseSending();
  CHECK_THAT(whole.ReadToEnd(), Catch::Contains("/half"));
  raw_caller cut(echo.mPort);
  cut.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  cut.CloseSending();
  CHECK_THAT(cut.ReadToEnd(), Catch::StartsWith("HTTP/1.1 400"));
  CHECK(echo.mHandled == 1);
}

TEST_CASE("the handler learns that the caller hung up, and a lost handler "
          "makes 500")
{
  running_context context;
  std::promise<responder> arrived;
  std::promise<void> gone;
  server web(context.Get(),
             kAnyPort,
             {},
             [&](const request& aRequest, const responder& aCall) {
               if (aRequest.mTarget == "/hold") {
                 aCall.OnDisconnected([&] { gone.set_value(); });
                 arrived.set_value(aCall);
               }
             });
  const std::uint16_t port = web.Start().value();
  raw_caller holder(port);
  holder.Send("GET /hold HTTP/1.1\r\n\r\n");
  const responder held = arrived.get_future().get();
  CHECK(web.Active() == 1);
  holder.Close();
  gone.get_future().get();
  held.Send({}); // to nobody: must do no harm
  raw_caller lost(port);
  lost.Send("GET /lose HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK_THAT(lost.ReadToEnd(), Catch::StartsWith("HTTP/1.1 500"));
  context.Stop();
}

TEST_CASE("answers come from any thread, the first counts, and no header "
          "value can split an answer")
{
  running_context context;
  std::vector<std::thread> threads;
  server web(context.Get(),
             kAnyPort,
             {},
             [&](const request& /*aRequest*/, const responder& aCall) {
               threads.emplace_back([aCall] {
                 aCall.Send({ 200, { { "A", "b\r\nC: d" } }, "first" });
                 aCall.Send({ 200, {}, "second" });
               });
             });
  raw_caller caller(web.Start().value());
  caller.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string text = caller.ReadToEnd();
  CHECK_THAT(text, Catch::EndsWith("first") && !Catch::Contains("second"));
  CHECK_THAT(text, Catch::Contains("A: b  C: d\r\n"));
  context.Stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

TEST_CASE("one connection too many is told so, and a place is free again "
          "after a close")
{
  server_limits limits;
  limits.mMaxConnections = 1;
  echo_server echo(limits);
  raw_caller first(echo.mPort);
  first.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n"); // 2 is under way
  first.ReadUntil("/1 ");
  raw_caller second(echo.mPort);
  CHECK_THAT(second.ReadToEnd(), Catch::StartsWith("HTTP/1.1 503"));
  first.Close();
  while (echo.mServer.Connections() > 0) {
    std::this_thread::yield();
  }
  raw_caller third(echo.mPort);
  third.Send("GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK_THAT(third.ReadToEnd(), Catch::Contains("/3"));
}

TEST_CASE("connections that are kept and say nothing keep nobody out")
{
  // Peers that died without a word, or somebody hostile: each takes a place for
  // as long as idle connections are kept. Whoever comes next is served in the
  // place of the one that was idle for longest; a request under way is not cut.
  constexpr std::size_t kMost = 8;
  server_limits limits;
  limits.mMaxConnections = kMost;
  echo_server echo(limits);
  raw_caller busy(echo.mPort);
  busy.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n");
  busy.ReadUntil("/1 ");
  std::vector<std::unique_ptr<raw_caller>> silent;
  for (std::size_t caller = 0; caller < 10 * kMost; ++caller) {
    silent.push_back(std::make_unique<raw_caller>(echo.mPort));
    silent.back()->Send("GET /x HTTP/1.1\r\n\r\n");
    CHECK_THAT(silent.back()->ReadUntil("/x "), Catch::Contains("/x"));
    CHECK(echo.mServer.Connections() <= kMost + 1); // one is being closed
  }
  CHECK(echo.mServer.ClosedForRoom() >= 10 * kMost - kMost);
  busy.Send("Connection: close\r\n\r\n");
  CHECK_THAT(busy.ReadToEnd(), Catch::Contains("/2"));
}

TEST_CASE("after StopAccepting open connections are answered and closed")
{
  echo_server echo;
  raw_caller caller(echo.mPort);
  caller.Send("GET /1 HTTP/1.1\r\n\r\n");
  caller.ReadUntil("/1 ");
  echo.mServer.StopAccepting();
  caller.Send("GET /2 HTTP/1.1\r\n\r\n");
  CHECK_THAT(caller.ReadToEnd(),
             Catch::Contains("Connection: close") && Catch::Contains("/2"));
}

TEST_CASE("queries are found and decoded")
{
  const request sample{ .mTarget = "/v1/x?from=1&to=a%2Fb%zz" };
  CHECK(sample.Path() == "/v1/x");
  CHECK(FindQuery(sample.Query(), "from") == "1");
  CHECK(FindQuery(sample.Query(), "to") == "a/b%zz");
  CHECK_FALSE(FindQuery(sample.Query(), "none"));
}

} // namespace
} // namespace oriolewalk::http
