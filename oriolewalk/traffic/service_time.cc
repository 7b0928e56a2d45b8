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
  // The first answers have equal weight, so that the very first one does not
  // dominate the mean for long.
  mSeconds += (ToSeconds(aMeasured) - mSeconds) / mCount;
}

} // namespace oriolewalk::traffic
