#include "oriolewalk/detector/failure_detector.h"

#include <algorithm>
#include <cstdint>
#include <variant>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/detector/estimators.h"

namespace oriolewalk::detector {

failure_detector::failure_detector(const detector_options& aOptions)
  : mOptions(aOptions)
  , mEstimator(MakeEstimator())
{
}

estimator
failure_detector::MakeEstimator() const
{
  const auto period = mOptions.mPeriod;
  return std::visit(overloaded{
                      [period](const fixed_options& aOptions) -> estimator {
                        return fixed_estimator(aOptions, period);
                      },
                      [period](const chen_options& aOptions) -> estimator {
                        return chen_estimator(aOptions, period);
                      },
                      [period](const bertier_options& aOptions) -> estimator {
                        return bertier_estimator(aOptions, period);
                      },
                    },
                    mOptions.mEstimator);
}

void
failure_detector::Start(time_point aNow)
{
  mEstimator = MakeEstimator();
  mHasHeartbeat = false;
  mStartTime = aNow;
  mLastTick = aNow;
  mNoSuspicionBefore = aNow;
}

void
failure_detector::OnHeartbeat(std::uint64_t aNumber, time_point aNow)
{
  if (mHasHeartbeat && aNumber <= mLastNumber) {
    return;
  }
  OnTick(aNow);
  mHasHeartbeat = true;
  mLastNumber = aNumber;
  std::visit(
    [&](auto& aEstimator) {
      aEstimator.OnHeartbeat({ aNumber, aNow });
    },
    mEstimator);
}

void
failure_detector::OnTick(time_point aNow)
{
  if (aNow - mLastTick > mOptions.mObserverPauseThreshold) {
    // Allows time to read the heartbeats that wait in the sockets and to
    // receive one more.
    mNoSuspicionBefore = aNow + mOptions.mPeriod;
  }
  mLastTick = std::max(mLastTick, aNow);
}

time_point
failure_detector::SuspicionTime() const
{
  const auto freshnessPoint =
    mHasHeartbeat
      ? std::visit(
          [](const auto& aEstimator) { return aEstimator.FreshnessPoint(); },
          mEstimator)
      : mStartTime + mOptions.mInitialTimeout;
  return std::max(freshnessPoint, mNoSuspicionBefore);
}

} // namespace oriolewalk::detector
