#include "oriolewalk/flow/duration_model.h"

namespace oriolewalk::flow {

void
duration_model::OnRunEnded(const duration_key& /*aKey*/,
                           double /*aEstimateMs*/,
                           double /*aTookMs*/,
                           double /*aSpeed*/,
                           time_point /*aNow*/)
{
}

duration_estimate
duration_model::Estimate(const duration_key& /*aKey*/,
                         double aEstimateMs,
                         time_point /*aNow*/) const
{
  return { aEstimateMs, aEstimateMs, false };
}

} // namespace oriolewalk::flow
