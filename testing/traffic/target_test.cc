#include <catch2/catch.hpp>

#include <cstdint>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/target_health.h"
#include "oriolewalk/traffic/target_pool.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

const time_point kStart{ seconds(1000) };
constexpr finish kAnswer{ finish_result::Answered, milliseconds(20) };
constexpr finish kFailure{ finish_result::FailedFast, milliseconds(1) };
constexpr double kExpected = 0.02;

target_id
Name(std::uint32_t aIndex)
{
  return target_id("t" + std::to_string(aIndex));
}

target_pool
Pool(std::uint32_t aTargets)
{
  target_pool pool{ target_options{} };
  for (std::uint32_t index = 0; index < aTargets; ++index) {
    pool.OnTargetUp({ Name(index),
                      service_id("s"),
                      data_centre_id(index % 2 == 0 ? "a" : "b"),
                      8,
                      60 });
  }
  return pool;
}

int
EjectAll(target_pool& aPool, std::uint32_t aTargets, time_point aNow)
{
  int ejected = 0;
  for (std::uint32_t index = 0; index < aTargets; ++index) {
    for (int failure = 0; failure < 20; ++failure) {
      aPool.AcquireSlot(Name(index));
      ejected +=
        aPool.ReleaseSlot(Name(index), kFailure, kExpected, aNow) ? 1 : 0;
    }
  }
  return ejected;
}

TEST_CASE("no more than a third of the targets is ejected")
{
  // Every target fails every request, so the cause is in the requests or the
  // network. Ejecting all targets would leave callers without any.
  target_pool ten = Pool(10);
  CHECK(EjectAll(ten, 10, kStart) == 3);
  CHECK(ten.Slots() == 7 * 8);
  target_pool two = Pool(2);
  CHECK(EjectAll(two, 2, kStart) == 1);
  target_pool one = Pool(1);
  CHECK(EjectAll(one, 1, kStart) == 0);
}

TEST_CASE("an ejected target is probed by repeatable work, then ramps up")
{
  target_pool pool = Pool(3);
  random_source random(1);
  const auto fail = [&] {
    for (int failure = 0; failure < 5; ++failure) {
      pool.AcquireSlot(Name(0));
      pool.ReleaseSlot(Name(0), kFailure, kExpected, kStart);
    }
  };
  fail();
  CHECK(pool.Slots() == 2 * 8);
  const time_point probing = kStart + seconds(1);
  REQUIRE(pool.NextWake(kStart) == probing);
  pool.Advance(probing);
  CHECK(pool.Slots() == (2 * 8) + 1);
  for (std::uint32_t index = 1; index < 3; ++index) {
    for (int slot = 0; slot < 8; ++slot) {
      pool.AcquireSlot(Name(index));
    }
  }
  // Only the probing target has a free slot.
  target_criteria payment{
    work_class::Normal, false, data_centre_id("a"), 0.02
  };
  CHECK_FALSE(pool.Choose(payment, random, probing));
  target_criteria repeatable = payment;
  repeatable.mRepeatable = true;
  CHECK(pool.Choose(repeatable, random, probing) == Name(0));
  CHECK(pool.Choose(payment, random, probing + seconds(1)) == Name(0));
  for (int answer = 0; answer < 4; ++answer) {
    pool.AcquireSlot(Name(0));
    pool.ReleaseSlot(Name(0), kAnswer, kExpected, probing);
  }
  CHECK(pool.Slots() == 3 * 8);
}

TEST_CASE("each ejection of a flapping target lasts longer than the last")
{
  target_health health{ target_options{} };
  time_point now = kStart;
  duration last{};
  for (int round = 0; round < 5; ++round) {
    while (!health.Record(kFailure, kExpected, now)) {
    }
    health.Eject(now);
    const duration ejectedFor = health.EjectedUntil() - now;
    CHECK(ejectedFor > last);
    last = ejectedFor;
    now = health.EjectedUntil();
    REQUIRE(health.Advance(now));
  }
}

TEST_CASE("slowness relative to peers, not latency alone, reduces slots")
{
  target_health slow{ target_options{} };
  target_health evenly{ target_options{} };
  for (int answer = 0; answer < 60; ++answer) {
    slow.Record({ finish_result::Answered, milliseconds(200) }, 0.02, kStart);
    evenly.Record({ finish_result::Answered, milliseconds(200) }, 0.2, kStart);
  }
  CHECK(slow.Allowed(8) == 1);
  CHECK(evenly.Allowed(8) == 8);
}

TEST_CASE("the nearer data centre is preferred until its load is much higher")
{
  target_pool pool = Pool(2); // t0 in a, t1 in b
  random_source random(1);
  const target_criteria quick{
    work_class::Normal, true, data_centre_id("a"), 0.02
  };
  CHECK(pool.Choose(quick, random, kStart) == Name(0));
  for (int slot = 0; slot < 4; ++slot) {
    pool.AcquireSlot(Name(0));
  }
  CHECK(pool.Choose(quick, random, kStart) == Name(1));
}

} // namespace
} // namespace oriolewalk::traffic
