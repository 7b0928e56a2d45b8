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
  mHeard = false;
  mStarted = aNow;
  mLastObserved = aNow;
  mNotBefore = aNow;
}

void
failure_detector::Arrived(std::uint64_t aNumber, time_point aNow)
{
  if (mHeard && aNumber <= mLastNumber) {
    return;
  }
  Observed(aNow);
  mHeard = true;
  mLastNumber = aNumber;
  std::visit(
    [&](auto& aEstimator) {
      aEstimator.Arrived({ aNumber, aNow });
    },
    mEstimator);
}

void
failure_detector::Observed(time_point aNow)
{
  if (aNow - mLastObserved > mOptions.mOwnPause) {
    // Time for what waits in the sockets, and for one heartbeat more.
    mNotBefore = aNow + mOptions.mPeriod;
  }
  mLastObserved = std::max(mLastObserved, aNow);
}

time_point
failure_detector::SuspectAt() const
{
  const auto overdue =
    mHeard
      ? std::visit([](const auto& aEstimator) { return aEstimator.Overdue(); },
                   mEstimator)
      : mStarted + mOptions.mFirstTimeout;
  return std::max(overdue, mNotBefore);
}

} // namespace oriolewalk::detector
