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

} // namespace oriolewalk::host
