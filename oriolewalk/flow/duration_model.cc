#include "oriolewalk/flow/duration_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oriolewalk::flow {

namespace {

// A sample's weight falls to 1/e after this many others. A busy queue ends
// hundreds of tasks a second, so the model follows it within seconds. The tasks
// of a step are nearly alike, so far fewer would be only some steps.
constexpr double kMemorySamples = 1'000;
// A sample's weight also falls to 1/e after this time, so that a key that isn't
// used any more loses its figures.
constexpr double kMemoryS = 120;
// The tasks of several steps, at 10 to 20 tasks each. Fewer don't tell the
// queue's mean better than the estimate does.
constexpr double kMinQueueSamples = 30;
// An image must be better known before its figures replace its queue's.
constexpr double kMinImageSamples = 60;
// Until the estimates of the samples vary, their ratio to the durations is the
// best prediction, which is a slope of 1. The slope starts there, with the
// weight of this many samples of this variance.
constexpr double kPriorSamples = 20;
constexpr double kPriorVariance = 0.25;
// A longer estimate doesn't predict a shorter task, and durations that rise
// faster than the square of the estimates come from too few steps.
constexpr double kMaxSlope = 2;
// The model's figures are within this factor of the caller's estimate, so that
// a wrong model does limited harm.
constexpr double kMaxFactor = 10;
// 95 of 100 values of a normal distribution are less than this many standard
// deviations above its mean.
constexpr double kTailDeviations = 1.645;
constexpr double kMinMs = 1;

double
SecondsBetween(time_point aFrom, time_point aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

// Forgets the half of aAll that was not used for the longest time.
template<class Regressions>
void
ForgetOldest(Regressions& aAll)
{
  std::vector<time_point> times;
  times.reserve(aAll.size());
  for (const auto& [key, regression] : aAll) {
    times.push_back(regression.LastAt());
  }
  const auto median =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, median);
  std::size_t surplus = aAll.size() / 2;
  std::erase_if(aAll, [&](const auto& aEntry) {
    if (surplus == 0 || aEntry.second.LastAt() > *median) {
      return false;
    }
    --surplus;
    return true;
  });
}

} // namespace

void
duration_regression::Add(double aEstimate, double aTook, time_point aNow)
{
  const double kept = SamplesAt(aNow) * (1 - 1 / kMemorySamples);
  mSamples = kept + 1;
  mLastAt = std::max(mLastAt, aNow);
  const double weight = 1 / mSamples;
  const double aboveEstimate = aEstimate - mMeanEstimate;
  const double aboveTook = aTook - mMeanTook;
  mMeanEstimate += weight * aboveEstimate;
  mMeanTook += weight * aboveTook;
  const auto update = [weight](double& aMoment, double aProduct) {
    aMoment = (1 - weight) * (aMoment + weight * aProduct);
  };
  update(mVarianceEstimate, aboveEstimate * aboveEstimate);
  update(mVarianceTook, aboveTook * aboveTook);
  update(mCovariance, aboveEstimate * aboveTook);
}

double
duration_regression::SamplesAt(time_point aNow) const
{
  return mSamples * std::exp(-SecondsBetween(mLastAt, aNow) / kMemoryS);
}

double
duration_regression::Slope() const
{
  const double prior = kPriorSamples * kPriorVariance;
  return std::clamp((mSamples * mCovariance + prior) /
                      (mSamples * mVarianceEstimate + prior),
                    0.0,
                    kMaxSlope);
}

double
duration_regression::Mean(double aEstimate) const
{
  return mMeanTook + Slope() * (aEstimate - mMeanEstimate);
}

double
duration_regression::Variance() const
{
  const double slope = Slope();
  return std::max(0.0,
                  mVarianceTook - 2 * slope * mCovariance +
                    slope * slope * mVarianceEstimate);
}

void
duration_model::OnRunEnded(const duration_key& aKey,
                           double aEstimateMs,
                           double aTookMs,
                           double aSpeed,
                           time_point aNow)
{
  const bool hasEstimate = aEstimateMs > 0;
  const double estimate =
    hasEstimate ? std::log(std::max(aEstimateMs, kMinMs)) : 0;
  const double took = std::log(std::max(aTookMs * aSpeed, kMinMs));
  const auto add = [&](regressions& aAll, const std::string& aImage) {
    regression_key key{ aKey.mQueue, aImage, hasEstimate };
    if (aAll.size() >= kMaxKeys && !aAll.contains(key)) {
      ForgetOldest(aAll);
    }
    aAll[std::move(key)].Add(estimate, took, aNow);
  };
  add(mQueues, {});
  if (!aKey.mImage.empty()) {
    add(mImages, aKey.mImage);
  }
}

const duration_regression*
duration_model::Find(const duration_key& aKey,
                     bool aHasEstimate,
                     time_point aNow) const
{
  const auto find = [&](const regressions& aAll,
                        const std::string& aImage,
                        double aMinSamples) -> const duration_regression* {
    const auto found = aAll.find({ aKey.mQueue, aImage, aHasEstimate });
    return found != aAll.end() && found->second.SamplesAt(aNow) >= aMinSamples
             ? &found->second
             : nullptr;
  };
  const duration_regression* image =
    aKey.mImage.empty() ? nullptr
                        : find(mImages, aKey.mImage, kMinImageSamples);
  return image != nullptr ? image : find(mQueues, {}, kMinQueueSamples);
}

duration_estimate
duration_model::Estimate(const duration_key& aKey,
                         double aEstimateMs,
                         time_point aNow) const
{
  const bool hasEstimate = aEstimateMs > 0;
  const duration_regression* known = Find(aKey, hasEstimate, aNow);
  if (known == nullptr) {
    return { aEstimateMs, aEstimateMs, false };
  }
  const double middle =
    known->Mean(hasEstimate ? std::log(std::max(aEstimateMs, kMinMs)) : 0);
  const double variance = known->Variance();
  const auto bounded = [&](double aLogarithm) {
    const double ms = std::exp(aLogarithm);
    return hasEstimate ? std::clamp(ms,
                                    aEstimateMs / kMaxFactor,
                                    aEstimateMs * kMaxFactor)
                       : ms;
  };
  const double mean = bounded(middle + variance / 2);
  // Where durations vary very much, their mean is beyond this quantile.
  const double tail = bounded(middle + kTailDeviations * std::sqrt(variance));
  return { mean, std::max(mean, tail), true };
}

std::vector<learned_queue>
duration_model::Queues(time_point aNow) const
{
  std::vector<learned_queue> queues;
  for (const auto& [key, regression] : mQueues) {
    const auto& [queue, image, hasEstimate] = key;
    const double samples = regression.SamplesAt(aNow);
    if (hasEstimate && samples >= kMinQueueSamples) {
      queues.push_back({ queue,
                         samples,
                         std::exp(regression.MeanRatio()),
                         std::exp(std::sqrt(regression.Variance())) });
    }
  }
  return queues;
}

} // namespace oriolewalk::flow
