#pragma once

// Figures of the rules; docs/POLICY.md has the grounds for each default.

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
  // Queued requests of one organisation, unless its rule says otherwise.
  std::uint32_t mMaxWaiting = 16384;
  // Queued requests of one class of a service: bounds memory.
  std::size_t mMaxWaitingOfClass = 65536;
  // Organisations remembered in one class of a service.
  std::size_t mMaxFlows = 8192;
  // How often queued requests are checked against the present drain.
  duration mReviewEvery = milliseconds(20);
};

struct class_options
{
  // Share of the slots that a class gets ahead of all others while it waits.
  std::array<double, kClassCount> mFloor = { 0.0, 0.1, 0.1 };
  // Share of the slots that long work may hold.
  double mLongCap = 0.5;
  // Measured mean from which work counts as long, whatever its class says.
  duration mLongThreshold = seconds(1);
  // Share of the slots that an organisation's work may hold in a class before
  // its first answer tells how long it takes; in pools of at least
  // mUnprovenFrom slots, since half of a few would hold back a single
  // organisation that has the pool for itself.
  double mUnmeasuredCap = 0.5;
  std::uint32_t mUnmeasuredCapMinSlots = 16;
  // Slots kept for urgent work where slots come free more seldom than this.
  duration mMaxUrgentStartDelay = milliseconds(10);
  double mUrgentReserve = 0.1;
};

struct target_options
{
  // Share of a service's targets that may be ejected at once.
  double mMaxEjected = 0.34;
  std::uint32_t mConsecutiveFailures = 5;
  double mFailureRate = 0.5;
  duration mEjectFor = seconds(1); // doubles with each ejection in a row
  duration mMaxEjectFor = seconds(30);
  // A probe that only repeatable work may take waits this long for such.
  duration mRepeatableProbeWait = milliseconds(500);
  // A target this many times slower than its peers gets fewer slots.
  double mSlowFactor = 2.0;
  // Share of choices that go to an idle slow target, to see if it is better.
  double mExploreShare = 1.0 / 256;
  // Added to the score of a target in another data centre.
  duration mCrossDataCentre = milliseconds(2);
  // Up to so many free targets are all compared, else so many drawn ones.
  std::size_t mFullScanLimit = 64;
  std::size_t mSampleSize = 8;
};

struct dispatch_options
{
  queue_options mQueue;
  class_options mClass;
  target_options mTarget;
  // A new leader's requests for a service without targets wait so long for
  // the targets to announce themselves.
  duration mWarmUp = milliseconds(1500);
};

} // namespace oriolewalk::traffic
