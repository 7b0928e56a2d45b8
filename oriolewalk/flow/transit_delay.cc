#include "oriolewalk/flow/transit_delay.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::flow {

namespace {

// Two clocks that differ by 100 ppm drift apart by 6 ms in this time.
constexpr seconds kWindow{ 60 };

} // namespace

duration
transit_delay::OnMessage(time_point aSentAt, time_point aReceivedAt)
{
  const duration difference = aReceivedAt - aSentAt;
  if (aReceivedAt >= mWindowStart + kWindow) {
    mFormerLeast = std::exchange(mLeast, std::nullopt);
    mWindowStart = aReceivedAt;
  }
  mLeast = std::min(mLeast.value_or(difference), difference);
  return difference - std::min(*mLeast, mFormerLeast.value_or(*mLeast));
}

} // namespace oriolewalk::flow
