#include "bench/traffic_baselines.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/dispatcher.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

using traffic::arrival;
using traffic::decision;
using traffic::dispatch;
using traffic::dispatcher;
using traffic::finish;
using traffic::request_id;
using traffic::target_state;

namespace {

constexpr duration kLendEvery = milliseconds(100);

traffic::dispatch_options
Unlimited()
{
  traffic::dispatch_options options;
  options.mQueue.mMaxWait.fill(seconds(86400));
  options.mQueue.mMaxWaiting = 1U << 30U;
  options.mQueue.mMaxWaitingOfClass = 1U << 30U;
  return options;
}

} // namespace

std::string_view
ToString(policy_kind aKind)
{
  static constexpr std::array<std::string_view, 6> kNames = {
    "own", "fifo", "random", "least_outstanding", "no_limit", "lent_credits",
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

void
plain_targets::Add(const target_state& aTarget)
{
  mTargets.emplace_back(aTarget, 0);
}

void
plain_targets::Remove(const target_id& aTarget)
{
  std::erase_if(
    mTargets, [&](const auto& aEntry) { return aEntry.first.mId == aTarget; });
}

void
plain_targets::AcquireSlot(const target_id& aTarget)
{
  for (auto& [state, held] : mTargets) {
    held += state.mId == aTarget ? 1 : 0;
  }
}

void
plain_targets::ReleaseSlot(const target_id& aTarget)
{
  for (auto& [state, held] : mTargets) {
    held -= state.mId == aTarget ? 1 : 0;
  }
}

std::optional<std::size_t>
plain_targets::LeastBusy() const
{
  const auto least = std::ranges::min_element(
    mTargets, {}, [](const auto& aEntry) { return aEntry.second; });
  if (least == mTargets.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::distance(mTargets.begin(), least));
}

void
fifo_policy::OnTargetUp(const target_state& aTarget, time_point /*aNow*/)
{
  mTargets.Add(aTarget);
  Place();
}

void
fifo_policy::OnTargetLeaving(const target_id& aTarget, time_point /*aNow*/)
{
  mTargets.Remove(aTarget);
}

void
fifo_policy::OnArrival(const arrival& aArrival, time_point /*aNow*/)
{
  mQueue.push_back(aArrival.mId);
  Place();
}

void
fifo_policy::OnFinished(request_id /*aId*/,
                        const target_id& aTarget,
                        const finish& /*aFinish*/,
                        time_point /*aNow*/)
{
  mTargets.ReleaseSlot(aTarget);
  Place();
}

std::vector<decision>
fifo_policy::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
fifo_policy::Place()
{
  while (!mQueue.empty()) {
    const auto least = mTargets.LeastBusy();
    if (!least || !mTargets.HasSlot(*least)) {
      return;
    }
    const target_id target = mTargets.At(*least);
    mTargets.AcquireSlot(target);
    mDecisions.emplace_back(dispatch{ mQueue.front(), target });
    mQueue.pop_front();
  }
}

void
direct_policy::OnTargetUp(const target_state& aTarget, time_point /*aNow*/)
{
  mTargets.Add(aTarget);
}

void
direct_policy::OnTargetLeaving(const target_id& aTarget, time_point /*aNow*/)
{
  mTargets.Remove(aTarget);
}

void
direct_policy::OnArrival(const arrival& aArrival, time_point /*aNow*/)
{
  const std::size_t drawn = mRandom.Below(mTargets.Size());
  const target_id target = mTargets.At(
    mIsLeastOutstanding ? mTargets.LeastBusy().value_or(drawn) : drawn);
  mTargets.AcquireSlot(target);
  mDecisions.emplace_back(dispatch{ aArrival.mId, target });
}

void
direct_policy::OnFinished(request_id /*aId*/,
                          const target_id& aTarget,
                          const finish& /*aFinish*/,
                          time_point /*aNow*/)
{
  mTargets.ReleaseSlot(aTarget);
}

std::vector<decision>
direct_policy::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

credit_policy::credit_policy(double aSkew, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mSkew(aSkew)
{
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    mEntries.emplace_back(traffic::dispatch_options{}, aSeed + entry);
  }
}

void
credit_policy::SetPolicy(const traffic::share_policy& aPolicy, time_point aNow)
{
  for (dispatcher& entry : mEntries) {
    entry.SetPolicy(aPolicy, aNow);
  }
}

void
credit_policy::OnTargetUp(const target_state& aTarget, time_point aNow)
{
  mTargets.push_back(aTarget);
  Lend(aNow);
}

void
credit_policy::OnTargetLeaving(const target_id& aTarget, time_point aNow)
{
  std::erase_if(mTargets,
                [&](const auto& aEach) { return aEach.mId == aTarget; });
  for (dispatcher& entry : mEntries) {
    entry.OnTargetLeaving(aTarget, aNow);
  }
}

void
credit_policy::OnArrival(const arrival& aArrival, time_point aNow)
{
  const bool skewed = mRandom.Fraction() < mSkew;
  const std::size_t owner = skewed ? 0 : mRandom.Below(kEntries);
  mOwner[aArrival.mId] = owner;
  mEntries.at(owner).OnArrival(aArrival, aNow);
}

void
credit_policy::OnFinished(request_id aId,
                          const target_id& /*aTarget*/,
                          const finish& aFinish,
                          time_point aNow)
{
  mEntries.at(mOwner.at(aId)).OnFinished(aId, aFinish, aNow);
  mOwner.erase(aId);
}

void
credit_policy::Tick(time_point aNow)
{
  if (aNow >= mNextLend) {
    Lend(aNow);
  }
  for (dispatcher& entry : mEntries) {
    entry.Tick(aNow);
  }
}

std::optional<time_point>
credit_policy::NextWake() const
{
  time_point next = mNextLend;
  for (const dispatcher& entry : mEntries) {
    next = std::min(next, entry.NextWake().value_or(next));
  }
  return next;
}

std::vector<decision>
credit_policy::TakeDecisions()
{
  std::vector<decision> all;
  for (dispatcher& entry : mEntries) {
    std::ranges::move(entry.TakeDecisions(), std::back_inserter(all));
  }
  return all;
}

void
credit_policy::Lend(time_point aNow)
{
  mNextLend = aNow + kLendEvery;
  std::array<double, kEntries> demand{};
  std::unordered_map<target_id, std::array<std::uint32_t, kEntries>> held;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    demand.at(entry) = 1;
    for (const auto& service : mEntries.at(entry).Stats().mServices) {
      demand.at(entry) +=
        std::accumulate(service.mWaiting.begin(), service.mWaiting.end(), 0.0);
      for (const auto& target : service.mTargets) {
        held[target.mId].at(entry) = target.mHeld;
        demand.at(entry) += target.mHeld;
      }
    }
  }
  const double all = std::accumulate(demand.begin(), demand.end(), 0.0);
  for (const target_state& target : mTargets) {
    auto lent = held[target.mId];
    std::uint32_t used = std::accumulate(lent.begin(), lent.end(), 0U);
    for (; used < target.mSlots; ++used) {
      double draw = mRandom.Fraction() * all;
      std::size_t entry = 0;
      while (entry + 1 < kEntries && draw >= demand.at(entry)) {
        draw -= demand.at(entry++);
      }
      ++lent.at(entry);
    }
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      target_state part = target;
      part.mSlots = lent.at(entry);
      mEntries.at(entry).OnTargetUp(part, aNow);
    }
  }
}

any_policy
MakePolicy(policy_kind aKind,
           const traffic::dispatch_options& aOptions,
           double aSkew,
           std::uint64_t aSeed)
{
  switch (aKind) {
    case policy_kind::Own:
      return dispatcher(aOptions, aSeed);
    case policy_kind::Fifo:
      return fifo_policy();
    case policy_kind::Random:
      return direct_policy(false, aSeed);
    case policy_kind::LeastOutstanding:
      return direct_policy(true, aSeed);
    case policy_kind::NoLimit:
      return dispatcher(Unlimited(), aSeed);
    case policy_kind::LentCredits:
      return credit_policy(aSkew, aSeed);
  }
  return fifo_policy();
}

} // namespace oriolewalk::bench
