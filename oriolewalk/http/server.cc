#include "oriolewalk/http/server.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/responder.h"
#include "oriolewalk/http/session.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr unsigned kInternalError = 500;
// After a failed accept: most likely no file descriptor is left, and to try
// again at once would spin until somebody hangs up.
constexpr milliseconds kAcceptPause{ 50 };

} // namespace

server_limits
Within(const connection_limits& aBudget, server_limits aLimits)
{
  aLimits.mMaxConnections = aBudget.mMaxConnections;
  aLimits.mMaxHeldBytes = aBudget.mMaxHeldBytes;
  aLimits.mReceiveWindow = aBudget.mReceiveWindow;
  return aLimits;
}

responder::responder(std::shared_ptr<pending> aPending)
  : mPending(std::move(aPending))
{
}

void
responder::Send(response aResponse) const
{
  if (mPending) {
    mPending->Send(std::move(aResponse));
  }
}

void
responder::OnDisconnected(std::function<void()> aGone) const
{
  if (mPending) {
    mPending->OnDisconnected(std::move(aGone));
  }
}

responder::pending::~pending()
{
  Send({ kInternalError,
         { { "Content-Type", "application/json" } },
         R"({"error":"no answer was made","step":"handling","peer":""})" });
}

// Everything of the acceptor runs on its strand.
class server::core : public std::enable_shared_from_this<server::core>
{
public:
  core(asio::io_context& aContext,
       settings::address aListen,
       server_limits aLimits,
       handler aHandler)
    : mContext(aContext)
    , mListen(std::move(aListen))
    , mAcceptor(asio::make_strand(aContext))
    , mPause(mAcceptor.get_executor())
    , mShared(std::make_shared<session_shared>())
  {
    mShared->mLimits = aLimits;
    mShared->mHandler = std::move(aHandler);
  }

  result<std::uint16_t> Start();
  void SetLimits(const server_limits& aLimits) { mShared->mLimits = aLimits; }
  void BeginDraining() { mShared->mDraining = true; }
  void StopAccepting();
  void Close();
  [[nodiscard]] const session_shared& Shared() const { return *mShared; }

private:
  void Accept();
  void HandleAccept(error_code aCode, asio::ip::tcp::socket aSocket);
  void RefuseForLoad(asio::ip::tcp::socket& aSocket);

  asio::io_context& mContext;
  const settings::address mListen;
  asio::ip::tcp::acceptor mAcceptor;
  runtime_timer mPause;
  std::shared_ptr<session_shared> mShared;
};

result<std::uint16_t>
server::core::Start()
{
  error_code code;
  const auto host = asio::ip::make_address(mListen.mHost, code);
  const asio::ip::tcp::endpoint end(host, mListen.mPort);
  if (!code) {
    mAcceptor.open(end.protocol(), code);
  }
  if (!code) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), code);
    // Accepted sockets take it over; set on them it would come too late for
    // the window that the peer is told.
    error_code ignored;
    mAcceptor.set_option(asio::socket_base::receive_buffer_size(
                           static_cast<int>(mShared->mLimits.mReceiveWindow)),
                         ignored);
    mAcceptor.bind(end, code);
  }
  if (!code) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Fail(oriolewalk::error_code::Io, "listening", code.message());
  }
  const std::uint16_t port = mAcceptor.local_endpoint(code).port();
  asio::dispatch(mAcceptor.get_executor(),
                 [self = shared_from_this()] { self->Accept(); });
  return port;
}

void
server::core::Accept()
{
  if (!mAcceptor.is_open()) {
    return;
  }
  mAcceptor.async_accept(asio::make_strand(mContext),
                         [self = shared_from_this()](
                           error_code aCode, asio::ip::tcp::socket aSocket) {
                           self->HandleAccept(aCode, std::move(aSocket));
                         });
}

void
server::core::HandleAccept(error_code aCode, asio::ip::tcp::socket aSocket)
{
  if (aCode == asio::error::operation_aborted) {
    return;
  }
  if (aCode) {
    mPause.expires_after(kAcceptPause);
    mPause.async_wait([self = shared_from_this()](error_code aWait) {
      if (!aWait) {
        self->Accept();
      }
    });
    return;
  }
  if (mShared->mConnections >= mShared->mLimits.mMaxConnections &&
      !mShared->CloseForConnection()) {
    RefuseForLoad(aSocket);
  } else {
    std::make_shared<session>(std::move(aSocket), mShared)->Start();
  }
  Accept();
}

// Into an empty send buffer, so this does not block.
void
server::core::RefuseForLoad(asio::ip::tcp::socket& aSocket)
{
  static constexpr std::string_view kAnswer =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
  error_code ignored;
  aSocket.send(asio::buffer(kAnswer), 0, ignored);
  aSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void
server::core::StopAccepting()
{
  BeginDraining();
  asio::dispatch(mAcceptor.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->mAcceptor.close(ignored);
    self->mPause.cancel();
  });
}

void
server::core::Close()
{
  StopAccepting();
  std::vector<std::shared_ptr<session>> open;
  {
    const std::scoped_lock lock(mShared->mLock);
    for (session* one : mShared->mOpen) {
      if (auto kept = one->weak_from_this().lock()) {
        open.push_back(std::move(kept));
      }
    }
  }
  for (const auto& one : open) {
    one->Close();
  }
}

server::server(asio::io_context& aContext,
               settings::address aListen,
               server_limits aLimits,
               handler aHandler)
  : mCore(std::make_shared<core>(aContext,
                                 std::move(aListen),
                                 aLimits,
                                 std::move(aHandler)))
{
}

// Throws only for want of memory, where to end is all that is left.
server::~server() // NOLINT(bugprone-exception-escape)
{
  mCore->Close();
}

result<std::uint16_t>
server::Start()
{
  return mCore->Start();
}

void
server::SetLimits(const server_limits& aLimits)
{
  mCore->SetLimits(aLimits);
}

void
server::BeginDraining()
{
  mCore->BeginDraining();
}

void
server::StopAccepting()
{
  mCore->StopAccepting();
}

std::size_t
server::Active() const
{
  return mCore->Shared().mActive;
}

std::size_t
server::Connections() const
{
  return mCore->Shared().mConnections;
}

std::size_t
server::ClosedForRoom() const
{
  return mCore->Shared().mClosedForRoom;
}

std::size_t
server::HeldBytes() const
{
  return mCore->Shared().mHeldBytes;
}

void
server::Close()
{
  mCore->Close();
}

} // namespace oriolewalk::http
