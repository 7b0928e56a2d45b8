#include <catch2/catch.hpp>

#include "oriolewalk/flow/plan_timer.h"

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kLiveJobs = 1'100;
constexpr time_point kStart{ seconds(100) };

void
TickEvery(plan_timer& aTimer, milliseconds aGap, time_point aUntil)
{
  constexpr int kTicks = 100;
  for (int tick = kTicks; tick >= 0; --tick) {
    aTimer.OnTick(aUntil - tick * aGap);
  }
}

} // namespace

TEST_CASE("top-priority steps are planned sooner than all steps")
{
  plan_timer timer;
  TickEvery(timer, milliseconds(10), kStart);
  timer.OnPlanned(plan_scope::All, 0, kStart);
  timer.OnChange(false);
  CHECK_FALSE(timer.DueScope(kLiveJobs, kStart + milliseconds(40)));
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(47)) ==
        plan_scope::All);
  timer.OnChange(true);
  CHECK_FALSE(timer.DueScope(kLiveJobs, kStart + milliseconds(11)));
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(12)) ==
        plan_scope::TopPriority);
  timer.OnPlanned(plan_scope::TopPriority, 0, kStart + milliseconds(12));
  CHECK_FALSE(timer.DueScope(kLiveJobs, kStart + milliseconds(40)));
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(47)) ==
        plan_scope::All);
}

TEST_CASE("a process whose ticks are late plans less often")
{
  // The processor is saturated: answers of workers, commits and callers wait.
  // Planning as often as before would use up the remaining time, and each plan
  // would have more to do.
  plan_timer timer;
  TickEvery(timer, milliseconds(35), kStart);
  timer.OnPlanned(plan_scope::All, 0, kStart);
  timer.OnChange(true);
  CHECK_FALSE(timer.DueScope(kLiveJobs, kStart + milliseconds(30)));
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(40)) ==
        plan_scope::TopPriority);
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(145)) ==
        plan_scope::All);
}

TEST_CASE("plans get a bounded share of the time, whatever they cost")
{
  // Guards against plans that make commits and answers late on a slow
  // processor.
  plan_timer timer;
  TickEvery(timer, milliseconds(20), kStart);
  constexpr int kPlans = 40;
  for (int plan = 0; plan < kPlans; ++plan) {
    timer.OnPlanned(plan_scope::All, 0, kStart);
    timer.OnPlanTook(milliseconds(40));
    timer.OnPlanned(plan_scope::TopPriority, 0, kStart);
    timer.OnPlanTook(milliseconds(20));
  }
  timer.OnChange(true);
  CHECK_FALSE(timer.DueScope(kLiveJobs, kStart + milliseconds(110)));
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(120)) ==
        plan_scope::TopPriority);
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(620)) ==
        plan_scope::TopPriority);
  CHECK(timer.DueScope(kLiveJobs, kStart + milliseconds(640)) ==
        plan_scope::All);
}

} // namespace oriolewalk::flow
