#pragma once

// Weights and limits by organisation and class, as the dispatcher uses them.
// One is built from each version of the weights table:
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

// The rule of one organisation in one class. Limits apply within each service.
// A limit that is not set does not apply, and a limit of 0 admits nothing.
struct share_rule
{
  double mWeight = 1;                       // share of slot time; > 0
  std::optional<std::uint32_t> mMaxSlots{}; // slots held at the same time
  // Requests queued at the same time; with 0, a request that cannot start
  // immediately is refused.
  std::optional<std::uint32_t> mMaxWaiting{};
  std::optional<double> mRequestsPerSecond{}; // admitted requests
  std::optional<double> mBurst{};             // default: one second of the rate
};

// A value type: copies are independent. Of costs O(log rules).
class share_policy
{
public:
  // The rule of organisations that have none of their own.
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
