#include "testing/http/loopback.h"

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint
Loopback(std::uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

} // namespace

running_context::running_context()
  : mWork(asio::make_work_guard(mContext))
{
  constexpr int kThreads = 2;
  for (int count = 0; count < kThreads; ++count) {
    mThreads.emplace_back([this] { mContext.run(); }); // NOLINT
  }
}

running_context::~running_context()
{
  Stop();
}

void
running_context::Stop()
{
  mContext.stop();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

raw_caller::raw_caller(std::uint16_t aPort)
  : mSocket(mContext)
{
  mSocket.connect(Loopback(aPort));
}

bool
raw_caller::Send(std::string_view aBytes)
{
  error_code code;
  asio::write(mSocket, asio::buffer(aBytes), code);
  return !code;
}

void
raw_caller::CloseSending()
{
  mSocket.shutdown(tcp::socket::shutdown_send);
}

void
raw_caller::Close()
{
  mSocket.close();
}

std::string
raw_caller::ReadToEnd()
{
  return ReadUntil("\xff never");
}

std::string
raw_caller::ReadUntil(std::string_view aText)
{
  std::string text;
  error_code code;
  asio::read_until(
    mSocket, asio::dynamic_buffer(text), std::string(aText), code);
  return text;
}

raw_target::raw_target(script aScript)
  : mAcceptor(mContext, Loopback(0))
  , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
  , mThread([this, play = std::move(aScript)] {
    error_code code;
    while (true) {
      tcp::socket socket(mContext);
      mAcceptor.accept(socket, code);
      if (code) {
        return;
      }
      play(socket);
    }
  })
{
}

raw_target::~raw_target()
{
  // Wakes a blocking accept; close alone would not.
  ::shutdown(mAcceptor.native_handle(), SHUT_RDWR);
  mThread.join();
}

std::string
ReadRequest(tcp::socket& aSocket)
{
  std::string text;
  error_code code;
  asio::read_until(aSocket, asio::dynamic_buffer(text), "\r\n\r\n", code);
  return code ? std::string() : text;
}

void
WriteAll(tcp::socket& aSocket, std::string_view aBytes)
{
  error_code ignored;
  asio::write(aSocket, asio::buffer(aBytes), ignored);
}

std::future<send_outcome>
SendTo(client& aClient,
       const settings::address& aTo,
       request aRequest,
       send_options aOptions)
{
  auto promise = std::make_shared<std::promise<send_outcome>>();
  auto future = promise->get_future();
  aClient.Send(aTo,
               std::move(aRequest),
               std::move(aOptions),
               [promise](send_outcome aOutcome) {
                 promise->set_value(std::move(aOutcome));
               });
  return future;
}

} // namespace oriolewalk::http
