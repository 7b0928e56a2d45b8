#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "testing/http/loopback.h"
#include "testing/http/sized_server.h"

namespace oriolewalk::http {
namespace {

using boost::asio::ip::tcp;

std::string
Repeat(std::string_view aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t time = 0; time < aTimes; ++time) {
    text += aText;
  }
  return text;
}

// Answers with the bytes, then with the same piece until the client closes.
raw_target::script
AnswerWithoutEnd(std::string aFirst, std::string aPiece)
{
  return [first = std::move(aFirst),
          piece = std::move(aPiece)](tcp::socket& aSocket) {
    if (ReadRequest(aSocket).empty()) {
      return;
    }
    WriteAll(aSocket, first);
    boost::system::error_code code;
    while (!code) {
      boost::asio::write(aSocket, boost::asio::buffer(piece), code);
    }
  };
}

TEST_CASE("what has no end is refused in each part of a request")
{
  // Each part kept the process holding bytes that no limit counted.
  const std::string chunked = "POST / HTTP/1.1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  const auto [first, piece] = GENERATE_COPY(table<std::string, std::string>({
    { chunked + "0\r\n", "X-Field: 0123456789\r\n" }, // trailers
    { chunked + "0\r\nX-Field: ", "0123456789" },     // one of them
    { chunked + "1;", "0123456789" },                 // a chunk's extension
    { chunked, "0000000000" },                        // its size
    { "GET / HTTP/1.1\r\n", "X-Field: 0123456789\r\n" },
    { "GET / HTTP/1.1\r\nX-Field: ", "0123456789" },
    { "GET /", "0123456789" },
  }));
  CAPTURE(first, piece);
  sized_server web(SmallLimits());
  raw_caller caller(web.mPort);
  caller.Send(first);
  // One piece at a time, so that each is parsed by itself.
  for (int time = 0; time < 400 && web.mServer.Active() == 0; ++time) {
    caller.Send(piece);
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    CHECK(web.mServer.HeldBytes() <= 64 * kKiB);
  }
  CHECK_THAT(caller.ReadToEnd(), Catch::StartsWith("HTTP/1.1 431"));
  CHECK(web.mHandled == 0);
}

TEST_CASE("a request of many small fields is refused")
{
  // Four bytes on the wire became a hundred and more in memory.
  sized_server web(SmallLimits());
  raw_caller caller(web.mPort);
  const bool trailers = GENERATE(false, true);
  caller.Send(trailers ? "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n0\r\n" +
                           Repeat("a:\r\n", 17) + "\r\n"
                       : "GET / HTTP/1.1\r\n" + Repeat("a:\r\n", 17) + "\r\n");
  CHECK_THAT(caller.ReadToEnd(), Catch::StartsWith("HTTP/1.1 431"));
  CHECK(web.mHandled == 0);
}

TEST_CASE("a request at its limits is served")
{
  sized_server web(SmallLimits());
  raw_caller caller(web.mPort);
  const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                           "Connection: close\r\nX-Long: ";
  caller.Send(head + std::string(2 * kKiB - head.size() - 4, 'x') +
              "\r\n\r\n10000;a=b\r\n" + std::string(64 * kKiB, 'b') +
              "\r\n0\r\n" + Repeat("A: b\r\n", 13) + "\r\n");
  CHECK_THAT(caller.ReadToEnd(),
             Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("end"));
}

TEST_CASE("a client gives up an answer without end")
{
  const auto [first, piece] = GENERATE(table<std::string, std::string>({
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-Field: 0123456789\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "0123456789" },
    { "HTTP/1.1 200 OK\r\n", "X-Field: 0123456789\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
  }));
  CAPTURE(first, piece);
  raw_target target(AnswerWithoutEnd(first, piece));
  running_context context;
  client caller(context.Get(), {});
  const auto outcome = SendTo(caller, target.Address(), {}).get();
  REQUIRE(std::holds_alternative<unknown_outcome>(outcome));
  // Not by its time-out, until which the answer grew.
  CHECK(std::get<unknown_outcome>(outcome).mError.mCode ==
        error_code::InvalidArgument);
  CHECK(caller.HeldBytes() == 0);
}

} // namespace
} // namespace oriolewalk::http
