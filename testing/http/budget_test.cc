#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "testing/http/loopback.h"
#include "testing/http/sized_server.h"

namespace oriolewalk::http {
namespace {

using boost::asio::ip::tcp;

TEST_CASE("requests that are never finished leave room for one that is")
{
  // Bodies within the limit, on many connections, took all memory.
  sized_server web(SmallLimits());
  std::vector<std::unique_ptr<raw_caller>> stalled;
  for (int caller = 0; caller < 32; ++caller) {
    stalled.push_back(std::make_unique<raw_caller>(web.mPort));
    stalled.back()->Send("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" +
                         std::string(60 * kKiB, 'b'));
  }
  // What was shed was told so: the first ones, since they are the oldest.
  CHECK_THAT(stalled.front()->ReadToEnd(),
             Catch::StartsWith("HTTP/1.1 503") &&
               Catch::Contains("Retry-After: ") &&
               Catch::Contains("not taken up"));
  raw_caller ordinary(web.mPort);
  ordinary.Send("POST / HTTP/1.1\r\nContent-Length: 10000\r\n"
                "Connection: close\r\n\r\n" +
                std::string(10'000, 'b'));
  CHECK_THAT(ordinary.ReadToEnd(), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(web.mServer.HeldBytes() <= 256 * kKiB + 64 * kKiB);
  CHECK(web.mHandled == 1);
}

TEST_CASE("answers that nobody takes leave room for one that is taken")
{
  // Callers that asked for much and read nothing took all memory.
  sized_server web(SmallLimits());
  constexpr std::size_t kLarge = 8'000 * kKiB; // beyond the send buffer
  std::vector<std::unique_ptr<raw_caller>> deaf;
  for (int caller = 0; caller < 8; ++caller) {
    deaf.push_back(std::make_unique<raw_caller>(web.mPort));
    deaf.back()->Send("GET /?size=" + std::to_string(kLarge) +
                      " HTTP/1.1\r\n\r\n");
  }
  while (web.mHandled < 8) {
    std::this_thread::yield();
  }
  raw_caller ordinary(web.mPort);
  ordinary.Send("GET /?size=100000 HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK_THAT(ordinary.ReadToEnd(), Catch::EndsWith("end"));
  CHECK(web.mServer.HeldBytes() <= kLarge + kKiB); // one answer
}

TEST_CASE("an idle connection holds nothing of its last answer")
{
  sized_server web(SmallLimits());
  raw_caller caller(web.mPort);
  caller.Send("GET /?size=100000 HTTP/1.1\r\n\r\n");
  caller.ReadUntil("end");
  while (web.mServer.Active() > 0 || web.mServer.HeldBytes() > 0) {
    std::this_thread::yield();
  }
  CHECK(web.mServer.Connections() == 1);
}

TEST_CASE("half requests give way to a new connection after a while")
{
  // Connections with half a request otherwise keep all others out until their
  // time-out.
  const paused_clock clock;
  server_limits limits;
  limits.mMaxConnections = 2;
  limits.mHeaderTimeout = seconds(3'600);
  sized_server web(limits);
  raw_caller first(web.mPort);
  raw_caller second(web.mPort);
  first.Send("GET / HTTP/1.1\r\n");
  second.Send("GET / HTTP/1.1\r\n");
  for (;;) {
    paused_clock::Advance(milliseconds(100));
    raw_caller third(web.mPort);
    third.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answer = third.ReadToEnd();
    if (answer.starts_with("HTTP/1.1 200")) {
      break;
    }
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 503")));
  }
  CHECK(web.mServer.ClosedForRoom() > 0);
}

// A connection that reads nothing, with little room for what comes.
tcp::socket
ConnectDeaf(boost::asio::io_context& aContext, std::uint16_t aPort)
{
  constexpr int kLittle = 4'096;
  tcp::socket socket(aContext, tcp::v4());
  socket.set_option(tcp::socket::receive_buffer_size(kLittle));
  socket.set_option(tcp::no_delay(true));
  socket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
  return socket;
}

TEST_CASE("a peer that reads no interim answer doesn't stop the server")
{
  // Sent without regard to the send buffer, it made the server's thread wait
  // for the peer.
  sized_server web(SmallLimits());
  const std::string expecting = "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                                "Content-Length: 1\r\n\r\n";
  boost::asio::io_context context;
  std::vector<tcp::socket> deaf;
  // What fills the send buffer is an interim answer now and then.
  for (int connection = 0; connection < 8; ++connection) {
    deaf.push_back(ConnectDeaf(context, web.mPort));
    boost::system::error_code code;
    deaf.back().non_blocking(true);
    deaf.back().send(boost::asio::buffer(expecting), 0, code);
    for (int time = 0; time < 4'000 && !code; ++time) {
      // The body of each comes apart from its header.
      deaf.back().send(boost::asio::buffer("x" + expecting), 0, code);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  }
  for (int time = 0; time < 4; ++time) {
    raw_caller ordinary(web.mPort);
    ordinary.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK_THAT(ordinary.ReadToEnd(), Catch::StartsWith("HTTP/1.1 200"));
  }
}

TEST_CASE("large answers together don't go beyond a client's memory")
{
  // Each was within its own limit.
  constexpr std::size_t kAnswer = 512 * kKiB;
  raw_target target([](tcp::socket& aSocket) {
    if (!ReadRequest(aSocket).empty()) {
      WriteAll(aSocket,
               "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswer) +
                 "\r\n\r\n" + std::string(kAnswer, 'a'));
    }
  });
  running_context context;
  client small(context.Get(), { .mMaxHeldBytes = 100 * kKiB });
  const auto refused = SendTo(small, target.Address(), {}).get();
  CHECK(std::holds_alternative<unknown_outcome>(refused));
  CHECK(small.HeldBytes() == 0);
  client large(context.Get(), {});
  const auto taken = SendTo(large, target.Address(), {}).get();
  CHECK(std::holds_alternative<answered>(taken));
}

} // namespace
} // namespace oriolewalk::http
