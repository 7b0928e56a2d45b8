#include "oriolewalk/traffic/dispatcher.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_pool.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// Callers name services, so the number of pools that requests for services
// without targets can create during the warm-up is bounded.
constexpr std::size_t kMaxUnknownServices = 64;
constexpr duration kUnknownRetryAfter = seconds(1);

} // namespace

dispatcher::dispatcher(dispatch_options aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(std::make_unique<random_source>(aSeed))
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher&
dispatcher::operator=(dispatcher&&) noexcept = default;

void
dispatcher::SetPolicy(const share_policy& aPolicy, time_point aNow)
{
  mPolicy = aPolicy;
  for (const auto& [service, pool] : mPools) {
    pool->SetPolicy(mPolicy, aNow);
    CollectDecisions(*pool);
  }
}

void
dispatcher::OnTargetUp(const target_state& aTarget, time_point aNow)
{
  const auto known = mTargets.find(aTarget.mId);
  if (known != mTargets.end() && known->second->Service() != aTarget.mService) {
    OnTargetGone(aTarget.mId, aNow);
  }
  service_pool& pool = MakePool(aTarget.mService);
  mTargets[aTarget.mId] = &pool;
  pool.OnTargetUp(aTarget, aNow);
  CollectDecisions(pool);
}

void
dispatcher::OnTargetLeaving(const target_id& aTarget, time_point aNow)
{
  const auto known = mTargets.find(aTarget);
  if (known != mTargets.end()) {
    known->second->OnTargetLeaving(aTarget, aNow);
    CollectDecisions(*known->second);
  }
}

void
dispatcher::OnTargetGone(const target_id& aTarget, time_point aNow)
{
  const auto known = mTargets.find(aTarget);
  if (known == mTargets.end()) {
    return;
  }
  service_pool& pool = *known->second;
  mTargets.erase(known);
  pool.OnTargetGone(aTarget, aNow);
  CollectDecisions(pool);
}

bool
dispatcher::OnArrival(const arrival& aArrival, time_point aNow)
{
  if (mRequests.contains(aArrival.mId)) {
    return false;
  }
  ++mCounters.mArrived;
  service_pool* pool = FindOrMakePool(aArrival, aNow);
  if (pool == nullptr) {
    RefuseUnknownService(aArrival, refusal::NoTarget);
    return true;
  }
  mRequests.emplace(aArrival.mId, pool);
  pool->OnArrival(aArrival,
                  mPolicy.Of(aArrival.mOrganisation, aArrival.mClass),
                  IsWarmingUp(aNow),
                  aNow);
  CollectDecisions(*pool);
  return true;
}

bool
dispatcher::Cancel(request_id aId, time_point aNow)
{
  const auto known = mRequests.find(aId);
  if (known == mRequests.end() || !known->second->Cancel(aId, aNow)) {
    return false;
  }
  mRequests.erase(known);
  ++mCounters.mCancelled;
  return true;
}

void
dispatcher::Restore(const running_attempt& aAttempt, time_point aNow)
{
  if (mRequests.contains(aAttempt.mId)) {
    return;
  }
  IsWarmingUp(aNow);
  service_pool& pool = MakePool(aAttempt.mService);
  mRequests.emplace(aAttempt.mId, &pool);
  pool.Restore(
    aAttempt, mPolicy.Of(aAttempt.mOrganisation, aAttempt.mClass), aNow);
}

void
dispatcher::OnFinished(request_id aId, const finish& aFinish, time_point aNow)
{
  const auto known = mRequests.find(aId);
  if (known == mRequests.end() || !known->second->IsRunning(aId)) {
    return;
  }
  service_pool& pool = *known->second;
  mRequests.erase(known);
  ++mCounters.mFinished;
  mCounters.mEjections += pool.OnFinished(aId, aFinish, aNow) ? 1 : 0;
  CollectDecisions(pool);
}

void
dispatcher::Tick(time_point aNow)
{
  const bool isAwaitingTargets = IsWarmingUp(aNow);
  for (const auto& [service, pool] : mPools) {
    pool->Tick(isAwaitingTargets, aNow);
    CollectDecisions(*pool);
  }
  DropIdlePools();
}

std::optional<time_point>
dispatcher::NextWake() const
{
  std::optional<time_point> next;
  for (const auto& [service, pool] : mPools) {
    const auto due = pool->NextWake();
    if (due) {
      next = next ? std::min(*next, *due) : *due;
    }
  }
  return next;
}

std::vector<decision>
dispatcher::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

dispatcher_stats
dispatcher::Stats() const
{
  dispatcher_stats stats;
  stats.mCounters = mCounters;
  std::ranges::transform(
    mPools, std::back_inserter(stats.mServices), [](const auto& aEntry) {
      return aEntry.second->Stats();
    });
  return stats;
}

service_pool*
dispatcher::FindOrMakePool(const arrival& aArrival, time_point aNow)
{
  const auto known = mPools.find(aArrival.mService);
  if (known != mPools.end()) {
    return known->second.get();
  }
  if (!IsWarmingUp(aNow) || mPools.size() >= kMaxUnknownServices) {
    return nullptr;
  }
  return &MakePool(aArrival.mService);
}

service_pool&
dispatcher::MakePool(const service_id& aService)
{
  std::unique_ptr<service_pool>& place = mPools[aService];
  if (!place) {
    place = std::make_unique<service_pool>(aService, mOptions, *mRandom);
  }
  return *place;
}

bool
dispatcher::IsWarmingUp(time_point aNow)
{
  if (!mWarmUpStart) {
    mWarmUpStart = aNow;
  }
  return aNow - *mWarmUpStart < mOptions.mWarmUp;
}

void
dispatcher::CollectDecisions(service_pool& aPool)
{
  if (!aPool.HasDecisions()) {
    return;
  }
  for (decision& made : aPool.TakeDecisions()) {
    std::visit(overloaded{ [this](const dispatch&) { ++mCounters.mDispatched; },
                           [this](const refuse& aRefuse) {
                             ++mCounters.mRefused.at(
                               static_cast<std::size_t>(aRefuse.mReason));
                             mRequests.erase(aRefuse.mId);
                           } },
               made);
    mDecisions.push_back(std::move(made));
  }
}

void
dispatcher::RefuseUnknownService(const arrival& aArrival, refusal aReason)
{
  ++mCounters.mRefused.at(static_cast<std::size_t>(aReason));
  mDecisions.emplace_back(refuse{ aArrival.mId, aReason, kUnknownRetryAfter });
}

void
dispatcher::DropIdlePools()
{
  std::erase_if(mPools,
                [](const auto& aEntry) { return aEntry.second->IsIdle(); });
}

} // namespace oriolewalk::traffic
