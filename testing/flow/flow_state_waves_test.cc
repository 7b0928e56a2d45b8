#include <cstdint>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/flow_state.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

using testing::state_builder;
using testing::Step;

namespace {

put_wave
Wave(std::uint64_t aNumber, std::int64_t aAcceptedWallMs = 5'000)
{
  return { { { aNumber,
               { machine_id("m1"), machine_id("m2"), machine_id("m3") },
               20'000,
               1 },
             aAcceptedWallMs,
             {},
             {} } };
}

} // namespace

TEST_CASE("a wave's order repeated is the same wave, a changed one is refused")
{
  // Guards against a repeat that resets what was done, and against a second
  // order that replaces one which an operator was promised.
  state_builder builder;
  CHECK_FALSE(builder.Apply(Wave(1)).mError);
  CHECK_FALSE(builder.Apply(record_upkeep{ 1, machine_id("m2") }).mError);
  CHECK_FALSE(builder.Apply(Wave(1, 9'000)).mError);
  const machines::wave_record& wave = builder.mState.Waves().at(1);
  CHECK(wave.mAcceptedWallMs == 5'000);
  CHECK(wave.mBegun.size() == 1);
  put_wave changed = Wave(1);
  changed.mWave.mOrder.mMaxCount = 2;
  const auto refused = builder.Apply(changed);
  REQUIRE(refused.mError);
  CHECK(refused.mError->mCode == error_code::Conflict);
  CHECK(wave.mOrder.mMaxCount == 1);
}

TEST_CASE("a wave is done once each machine has begun or left")
{
  // Guards against a wave that counts a machine twice, or one of another wave,
  // and ends too early.
  state_builder builder;
  builder.Apply(Wave(1));
  const machines::wave_record& wave = builder.mState.Waves().at(1);
  for (int repeat = 0; repeat < 3; ++repeat) {
    builder.Apply(record_upkeep{ 1, machine_id("m1") });
  }
  builder.Apply(record_upkeep{ 1, machine_id("m1"), true });
  CHECK(builder.Apply(record_upkeep{ 1, machine_id("m9") }).mError);
  CHECK(builder.Apply(record_upkeep{ 2, machine_id("m1") }).mError);
  CHECK_FALSE(wave.IsDone());
  builder.Apply(record_upkeep{ 1, machine_id("m2"), true });
  CHECK_FALSE(wave.IsDone());
  builder.Apply(record_upkeep{ 1, machine_id("m3") });
  CHECK(wave.IsDone());
  CHECK(wave.mBegun.size() == 2);
}

TEST_CASE("a snapshot has waves only where there is one")
{
  // Guards against a snapshot that a process of an earlier version can't read
  // although no wave was ever ordered, and against waves that a restart loses.
  for (const bool hasOrganisations : { false, true }) {
    CAPTURE(hasOrganisations);
    state_builder builder;
    builder.AddJob("01", { Step(2, 500) });
    if (hasOrganisations) {
      builder.PutOrganisations({ testing::Organisation("a", 4'000) });
      builder.AddOwnedJob("02", "a", { Step(1, 500) });
    }
    const bytes without = builder.mState.Save();
    flow_state restored;
    REQUIRE(restored.Restore(without));
    CHECK(restored.Waves().empty());
    CHECK(restored.Save() == without);
    builder.Apply(Wave(1));
    builder.Apply(record_upkeep{ 1, machine_id("m3") });
    const bytes with = builder.mState.Save();
    CHECK(with != without);
    REQUIRE(restored.Restore(with));
    CHECK(restored.Waves().at(1).mBegun.contains(machine_id("m3")));
    CHECK(restored.Waves().at(1).mAcceptedWallMs == 5'000);
    CHECK(restored.Jobs().size() == builder.mState.Jobs().size());
    CHECK(restored.Save() == with);
    // An earlier snapshot takes the place of all that was there.
    REQUIRE(restored.Restore(without));
    CHECK(restored.Waves().empty());
  }
}

} // namespace oriolewalk::flow
