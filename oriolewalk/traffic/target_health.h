#pragma once

// The health of one target: its speed relative to its peers, its failures, and
// whether it is ejected.
//
// This handles slow, failing and flapping targets. Without these rules a target
// that fails immediately is always free, appears fast and attracts the work of
// all others, and a slow one holds requests that its peers would have answered.
//
// - Consecutive failures or a high failure rate eject the target; each
//   consecutive ejection lasts twice as long. The target_pool decides whether
//   one more target may be ejected.
// - Afterwards the target is probed with one slot, doubled by each answer. The
//   first failure ejects it again.
// - Only answers count as speed, so a fast failure never makes a target appear
//   fast. Slowness is the latency relative to that of the same work on other
//   targets, so heavy work does not make a target appear slow, and a service
//   that is slow as a whole keeps all its slots.
//
// Owned by a target_pool; used by one thread; O(1).

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

  // aExpected: seconds that the work takes on other targets, 0 if unknown.
  // Returns true if the target should be ejected.
  bool Record(const finish& aFinish, double aExpected, time_point aNow);
  void Eject(time_point aNow);
  // Ends an ejection and starts probing when it is due. Returns true if the
  // phase changed.
  bool Advance(time_point aNow);

  [[nodiscard]] target_phase Phase() const { return mPhase; }
  [[nodiscard]] time_point EjectedUntil() const { return mEjectedUntil; }
  // Until this time a probe must be repeatable work.
  [[nodiscard]] time_point RepeatableOnlyUntil() const
  {
    return mEjectedUntil + mOptions.mRepeatableProbeWait;
  }
  // The number of slots that may be used if the target has aSlots.
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
  std::uint32_t mProbeSlots = 1;           // usable slots while probing
  std::uint32_t mSamples = 0;
  double mFailureRate = 0;
  double mSlowness = 1;
  time_point mEjectedUntil{};
  time_point mUpSince{};
};

} // namespace oriolewalk::traffic
