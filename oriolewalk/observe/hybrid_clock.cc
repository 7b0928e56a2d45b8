#include "oriolewalk/observe/hybrid_clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace oriolewalk::observe {

std::string
stamp::ToString() const
{
  return std::to_string(mWallMs) + "." + std::to_string(mLogical);
}

stamp
hybrid_clock::Next(std::int64_t aWallMs)
{
  const bool full = mLast.mLogical == std::numeric_limits<std::uint32_t>::max();
  if (aWallMs > mLast.mWallMs) {
    mLast = { aWallMs, 0 };
  } else if (full) {
    mLast = { mLast.mWallMs + 1, 0 };
  } else {
    ++mLast.mLogical;
  }
  return mLast;
}

bool
hybrid_clock::Merge(const stamp& aSeen, std::int64_t aWallMs)
{
  if (aSeen.mWallMs - kMostAheadMs > aWallMs) {
    return false;
  }
  mLast = std::max(mLast, aSeen);
  return true;
}

} // namespace oriolewalk::observe
