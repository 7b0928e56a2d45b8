#include "oriolewalk/traffic/target_health.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

constexpr double kSmoothing = 1.0 / 16;
// The failure rate is ignored below this number of samples.
constexpr std::uint32_t kMinSamples = 16;
// Upper bound of a single latency sample in multiples of the expected time, so
// that one long request cannot reduce a target's slots.
constexpr double kMaxSlownessSample = 8;
constexpr std::uint32_t kMaxDoublings = 10;
// Probing ends when the allowed slots have grown to this number.
constexpr std::uint32_t kProbingEndSlots = 16;

} // namespace

bool
target_health::Record(const finish& aFinish, double aExpected, time_point aNow)
{
  const bool failed = aFinish.mResult != finish_result::Answered;
  mFailureRate += ((failed ? 1.0 : 0.0) - mFailureRate) * kSmoothing;
  mSamples = std::min(mSamples + 1, kMinSamples);
  if (!failed) {
    RecordAnswer(aFinish.mLatency, aExpected, aNow);
    return false;
  }
  ++mConsecutiveFailures;
  if (mPhase == target_phase::Probing) {
    return true;
  }
  return mPhase == target_phase::Up &&
         (mConsecutiveFailures >= mOptions.mConsecutiveFailures ||
          (mSamples >= kMinSamples && mFailureRate > mOptions.mFailureRate));
}

void
target_health::Eject(time_point aNow)
{
  // The target was healthy for the longest ejection time, so the series of
  // consecutive ejections is over.
  if (mPhase == target_phase::Up && aNow - mUpSince > mOptions.mMaxEjectFor) {
    mConsecutiveEjections = 0;
  }
  const std::uint32_t doublings =
    std::min(mConsecutiveEjections, kMaxDoublings);
  mEjectedUntil =
    aNow + std::min<duration>(mOptions.mEjectFor * (1U << doublings),
                              mOptions.mMaxEjectFor);
  ++mConsecutiveEjections;
  mPhase = target_phase::Ejected;
}

bool
target_health::Advance(time_point aNow)
{
  if (mPhase != target_phase::Ejected || aNow < mEjectedUntil) {
    return false;
  }
  mPhase = target_phase::Probing;
  mProbeSlots = 1;
  mConsecutiveFailures = 0;
  mSamples = 0;
  mFailureRate = 0;
  mSlowness = 1;
  return true;
}

std::uint32_t
target_health::Allowed(std::uint32_t aSlots) const
{
  if (mPhase == target_phase::Probing) {
    return std::min(aSlots, mProbeSlots);
  }
  if (mPhase != target_phase::Up) {
    return 0;
  }
  if (!IsSlow()) {
    return aSlots;
  }
  const auto reduced =
    static_cast<std::uint32_t>(std::lround(aSlots / mSlowness));
  return std::min(aSlots, std::max(1U, reduced));
}

void
target_health::RecordAnswer(duration aLatency,
                            double aExpected,
                            time_point aNow)
{
  mConsecutiveFailures = 0;
  if (mPhase == target_phase::Probing) {
    mProbeSlots *= 2;
    if (mProbeSlots >= kProbingEndSlots) {
      mPhase = target_phase::Up;
      mUpSince = aNow;
    }
  }
  if (aExpected > 0) {
    const double sample =
      std::min(ToSeconds(aLatency) / aExpected, kMaxSlownessSample);
    mSlowness += (sample - mSlowness) * kSmoothing;
  }
}

} // namespace oriolewalk::traffic
