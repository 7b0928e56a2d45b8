#include <catch2/catch.hpp>

#include "oriolewalk/host/caller_limits.h"

namespace oriolewalk::host {

TEST_CASE("the table's limits hold for callers, the server's where it has none")
{
  const http::server_limits own;
  const http::server_limits limits = CallerLimits(
    { .mHeaderBytes = 8'192, .mBodyBytes = 0, .mIdleTimeoutMs = 15'000 });
  CHECK(limits.mMaxHeaderBytes == 8'192);
  CHECK(limits.mMaxBodyBytes == own.mMaxBodyBytes);
  CHECK(limits.mHeaderTimeout == own.mHeaderTimeout);
  CHECK(limits.mIdleTimeout == milliseconds(15'000));
}

TEST_CASE("a call that comes late in a stop is answered before its end")
{
  // An entry is told to stop, and closes what is open 5.3 s later. A call of a
  // caller who waits 3 s comes at 2.5 s, and no leader answers: answered at the
  // end of its patience it would be cut.
  const time_point stopped{ seconds(100) };
  const time_point closes = stopped + milliseconds(5'300);
  const milliseconds patience{ 3'000 };
  const auto by = [&](milliseconds aAfter) {
    return AnswerBy(stopped + aAfter, patience, closes) - stopped;
  };
  CHECK(by(milliseconds(1'000)) == milliseconds(3'850));
  CHECK(by(milliseconds(2'500)) == milliseconds(5'150));
  CHECK(by(milliseconds(5'250)) == milliseconds(5'250)); // at once
  CHECK(AnswerBy(stopped, patience, std::nullopt) - stopped ==
        milliseconds(2'850));
  CHECK(AnswerBy(stopped, milliseconds(100), std::nullopt) == stopped);
}

TEST_CASE("a caller's patience may be any number")
{
  // Added to the time the largest one overflowed.
  const time_point now{ seconds(100) };
  CHECK(AnswerBy(now, milliseconds::min(), std::nullopt) == now);
  CHECK(AnswerBy(now, milliseconds::max(), std::nullopt) > now);
  CHECK(AnswerBy(now, milliseconds::max(), std::nullopt) <
        now + seconds(3'600));
}

} // namespace oriolewalk::host
