#pragma once

// Which instances act on which version of the table, as the leader knows it.
//
//   in_force_tracker tracker({}, leaderSince);
//   // an instance says "I act on version 7":
//   auto answer = tracker.Confirm(instance, 7, register.Version(), now);
//   // answer.mGranted: its serving lease runs from when it sent that
//   auto report = tracker.Report(7, now); // for the operator's answer
//
// An instance may act on the table only under a serving lease (serving_lease.h)
// and gets one only for the current version. So a version is in force
// everywhere once every instance has confirmed it or let its lease lapse.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::weights {

inline constexpr duration kServingLease = seconds(2);

struct in_force_options
{
  duration mLease = kServingLease;
  // Added to a lease for clocks that run at different rates: 1 % of two
  // seconds is a hundred times what crystal clocks differ by.
  duration mDrift = milliseconds(20);
  // How long a deposed leader may go on granting after this leader's election:
  // its own check-quorum bound.
  duration mOldLeaderBound = seconds(1);
  // An instance that was silent for so long is no more an instance.
  duration mForgetAfter = seconds(600);
};

struct confirm_answer
{
  // The instance acts on the current version: its lease is renewed.
  bool mGranted = false;
  std::uint64_t mCurrent = 0; // Else it must fetch this version.
};

struct in_force_report
{
  std::vector<instance_id> mInForce; // Confirmed it, or a later one.
  std::vector<instance_id> mPending; // May still act on an older one.
  std::vector<instance_id> mLapsed;  // Surely refuse work until they confirm.
  // Nobody acts on an older version, unknown instances of an earlier leader
  // included.
  bool mEverywhere = false;
};

// Owned by the leader's control thread, made anew at each election. Sans-I/O.
class in_force_tracker
{
public:
  // aLeaderSince: when this leader was elected.
  in_force_tracker(const in_force_options& aOptions, time_point aLeaderSince);

  // An instance says which version it acts on. The caller has checked that it
  // is still the leader (a deposed leader must not grant). Cost: logarithmic.
  confirm_answer Confirm(const instance_id& aInstance,
                         std::uint64_t aActsOn,
                         std::uint64_t aCurrent,
                         time_point aNow);

  // Cost: linear in the instances.
  [[nodiscard]] in_force_report Report(std::uint64_t aVersion,
                                       time_point aNow) const;
  // When Report may change without a Confirm; nullopt if nothing is pending.
  [[nodiscard]] std::optional<time_point> NextLapse(std::uint64_t aVersion,
                                                    time_point aNow) const;
  // Drops long-silent instances. Cost: linear.
  void Forget(time_point aNow);

private:
  struct instance_state
  {
    std::uint64_t mActsOn = 0;
    time_point mLapsesAt; // Its lease, on the leader's clock, at the latest.
    time_point mLastSeen;
  };

  in_force_options mOptions;
  // Until then an instance may act under the grant of an earlier leader.
  time_point mUnknownUntil;
  std::map<instance_id, instance_state> mInstances;
};

} // namespace oriolewalk::weights
