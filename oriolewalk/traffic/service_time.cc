#include "oriolewalk/traffic/service_time.h"

#include <algorithm>
#include <cstdint>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::traffic {

void
service_time::Add(duration aMeasured)
{
  constexpr std::uint32_t kMemory = 16;
  mCount = std::min(mCount + 1, kMemory);
  // The first answers are averaged evenly, so that the first one of all does
  // not stay in the mean for long.
  mSeconds += (ToSeconds(aMeasured) - mSeconds) / mCount;
}

} // namespace oriolewalk::traffic
