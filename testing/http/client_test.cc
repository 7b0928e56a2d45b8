#include <catch2/catch.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/settings/address.h"
#include "testing/http/loopback.h"

namespace oriolewalk::http {
namespace {

using boost::asio::ip::tcp;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A target that answers every request of a connection with the same bytes and
// then closes it, if asked to.
raw_target::script
AnswerWith(std::string aBytes, bool aClose)
{
  return [bytes = std::move(aBytes), aClose](tcp::socket& aSocket) {
    while (!ReadRequest(aSocket).empty()) {
      WriteAll(aSocket, bytes);
      if (aClose) {
        return;
      }
    }
  };
}

std::string
Reason(const send_outcome& aOutcome)
{
  REQUIRE(std::holds_alternative<unknown_outcome>(aOutcome));
  return std::get<unknown_outcome>(aOutcome).mError.Describe();
}

TEST_CASE("many callers each get their own answer over few connections")
{
  running_context context;
  server web(context.Get(),
             kAnyPort,
             {},
             [](const request& aRequest, const responder& aCall) {
               aCall.Send({ 200, {}, aRequest.mTarget + aRequest.mBody });
             });
  const settings::address where{ "127.0.0.1", web.Start().value() };
  client caller(context.Get(), {});
  constexpr int kRounds = 20;
  constexpr int kAtOnce = 32;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::pair<std::string, std::future<send_outcome>>> sent;
    for (int number = 0; number < kAtOnce; ++number) {
      const std::string body = std::to_string(round * kAtOnce + number);
      sent.emplace_back(std::string("/").append(body).append(body),
                        SendTo(caller,
                               where,
                               { .mMethod = "POST",
                                 .mTarget = std::string("/").append(body),
                                 .mBody = body }));
    }
    for (auto& [wanted, future] : sent) {
      const send_outcome outcome = future.get();
      REQUIRE(std::holds_alternative<answered>(outcome));
      CHECK(std::get<answered>(outcome).mResponse.mBody == wanted);
    }
  }
  CHECK(web.Connections() <= kAtOnce);
  caller.Close();
  context.Stop();
}

TEST_CASE("a refused connection is never started")
{
  running_context context;
  settings::address nobody;
  {
    const raw_target gone(AnswerWith(kOk, true));
    nobody = gone.Address();
  }
  client caller(context.Get(), {});
  const send_outcome outcome = SendTo(caller, nobody, {}).get();
  REQUIRE(std::holds_alternative<never_started>(outcome));
  CHECK(std::get<never_started>(outcome).mError.mPeer == nobody.ToString());
}

TEST_CASE("an answer that is cut, malformed, too large or of no stated length "
          "leaves the outcome unknown")
{
  // The caller's request reached the target, which may have run it; no part
  // of the answer is passed on, and nothing claims that it did not run.
  const auto [bytes, reason] = GENERATE(table<std::string, std::string>({
    { "", "cut off" },
    { "HTTP/1.1 200 OK\r\nContent-Le", "cut off" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "cut off" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
      "cut off" },
    { "HTTP/1.1 200 OK\r\n\r\nok", "Content-Length" },
    { "nonsense\r\n\r\n", "bad" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "too large" },
  }));
  running_context context;
  const raw_target target(AnswerWith(bytes, true));
  client caller(context.Get(), {});
  send_options options;
  options.mMaxAnswerBytes = 100;
  CAPTURE(bytes);
  CHECK_THAT(Reason(SendTo(caller, target.Address(), {}, options).get()),
             Catch::Contains(reason));
}

TEST_CASE("no answer in time is unknown, and its late answer reaches nobody")
{
  // The first request runs out of time. Its answer comes later, on the same
  // connection; the next request must not get it.
  const paused_clock clock;
  running_context context;
  std::promise<void> late;
  std::atomic<int> connections = 0;
  const raw_target target([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    if (++connections == 1) {
      late.get_future().wait();
      WriteAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      return;
    }
    WriteAll(aSocket, kOk);
  });
  client caller(context.Get(), {});
  auto first = SendTo(caller, target.Address(), {});
  while (first.wait_for(milliseconds(1)) != std::future_status::ready) {
    paused_clock::Advance(milliseconds(500));
  }
  // Either word is right here: if the clock ran out before the connection was
  // made, nothing was written.
  CHECK_FALSE(std::holds_alternative<answered>(first.get()));
  late.set_value();
  const send_outcome second = SendTo(caller, target.Address(), {}).get();
  if (const auto* answer = std::get_if<answered>(&second)) {
    CHECK(answer->mResponse.mBody == "ok");
  }
}

TEST_CASE("an answer sent twice, or to another request, is taken by nobody")
{
  running_context context;
  const raw_target twice(AnswerWith(kOk + kOk, true));
  client caller(context.Get(), {});
  for (int round = 0; round < 3; ++round) {
    const send_outcome outcome = SendTo(caller, twice.Address(), {}).get();
    CHECK(std::holds_alternative<answered>(outcome));
  }
  const raw_target other(AnswerWith("HTTP/1.1 200 OK\r\nOriole-Request: t/1\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    true));
  send_options options;
  options.mMustMatch = { { "oriole-request", "t/2" } };
  CHECK_THAT(Reason(SendTo(caller, other.Address(), {}, options).get()),
             Catch::Contains("another request"));
}

TEST_CASE("a connection that the peer closed while idle costs no outcome")
{
  // The target closes after each answer without saying so. The next request
  // would be written to a dead connection and come back unknown, though the
  // target never saw it.
  running_context context;
  std::atomic<int> closed = 0;
  const raw_target target([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    WriteAll(aSocket, kOk);
    aSocket.close();
    ++closed;
  });
  client caller(context.Get(), {});
  constexpr int kRounds = 50;
  for (int round = 1; round <= kRounds; ++round) {
    const send_outcome outcome = SendTo(caller, target.Address(), {}).get();
    CHECK(std::holds_alternative<answered>(outcome));
    while (closed < round) {
      std::this_thread::yield();
    }
  }
}

TEST_CASE("connections to an address are bounded, and the refusal is at once")
{
  running_context context;
  std::promise<void> go;
  const raw_target target([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    go.get_future().wait();
    WriteAll(aSocket, kOk);
  });
  client_limits limits;
  limits.mMaxConnections = 1;
  client caller(context.Get(), limits);
  auto first = SendTo(caller, target.Address(), {});
  const send_outcome second = SendTo(caller, target.Address(), {}).get();
  REQUIRE(std::holds_alternative<never_started>(second));
  CHECK(std::get<never_started>(second).mError.mCode == error_code::Busy);
  go.set_value();
  CHECK(std::holds_alternative<answered>(first.get()));
}

TEST_CASE(
  "connections to all addresses are bounded: the one idle for longest goes")
{
  // A client of many peers keeps a connection to each. Were there no bound for
  // all together, they would take the descriptors that the disk needs.
  running_context context;
  const auto serve = [](tcp::socket& aSocket) {
    while (!ReadRequest(aSocket).empty()) {
      WriteAll(aSocket, kOk);
    }
  };
  const raw_target one(serve);
  const raw_target two(serve);
  const raw_target three(serve);
  client_limits limits;
  limits.mMaxOpen = 2;
  client caller(context.Get(), limits);
  for (const raw_target* target : { &one, &two, &one, &three, &one, &three }) {
    const send_outcome outcome = SendTo(caller, target->Address(), {}).get();
    CHECK(std::holds_alternative<answered>(outcome));
    CHECK(caller.Open() <= 2);
  }
  CHECK(caller.ClosedForRoom() == 1); // to the second target
}

TEST_CASE("a request beyond all busy connections is refused at once")
{
  running_context context;
  std::promise<void> go;
  const raw_target busy([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    go.get_future().wait();
    WriteAll(aSocket, kOk);
  });
  const raw_target other([](tcp::socket& aSocket) { ReadRequest(aSocket); });
  client_limits limits;
  limits.mMaxOpen = 1;
  client caller(context.Get(), limits);
  auto first = SendTo(caller, busy.Address(), {});
  const send_outcome second = SendTo(caller, other.Address(), {}).get();
  REQUIRE(std::holds_alternative<never_started>(second));
  CHECK(std::get<never_started>(second).mError.mCode == error_code::Busy);
  go.set_value();
  CHECK(std::holds_alternative<answered>(first.get()));
}

// A process at a port: tells its name, and notes what else it gets.
class named_process
{
public:
  named_process(boost::asio::io_context& aContext,
                std::uint16_t aPort,
                const std::string& aName)
  {
    // The process before gives its port back a moment after it went.
    result<std::uint16_t> port = aPort;
    do {
      mServer = std::make_unique<server>(
        aContext,
        settings::address{ "127.0.0.1", aPort },
        server_limits{},
        [this, aName](const request& aRequest, const responder& aCall) {
          ++(aRequest.mTarget == "/name" ? mAsked : mGot);
          aCall.Send({ 200, {}, aName });
        });
      port = mServer->Start();
    } while (!port);
    mPort = *port;
  }

  [[nodiscard]] settings::address Address() const
  {
    return { "127.0.0.1", mPort };
  }

  std::atomic<int> mAsked = 0;
  std::atomic<int> mGot = 0;

private:
  std::unique_ptr<server> mServer;
  std::uint16_t mPort = 0;
};

send_options
OnlyTo(std::string aName)
{
  send_options options;
  options.mTotalTimeout = seconds(2);
  options.mPeer = peer_check{
    .mName = std::move(aName),
    .mQuestion = { .mTarget = "/name" },
    .mReadName = [](const response& aAnswer) { return aAnswer.mBody; },
  };
  return options;
}

TEST_CASE("a process is asked for its name once a connection")
{
  running_context context;
  named_process one(context.Get(), 0, "one");
  client caller(context.Get(), {});
  constexpr int kRequests = 3;
  for (int sent = 0; sent < kRequests; ++sent) {
    const send_outcome outcome =
      SendTo(caller, one.Address(), {}, OnlyTo("one")).get();
    CHECK(std::holds_alternative<answered>(outcome));
  }
  CHECK(one.mAsked == 1);
  CHECK(one.mGot == kRequests);
  caller.Close();
  context.Stop();
}

TEST_CASE("a request for a process that has ended reaches no later one there")
{
  // Guards against a request that is carried out by the next process at the
  // address, over a kept connection or over a new one.
  running_context context;
  client caller(context.Get(), {});
  settings::address where;
  {
    named_process one(context.Get(), 0, "one");
    where = one.Address();
    REQUIRE(std::holds_alternative<answered>(
      SendTo(caller, where, {}, OnlyTo("one")).get()));
  }
  named_process two(context.Get(), where.mPort, "two");
  constexpr int kTries = 3;
  for (int sent = 0; sent < kTries; ++sent) {
    const send_outcome outcome = SendTo(caller, where, {}, OnlyTo("one")).get();
    REQUIRE(std::holds_alternative<never_started>(outcome));
    const auto& none = std::get<never_started>(outcome);
    CHECK(none.mError.mCode == error_code::Conflict);
    REQUIRE(none.mAnswer);
    CHECK(none.mAnswer->mBody == "two");
  }
  CHECK(two.mGot == 0);
  CHECK(std::holds_alternative<answered>(
    SendTo(caller, where, {}, OnlyTo("two")).get()));
  CHECK(two.mGot == 1);
  caller.Close();
  context.Stop();
}

TEST_CASE("a process that doesn't tell its name gets no request meant for one")
{
  // Its answer is cut, names nobody, or ends the connection.
  const auto [bytes, close] = GENERATE(table<std::string, bool>({
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\non", true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: "
      "close\r\n\r\none",
      true },
    { "", false },
  }));
  CAPTURE(bytes);
  running_context context;
  std::atomic<int> requests = 0;
  const raw_target target(
    [&, bytes = bytes, close = close](tcp::socket& aPeer) {
      for (std::string text = ReadRequest(aPeer); !text.empty();
           text = ReadRequest(aPeer)) {
        requests += text.starts_with("GET /name") ? 0 : 1;
        WriteAll(aPeer, bytes);
        if (close) {
          return;
        }
      }
    });
  client caller(context.Get(), {});
  CHECK(std::holds_alternative<never_started>(
    SendTo(caller, target.Address(), {}, OnlyTo("one")).get()));
  CHECK(requests == 0);
  caller.Close();
  context.Stop();
}

TEST_CASE("an answer that came in time counts, however late it is read")
{
  // Guards against a busy process that takes its own delay for its peer's
  // silence: the time is over when its event loop comes to read.
  std::promise<void> sent;
  const raw_target target([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    WriteAll(aSocket, kOk);
    sent.set_value();
    ReadRequest(aSocket);
  });
  boost::asio::io_context context;
  client caller(context, {});
  constexpr milliseconds kTime{ 1'000 };
  auto outcome = SendTo(
    caller, target.Address(), {}, send_options{ .mTotalTimeout = kTime });
  auto answer = sent.get_future();
  while (answer.wait_for(milliseconds(0)) != std::future_status::ready) {
    context.poll();
  }
  std::this_thread::sleep_for(2 * kTime);
  context.restart();
  context.run_for(2 * kTime);
  caller.Close();
  context.restart();
  context.run();
  REQUIRE(outcome.wait_for(milliseconds(0)) == std::future_status::ready);
  CHECK(std::holds_alternative<answered>(outcome.get()));
}

TEST_CASE("a request that has no time left is not sent")
{
  // Guards against a request that is carried out though its sender has given it
  // up before it could hear the answer.
  std::atomic<int> requests = 0;
  const raw_target target([&](tcp::socket& aSocket) {
    while (!ReadRequest(aSocket).empty()) {
      ++requests;
      WriteAll(aSocket, kOk);
    }
  });
  boost::asio::io_context context;
  client caller(context, {});
  constexpr milliseconds kTime{ 50 };
  auto outcome = SendTo(
    caller, target.Address(), {}, send_options{ .mTotalTimeout = kTime });
  std::this_thread::sleep_for(2 * kTime);
  context.run_for(milliseconds(500));
  caller.Close();
  context.restart();
  context.run();
  REQUIRE(outcome.wait_for(milliseconds(0)) == std::future_status::ready);
  CHECK(std::holds_alternative<never_started>(outcome.get()));
  CHECK(requests == 0);
}

TEST_CASE("a closed client ends what is under way and refuses what is new")
{
  running_context context;
  std::promise<void> arrived;
  std::promise<void> go;
  const raw_target target([&](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    arrived.set_value();
    go.get_future().wait();
  });
  client caller(context.Get(), {});
  auto first = SendTo(caller, target.Address(), {});
  arrived.get_future().wait();
  caller.Close();
  CHECK_THAT(Reason(first.get()), Catch::Contains("closed"));
  CHECK(std::holds_alternative<never_started>(
    SendTo(caller, target.Address(), {}).get()));
  go.set_value();
}

TEST_CASE("a request that would split into two is not sent")
{
  running_context context;
  const raw_target target(AnswerWith(kOk, true));
  client caller(context.Get(), {});
  for (const request& bad : { request{ .mTarget = "/a b" },
                              request{ .mTarget = "/a\r\nX: y" },
                              request{ .mTarget = "a" },
                              request{ .mMethod = "GET /x" },
                              request{ .mHeaders = { { "A", "b\r\nC: d" } } },
                              request{ .mHeaders = { { "A b", "c" } } } }) {
    const send_outcome outcome = SendTo(caller, target.Address(), bad).get();
    REQUIRE(std::holds_alternative<never_started>(outcome));
    CHECK(std::get<never_started>(outcome).mError.mCode ==
          error_code::InvalidArgument);
  }
}

TEST_CASE("100 Continue and HEAD are followed, and the connection is kept")
{
  running_context context;
  const raw_target target([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    WriteAll(aSocket, "HTTP/1.1 100 Continue\r\n\r\n" + kOk);
    ReadRequest(aSocket);
    WriteAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    ReadRequest(aSocket);
    WriteAll(aSocket, kOk);
  });
  client caller(context.Get(), {});
  for (const char* method : { "GET", "HEAD", "GET" }) {
    const send_outcome outcome =
      SendTo(caller, target.Address(), { .mMethod = method }).get();
    REQUIRE(std::holds_alternative<answered>(outcome));
    CHECK(std::get<answered>(outcome).mResponse.mBody.size() ==
          (std::string(method) == "GET" ? 2 : 0));
  }
}

} // namespace
} // namespace oriolewalk::http
