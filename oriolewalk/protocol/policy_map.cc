#include "oriolewalk/protocol/policy_map.h"

#include <limits>
#include <set>

#include "oriolewalk/base/work_class.h"
#include "oriolewalk/weights/weights_row.h"

namespace oriolewalk::protocol {

namespace {

constexpr std::int64_t kNoQuota = std::numeric_limits<std::int64_t>::max() / 4;

traffic::share_rule
ShareRule(const weights::weights_row& aRow)
{
  traffic::share_rule rule;
  rule.mWeight = aRow.mWeight;
  rule.mMaxSlots = aRow.mMaxSlots;
  rule.mMaxWaiting = aRow.mMaxWaiting;
  rule.mRequestsPerSecond = aRow.mRequestsPerSecond;
  rule.mBurst = aRow.mBurst;
  return rule;
}

std::set<organisation_id>
NamedOrganisations(const weights::weights_table& aTable)
{
  std::set<organisation_id> named;
  for (const weights::weights_row& row : aTable.Rows()) {
    if (row.mOrganisation.Value() != weights::kAnyone) {
      named.insert(row.mOrganisation);
    }
  }
  return named;
}

} // namespace

traffic::share_policy
SharePolicy(const weights::weights_table& aTable)
{
  traffic::share_policy policy;
  const organisation_id anyone{ std::string(weights::kAnyone) };
  const std::set<organisation_id> named = NamedOrganisations(aTable);
  for (const work_class workClass : kClasses) {
    policy.SetDefault(workClass, ShareRule(aTable.Find(anyone, workClass)));
    for (const organisation_id& organisation : named) {
      policy.Set(organisation,
                 workClass,
                 ShareRule(aTable.Find(organisation, workClass)));
    }
  }
  return policy;
}

// The cell has one weight and one quota per organisation. They come from the
// organisation's row for the heavy class, which is the class of batch work.
cell::cell_policy
CellPolicy(const weights::weights_table& aTable, std::uint64_t aVersion)
{
  cell::cell_policy policy;
  policy.mVersion = aVersion;
  for (const organisation_id& organisation : NamedOrganisations(aTable)) {
    const weights::weights_row& row =
      aTable.Find(organisation, work_class::Heavy);
    policy.mWeights[organisation] = row.mWeight;
    if (row.mMilliProcessors || row.mMemoryMb || row.mAccelerators) {
      const auto limit = [](const std::optional<std::uint64_t>& aValue) {
        return aValue ? static_cast<std::int64_t>(*aValue) : kNoQuota;
      };
      policy.mQuotas[organisation] = { limit(row.mMilliProcessors),
                                       limit(row.mMemoryMb),
                                       limit(row.mAccelerators) };
    }
  }
  return policy;
}

} // namespace oriolewalk::protocol
