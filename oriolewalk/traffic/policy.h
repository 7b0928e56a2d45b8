#pragma once

// Weights and limits by organisation and class, as the dispatcher uses them.
// The shell makes one from each version of the weights table:
//
//   share_policy policy;
//   policy.Set(organisation_id("taksa"), work_class::Urgent, { .mWeight = 3 });
//   dispatcher.SetPolicy(policy, now);

#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

// One organisation in one class. Limits hold within each service.
struct share_rule
{
  double mWeight = 1;            // share of slot time against its peers; > 0
  std::uint32_t mMaxSlots = 0;   // held at once; 0: no limit
  double mRatePerSecond = 0;     // admitted requests; 0: no limit
  double mBurst = 0;             // above the rate; 0: one second of the rate
  std::uint32_t mMaxWaiting = 0; // queued requests; 0: the default
};

// A value: copy it freely. Cost of Of: O(log rules).
class share_policy
{
public:
  // For organisations without a rule of their own.
  void SetDefault(work_class aClass, const share_rule& aRule);
  void Set(const organisation_id& aOrganisation,
           work_class aClass,
           const share_rule& aRule);
  [[nodiscard]] const share_rule& Of(const organisation_id& aOrganisation,
                                     work_class aClass) const;

private:
  std::array<share_rule, kClassCount> mDefaults;
  std::map<std::pair<organisation_id, work_class>, share_rule> mRules;
};

} // namespace oriolewalk::traffic
