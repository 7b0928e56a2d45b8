#pragma once

// A server that breaks HTTP on purpose: answers cut off or sent twice. The
// product's own server can do neither.

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::standin {

using answer_function = std::function<void(http::response)>;
using faulty_handler = std::function<void(http::request, answer_function)>;

// The header of an answer that says how it is to be broken: "cut" sends half
// of it and closes, "twice" sends it two times; it is not sent itself.
inline constexpr const char* kWireFault = "X-Wire-Fault";

// One thread. Keep-alive; one request at a time on a connection.
class faulty_server
{
public:
  faulty_server(boost::asio::io_context& aContext,
                settings::address aListen,
                faulty_handler aHandler);
  result<std::uint16_t> Start();

private:
  void Accept();

  settings::address mListen;
  faulty_handler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace oriolewalk::standin
