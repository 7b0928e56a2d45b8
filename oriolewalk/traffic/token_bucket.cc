#include "oriolewalk/traffic/token_bucket.h"

#include <algorithm>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/service_time.h"

namespace oriolewalk::traffic {

void
token_bucket::Configure(double aRate, double aBurst, time_point aNow)
{
  const double burst = std::max(1.0, aBurst > 0 ? aBurst : aRate);
  mTokens = mRate > 0 ? std::min(Tokens(aNow), burst) : burst;
  mRate = aRate;
  mBurst = burst;
  mAt = aNow;
}

duration
token_bucket::Wait(time_point aNow) const
{
  const double tokens = Tokens(aNow);
  if (mRate <= 0 || tokens >= 1) {
    return duration::zero();
  }
  return FromSeconds((1 - tokens) / mRate);
}

void
token_bucket::Take(time_point aNow)
{
  if (mRate > 0) {
    mTokens = Tokens(aNow) - 1;
    mAt = aNow;
  }
}

bool
token_bucket::Full(time_point aNow) const
{
  return mRate <= 0 || Tokens(aNow) >= mBurst;
}

double
token_bucket::Tokens(time_point aNow) const
{
  const double since = std::max(0.0, ToSeconds(aNow - mAt));
  return std::min(mBurst, mTokens + (since * mRate));
}

} // namespace oriolewalk::traffic
