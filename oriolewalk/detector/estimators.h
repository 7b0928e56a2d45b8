#pragma once

// Three estimators of the freshness point: the time from which the next
// heartbeat is overdue. All times are read from the observer's clock. The
// sender numbers its heartbeats from 0, one per period, so that an estimator
// can distinguish a lost heartbeat from a slow one.

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

// The next heartbeat is overdue a fixed timeout after the last arrival.
struct fixed_options
{
  // Three and a half periods: two heartbeats in a row may be lost, or the peer
  // may pause for a second, without a suspicion (docs/DETECTOR.md).
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

// Averages the arrival times of the last aSize heartbeats after shifting each
// back to number 0. Both adaptive estimators below build on this average.
// Cost: constant time per call; 8 bytes per heartbeat in the window.
class arrival_window
{
public:
  arrival_window(std::size_t aSize, duration aPeriod);
  void Add(const heartbeat& aHeartbeat);
  // Returns the expected arrival time (EA) of heartbeat aNumber. The window
  // must not be empty.
  [[nodiscard]] time_point ExpectedArrival(std::uint64_t aNumber) const;
  [[nodiscard]] bool IsEmpty() const { return mOffsets.empty(); }
  [[nodiscard]] std::uint64_t NextNumber() const { return mNext; }

private:
  std::size_t mSize;
  duration mPeriod;
  time_point mOrigin; // Offsets are relative to it, which keeps mSum small.
  std::deque<duration> mOffsets;
  duration mSum{};
  std::uint64_t mNext = 0;
};

// W. Chen, S. Toueg, M. K. Aguilera: On the quality of service of failure
// detectors. The freshness point is the expected arrival plus a constant
// margin.
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
// an adaptable failure detector. The freshness point is Chen's expected
// arrival plus a margin that adapts to the estimation error, like Jacobson's
// retransmission timeout. The moderation of their figure 1 is included: each
// false suspicion lengthens the timeout.
struct bertier_options
{
  std::size_t mWindow = 1000; // The paper's n.
  double mGamma = 0.1;        // The weight of the newest error.
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
