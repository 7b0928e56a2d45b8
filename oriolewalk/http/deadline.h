#pragma once

// A deadline that moves often and passes seldom. Inside http only.

#include <boost/asio/any_io_executor.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/timer.h"

namespace oriolewalk::http {

// Calls Owner::HandleTimeout() once a deadline has passed. Setting a later one
// costs nothing: the timer that already runs looks again when it fires.
// Setting it per request by cancel and wait would cost two reactor calls for
// each. A member of its owner; runs on the owner's strand, and a running timer
// keeps the owner alive until Stop().
template<class Owner>
class deadline
{
public:
  deadline(Owner& aOwner, const boost::asio::any_io_executor& aExecutor)
    : mOwner(aOwner)
    , mTimer(aExecutor)
  {
  }

  void Set(time_point aAt)
  {
    mAt = aAt;
    mSet = true;
    if (!mRunning || aAt < mTimer.expiry()) {
      Arm();
    }
  }
  // Nothing is due; a running timer ends by itself.
  void Clear() { mSet = false; }
  void Stop()
  {
    mSet = false;
    mTimer.cancel();
  }

private:
  void Arm()
  {
    mRunning = true;
    mTimer.expires_at(mAt);
    mTimer.async_wait([this, keep = mOwner.shared_from_this()](
                        boost::system::error_code aCode) {
      if (!aCode) {
        Look();
      }
    });
  }

  void Look()
  {
    mRunning = false;
    if (!mSet) {
      return;
    }
    if (runtime_clock::now() < mAt) {
      Arm();
      return;
    }
    mSet = false;
    mOwner.HandleTimeout();
  }

  Owner& mOwner;
  runtime_timer mTimer;
  time_point mAt{};
  bool mSet = false;
  bool mRunning = false;
};

} // namespace oriolewalk::http
