#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/interference_control.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;

constexpr time_point kStart{ seconds(100) };
const job_id kLatencySensitive("00");
const job_id kBestEffort("01");

std::vector<colocated_run>
Colocated(std::int64_t aTailMs, int aPercent)
{
  return {
    { state_builder::Run(kLatencySensitive, 1), 100, aTailMs, false, 100 },
    { state_builder::Run(kBestEffort, 1), 0, 0, true, aPercent }
  };
}

} // namespace

TEST_CASE("best-effort work slows down if it harms a latency-sensitive task")
{
  interference_control control;
  auto changes = control.Decide(1, Colocated(90, 100), kStart);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mRun.mTask.mJob == kBestEffort);
  CHECK(changes[0].mPercent == 50);
  // The figures are still from before the change.
  CHECK(
    control.Decide(1, Colocated(90, 50), kStart + milliseconds(100)).empty());
  // A tail latency well over the target stops the work at once.
  changes = control.Decide(1, Colocated(130, 50), kStart + milliseconds(200));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mPercent == 0);
}

TEST_CASE("best-effort work speeds up in steps while it does no harm")
{
  interference_control control;
  int percent = 0;
  int rounds = 0;
  for (time_point now = kStart; percent < 100; now += seconds(1)) {
    const auto changes = control.Decide(1, Colocated(40, percent), now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mPercent <= percent + 20);
    percent = changes[0].mPercent;
    ++rounds;
  }
  CHECK(rounds == 5);
  CHECK(control.Decide(1, Colocated(40, 100), kStart + seconds(60)).empty());
  CHECK(control.Decide(1, Colocated(75, 50), kStart + seconds(62)).empty());
}

TEST_CASE("with noise and delay the tail latency stays under its target")
{
  // The tail latency is 50 ms, plus 120 ms at full pace of the best-effort
  // work; the figure is noisy and one poll old. Being over the target for 4 s
  // in a row counts as harm.
  interference_control control;
  random_source random(7);
  int percent = 100;
  std::int64_t shown = 50;
  int over = 0;
  int longestOver = 0;
  int totalPercent = 0;
  constexpr int kPolls = 200;
  for (int poll = 0; poll < kPolls; ++poll) {
    const time_point now = kStart + milliseconds(500) * poll;
    for (const auto& change :
         control.Decide(1, Colocated(shown, percent), now)) {
      percent = change.mPercent;
    }
    const std::int64_t tail = 50 + 120 * percent / 100 +
                              static_cast<std::int64_t>(random.Below(11)) - 5;
    shown = tail;
    over = tail > 100 ? over + 1 : 0;
    longestOver = std::max(longestOver, over);
    totalPercent += percent;
  }
  CHECK(longestOver <= 3);
  CHECK(totalPercent > kPolls * 10); // best-effort work progresses
}

} // namespace oriolewalk::flow
