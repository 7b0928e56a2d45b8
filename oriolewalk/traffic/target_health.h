#pragma once

// How one target does: its speed against its peers, its failures, and whether
// it is ejected.
//
// Load patterns: a slow, a failing, a flapping target. Without the rules a
// target that fails at once is always free, looks quick and draws the work of
// all others; a slow one holds requests that its peers would have answered.
//
// - Failures in a row, or a failure rate, eject it; each ejection in a row
//   doubles the time. Whether there is room for one more ejected target is for
//   the target_pool to say.
// - After that time it is probed: one slot, doubled by each answer; the first
//   failure ejects it again.
// - Only answers count as speed: a quick failure never makes a target look
//   quick. Slowness is latency over what the same work takes elsewhere, so
//   that heavy work does not make a target look slow, and a service that is
//   slow as a whole keeps all its slots.
//
// Owned by a target_pool; one thread; O(1).

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

class target_health
{
public:
  explicit target_health(const target_options& aOptions)
    : mOptions(aOptions)
  {
  }

  // aExpected: seconds that the work takes elsewhere, 0 if not known. True if
  // the target should be ejected.
  bool Record(const finish& aFinish, double aExpected, time_point aNow);
  void Eject(time_point aNow);
  // Ejected to probing, once its time is over. True if it changed.
  bool Advance(time_point aNow);

  [[nodiscard]] target_phase Phase() const { return mPhase; }
  [[nodiscard]] time_point EjectedUntil() const { return mEjectedUntil; }
  // When a probe may be work that cannot be repeated.
  [[nodiscard]] time_point RepeatableOnlyUntil() const
  {
    return mEjectedUntil + mOptions.mRepeatableProbeWait;
  }
  // Of aSlots slots, how many may be used.
  [[nodiscard]] std::uint32_t Allowed(std::uint32_t aSlots) const;
  [[nodiscard]] double Slowness() const { return mSlowness; }
  [[nodiscard]] bool IsSlow() const { return mSlowness > mOptions.mSlowFactor; }
  [[nodiscard]] double FailureRate() const { return mFailureRate; }

private:
  void RecordAnswer(duration aLatency, double aExpected, time_point aNow);

  target_options mOptions;
  target_phase mPhase = target_phase::Up;
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mConsecutiveEjections = 0; // in a row
  std::uint32_t mProbeSlots = 1;           // slots while probing
  std::uint32_t mSamples = 0;
  double mFailureRate = 0;
  double mSlowness = 1;
  time_point mEjectedUntil{};
  time_point mUpSince{};
};

} // namespace oriolewalk::traffic
