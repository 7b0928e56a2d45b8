#include "oriolewalk/traffic/policy.h"

#include <algorithm>

#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// A weight of 0 would divide by zero; the minimum still gets served.
share_rule
Checked(share_rule aRule)
{
  constexpr double kMinWeight = 1e-6;
  aRule.mWeight = std::max(aRule.mWeight, kMinWeight);
  return aRule;
}

} // namespace

void
share_policy::SetDefault(work_class aClass, const share_rule& aRule)
{
  mDefaults.at(IndexOf(aClass)) = Checked(aRule);
}

void
share_policy::Set(const organisation_id& aOrganisation,
                  work_class aClass,
                  const share_rule& aRule)
{
  mRules[{ aOrganisation, aClass }] = Checked(aRule);
}

const share_rule&
share_policy::Of(const organisation_id& aOrganisation, work_class aClass) const
{
  const auto found = mRules.find({ aOrganisation, aClass });
  return found == mRules.end() ? mDefaults.at(IndexOf(aClass)) : found->second;
}

} // namespace oriolewalk::traffic
