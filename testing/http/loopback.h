#pragma once

// Hand-written peers for the HTTP tests: a context that runs on threads, a
// caller that writes raw bytes, and a target that answers with raw bytes.

#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

inline const settings::address kAnyPort{ "127.0.0.1", 0 };

// Runs its io_context on two threads until it goes.
class running_context
{
public:
  running_context();
  ~running_context();
  running_context(const running_context&) = delete;
  running_context& operator=(const running_context&) = delete;
  running_context(running_context&&) = delete;
  running_context& operator=(running_context&&) = delete;

  boost::asio::io_context& Get() { return mContext; }
  void Stop();

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::vector<std::thread> mThreads;
};

// A caller's blocking connection.
class raw_caller
{
public:
  explicit raw_caller(std::uint16_t aPort);
  // False if the peer has closed.
  bool Send(std::string_view aBytes);
  void CloseSending();
  void Close();
  // All that comes until the peer closes.
  std::string ReadToEnd();
  // Until the text has been seen, or the peer closes.
  std::string ReadUntil(std::string_view aText);

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
};

// A target on a thread of its own. The script is run for each connection, one
// after the other, until the target goes.
class raw_target
{
public:
  using script = std::function<void(boost::asio::ip::tcp::socket&)>;

  explicit raw_target(script aScript);
  ~raw_target();
  raw_target(const raw_target&) = delete;
  raw_target& operator=(const raw_target&) = delete;
  raw_target(raw_target&&) = delete;
  raw_target& operator=(raw_target&&) = delete;

  [[nodiscard]] settings::address Address() const { return mAddress; }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  settings::address mAddress;
  std::thread mThread;
};

// Reads up to the end of a request's header; empty if the peer closed.
std::string
ReadRequest(boost::asio::ip::tcp::socket& aSocket);
void
WriteAll(boost::asio::ip::tcp::socket& aSocket, std::string_view aBytes);

std::future<send_outcome>
SendTo(client& aClient,
       const settings::address& aTo,
       request aRequest,
       send_options aOptions = {});

} // namespace oriolewalk::http
