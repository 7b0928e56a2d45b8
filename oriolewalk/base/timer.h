#pragma once

// Asio timers on the runtime's clock. While a test holds the clock, the
// reactor looks again every kPausedPoll of real time, so that Advance() is
// seen without a wake-up call.

#include <algorithm>

#include <boost/asio/basic_waitable_timer.hpp>

#include "oriolewalk/base/clock.h"

namespace oriolewalk {

struct runtime_wait_traits
{
  static constexpr duration kPausedPoll = milliseconds(1);

  // Names asked for by Asio.
  // NOLINTBEGIN(readability-identifier-naming)
  static duration to_wait_duration(const duration& aWait)
  {
    return runtime_clock::IsPaused() ? std::min(aWait, kPausedPoll) : aWait;
  }
  static duration to_wait_duration(const time_point& aDeadline)
  {
    return to_wait_duration(aDeadline - runtime_clock::now());
  }
  // NOLINTEND(readability-identifier-naming)
};

using runtime_timer =
  boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

} // namespace oriolewalk
