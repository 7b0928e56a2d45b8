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
#include <optional>
#include <utility>

#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

// One organisation in one class. Limits hold within each service; one that is
// not set does not bind, and one of 0 lets nothing through.
struct share_rule
{
  double mWeight = 1;                       // share of slot time; > 0
  std::optional<std::uint32_t> mMaxSlots{}; // held at once
  // Queued at once; 0: what cannot start at once is refused.
  std::optional<std::uint32_t> mMaxWaiting{};
  std::optional<double> mRequestsPerSecond{}; // admitted
  std::optional<double> mBurst{}; // above the rate; else one second of it
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
