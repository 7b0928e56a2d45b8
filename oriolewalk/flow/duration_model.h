#pragma once

// Predicts how long tasks run, from the callers' estimates and from how long
// similar tasks took.
//
//   duration_model model;
//   model.OnRunEnded({ queue, image, step }, estimateMs, tookMs, speed, now);
//   const duration_estimate next = model.Estimate(key, estimateMs, now);
//
// Soft state of the leader. Pure; no clock. Owned by leader_core; control
// thread only.

#include <cstdint>
#include <string>

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

class duration_model
{
public:
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
};

} // namespace oriolewalk::flow
