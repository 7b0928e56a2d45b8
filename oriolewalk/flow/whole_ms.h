#pragma once

// Spans as workers, the policy service and logs get them.
//
//   order.mLeaseClockMs = view.mClockMs + ToMs(age);

#include <chrono>
#include <cstdint>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::flow {

// Whole milliseconds, rounded towards zero.
inline std::int64_t
ToMs(duration aSpan)
{
  return std::chrono::duration_cast<milliseconds>(aSpan).count();
}

} // namespace oriolewalk::flow
