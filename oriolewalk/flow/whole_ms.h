#pragma once

// Converts durations to the unit that workers, the policy service and logs use.

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
