#include "oriolewalk/flow/speed_preference.h"

#include <algorithm>
#include <optional>

namespace oriolewalk::flow {

namespace {

// The score of a worker without a preference counts its free share, which is
// at most 1, and its speed once. With these weights a difference in speed that
// matters, of .5 or more, outweighs any difference in free share.
constexpr double kFastWeight = 2;
constexpr double kLeaveWeight = 3;
// Exceeds any difference between workers that are fast enough.
constexpr double kTooSlowPenalty = 7;
// Learned speeds of workers that are alike differ by up to this ratio.
constexpr double kMinRatio = 1.4;
// The needed speed is increased by this factor, since estimates are rough and
// a step ends with its slowest task.
constexpr double kNeededMargin = 1.25;

// The speed at which the step's job is in time if the step starts now.
std::optional<double>
NeededSpeed(const open_step& aStep)
{
  const std::int64_t left = aStep.mSlackMs + aStep.mChainMs;
  if (left <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(aStep.mChainMs) / static_cast<double>(left);
}

} // namespace

double
SpeedScore(const speed_preference& aPreference, double aSpeed)
{
  switch (aPreference.mUse) {
    case speed_use::Any:
      return 0;
    case speed_use::Fast:
      return kFastWeight * aSpeed;
    case speed_use::LeaveFast:
      return aSpeed < aPreference.mMinSpeed ? -kTooSlowPenalty
                                            : -kLeaveWeight * aSpeed;
  }
  return 0;
}

bool
DoSpeedsMatter(const queue_table& aTable,
               const service_id& aService,
               const speed_spread& aSpread)
{
  const double ratio = aSpread.mFast / aSpread.mSlow;
  return ratio >= kMinRatio &&
         std::ranges::any_of(aTable.mQueues, [&](const queue_row& aQueue) {
           return aQueue.mService == aService && aQueue.mPriority == 0 &&
                  ratio >= aQueue.mStretch;
         });
}

const speed_preferences::service_speeds&
speed_preferences::SpeedsOf(const service_id& aService)
{
  const auto [found, isNew] = mServices.try_emplace(aService);
  if (isNew) {
    found->second.mSpread = mWorkers.Speeds(aService);
    found->second.mMatter =
      DoSpeedsMatter(mTable, aService, found->second.mSpread);
  }
  return found->second;
}

speed_preference
speed_preferences::For(const open_step& aStep)
{
  if (!mPolicy.mPlacesBySpeed ||
      mPolicy.mPlacement == placement_rule::FirstFit) {
    return {};
  }
  const auto& [spread, matter] = SpeedsOf(aStep.mQueue->mService);
  if (!matter) {
    return {};
  }
  if (aStep.mQueue->mPriority == 0) {
    return { speed_use::Fast };
  }
  // A worker that is so much slower than the slow ones has a fault.
  const double unusual = spread.mSlow / kMinRatio;
  // The objective of a long-running step is its first start.
  if (aStep.mSpec->mLongRunning) {
    return { speed_use::LeaveFast, unusual };
  }
  const std::optional<double> needed = NeededSpeed(aStep);
  // Fast workers don't help a job that is late on them as well.
  if (!needed || *needed > spread.mFast) {
    return { speed_use::LeaveFast, unusual };
  }
  const double safe = kNeededMargin * *needed;
  return safe > spread.mSlow
           ? speed_preference{}
           : speed_preference{ speed_use::LeaveFast, std::max(safe, unusual) };
}

} // namespace oriolewalk::flow
