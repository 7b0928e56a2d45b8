#pragma once

// Options of the dispatcher; docs/POLICY.md gives the reason for each default.

#include <array>
#include <cstddef>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct queue_options
{
  // Longest wait of an admitted request, by class.
  std::array<duration, kClassCount> mMaxWait = { milliseconds(200),
                                                 milliseconds(500),
                                                 seconds(60) };
  // Queued requests of one organisation unless its rule sets another bound.
  std::uint32_t mMaxWaiting = 16384;
  // Queued requests of one class of a service. Bounds the memory.
  std::size_t mMaxWaitingOfClass = 65536;
  // Organisations known in one class of a service.
  std::size_t mMaxFlows = 8192;
  // Interval at which queued requests are checked against the current drain.
  duration mReviewEvery = milliseconds(20);
};

struct class_options
{
  // Share of the slots that a waiting class gets before all others.
  std::array<double, kClassCount> mFloor = { 0.0, 0.1, 0.1 };
  // Share of the slots that long work may hold.
  double mLongCap = 0.5;
  // Work counts as long from this measured mean on, whatever its class.
  duration mLongThreshold = seconds(1);
  // Share of the slots that an organisation may hold in a class before its
  // first answer shows how long its work takes. Applies to pools of at least
  // mUnmeasuredCapMinSlots slots: half of a few slots would hold back a single
  // organisation that has the pool for itself.
  double mUnmeasuredCap = 0.5;
  std::uint32_t mUnmeasuredCapMinSlots = 16;
  // Slots are reserved for urgent work where fewer than one becomes free in
  // this time.
  duration mMaxUrgentStartDelay = milliseconds(10);
  double mUrgentReserve = 0.1;
};

struct target_options
{
  // Share of a service's targets that may be ejected at the same time.
  double mMaxEjected = 0.34;
  std::uint32_t mConsecutiveFailures = 5;
  double mFailureRate = 0.5;
  duration mEjectFor = seconds(1); // doubles with each consecutive ejection
  duration mMaxEjectFor = seconds(30);
  // A probing target waits this long for repeatable work before it accepts
  // other work.
  duration mRepeatableProbeWait = milliseconds(500);
  // A target that is this many times slower than its peers gets fewer slots.
  double mSlowFactor = 2.0;
  // Share of choices that go to an idle slow target, to detect its recovery.
  double mExploreShare = 1.0 / 256;
  // Added to the score of a target in another data centre.
  duration mCrossDataCentre = milliseconds(2);
  // Up to mFullScanLimit free targets are all compared; beyond that only
  // mSampleSize of them are.
  std::size_t mFullScanLimit = 64;
  std::size_t mSampleSize = 8;
};

struct dispatch_options
{
  queue_options mQueue;
  class_options mClass;
  target_options mTarget;
  // Under a new leader, requests for a service without targets wait this long
  // for the targets to announce themselves.
  duration mWarmUp = milliseconds(1500);
};

} // namespace oriolewalk::traffic
