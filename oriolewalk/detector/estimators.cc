#include "oriolewalk/detector/estimators.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::detector {
namespace {

duration
Scaled(duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<duration>(aSpan * aFactor);
}

} // namespace

fixed_estimator::fixed_estimator(const fixed_options& aOptions,
                                 duration /*aPeriod*/)
  : mOptions(aOptions)
{
}

void
fixed_estimator::OnHeartbeat(const heartbeat& aHeartbeat)
{
  mLastArrival = aHeartbeat.mArrivalTime;
}

time_point
fixed_estimator::FreshnessPoint() const
{
  return mLastArrival + mOptions.mTimeout;
}

arrival_window::arrival_window(std::size_t aSize, duration aPeriod)
  : mSize(aSize)
  , mPeriod(aPeriod)
{
}

void
arrival_window::Add(const heartbeat& aHeartbeat)
{
  const auto number = static_cast<duration::rep>(aHeartbeat.mNumber);
  if (mOffsets.empty()) {
    mOrigin = aHeartbeat.mArrivalTime - mPeriod * number;
  }
  const auto offset = aHeartbeat.mArrivalTime - mPeriod * number - mOrigin;
  mOffsets.push_back(offset);
  mSum += offset;
  if (mOffsets.size() > mSize) {
    mSum -= mOffsets.front();
    mOffsets.pop_front();
  }
  mNext = aHeartbeat.mNumber + 1;
}

time_point
arrival_window::ExpectedArrival(std::uint64_t aNumber) const
{
  const auto count = static_cast<duration::rep>(mOffsets.size());
  return mOrigin + mSum / count + mPeriod * static_cast<duration::rep>(aNumber);
}

chen_estimator::chen_estimator(const chen_options& aOptions, duration aPeriod)
  : mOptions(aOptions)
  , mWindow(aOptions.mWindow, aPeriod)
{
}

void
chen_estimator::OnHeartbeat(const heartbeat& aHeartbeat)
{
  mWindow.Add(aHeartbeat);
}

time_point
chen_estimator::FreshnessPoint() const
{
  return mWindow.ExpectedArrival(mWindow.NextNumber()) + mOptions.mMargin;
}

bertier_estimator::bertier_estimator(const bertier_options& aOptions,
                                     duration aPeriod)
  : mOptions(aOptions)
  , mWindow(aOptions.mWindow, aPeriod)
  , mDelay(aOptions.mInitialDelay)
{
}

void
bertier_estimator::OnHeartbeat(const heartbeat& aHeartbeat)
{
  if (!mWindow.IsEmpty()) {
    if (aHeartbeat.mArrivalTime >= FreshnessPoint()) {
      mModeration += mOptions.mModerationStep; // False suspicion.
    }
    const auto expected = mWindow.ExpectedArrival(aHeartbeat.mNumber);
    const auto error = aHeartbeat.mArrivalTime - expected - mDelay;
    const auto size = std::chrono::abs(error);
    mDelay += Scaled(error, mOptions.mGamma);
    mVariation += Scaled(size - mVariation, mOptions.mGamma);
  }
  mWindow.Add(aHeartbeat);
}

time_point
bertier_estimator::FreshnessPoint() const
{
  return mWindow.ExpectedArrival(mWindow.NextNumber()) +
         Scaled(mDelay, mOptions.mBeta) + Scaled(mVariation, mOptions.mPhi) +
         mModeration;
}

} // namespace oriolewalk::detector
