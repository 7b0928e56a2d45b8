#pragma once

// Decides from heartbeats alone whether a peer is alive. A reset connection
// doesn't prove that the peer has failed, and a machine that has failed only
// stops sending.
//
//   failure_detector detector({});          // the default estimator
//   detector.Start(now);
//   detector.OnHeartbeat(number, now);      // for each heartbeat received
//   detector.OnTick(now);                   // a few times per period
//   if (detector.IsSuspected(now)) { ... }  // until the next heartbeat
//
// docs/DETECTOR.md compares the estimators and explains the default.

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/detector/estimators.h"

namespace oriolewalk::detector {

struct detector_options
{
  // The interval at which the peer sends heartbeats.
  duration mPeriod = milliseconds(500);
  estimator_options mEstimator = fixed_options{};
  // The timeout for the first heartbeat, counted from Start.
  duration mInitialTimeout = seconds(3);
  // The maximum interval between calls of OnTick. A longer gap means that the
  // observer itself was paused.
  duration mObserverPauseThreshold = milliseconds(250);
};

// Monitors one peer. Owned by the thread that receives the peer's heartbeats.
// Sans-I/O. Cost: constant time per call.
class failure_detector
{
public:
  explicit failure_detector(const detector_options& aOptions);

  // Starts monitoring and discards all earlier state. Call it again after the
  // peer was replaced.
  void Start(time_point aNow);
  // Records a heartbeat. aNumber is the number of periods that have passed on
  // the sender's clock since it started, so a pause of the sender doesn't shift
  // the numbers relative to time. Old and repeated numbers are ignored.
  void OnHeartbeat(std::uint64_t aNumber, time_point aNow);
  // Records that the observer is running. After a pause of the observer, the
  // heartbeats sent in the pause still wait in its sockets, so no peer is
  // suspected for one period. Without this grace period, a process that was
  // stopped for some seconds would suspect every healthy peer when it resumes.
  void OnTick(time_point aNow);

  [[nodiscard]] bool IsSuspected(time_point aNow) const
  {
    return aNow >= SuspicionTime();
  }
  // Returns when the peer becomes suspected if no heartbeat arrives first.
  [[nodiscard]] time_point SuspicionTime() const;

private:
  [[nodiscard]] estimator MakeEstimator() const;

  detector_options mOptions;
  estimator mEstimator;
  bool mHasHeartbeat = false;
  std::uint64_t mLastNumber = 0;
  time_point mStartTime;
  time_point mLastTick;
  // The end of the grace period after a pause of the observer.
  time_point mNoSuspicionBefore;
};

} // namespace oriolewalk::detector
