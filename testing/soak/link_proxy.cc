#include "testing/soak/link_proxy.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "oriolewalk/base/timer.h"

namespace oriolewalk::soak {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kPiece = 16UL * 1024;
// How often a held direction looks whether it may go on.
constexpr milliseconds kHeldLook{ 10 };

asio::ip::tcp::endpoint
EndpointOf(const settings::address& aAddress)
{
  return { asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

asio::awaitable<void>
Sleep(const asio::any_io_executor& aExecutor, duration aFor)
{
  runtime_timer timer(aExecutor);
  timer.expires_after(aFor);
  boost::system::error_code problem;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, problem));
}

} // namespace

link_proxy::link_proxy(asio::io_context& aContext,
                       settings::address aListen,
                       settings::address aTarget)
  : mContext(aContext)
  , mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mAcceptor(aContext)
{
}

result<void>
link_proxy::Start()
{
  boost::system::error_code problem;
  const auto endpoint = EndpointOf(mListen);
  mAcceptor.open(endpoint.protocol(), problem);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), problem);
  mAcceptor.bind(endpoint, problem);
  if (!problem) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, problem);
  }
  if (problem) {
    return Fail(error_code::Io,
                "starting a relay",
                mListen.ToString() + ": " + problem.message());
  }
  asio::co_spawn(mContext, Accept(), asio::detached);
  return {};
}

asio::awaitable<void>
link_proxy::Accept()
{
  for (;;) {
    boost::system::error_code problem;
    socket caller = co_await mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, problem));
    if (problem == asio::error::operation_aborted) {
      co_return;
    }
    if (problem) {
      co_await Sleep(mContext.get_executor(), kHeldLook);
      continue;
    }
    auto ends = std::make_shared<pair_of_ends>(
      pair_of_ends{ std::move(caller), socket(mContext) });
    std::erase_if(mOpen, [](const auto& aEnds) { return aEnds.expired(); });
    mOpen.push_back(ends);
    asio::co_spawn(mContext, Join(ends), asio::detached);
  }
}

asio::awaitable<void>
link_proxy::Join(std::shared_ptr<pair_of_ends> aEnds)
{
  boost::system::error_code problem;
  co_await aEnds->mTarget.async_connect(
    EndpointOf(mTarget), asio::redirect_error(asio::use_awaitable, problem));
  if (problem) {
    // Nobody listens: the caller sees a reset, as without a relay.
    aEnds->mCaller.set_option(asio::socket_base::linger(true, 0), problem);
    aEnds->mCaller.close(problem);
    co_return;
  }
  const asio::ip::tcp::no_delay atOnce(true);
  aEnds->mCaller.set_option(atOnce, problem);
  aEnds->mTarget.set_option(atOnce, problem);
  asio::co_spawn(mContext, Pump(aEnds, mState, towards_target), asio::detached);
  asio::co_spawn(mContext, Pump(aEnds, mState, from_target), asio::detached);
}

asio::awaitable<void>
link_proxy::Pump(std::shared_ptr<pair_of_ends> aEnds,
                 std::shared_ptr<faults> aFaults,
                 link_direction aDirection)
{
  const bool towards = aDirection == towards_target;
  socket& from = towards ? aEnds->mCaller : aEnds->mTarget;
  socket& to = towards ? aEnds->mTarget : aEnds->mCaller;
  std::vector<char> piece(kPiece);
  boost::system::error_code problem;
  while (!problem) {
    const std::size_t got = co_await from.async_read_some(
      asio::buffer(piece), asio::redirect_error(asio::use_awaitable, problem));
    if (aFaults->mDelay.count() > 0) {
      co_await Sleep(from.get_executor(), aFaults->mDelay);
    }
    while (aFaults->mHeld[aDirection] && from.is_open()) {
      co_await Sleep(from.get_executor(), kHeldLook);
    }
    if (!problem) {
      co_await asio::async_write(
        to,
        asio::buffer(piece.data(), got),
        asio::redirect_error(asio::use_awaitable, problem));
    }
  }
  boost::system::error_code ignored;
  to.shutdown(socket::shutdown_send, ignored);
}

void
link_proxy::Reset()
{
  for (const auto& open : mOpen) {
    if (const auto ends = open.lock()) {
      boost::system::error_code ignored;
      ends->mCaller.set_option(asio::socket_base::linger(true, 0), ignored);
      ends->mTarget.set_option(asio::socket_base::linger(true, 0), ignored);
      ends->mCaller.close(ignored);
      ends->mTarget.close(ignored);
    }
  }
  mOpen.clear();
}

void
link_proxy::Heal()
{
  *mState = {};
}

} // namespace oriolewalk::soak
