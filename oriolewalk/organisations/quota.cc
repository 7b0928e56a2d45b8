#include "oriolewalk/organisations/quota.h"

#include <algorithm>
#include <limits>

namespace oriolewalk::organisations {

cell::resources
EffectiveMaximum(const cell::resources& aMaximum)
{
  // Half of the range, so that sums with it don't overflow.
  constexpr std::int64_t kUnlimited =
    std::numeric_limits<std::int64_t>::max() / 2;
  const auto limit = [](std::int64_t aAmount) {
    return aAmount == 0 ? kUnlimited : aAmount;
  };
  return { limit(aMaximum.mMilliProcessors),
           limit(aMaximum.mMemoryMb),
           limit(aMaximum.mAccelerators) };
}

std::size_t
quota_account::StartableTasks(const cell::resources& aSize,
                              std::size_t aWanted) const
{
  if (IsOversize(aSize)) {
    return mTasks == 0 ? std::min<std::size_t>(aWanted, 1) : 0;
  }
  const cell::resources left = EffectiveMaximum(mMaximum) - mRunning;
  if (!aSize.FitsIn(left)) {
    return 0;
  }
  const auto times = static_cast<std::uint64_t>(aSize.TimesIn(left));
  return static_cast<std::size_t>(std::min<std::uint64_t>(aWanted, times));
}

} // namespace oriolewalk::organisations
