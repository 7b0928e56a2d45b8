#include <catch2/catch.hpp>

#include "oriolewalk/flow/plan_timer.h"

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kWorkers = 1'100;
constexpr time_point kStart{ seconds(100) };

void
TickEvery(plan_timer& aPace, milliseconds aGap, time_point aUntil)
{
  constexpr int kTicks = 100;
  for (int tick = kTicks; tick >= 0; --tick) {
    aPace.OnTick(aUntil - tick * aGap);
  }
}

} // namespace

TEST_CASE("top-priority steps are planned sooner than all steps")
{
  plan_timer pace;
  TickEvery(pace, milliseconds(10), kStart);
  pace.OnPlanned(plan_scope::All, 0, kStart);
  pace.OnChange(false);
  CHECK_FALSE(pace.DueScope(kWorkers, kStart + milliseconds(40)));
  CHECK(pace.DueScope(kWorkers, kStart + milliseconds(47)) == plan_scope::All);
  pace.OnChange(true);
  CHECK_FALSE(pace.DueScope(kWorkers, kStart + milliseconds(11)));
  CHECK(pace.DueScope(kWorkers, kStart + milliseconds(12)) ==
        plan_scope::TopPriority);
  pace.OnPlanned(plan_scope::TopPriority, 0, kStart + milliseconds(12));
  CHECK_FALSE(pace.DueScope(kWorkers, kStart + milliseconds(40)));
  CHECK(pace.DueScope(kWorkers, kStart + milliseconds(47)) == plan_scope::All);
}

TEST_CASE("a process whose ticks are late plans less often")
{
  // The processor is saturated: answers of workers, commits and callers wait.
  // Planning as often as before would use up the remaining time, and each plan
  // would have more to do.
  plan_timer pace;
  TickEvery(pace, milliseconds(35), kStart);
  pace.OnPlanned(plan_scope::All, 0, kStart);
  pace.OnChange(true);
  CHECK_FALSE(pace.DueScope(kWorkers, kStart + milliseconds(30)));
  CHECK(pace.DueScope(kWorkers, kStart + milliseconds(40)) ==
        plan_scope::TopPriority);
  CHECK(pace.DueScope(kWorkers, kStart + milliseconds(145)) == plan_scope::All);
}

} // namespace oriolewalk::flow
