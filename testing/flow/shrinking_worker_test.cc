#include <cstdint>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Tests of workers whose capacity shrinks and grows again while they run.

namespace oriolewalk::flow {

namespace {

using testing::Step;

struct shrinking_scene
{
  fake_group mGroup;
  worker_description mLarge; // before it shrank

  explicit shrinking_scene(std::uint64_t aSeed)
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

  [[nodiscard]] std::int64_t KnownRoom()
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
    shrinking_scene scene(seed);
    scene.Shrink();
    scene.mGroup.Run(seconds(6));
    CHECK(scene.KnownRoom() == 2'000);
    scene.mGroup.SendRequest(
      worker_heartbeat{ scene.mLarge, false, 0, 1'000, 1 });
    scene.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    scene.mGroup.Run(milliseconds(500));
    CHECK(scene.mGroup.Oracle().Violations().empty());
    CHECK(scene.mGroup.Oracle().Starts() == 1);
  }
}

TEST_CASE("the first heartbeat that a leader receives restores no capacity")
{
  // Guards against the same failure at a new leader, which can't know that the
  // heartbeat is an older one.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    shrinking_scene scene(seed);
    scene.Shrink();
    scene.mGroup.Run(seconds(6));
    const std::size_t leader = *scene.mGroup.Leader();
    scene.mGroup.Kill(leader);
    CHECK(scene.mGroup.RunUntil(
      [&]() { return scene.mGroup.Leader().has_value(); }, seconds(5)));
    scene.mGroup.SendRequest(
      worker_heartbeat{ scene.mLarge, false, 0, 1'000, 1 });
    scene.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    scene.mGroup.Run(seconds(2));
    CHECK(scene.mGroup.Oracle().Violations().empty());
    CHECK(scene.mGroup.Oracle().Starts() == 1);
  }
}

TEST_CASE("capacity that grows again is used")
{
  // Guards against a worker whose capacity stays reduced for the leader.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    shrinking_scene scene(seed);
    scene.Shrink();
    scene.mGroup.Submit("0000000000000001", { Step(4, 2'000) });
    scene.mGroup.Run(seconds(6));
    scene.mGroup.Worker(0).SetCapacity(scene.mLarge.mCapacity,
                                       scene.mGroup.Now());
    scene.mGroup.Run(seconds(2));
    CHECK(scene.mGroup.Oracle().Starts() == 4);
    CHECK(scene.mGroup.Oracle().Violations().empty());
  }
}

} // namespace oriolewalk::flow
