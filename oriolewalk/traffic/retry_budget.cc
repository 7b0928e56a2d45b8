#include "oriolewalk/traffic/retry_budget.h"

#include <algorithm>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

bool
MayRetry(const ended_attempt& aAttempt)
{
  switch (aAttempt.mResult) {
    case finish_result::NeverStarted:
      return true;
    case finish_result::TimedOut:
    case finish_result::Unknown:
      return aAttempt.mRepeatable && aAttempt.mHasEnded;
    case finish_result::Answered:
    case finish_result::FailedFast:
      return false;
  }
  return false;
}

retry_budget::retry_budget(const retry_options& aOptions)
  : mOptions(aOptions)
{
}

void
retry_budget::OnSuccess()
{
  mTokens = std::min(mTokens + mOptions.mShareOfSuccesses, mOptions.mMaxTokens);
}

bool
retry_budget::TrySpend(time_point aNow)
{
  mTokens = Available(aNow);
  mAt = std::max(mAt, aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

// The constant refill tops the budget up to one retry only; more than one is
// accumulated from successes alone.
double
retry_budget::Available(time_point aNow) const
{
  const double trickle =
    std::max(0.0, ToSeconds(aNow - mAt)) * mOptions.mMinPerSecond;
  return std::max(mTokens, std::min(1.0, mTokens + trickle));
}

} // namespace oriolewalk::traffic
