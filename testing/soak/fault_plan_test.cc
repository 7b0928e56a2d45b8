#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "testing/soak/fault_plan.h"

namespace oriolewalk::soak {

TEST_CASE("a seed makes the same faults each time, and another seed others")
{
  const auto plan = MakeFaultPlan(7, {}, seconds(30));
  const auto again = MakeFaultPlan(7, {}, seconds(30));
  const auto other = MakeFaultPlan(8, {}, seconds(30));
  REQUIRE(plan.size() == again.size());
  REQUIRE_FALSE(plan.empty());
  CHECK(
    std::ranges::equal(plan, again, {}, &fault::Describe, &fault::Describe));
  CHECK_FALSE(
    std::ranges::equal(plan, other, {}, &fault::Describe, &fault::Describe));
}

TEST_CASE("a scenario is known by its name")
{
  CHECK(MakeScenario("lost-seeds").size() == 4);
  CHECK(MakeScenario("other").empty());
}

TEST_CASE("one control process at a time, and all faults end in time")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    constexpr seconds kSpan{ 20 };
    milliseconds over{ 0 };
    for (const fault& one : MakeFaultPlan(seed, { 5, 3, 9 }, kSpan)) {
      CHECK(one.mAt + one.mFor <= kSpan);
      if (one.mPlace == fault_place::Control) {
        CHECK(one.mIndex < 5);
        CHECK(one.mAt >= over);
        over = one.mAt + one.mFor;
      }
    }
  }
}

} // namespace oriolewalk::soak
