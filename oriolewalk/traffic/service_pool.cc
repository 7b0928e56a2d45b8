#include "oriolewalk/traffic/service_pool.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/class_order.h"
#include "oriolewalk/traffic/class_queue.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/target_pool.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

service_pool::service_pool(service_id aService,
                           const dispatch_options& aOptions,
                           random_source& aRandom)
  : mService(std::move(aService))
  , mOptions(aOptions)
  , mRandom(&aRandom)
  , mOrder(aOptions.mClass)
  , mTargets(aOptions.mTarget)
{
}

void
service_pool::SetPolicy(const share_policy& aPolicy, time_point aNow)
{
  for (const work_class each : kClasses) {
    Queue(each).SetPolicy(aPolicy, each, aNow);
  }
  RefuseExcluded();
  Place(aNow);
}

void
service_pool::OnTargetUp(const target_state& aTarget, time_point aNow)
{
  Advance(aNow);
  mTargets.OnTargetUp(aTarget);
  Place(aNow);
}

void
service_pool::OnTargetLeaving(const target_id& aTarget, time_point aNow)
{
  Advance(aNow);
  mTargets.OnTargetLeaving(aTarget);
  if (!mTargets.HasTargets()) {
    RefuseAll(refusal::NoTarget, aNow);
  }
}

void
service_pool::OnTargetGone(const target_id& aTarget, time_point aNow)
{
  Advance(aNow);
  mTargets.OnTargetGone(aTarget);
  if (!mTargets.HasTargets()) {
    RefuseAll(refusal::NoTarget, aNow);
  }
}

bool
service_pool::Cancel(request_id aId, time_point aNow)
{
  mNow = std::max(mNow, aNow);
  const bool waits = mWaiting.contains(aId);
  if (waits) {
    Unqueue(aId);
  }
  return waits;
}

void
service_pool::Restore(const running_attempt& aAttempt,
                      const share_rule& aRule,
                      time_point aNow)
{
  Advance(aNow);
  // The bound on known flows does not apply: the attempt is already running.
  class_queue& queue = Queue(aAttempt.mClass);
  flow* owner = queue.FindOrAddFlow(
    aAttempt.mOrganisation, aRule, queue.Flows().size() + 1, aNow);
  queue.StartRestored(*owner);
  const bool isLong = IsLong(aAttempt.mClass, *owner);
  mLongHeld += isLong ? 1 : 0;
  mTargets.AcquireSlot(aAttempt.mTarget);
  mAttempts.emplace(
    aAttempt.mId,
    attempt{
      aAttempt.mTarget, owner, aAttempt.mClass, {}, 0, 0, isLong, aNow });
}

bool
service_pool::OnFinished(request_id aId, const finish& aFinish, time_point aNow)
{
  const auto found = mAttempts.find(aId);
  if (found == mAttempts.end()) {
    return false;
  }
  Advance(aNow);
  const attempt ended = std::move(found->second);
  mAttempts.erase(found);
  mLongHeld -= ended.mIsLong ? 1 : 0;
  // A fast failure does not show how long the work takes. A timeout shows a
  // lower bound.
  const bool measured = aFinish.mResult == finish_result::Answered ||
                        aFinish.mResult == finish_result::TimedOut;
  Queue(ended.mClass)
    .Finish(*ended.mFlow,
            ended.mCallerKey,
            ended.mCharged,
            measured ? aFinish.mLatency : aNow - ended.mStarted,
            measured);
  const bool ejected =
    mTargets.ReleaseSlot(ended.mTarget, aFinish, ended.mExpected, aNow);
  Place(aNow);
  return ejected;
}

void
service_pool::Tick(bool aIsAwaitingTargets, time_point aNow)
{
  mTargets.Advance(aNow);
  Expire(aNow);
  if (aNow >= mNextReview) {
    mNextReview = aNow + mOptions.mQueue.mReviewEvery;
    if (!mTargets.HasTargets() && !aIsAwaitingTargets) {
      RefuseAll(refusal::NoTarget, aNow);
    } else if (!aIsAwaitingTargets) {
      Review(aNow);
    }
    std::ranges::for_each(mQueues,
                          [&](class_queue& aQueue) { aQueue.DropIdle(aNow); });
  }
  Place(aNow);
}

