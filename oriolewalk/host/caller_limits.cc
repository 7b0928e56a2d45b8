#include "oriolewalk/host/caller_limits.h"

#include <cstddef>
#include <cstdint>

namespace oriolewalk::host {

namespace {

void
Take(std::int64_t aGiven, std::size_t& aLimit)
{
  if (aGiven > 0) {
    aLimit = static_cast<std::size_t>(aGiven);
  }
}

void
Take(std::int64_t aGivenMs, milliseconds& aLimit)
{
  if (aGivenMs > 0) {
    aLimit = milliseconds(aGivenMs);
  }
}

} // namespace

http::server_limits
CallerLimits(const flow::front_limits& aLimits)
{
  http::server_limits limits;
  Take(aLimits.mHeaderBytes, limits.mMaxHeaderBytes);
  Take(aLimits.mBodyBytes, limits.mMaxBodyBytes);
  Take(aLimits.mHeaderTimeoutMs, limits.mHeaderTimeout);
  Take(aLimits.mIdleTimeoutMs, limits.mIdleTimeout);
  return limits;
}

} // namespace oriolewalk::host
