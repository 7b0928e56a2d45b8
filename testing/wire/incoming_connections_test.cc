#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::wire {
namespace {

using boost::asio::ip::tcp;

constexpr seconds kLong{ 20 };
constexpr std::size_t kMiB = 1024UL * 1024;

// Answers each call with its body.
struct echo_node
{
  explicit echo_node(rpc_options aOptions)
    : mNode(aOptions)
    , mPort(mNode
              .Listen(
                "127.0.0.1:0",
                [](std::uint16_t, bytes aBody, const reply_function& aReply) {
                  aReply(std::move(aBody));
                },
                [](const bytes&) {})
              .value())
  {
  }

  rpc_node mNode;
  std::uint16_t mPort;
};

// A stranger's connection.
class stranger
{
public:
  explicit stranger(std::uint16_t aPort)
    : mSocket(mContext)
  {
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
  }

  void Send(const std::string& aBytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(mSocket, boost::asio::buffer(aBytes), ignored);
  }
  void ReadToEnd()
  {
    std::string room(4096, '\0');
    boost::system::error_code code;
    while (!code) {
      mSocket.read_some(boost::asio::buffer(room), code);
    }
  }

private:
  boost::asio::io_context mContext;
  tcp::socket mSocket;
};

// The first bytes of a message of one segment.
std::string
AnnounceBytes(std::size_t aBytes)
{
  constexpr std::size_t kWord = 8;
  std::string frame(kWord, '\0');
  const std::size_t words = aBytes / kWord;
  for (std::size_t at = 0; at < 4; ++at) {
    frame[4 + at] = static_cast<char>((words >> (8 * at)) & 0xffU);
  }
  return frame;
}

bool
IsAnswered(const echo_node& aServer, std::size_t aBytes)
{
  rpc_node client(rpc_options{});
  std::promise<result<bytes>> done;
  client.Call(
    "127.0.0.1:" + std::to_string(aServer.mPort),
    1,
    bytes(aBytes, 'x'),
    kLong,
    [&](result<bytes> aAnswer) { done.set_value(std::move(aAnswer)); });
  const auto answer = done.get_future().get();
  client.Stop();
  return answer && answer->size() == aBytes;
}

TEST_CASE("connections that say nothing keep no process out")
{
  // Each took a descriptor for good, until the log had none left.
  const echo_node server({ .mMaxIncoming = 4 });
  std::vector<std::unique_ptr<stranger>> silent;
  silent.reserve(32);
  for (int number = 0; number < 32; ++number) {
    silent.push_back(std::make_unique<stranger>(server.mPort));
  }
  CHECK(IsAnswered(server, 10));
  silent.front()->ReadToEnd(); // it was cut
  CHECK(IsAnswered(server, 10));
}

TEST_CASE("connections that come all at once leave the known ones open")
{
  // Our own processes' were cut for newer ones of strangers, and the group
  // lost its leader.
  const echo_node server({ .mMaxIncoming = 8 });
  rpc_node client(rpc_options{});
  const auto isAnswered = [&]() {
    std::promise<result<bytes>> done;
    client.Call(
      "127.0.0.1:" + std::to_string(server.mPort),
      1,
      "x",
      kLong,
      [&](result<bytes> aAnswer) { done.set_value(std::move(aAnswer)); });
    return done.get_future().get().has_value();
  };
  REQUIRE(isAnswered());
  std::vector<std::unique_ptr<stranger>> silent;
  silent.reserve(64);
  for (int number = 0; number < 64; ++number) {
    silent.push_back(std::make_unique<stranger>(server.mPort));
    silent.back()->Send("GET / HTTP/1.1\r\n");
  }
  silent.front()->ReadToEnd(); // the others have been taken
  CHECK(isAnswered());         // by the connection that was there before
  client.Stop();
}

TEST_CASE("a message beyond the limit cuts its connection")
{
  // The library allocates what a message's first bytes announce.
  const echo_node server({ .mMaxMessageBytes = kMiB });
  stranger hostile(server.mPort);
  hostile.Send(AnnounceBytes(2 * kMiB) + std::string(kMiB, '\0'));
  hostile.ReadToEnd();
  CHECK(IsAnswered(server, kMiB / 2));
}

TEST_CASE("messages that are never finished leave room for one that is")
{
  const echo_node server(
    { .mMaxMessageBytes = kMiB, .mMaxReceivingBytes = 4 * kMiB });
  std::vector<std::unique_ptr<stranger>> stalled;
  for (int number = 0; number < 16; ++number) {
    stalled.push_back(std::make_unique<stranger>(server.mPort));
    stalled.back()->Send(AnnounceBytes(kMiB - 8) + std::string(1'000, '\0'));
  }
  stalled.front()->ReadToEnd(); // the oldest gave way
  CHECK(IsAnswered(server, kMiB / 2));
}

TEST_CASE("bytes of another protocol end only their own connection")
{
  const echo_node server(rpc_options{});
  for (const std::string& text :
       { std::string("GET / HTTP/1.1\r\n\r\n"),
         std::string(100'000, '\xff'),
         std::string(100'000, '\0'),
         AnnounceBytes(8'192) + std::string(8'192, '\x7f') }) {
    stranger noise(server.mPort);
    noise.Send(text);
    CHECK(IsAnswered(server, 10));
  }
}

} // namespace
} // namespace oriolewalk::wire
