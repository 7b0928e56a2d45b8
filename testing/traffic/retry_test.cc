#include <catch2/catch.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/retry_budget.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

TEST_CASE("an attempt that may still run is never retried")
{
  // The caller's payment timed out at the entry while the target may still be
  // working on it. A second attempt would pay twice, or overlap with the first
  // one even if the work is repeatable.
  CHECK_FALSE(MayRetry({ finish_result::TimedOut, true, false }));
  CHECK_FALSE(MayRetry({ finish_result::Unknown, true, false }));
  CHECK_FALSE(MayRetry({ finish_result::Unknown, false, true }));
  CHECK_FALSE(MayRetry({ finish_result::Answered, true, true }));
  CHECK_FALSE(MayRetry({ finish_result::FailedFast, true, true }));
  CHECK(MayRetry({ finish_result::Unknown, true, true }));
  CHECK(MayRetry({ finish_result::NeverStarted, false, false }));
}

TEST_CASE("retries are limited to a share of the successes")
{
  // All targets fail after many requests succeeded. Retries continue for a
  // tenth of the successes and then only at the minimum rate.
  const time_point now{ seconds(100) };
  retry_budget budget;
  for (int success = 0; success < 500; ++success) {
    budget.OnSuccess();
  }
  int spent = 0;
  while (budget.TrySpend(now)) {
    ++spent;
  }
  CHECK(spent >= 50);
  CHECK(spent <= 51);
  CHECK_FALSE(budget.TrySpend(now + seconds(1)));
  CHECK(budget.TrySpend(now + seconds(3)));
}

} // namespace
} // namespace oriolewalk::traffic