std::optional<time_point>
service_pool::NextWake() const
{
  std::optional<time_point> next = mTargets.NextWake(mNow);
  if (!mByLatestStart.empty()) {
    const time_point due = std::min(mByLatestStart.begin()->first, mNextReview);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

bool
service_pool::IsIdle() const
{
  return mWaiting.empty() && mAttempts.empty() && mTargets.Empty();
}

service_stats
service_pool::Stats() const
{
  service_stats stats;
  stats.mService = mService;
  mTargets.AddStats(stats);
  for (const work_class each : kClasses) {
    const class_queue& queue = mQueues.at(IndexOf(each));
    stats.mWaiting.at(IndexOf(each)) = queue.Waiting();
    stats.mHeld.at(IndexOf(each)) = queue.Held();
    for (const auto& [organisation, owned] : queue.Flows()) {
      stats.mFlows.push_back({ organisation,
                               each,
                               owned->mRule.mWeight,
                               owned->mWaiting,
                               owned->mHeld,
                               owned->mTime.Seconds(),
                               owned->mChargedSeconds });
    }
  }
  std::ranges::sort(stats.mFlows, [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.mClass, aLeft.mOrganisation) <
           std::pair(aRight.mClass, aRight.mOrganisation);
  });
  return stats;
}

// Fills the free slots. A class that may not start, or that finds no suitable
// target, leaves the slot to the next class.
void
service_pool::Place(time_point aNow)
{
  Advance(aNow);
  bool placed = true;
  while (placed && mTargets.HasFree() && !mWaiting.empty()) {
    const auto order = mOrder.Order(Loads(), mTargets.Slots());
    placed = std::ranges::any_of(order, [&](work_class aClass) {
      return Queue(aClass).Waiting() > 0 && PlaceOne(aClass, aNow);
    });
  }
}

// Returns true if a request left the queue.
bool
service_pool::PlaceOne(work_class aClass, time_point aNow)
{
  const std::uint32_t slots = mTargets.Slots();
  if (!mOrder.MayStart(aClass, Loads(), slots, aNow)) {
    return false;
  }
  const bool mayStartLong =
    mOrder.MayStartLong(aClass, mLongHeld, Loads(), slots);
  const queue_position next = Queue(aClass).Next([&](const flow& aFlow) {
    return (mayStartLong || !IsLong(aClass, aFlow)) &&
           (aFlow.mTime.IsKnown() ||
            mOrder.MayStartUnmeasured(aFlow.mHeld, slots));
  });
  if (next.mFlow == nullptr) {
    return false;
  }
  const waiting_request& request = *next.mRequest;
  if (aNow >= request.mLatestStart) {
    Expire(aNow);
    return true;
  }
  const target_criteria criteria{ aClass,
                                  request.mArrival.mRepeatable,
                                  request.mArrival.mOrigin,
                                  Queue(aClass).Estimate(*next.mFlow) };
  const auto chosen = mTargets.Choose(criteria, *mRandom, aNow);
  if (chosen) {
    Start(next, *chosen, aNow);
  }
  return chosen.has_value();
}

void
service_pool::Start(const queue_position& aPosition,
                    const target_id& aTarget,
                    time_point aNow)
{
  const waiting_request request = *aPosition.mRequest;
  const work_class kind = request.mArrival.mClass;
  const request_id id = request.mArrival.mId;
  flow* owner = aPosition.mFlow;
  const bool isLong = IsLong(kind, *owner);
  mWaiting.erase(id);
  mByLatestStart.erase({ request.mLatestStart, id });
  const double charged = Queue(kind).Start(aPosition);
  mLongHeld += isLong ? 1 : 0;
  mTargets.AcquireSlot(aTarget);
  mAttempts.emplace(id,
                    attempt{ aTarget,
                             owner,
                             kind,
                             request.mArrival.mCallerKey,
                             charged,
                             owner->mTime.Seconds(),
                             isLong,
                             aNow });
  mDecisions.emplace_back(dispatch{ id, aTarget });
}

bool
service_pool::IsLong(work_class aClass, const flow& aFlow) const
{
  return aClass == work_class::Heavy ||
         aFlow.mTime.Seconds() >= ToSeconds(mOptions.mClass.mLongThreshold);
}

void
service_pool::Advance(time_point aNow)
{
  mNow = std::max(mNow, aNow);
  mOrder.Advance(Loads(), mTargets.Slots(), mNow);
}

void
service_pool::Unqueue(request_id aId)
{
  const auto found = mWaiting.find(aId);
  const queue_position position = found->second;
  const waiting_request& request = *position.mRequest;
  mByLatestStart.erase({ request.mLatestStart, aId });
  const work_class kind = request.mArrival.mClass;
  mWaiting.erase(found);
  Queue(kind).Remove(position);
}

class_loads
service_pool::Loads() const
{
  class_loads loads;
  std::ranges::transform(mQueues, loads.begin(), [](const class_queue& aQueue) {
    return class_load{ aQueue.Waiting() > 0,
                       aQueue.Held(),
                       aQueue.Time().Seconds() };
  });
  return loads;
}

} // namespace oriolewalk::traffic
