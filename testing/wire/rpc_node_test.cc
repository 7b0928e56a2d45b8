#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::wire {
namespace {

constexpr std::uint16_t kEcho = 1;
constexpr std::uint16_t kRefuse = 2;
constexpr std::uint16_t kSilent = 3;
constexpr seconds kLong{ 20 };

// Answers by kind, and calls of kSilent never.
struct fake_server
{
  rpc_node mNode{ rpc_options{} };
  std::promise<bytes> mDelivered;
  std::string mAddress;

  fake_server()
  {
    const auto port = mNode.Listen(
      "127.0.0.1:0",
      [](std::uint16_t aKind, bytes aBody, const reply_function& aReply) {
        if (aKind == kEcho) {
          aReply(std::move(aBody));
        } else if (aKind == kRefuse) {
          aReply(Fail(error_code::NotLeader, "test", "ask 2"));
        }
      },
      [this](bytes aMessage) { mDelivered.set_value(std::move(aMessage)); });
    REQUIRE(port);
    mAddress = "127.0.0.1:" + std::to_string(*port);
  }
};

result<bytes>
CallAndWait(rpc_node& aNode,
            const std::string& aPeer,
            std::uint16_t aKind,
            bytes aBody,
            duration aTimeout)
{
  auto done = std::make_shared<std::promise<result<bytes>>>();
  auto answer = done->get_future();
  aNode.Call(
    aPeer, aKind, std::move(aBody), aTimeout, [done](result<bytes> aAnswer) {
      done->set_value(std::move(aAnswer));
    });
  return answer.get();
}

TEST_CASE("calls get the answer, or the peer's error by its code")
{
  const fake_server server;
  rpc_node client(rpc_options{});
  const bytes large(300'000, 'x');
  CHECK(CallAndWait(client, server.mAddress, kEcho, large, kLong) == large);
  const auto refused = CallAndWait(client, server.mAddress, kRefuse, "", kLong);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::NotLeader);
  CHECK(refused.error().mPeer == server.mAddress);
  CHECK(refused.error().mMessage == "ask 2");
}

TEST_CASE("a call without an answer times out and later calls succeed")
{
  const fake_server server;
  rpc_node client(rpc_options{});
  const auto silent =
    CallAndWait(client, server.mAddress, kSilent, "", milliseconds(30));
  REQUIRE_FALSE(silent);
  CHECK(silent.error().mCode == error_code::Timeout);
  CHECK(CallAndWait(client, server.mAddress, kEcho, "a", kLong) == bytes("a"));
}

TEST_CASE("a call to an absent peer is unavailable and not delivered")
{
  std::string address;
  {
    const fake_server gone;
    address = gone.mAddress;
  }
  rpc_node client(rpc_options{});
  const auto refused = CallAndWait(client, address, kEcho, "", kLong);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::Unavailable);
}

TEST_CASE("a call in flight to a peer that dies times out")
{
  // Guards against a call that is reported as not delivered, although the peer
  // may have executed it before it died.
  auto server = std::make_unique<fake_server>();
  rpc_node client(rpc_options{});
  REQUIRE(CallAndWait(client, server->mAddress, kEcho, "a", kLong));
  auto done = std::make_shared<std::promise<result<bytes>>>();
  auto answer = done->get_future();
  client.Call(server->mAddress, kSilent, "", kLong, [done](auto aAnswer) {
    done->set_value(std::move(aAnswer));
  });
  REQUIRE(CallAndWait(client, server->mAddress, kEcho, "a", kLong));
  server.reset();
  const auto outcome = answer.get();
  REQUIRE_FALSE(outcome);
  CHECK(outcome.error().mCode == error_code::Timeout);
}

TEST_CASE("messages are delivered over an open connection")
{
  fake_server server;
  rpc_node client(rpc_options{});
  REQUIRE(CallAndWait(client, server.mAddress, kEcho, "a", kLong));
  client.Deliver(server.mAddress, "message");
  CHECK(server.mDelivered.get_future().get() == "message");
}

TEST_CASE("listening on an address in use fails")
{
  const fake_server server;
  rpc_node second(rpc_options{});
  const auto port = second.Listen(server.mAddress, {}, {});
  REQUIRE_FALSE(port);
  CHECK(port.error().mCode == error_code::Io);
}

} // namespace
} // namespace oriolewalk::wire
