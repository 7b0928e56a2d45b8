#include "oriolewalk/organisations/usage_report.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::organisations {

std::vector<organisation_use>
usage_report::Update(const quota_accounts& aAccounts)
{
  std::vector<std::pair<std::int64_t, organisation_id>> others;
  for (const auto& [name, account] : aAccounts) {
    if (std::ranges::count(mNames, name) == 0) {
      others.emplace_back(-account.mRunning.mMilliProcessors, name);
    }
  }
  std::ranges::sort(others); // the largest first
  organisation_use rest;
  for (const auto& [negated, name] : others) {
    if (mNames.size() < mMaxRows) {
      mNames.push_back(name);
    } else {
      rest.mRunning += aAccounts.at(name).mRunning;
    }
  }
  std::vector<organisation_use> uses;
  uses.reserve(mNames.size() + 1);
  for (const organisation_id& name : mNames) {
    const auto found = aAccounts.find(name);
    const quota_account account =
      found == aAccounts.end() ? quota_account{} : found->second;
    uses.push_back({ name, account.mRunning, account.mMaximum });
  }
  uses.push_back(std::move(rest));
  return uses;
}

} // namespace oriolewalk::organisations
