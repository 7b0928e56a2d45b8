#include <cstdint>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Tests of workers whose capacity shrinks and grows again while they run.

namespace oriolewalk::flow {

namespace {

using testing::Step;

struct shrinking_fixture
{
  fake_group mGroup;
  worker_description mLarge; // before it shrank

  explicit shrinking_fixture(std::uint64_t aSeed)
    : mGroup(3, 3, aSeed)
  {
    mGroup.AddWorker("w");
    mGroup.Worker(0).mTaskSize = Step(1, 2'000).mSize;
    mGroup.Worker(0).mWorkTime = seconds(20);
    mLarge = mGroup.Worker(0).Description();
    mGroup.Run(seconds(2));
  }

  void Shrink()
  {
    cell::resources small = mLarge.mCapacity;
    small.mMilliProcessors = 2'000;
    mGroup.Worker(0).SetCapacity(small, mGroup.Now());
  }

  [[nodiscard]] std::int64_t KnownMilliProcessors()
  {
    const flow_state& state = mGroup.Core(*mGroup.Leader()).State();
    return state.FindWorker(state.NumberOf(mLarge.mId))
      ->mDescription.mCapacity.mMilliProcessors;
  }
};

} // namespace

TEST_CASE("an older heartbeat that arrives late restores no capacity")
{
  // Guards against a start that exceeds a worker's capacity, because the late
  // heartbeat reports the capacity from before it shrank.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    shrinking_fixture fixture(seed);
    fixture.Shrink();
    fixture.mGroup.Run(seconds(6));
    CHECK(fixture.KnownMilliProcessors() == 2'000);
    fixture.mGroup.SendRequest(
      worker_heartbeat{ fixture.mLarge, false, 0, 1'000, 1 });
    fixture.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    fixture.mGroup.Run(milliseconds(500));
    CHECK(fixture.mGroup.Oracle().Violations().empty());
    CHECK(fixture.mGroup.Oracle().Starts() == 1);
  }
}

TEST_CASE("the first heartbeat that a leader receives restores no capacity")
{
  // Guards against the same failure at a new leader, which can't know that the
  // heartbeat is an older one.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    shrinking_fixture fixture(seed);
    fixture.Shrink();
    fixture.mGroup.Run(seconds(6));
    const std::size_t leader = *fixture.mGroup.Leader();
    fixture.mGroup.Kill(leader);
    CHECK(fixture.mGroup.RunUntil(
      [&]() { return fixture.mGroup.Leader().has_value(); }, seconds(5)));
    fixture.mGroup.SendRequest(
      worker_heartbeat{ fixture.mLarge, false, 0, 1'000, 1 });
    fixture.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    fixture.mGroup.Run(seconds(2));
    CHECK(fixture.mGroup.Oracle().Violations().empty());
    CHECK(fixture.mGroup.Oracle().Starts() == 1);
  }
}

TEST_CASE("capacity that grows again is used")
{
  // Guards against a worker whose capacity stays reduced for the leader.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    shrinking_fixture fixture(seed);
    fixture.Shrink();
    fixture.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    fixture.mGroup.Run(seconds(6));
    fixture.mGroup.Worker(0).SetCapacity(fixture.mLarge.mCapacity,
                                         fixture.mGroup.Now());
    fixture.mGroup.Run(seconds(2));
    CHECK(fixture.mGroup.Oracle().Starts() == 4);
    CHECK(fixture.mGroup.Oracle().Violations().empty());
  }
}

} // namespace oriolewalk::flow
