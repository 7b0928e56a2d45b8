#include <catch2/catch.hpp>

#include "oriolewalk/control/entry_registry.h"
#include "oriolewalk/control/held_calls.h"
#include "oriolewalk/control/target_registry.h"

namespace oriolewalk::control {
namespace {

const time_point kStart{ seconds(100) };
const milliseconds kLease{ protocol::kTargetLeaseMs };

protocol::target_announcement
Target(const std::string& aName)
{
  return { target_id(aName),
           service_id("fees"),
           "127.0.0.1:9001",
           data_centre_id("a"),
           8,
           60 };
}

TEST_CASE("a silent target lapses, a renewing one does not")
{
  target_registry targets;
  CHECK(targets.Announce(Target("t1"), kStart));
  CHECK(targets.TakeLapsed(kStart + kLease - milliseconds(1)).empty());
  CHECK(targets.Announce(Target("t1"), kStart + milliseconds(500)));
  CHECK(targets.TakeLapsed(kStart + kLease).empty());
  CHECK(targets.TakeLapsed(kStart + kLease + milliseconds(500)).size() == 1);
  CHECK(targets.Find(target_id("t1")) == nullptr);
}

TEST_CASE("a target that comes back after leaving is let in again")
{
  // A target leaves, is restarted at once under its old name, and renews twice
  // a second. Its renewals must not keep the leaving record alive, or it would
  // never get work again.
  target_registry targets;
  targets.Announce(Target("t1"), kStart);
  targets.Leave(target_id("t1"), kStart);
  for (int renewal = 1; renewal < 4; ++renewal) {
    const time_point now = kStart + milliseconds(500) * renewal;
    CHECK_FALSE(targets.Announce(Target("t1"), now));
    CHECK(targets.TakeLapsed(now).empty());
  }
  CHECK(targets.TakeLapsed(kStart + kLease).size() == 1);
  CHECK(targets.Announce(Target("t1"), kStart + kLease));
}

protocol::heartbeat
Beat(std::uint64_t aBoot)
{
  protocol::heartbeat beat;
  beat.mOwner = { instance_id("e1"), aBoot };
  return beat;
}

TEST_CASE("a carrier is lost when it is silent or lives under another boot")
{
  entry_registry entries;
  const std::set<ledger::owning_entry> owners = { { instance_id("e1"), 1 } };
  entries.Reset(owners, kStart);
  CHECK(entries.Lost(owners, kStart + kOwnerGrace - seconds(1)).empty());
  entries.Heard(Beat(1), kStart + seconds(3));
  CHECK(entries.Lost(owners, kStart + kOwnerGrace).empty());
  // The instance was restarted: its former incarnation no longer owns
  // requests.
  entries.Heard(Beat(2), kStart + seconds(4));
  CHECK(entries.Lost(owners, kStart + seconds(4)).size() == 1);
  // A late heartbeat of the former incarnation doesn't make it valid again.
  entries.Heard(Beat(1), kStart + seconds(4));
  CHECK(entries.Lost(owners, kStart + seconds(4)).size() == 1);
}

TEST_CASE("a held call is given back when a later one takes its place")
{
  held_calls<int, int> calls;
  CHECK_FALSE(calls.Hold(1, { call_id(10), 0, kStart + seconds(1) }));
  const auto former = calls.Hold(1, { call_id(11), 0, kStart + seconds(2) });
  REQUIRE(former);
  CHECK(former->mCall == call_id(10));
  CHECK(calls.TakeDue(kStart + seconds(1)).empty());
  const auto due = calls.TakeDue(kStart + seconds(2));
  REQUIRE(due.size() == 1);
  CHECK(due.front().second.mCall == call_id(11));
  CHECK(calls.Size() == 0);
}

} // namespace
} // namespace oriolewalk::control
