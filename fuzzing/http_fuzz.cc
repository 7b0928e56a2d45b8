// Bytes of a hostile peer against the HTTP server and the client, over
// loopback sockets in one thread.
//
// Server: whatever comes, in whatever pieces, the handler sees only requests
// within the limits, every byte that goes back begins an HTTP answer, what the
// server holds stays within the limits of one connection after each piece, and
// after the peer has gone no connection, no open request and no byte is left.
// Client: its callback comes exactly once, and never as never_started, since
// the peer had got the request; what it holds is bounded like the server's.

#include <fuzzer/FuzzedDataProvider.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/settings/address.h"

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using namespace oriolewalk;

constexpr std::size_t kMaxHeader = 512;
constexpr std::size_t kMaxBody = 256;
constexpr std::size_t kMaxFields = 8;
// A read of 16 KiB beside what is waiting, twice for the buffer's growth, and
// a record for each field.
constexpr std::size_t kMostHeld = 40UL * 1024;
constexpr int kMostRounds = 10'000;

void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

tcp::endpoint
Loopback(std::uint16_t aPort)
{
  return { boost::asio::ip::address_v4::loopback(), aPort };
}

void
CheckRequest(const http::request& aRequest)
{
  std::size_t header = aRequest.mMethod.size() + aRequest.mTarget.size();
  for (const http::header& one : aRequest.mHeaders) {
    header += one.mName.size() + one.mValue.size();
    Require(one.mValue.find('\n') == std::string::npos);
  }
  Require(header <= kMaxHeader);
  Require(aRequest.mBody.size() <= kMaxBody);
  Require(aRequest.mHeaders.size() <= kMaxFields);
  Require(aRequest.mTarget.starts_with('/'));
}

// Sends the rest of the input in pieces, with turns of the loop in between.
// A piece may be sent many times over.
template<class Held>
void
SendPieces(FuzzedDataProvider& aInput,
           boost::asio::io_context& aContext,
           tcp::socket& aSocket,
           std::string& aAnswer,
           Held aHeld)
{
  constexpr std::size_t kMostRepeats = 64;
  std::string room(4096, '\0');
  error_code code;
  while (aInput.remaining_bytes() > 0 && !code) {
    const std::string piece = aInput.ConsumeRandomLengthString();
    const auto repeats =
      aInput.ConsumeIntegralInRange<std::size_t>(1, kMostRepeats);
    for (std::size_t time = 0; time < repeats && !code; ++time) {
      aSocket.send(boost::asio::buffer(piece), 0, code);
      aContext.poll();
      Require(aHeld() <= kMostHeld);
    }
    error_code read;
    const std::size_t count =
      aSocket.read_some(boost::asio::buffer(room), read);
    aAnswer.append(room, 0, count);
  }
}

template<class Done>
void
RunUntil(boost::asio::io_context& aContext, Done aDone)
{
  for (int round = 0; round < kMostRounds && !aDone(); ++round) {
    aContext.restart();
    aContext.poll();
    paused_clock::Advance(milliseconds(100));
  }
  Require(aDone());
}

void
FuzzServer(FuzzedDataProvider& aInput)
{
  boost::asio::io_context context(1);
  http::server_limits limits;
  limits.mMaxHeaderBytes = kMaxHeader;
  limits.mMaxBodyBytes = kMaxBody;
  limits.mMaxFields = kMaxFields;
  http::server web(
    context,
    { "127.0.0.1", 0 },
    limits,
    [](const http::request& aRequest, const http::responder& aCall) {
      CheckRequest(aRequest);
      aCall.Send({ .mBody = aRequest.mBody });
    });
  const auto port = web.Start();
  Require(port.has_value());
  context.poll();
  tcp::socket socket(context);
  socket.connect(Loopback(*port));
  socket.non_blocking(true);
  std::string answer;
  SendPieces(aInput, context, socket, answer, [&] { return web.HeldBytes(); });
  Require(answer.empty() || answer.starts_with("HTTP/1."));
  socket.close();
  RunUntil(context, [&] {
    return web.Connections() == 0 && web.Active() == 0 && web.HeldBytes() == 0;
  });
}

void
FuzzClient(FuzzedDataProvider& aInput)
{
  boost::asio::io_context context(1);
  tcp::acceptor acceptor(context, Loopback(0));
  const settings::address where{ "127.0.0.1",
                                 acceptor.local_endpoint().port() };
  http::client caller(context, {});
  int calls = 0;
  caller.Send(where,
              { .mMethod = aInput.ConsumeBool() ? "HEAD" : "GET" },
              { .mMaxAnswerBytes = kMaxBody,
                .mMaxAnswerHeaderBytes = kMaxHeader,
                .mMaxAnswerFields = kMaxFields },
              [&](const http::send_outcome& aOutcome) {
                ++calls;
                Require(!std::holds_alternative<http::never_started>(aOutcome));
                const auto* answer = std::get_if<http::answered>(&aOutcome);
                Require(answer == nullptr ||
                        answer->mResponse.mBody.size() <= kMaxBody);
              });
  context.poll();
  tcp::socket socket(context);
  acceptor.accept(socket);
  socket.non_blocking(true);
  for (int round = 0; round < kMostRounds && socket.available() == 0; ++round) {
    context.poll();
  }
  std::string ignored;
  SendPieces(
    aInput, context, socket, ignored, [&] { return caller.HeldBytes(); });
  socket.close();
  RunUntil(context, [&] { return calls > 0; });
  caller.Close();
  context.restart();
  context.poll();
  Require(calls == 1);
  Require(caller.HeldBytes() == 0);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const paused_clock clock;
  FuzzedDataProvider input(aData, aSize);
  if (input.ConsumeBool()) {
    FuzzServer(input);
  } else {
    FuzzClient(input);
  }
  return 0;
}
