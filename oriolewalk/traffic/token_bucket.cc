#include "oriolewalk/traffic/token_bucket.h"

#include <algorithm>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/service_time.h"

namespace oriolewalk::traffic {

void
token_bucket::Configure(std::optional<double> aRate,
                        std::optional<double> aBurst,
                        time_point aNow)
{
  const double rate = aRate.value_or(0);
  const double burst = rate > 0 ? std::max(1.0, aBurst.value_or(rate)) : 0;
  mTokens = mRate ? std::min(Tokens(aNow), burst) : burst;
  mRate = aRate;
  mBurst = burst;
  mAt = aNow;
}

duration
token_bucket::Wait(time_point aNow) const
{
  const double tokens = Tokens(aNow);
  if (!mRate || tokens >= 1) {
    return duration::zero();
  }
  return *mRate > 0 ? FromSeconds((1 - tokens) / *mRate) : duration::max();
}

void
token_bucket::Take(time_point aNow)
{
  if (mRate) {
    mTokens = Tokens(aNow) - 1;
    mAt = aNow;
  }
}

bool
token_bucket::IsFull(time_point aNow) const
{
  return !mRate || Tokens(aNow) >= mBurst;
}

double
token_bucket::Tokens(time_point aNow) const
{
  const double since = std::max(0.0, ToSeconds(aNow - mAt));
  return std::min(mBurst, mTokens + (since * mRate.value_or(0)));
}

} // namespace oriolewalk::traffic
