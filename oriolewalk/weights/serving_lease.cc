#include "oriolewalk/weights/serving_lease.h"

#include <algorithm>
#include <cstdint>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::weights {

bool
serving_lease::Adopt(std::uint64_t aVersion)
{
  if (aVersion < mVersion) {
    return false;
  }
  mVersion = aVersion;
  return true;
}

void
serving_lease::Confirmed(std::uint64_t aVersion, time_point aSentAt)
{
  if (aVersion == mVersion) {
    mUntil = std::max(mUntil, aSentAt + mLease);
  }
}

} // namespace oriolewalk::weights
