#include "programs/oriole_standin_faulty.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::standin {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
namespace beast_http = boost::beast::http;

std::string
ToBytes(const http::response& aAnswer)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " Answer\r\n";
  for (const http::header& one : aAnswer.mHeaders) {
    if (one.mName != kWireFault) {
      text.append(one.mName).append(": ").append(one.mValue).append("\r\n");
    }
  }
  text += "Content-Length: " + std::to_string(aAnswer.mBody.size());
  return text + "\r\n\r\n" + aAnswer.mBody;
}

class faulty_session : public std::enable_shared_from_this<faulty_session>
{
public:
  faulty_session(tcp::socket aSocket, faulty_handler& aHandler)
    : mSocket(std::move(aSocket))
    , mHandler(aHandler)
  {
  }

  void Read()
  {
    mRequest = {};
    beast_http::async_read(
      mSocket,
      mBuffer,
      mRequest,
      [self = shared_from_this()](error_code aCode, std::size_t) {
        if (!aCode) {
          self->Handle();
        }
      });
  }

private:
  void Handle()
  {
    http::request whole{ std::string(mRequest.method_string()),
                         std::string(mRequest.target()),
                         {},
                         std::move(mRequest.body()) };
    for (const auto& field : mRequest) {
      whole.mHeaders.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    mHandler(std::move(whole),
             [self = shared_from_this()](const http::response& aAnswer) {
               self->Answer(aAnswer);
             });
  }

  void Answer(const http::response& aAnswer)
  {
    const auto fault = aAnswer.Find(kWireFault).value_or("");
    mBytes = ToBytes(aAnswer);
    const bool cut = fault == "cut";
    if (cut) {
      mBytes.resize(mBytes.size() - aAnswer.mBody.size() / 2 - 1);
    } else if (fault == "twice") {
      mBytes += mBytes;
    }
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mBytes),
      [self = shared_from_this(), cut](error_code aCode, std::size_t) {
        if (!aCode && !cut) {
          self->Read();
        }
      });
  }

  tcp::socket mSocket;
  faulty_handler& mHandler;
  boost::beast::flat_buffer mBuffer;
  beast_http::request<beast_http::string_body> mRequest;
  std::string mBytes;
};

} // namespace

faulty_server::faulty_server(boost::asio::io_context& aContext,
                             settings::address aListen,
                             faulty_handler aHandler)
  : mListen(std::move(aListen))
  , mHandler(std::move(aHandler))
  , mAcceptor(aContext)
{
}

result<std::uint16_t>
faulty_server::Start()
{
  error_code code;
  const tcp::endpoint end(boost::asio::ip::make_address(mListen.mHost, code),
                          mListen.mPort);
  mAcceptor.open(end.protocol(), code);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
  mAcceptor.bind(end, code);
  if (!code) {
    mAcceptor.listen(tcp::acceptor::max_listen_connections, code);
  }
  if (code) {
    return Fail(oriolewalk::error_code::Io, "listening", code.message());
  }
  Accept();
  return mAcceptor.local_endpoint().port();
}

void
faulty_server::Accept()
{
  mAcceptor.async_accept([this](error_code aCode, tcp::socket aSocket) {
    if (!aCode) {
      std::make_shared<faulty_session>(std::move(aSocket), mHandler)->Read();
      Accept();
    }
  });
}

} // namespace oriolewalk::standin
