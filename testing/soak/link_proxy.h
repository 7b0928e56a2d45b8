#pragma once

// A relay between two processes that misbehaves on order: it delays, holds back
// one direction or both, and resets.
//
//   link_proxy link(context, { "127.9.1.1", 7720 }, { "127.9.3.1", 7720 });
//   link.Start();
//   link.Hold(towards_target, true);  // what comes is kept, in order
//   link.Heal();                      // and goes on
//
// Owned by the soak; its one thread.

#include <array>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::soak {

enum link_direction : std::size_t
{
  towards_target,
  from_target,
};

class link_proxy
{
public:
  link_proxy(boost::asio::io_context& aContext,
             settings::address aListen,
             settings::address aTarget);

  // Errors: Io, if the address can't be had.
  result<void> Start();
  void Hold(link_direction aDirection, bool aHeld)
  {
    mState->mHeld[aDirection] = aHeld;
  }
  void Delay(milliseconds aDelay) { mState->mDelay = aDelay; }
  // Breaks the connections that are open now with a reset.
  void Reset();
  void Heal();

private:
  using socket = boost::asio::ip::tcp::socket;
  struct faults
  {
    std::array<bool, 2> mHeld{};
    milliseconds mDelay{ 0 };
  };
  struct pair_of_ends
  {
    socket mCaller;
    socket mTarget;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Join(std::shared_ptr<pair_of_ends> aEnds);
  static boost::asio::awaitable<void> Pump(std::shared_ptr<pair_of_ends> aEnds,
                                           std::shared_ptr<faults> aFaults,
                                           link_direction aDirection);

  boost::asio::io_context& mContext;
  settings::address mListen;
  settings::address mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::shared_ptr<faults> mState = std::make_shared<faults>();
  std::vector<std::weak_ptr<pair_of_ends>> mOpen;
};

} // namespace oriolewalk::soak
