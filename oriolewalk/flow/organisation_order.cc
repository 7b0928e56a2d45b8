#include "oriolewalk/flow/organisation_order.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <queue>
#include <span>
#include <unordered_map>
#include <utility>

namespace oriolewalk::flow {

namespace {

// An organisation within an order: what it has running and what the steps take
// that were ordered before.
struct share_account
{
  cell::resources mTaken;
  double mWeight = 1;
};

using share_accounts = std::unordered_map<organisation_id, share_account>;

share_accounts
AccountsOf(std::span<const open_step> aSteps, const flow_state& aState)
{
  share_accounts accounts;
  for (const open_step& step : aSteps) {
    const organisation_id& owner = step.mJob->mOwner;
    const auto [found, isNew] = accounts.try_emplace(owner);
    if (!isNew) {
      continue;
    }
    if (const auto* row = aState.FindOrganisation(owner)) {
      found->second.mWeight = row->mWeight;
    }
    if (const auto known = aState.Accounts().find(owner);
        known != aState.Accounts().end()) {
      found->second.mTaken = known->second.mRunning;
    }
  }
  return accounts;
}

// What the step's tasks take that aren't done. Those that run already count
// twice, which matters little: most steps start at once.
cell::resources
DemandOf(const open_step& aStep)
{
  const std::size_t left =
    aStep.mRecord->mTasks.size() - aStep.mRecord->mDoneTasks;
  return aStep.mSpec->mSize * static_cast<std::int64_t>(left);
}

bool
IsPublic(const open_step& aStep)
{
  return aStep.mJob->mOwner.Value().empty();
}

// Returns the steps of each priority: those within their organisation's share,
// then the others. Steps of public queues are nobody's and count as within.
void
OrderWithinShares(std::span<open_step> aSteps,
                  share_accounts aAccounts,
                  const cell::resources& aCapacity)
{
  double weights = 0;
  for (const auto& [name, account] : aAccounts) {
    weights += name.Value().empty() ? 0 : account.mWeight;
  }
  for (open_step& step : aSteps) {
    share_account& account = aAccounts.at(step.mJob->mOwner);
    const double share = account.mWeight / weights;
    step.mBeyondShare =
      !IsPublic(step) && cell::DominantShare(account.mTaken, aCapacity) > share;
    account.mTaken += DemandOf(step);
  }
  std::ranges::stable_sort(aSteps, {}, [](const open_step& aStep) {
    return std::pair(aStep.mQueue->mPriority, aStep.mBeyondShare);
  });
}

// aSteps: of one priority.
void
OrderByDominantShare(std::span<open_step> aSteps,
                     share_accounts& aAccounts,
                     const cell::resources& aCapacity)
{
  std::unordered_map<organisation_id, std::vector<std::size_t>> byOwner;
  for (std::size_t at = 0; at < aSteps.size(); ++at) {
    byOwner[aSteps[at].mJob->mOwner].push_back(at);
  }
  const auto shareOf = [&](const organisation_id& aOwner) {
    const share_account& account = aAccounts.at(aOwner);
    return aOwner.Value().empty()
             ? 0
             : cell::DominantShare(account.mTaken, aCapacity) / account.mWeight;
  };
  // The next step of each organisation. Equal shares: by the given order.
  struct cursor
  {
    double mShare = 0;
    std::size_t mStep = 0;
    std::size_t mNext = 0; // in its organisation's list

    bool operator>(const cursor& aOther) const
    {
      return std::pair(mShare, mStep) > std::pair(aOther.mShare, aOther.mStep);
    }
  };
  std::priority_queue<cursor, std::vector<cursor>, std::greater<>> next;
  for (const auto& [owner, steps] : byOwner) {
    next.push({ shareOf(owner), steps.front(), 0 });
  }
  std::vector<open_step> ordered;
  ordered.reserve(aSteps.size());
  while (!next.empty()) {
    cursor first = next.top();
    next.pop();
    open_step& step = aSteps[first.mStep];
    const organisation_id owner = step.mJob->mOwner;
    aAccounts.at(owner).mTaken += DemandOf(step);
    ordered.push_back(std::move(step));
    const std::vector<std::size_t>& steps = byOwner.at(owner);
    if (++first.mNext < steps.size()) {
      next.push({ shareOf(owner), steps[first.mNext], first.mNext });
    }
  }
  std::ranges::move(ordered, aSteps.begin());
}

} // namespace

void
OrderByShares(std::vector<open_step>& aSteps,
              const flow_state& aState,
              const cell::resources& aCapacity,
              share_rule aRule)
{
  if (aRule == share_rule::None || aState.Accounts().empty()) {
    return;
  }
  share_accounts accounts = AccountsOf(aSteps, aState);
  if (aRule == share_rule::WithinShare) {
    OrderWithinShares(aSteps, std::move(accounts), aCapacity);
    return;
  }
  for (auto from = aSteps.begin(); from != aSteps.end();) {
    const auto to = std::find_if(from, aSteps.end(), [&](const auto& aStep) {
      return aStep.mQueue->mPriority != from->mQueue->mPriority;
    });
    OrderByDominantShare({ from, to }, accounts, aCapacity);
    from = to;
  }
}

} // namespace oriolewalk::flow
