#pragma once

// Predicts how long tasks run, from the callers' estimates and from how long
// similar tasks took.
//
//   duration_model model;
//   model.OnRunEnded({ queue, image, step }, estimateMs, tookMs, speed, now);
//   const duration_estimate next = model.Estimate(key, estimateMs, now);
//
// Callers' estimates are wrong by a factor that varies more than the durations
// of one queue do, so neither the estimate nor the queue's mean alone is a good
// prediction. The model regresses the logarithm of the duration on that of the
// estimate, for each queue and for each image of a queue, and predicts by the
// image once enough of its tasks have ended, else by the queue, else by the
// estimate. A task without an estimate is compared only with others without
// one.
//
// Soft state of the leader. Pure; no clock. Owned by leader_core; control
// thread only. The cost of a call is logarithmic in the images and queues, of
// which at most kMaxKeys each are kept.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::flow {

// Tasks of one key are expected to behave alike.
struct duration_key
{
  std::string mQueue;
  std::string mImage;
  std::uint32_t mStep = 0;
};

// Of one task on a worker of speed 1.
struct duration_estimate
{
  double mMeanMs = 0;
  double mTailMs = 0;      // 95 of 100 tasks take less
  bool mIsLearned = false; // false: the caller's estimate
};

// A regression of the logarithm of durations on that of their estimates, with
// exponential forgetting.
class duration_regression
{
public:
  // The logarithms of an estimate and of the duration of its task.
  void Add(double aEstimate, double aTook, time_point aNow);
  // The samples that count, each by how much of it is not forgotten.
  [[nodiscard]] double SamplesAt(time_point aNow) const;
  // Of the logarithm of the duration.
  [[nodiscard]] double Mean(double aEstimate) const;
  [[nodiscard]] double Variance() const;
  // The mean logarithm of the durations relative to their estimates.
  [[nodiscard]] double MeanRatio() const { return mMeanTook - mMeanEstimate; }
  [[nodiscard]] time_point LastAt() const { return mLastAt; }

private:
  [[nodiscard]] double Slope() const;

  double mSamples = 0; // at mLastAt
  double mMeanEstimate = 0;
  double mMeanTook = 0;
  double mVarianceEstimate = 0;
  double mVarianceTook = 0;
  double mCovariance = 0;
  time_point mLastAt{};
};

// What the model knows about a queue's tasks that have estimates.
struct learned_queue
{
  std::string_view mQueue; // valid until the next change of the model
  double mSamples = 0;
  double mRatio = 1;  // of the durations to their estimates
  double mSpread = 1; // two of three tasks are within this factor
};

class duration_model
{
public:
  static constexpr std::size_t kMaxKeys = 1'024;

  // A run that began without a checkpoint ended as done.
  // aEstimateMs: the caller's; aSpeed: of the worker, relative to its peers.
  void OnRunEnded(const duration_key& aKey,
                  double aEstimateMs,
                  double aTookMs,
                  double aSpeed,
                  time_point aNow);
  [[nodiscard]] duration_estimate Estimate(const duration_key& aKey,
                                           double aEstimateMs,
                                           time_point aNow) const;
  // The queues for which the model predicts, by name.
  [[nodiscard]] std::vector<learned_queue> Queues(time_point aNow) const;
  [[nodiscard]] std::size_t Keys() const
  {
    return mQueues.size() + mImages.size();
  }

private:
  // The queue, the image, and whether there is an estimate.
  using regression_key = std::tuple<std::string, std::string, bool>;
  using regressions = std::map<regression_key, duration_regression>;

  [[nodiscard]] const duration_regression* Find(const duration_key& aKey,
                                                bool aHasEstimate,
                                                time_point aNow) const;

  regressions mQueues; // with empty images
  regressions mImages;
};

} // namespace oriolewalk::flow
