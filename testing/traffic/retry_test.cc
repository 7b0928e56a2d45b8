#include <catch2/catch.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/retry_budget.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

TEST_CASE("an attempt that may still run is never followed by another")
{
  // The caller's payment timed out at the entry. The target may still be
  // working on it: a second attempt would pay twice, or overlap with the
  // first one even where repeating is allowed.
  CHECK_FALSE(MayRetry({ finish_result::TimedOut, true, false }));
  CHECK_FALSE(MayRetry({ finish_result::Unknown, true, false }));
  CHECK_FALSE(MayRetry({ finish_result::Unknown, false, true }));
  CHECK_FALSE(MayRetry({ finish_result::Answered, true, true }));
  CHECK_FALSE(MayRetry({ finish_result::FailedFast, true, true }));
  CHECK(MayRetry({ finish_result::Unknown, true, true }));
  CHECK(MayRetry({ finish_result::NeverStarted, false, false }));
}

TEST_CASE("retries stay a share of successes")
{
  // All targets fail while a thousand requests succeeded before: retries go
  // on for a tenth of them, and then trickle.
  const time_point now{ seconds(100) };
  retry_budget budget;
  for (int success = 0; success < 500; ++success) {
    budget.Succeeded();
  }
  int spent = 0;
  while (budget.Spend(now)) {
    ++spent;
  }
  CHECK(spent >= 50);
  CHECK(spent <= 51);
  CHECK_FALSE(budget.Spend(now + seconds(1)));
  CHECK(budget.Spend(now + seconds(3)));
}

} // namespace
} // namespace oriolewalk::traffic
