#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/weights/in_force.h"
#include "oriolewalk/weights/serving_lease.h"

namespace oriolewalk::weights {
namespace {

const time_point kElected{ seconds(1000) };
const instance_id kOne("e1");
const instance_id kTwo("e2");
using instances = std::vector<instance_id>;

// Long enough after the election that no earlier grant counts.
const time_point kSettled = kElected + seconds(10);

} // namespace

TEST_CASE("a version is in force once all have confirmed it")
{
  in_force_tracker tracker({}, kElected);
  auto now = kSettled;
  CHECK(tracker.Confirm(kOne, 4, 4, now).mGranted);
  CHECK(tracker.Confirm(kTwo, 4, 4, now).mGranted);
  CHECK(tracker.Report(4, now).mEverywhere);
  // Version 5 is accepted.
  now += milliseconds(100);
  CHECK(tracker.Report(5, now).mPending == instances{ kOne, kTwo });
  const auto behind = tracker.Confirm(kOne, 4, 5, now);
  CHECK_FALSE(behind.mGranted);
  CHECK(behind.mCurrent == 5);
  CHECK(tracker.Confirm(kOne, 5, 5, now).mGranted);
  const auto report = tracker.Report(5, now);
  CHECK(report.mInForce == instances{ kOne });
  CHECK(report.mPending == instances{ kTwo });
  CHECK_FALSE(report.mEverywhere);
  CHECK(tracker.Confirm(kTwo, 5, 5, now).mGranted);
  CHECK(tracker.Report(5, now).mEverywhere);
  CHECK_FALSE(tracker.NextLapse(5, now));
}

TEST_CASE("a cut-off instance lapses and then cannot hold up a version")
{
  // The operator waits for version 5; instance two is cut off. Its last grant
  // runs out on its own clock within the lease, and it stops admitting; the
  // leader counts the lease and the drift of clocks, then reports it as
  // lapsed and the version as in force everywhere.
  in_force_tracker tracker({}, kElected);
  serving_lease lease;
  lease.Adopt(4);
  lease.Confirmed(4, kSettled);
  tracker.Confirm(kOne, 4, 4, kSettled);
  tracker.Confirm(kTwo, 4, 4, kSettled + milliseconds(1));
  const auto lapse = tracker.NextLapse(5, kSettled);
  REQUIRE(lapse);
  const auto before = lapse.value_or(kSettled) - milliseconds(1);
  tracker.Confirm(kOne, 5, 5, before);
  CHECK(lease.MayAdmit(kSettled + seconds(2) - milliseconds(1)));
  CHECK_FALSE(lease.MayAdmit(kSettled + seconds(2)));
  const auto next = tracker.NextLapse(5, before);
  REQUIRE(next);
  const auto later = next.value_or(kSettled);
  CHECK_FALSE(tracker.Report(5, later - milliseconds(1)).mEverywhere);
  const auto report = tracker.Report(5, later);
  CHECK(report.mLapsed == instances{ kTwo });
  CHECK(report.mInForce == instances{ kOne });
  CHECK(report.mEverywhere);
}

TEST_CASE("a new leader waits for grants that it has not heard of")
{
  // The old leader granted an instance its lease just before it was deposed,
  // and may still grant until its own bound. The new leader, which has heard
  // of no instance yet, must not report the new version as in force.
  const in_force_options options;
  in_force_tracker tracker(options, kElected);
  const auto wait = options.mOldLeaderBound + options.mLease + options.mDrift;
  CHECK_FALSE(tracker.Report(5, kElected).mEverywhere);
  CHECK(tracker.NextLapse(5, kElected) == kElected + wait);
  CHECK_FALSE(tracker.Report(5, kElected + wait - milliseconds(1)).mEverywhere);
  CHECK(tracker.Report(5, kElected + wait).mEverywhere);
  // Heard of, but only with an old version: it may hold an old grant.
  tracker.Confirm(kOne, 4, 5, kElected + milliseconds(1));
  CHECK(tracker.Report(5, kElected + seconds(1)).mPending == instances{ kOne });
}

TEST_CASE("versions never fall for a reader, and late grants prove nothing")
{
  serving_lease lease;
  CHECK_FALSE(lease.MayAdmit(kElected));
  CHECK(lease.Adopt(5));
  CHECK_FALSE(lease.Adopt(4)); // From a deposed leader.
  CHECK(lease.Version() == 5);
  lease.Confirmed(4, kElected); // An answer that was overtaken.
  CHECK_FALSE(lease.MayAdmit(kElected));
  lease.Confirmed(5, kElected);
  lease.Confirmed(5, kElected - seconds(1)); // Out of order.
  CHECK(lease.Until() == kElected + kServingLease);
  // Woken from a pause of a minute: lapsed, also by a grant from before it.
  const auto woken = kElected + seconds(60);
  CHECK_FALSE(lease.MayAdmit(woken));
  lease.Confirmed(5, kElected + seconds(1));
  CHECK_FALSE(lease.MayAdmit(woken));
}

TEST_CASE("instances that are long gone are forgotten")
{
  in_force_tracker tracker({}, kElected);
  tracker.Confirm(kOne, 4, 4, kSettled);
  tracker.Forget(kSettled + seconds(599));
  CHECK(tracker.Report(4, kSettled + seconds(599)).mLapsed.size() == 1);
  tracker.Forget(kSettled + seconds(600));
  CHECK(tracker.Report(4, kSettled + seconds(600)).mLapsed.empty());
}

} // namespace oriolewalk::weights
