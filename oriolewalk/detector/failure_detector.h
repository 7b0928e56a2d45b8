#pragma once

// Is a peer alive? By its heartbeats alone: a reset connection proves nothing,
// and silence is all that a dead machine sends.
//
//   failure_detector detector({});       // the default that measured best
//   detector.Start(now);
//   detector.OnHeartbeat(number, now);       // each heartbeat, as it comes
//   detector.OnTick(now);              // a few times a period
//   if (detector.IsSuspected(now)) { ... }  // until the next heartbeat
//
// Which estimate is the default, and the figures: docs/DETECTOR.md.

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/detector/estimators.h"

namespace oriolewalk::detector {

struct detector_options
{
  // How often the peer sends.
  duration mPeriod = milliseconds(500);
  estimator_options mEstimator = fixed_options{}; // Measured best.
  // Before the first heartbeat, counted from Start.
  duration mInitialTimeout = seconds(3);
  // OnTick is called at least so often; a longer gap was our own pause.
  duration mObserverPauseThreshold = milliseconds(250);
};

// For one peer. Owned by the thread that receives its heartbeats. Sans-I/O.
// Cost: constant for each call.
class failure_detector
{
public:
  explicit failure_detector(const detector_options& aOptions);

  // Watching begins. Also after the peer was replaced: all is forgotten.
  void Start(time_point aNow);
  // A heartbeat with the sender's number: the periods that have passed on its
  // clock since it started, so that a pause of the sender doesn't shift the
  // numbers against the time. Old and repeated numbers are ignored.
  void OnHeartbeat(std::uint64_t aNumber, time_point aNow);
  // The observer runs. If it did not for a while, the heartbeats of that while
  // wait in its sockets: without the credit that this gives, a process that
  // was stopped for some seconds would wake up and suspect every healthy peer
  // at once.
  void OnTick(time_point aNow);

  [[nodiscard]] bool IsSuspected(time_point aNow) const
  {
    return aNow >= SuspicionTime();
  }
  // When the peer becomes suspect if nothing comes before.
  [[nodiscard]] time_point SuspicionTime() const;

private:
  [[nodiscard]] estimator MakeEstimator() const;

  detector_options mOptions;
  estimator mEstimator;
  bool mHasHeartbeat = false;
  std::uint64_t mLastNumber = 0;
  time_point mStartTime;
  time_point mLastTick;
  // Not before: the observer has only just woken.
  time_point mNoSuspicionBefore;
};

} // namespace oriolewalk::detector
