#pragma once

// Three ways to say when the next heartbeat is overdue (the freshness point).
// All count the time from one observer's clock; heartbeats bear numbers, from
// 0, one each period, so that a lost one isn't taken for a slow one.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <variant>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::detector {

struct heartbeat
{
  std::uint64_t mNumber = 0;
  time_point mArrivalTime;
};

// A heartbeat is overdue so long after the last arrival.
struct fixed_options
{
  // Three and a half periods: three heartbeats in a row may be lost, or the
  // peer may pause for a second, without a suspicion (docs/DETECTOR.md).
  duration mTimeout = milliseconds(1750);
};

class fixed_estimator
{
public:
  fixed_estimator(const fixed_options& aOptions, duration aPeriod);
  void OnHeartbeat(const heartbeat& aHeartbeat);
  [[nodiscard]] time_point FreshnessPoint() const;

private:
  fixed_options mOptions;
  time_point mLastArrival;
};

// Where the arrivals of the last n heartbeats, moved to number 0, lie on
// average: the ground of both estimates below. Cost: constant; 8 bytes for
// each of n.
class arrival_window
{
public:
  arrival_window(std::size_t aSize, duration aPeriod);
  void Add(const heartbeat& aHeartbeat);
  // When the heartbeat of that number is expected (EA).
  [[nodiscard]] time_point ExpectedArrival(std::uint64_t aNumber) const;
  [[nodiscard]] bool IsEmpty() const { return mOffsets.empty(); }
  [[nodiscard]] std::uint64_t NextNumber() const { return mNext; }

private:
  std::size_t mSize;
  duration mPeriod;
  time_point mOrigin; // Of the offsets, so that their sum stays small.
  std::deque<duration> mOffsets;
  duration mSum{};
  std::uint64_t mNext = 0;
};

// W. Chen, S. Toueg, M. K. Aguilera: On the quality of service of failure
// detectors. The expected arrival plus a constant margin.
struct chen_options
{
  std::size_t mWindow = 100;
  duration mMargin = milliseconds(500);
};

class chen_estimator
{
public:
  chen_estimator(const chen_options& aOptions, duration aPeriod);
  void OnHeartbeat(const heartbeat& aHeartbeat);
  [[nodiscard]] time_point FreshnessPoint() const;

private:
  chen_options mOptions;
  arrival_window mWindow;
};

// M. Bertier, O. Marin, P. Sens: Implementation and performance evaluation of
// an adaptable failure detector. Chen's expected arrival plus a margin that
// follows the errors of the estimate, as Jacobson's does for retransmission;
// and the moderation of their figure 1: each false suspicion lengthens the
// wait before the next.
struct bertier_options
{
  std::size_t mWindow = 1000; // Their n.
  double mGamma = 0.1;        // Weight of the newest error.
  double mBeta = 1;
  double mPhi = 2;
  duration mInitialDelay = milliseconds(100);
  duration mModerationStep = milliseconds(1);
};

class bertier_estimator
{
public:
  bertier_estimator(const bertier_options& aOptions, duration aPeriod);
  void OnHeartbeat(const heartbeat& aHeartbeat);
  [[nodiscard]] time_point FreshnessPoint() const;

private:
  bertier_options mOptions;
  arrival_window mWindow;
  duration mDelay;
  duration mVariation{};
  duration mModeration{};
};

using estimator_options =
  std::variant<fixed_options, chen_options, bertier_options>;
using estimator =
  std::variant<fixed_estimator, chen_estimator, bertier_estimator>;

} // namespace oriolewalk::detector
