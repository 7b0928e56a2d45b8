#include "oriolewalk/host/caller_limits.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace oriolewalk::host {

namespace {

// Left for the answer's way back.
constexpr milliseconds kAnswerWay{ 150 };
constexpr milliseconds kMaxPatience{ 600'000 };

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
CallerLimits(const flow::entry_limits& aLimits)
{
  http::server_limits limits;
  Take(aLimits.mHeaderBytes, limits.mMaxHeaderBytes);
  Take(aLimits.mBodyBytes, limits.mMaxBodyBytes);
  Take(aLimits.mHeaderTimeoutMs, limits.mHeaderTimeout);
  Take(aLimits.mIdleTimeoutMs, limits.mIdleTimeout);
  return limits;
}

time_point
AnswerBy(time_point aNow,
         milliseconds aPatience,
         std::optional<time_point> aCloses)
{
  // A caller may say any number; the sum with the time must not overflow.
  const milliseconds patience =
    std::clamp(aPatience, milliseconds(0), kMaxPatience);
  const time_point due =
    std::min(aNow + patience, aCloses.value_or(time_point::max()));
  return std::max(aNow, due - kAnswerWay);
}

} // namespace oriolewalk::host
