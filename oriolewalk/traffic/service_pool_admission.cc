#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/class_queue.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_pool.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// Bounds of "come back after": under the first one, polling would cost more
// than the answer; over the second one, a recovered system would idle.
constexpr duration kMinRetryAfter = milliseconds(50);
constexpr duration kMaxRetryAfter = seconds(5);
// Until targets have announced themselves.
constexpr duration kTargetRetryAfter = milliseconds(500);
// Queued work is given up once its wait would exceed what is left by this
// factor: estimates swing, and a request that was let in should not be turned
// out by a swing.
constexpr double kReviewSlack = 2;

// Dynamic threshold: aOwn may be kThreshold times what aUsed leaves of aBound.
// One that is hot alone fills seven eighths; small bounds are usable whole.
bool
PastThreshold(std::size_t aOwn, std::size_t aUsed, std::size_t aBound)
{
  constexpr std::size_t kThreshold = 7;
  return aOwn >= kThreshold * (aBound - std::min(aBound, aUsed));
}

} // namespace

void
service_pool::OnArrival(const arrival& aArrival,
                        const share_rule& aRule,
                        bool aIsAwaitingTargets,
                        time_point aNow)
{
  Advance(aNow);
  if (aArrival.mClass == work_class::Urgent) {
    mOrder.OnUrgentArrival(aNow);
  }
  if (aNow >= aArrival.mDeadline) {
    Refuse(aArrival.mId, refusal::Expired, kMinRetryAfter);
    return;
  }
  if (!mTargets.HasTargets() && !aIsAwaitingTargets) {
    Refuse(aArrival.mId, refusal::NoTarget, kTargetRetryAfter);
    return;
  }
  class_queue& queue = Queue(aArrival.mClass);
  flow* owner = queue.FindOrAddFlow(
    aArrival.mOrganisation, aRule, mOptions.mQueue.mMaxFlows, aNow);
  if (owner == nullptr) {
    Refuse(aArrival.mId, refusal::Overloaded, kMaxRetryAfter);
    return;
  }
  const admission verdict = Admit(aArrival, *owner, aIsAwaitingTargets, aNow);
  if (verdict.mRefused) {
    Refuse(aArrival.mId, *verdict.mRefused, verdict.mRetryAfter);
    return;
  }
  owner->mBucket.Take(aNow);
  const waiting_request request =
    MakeWaitingRequest(aArrival, *owner, aIsAwaitingTargets, aNow);
  mByLatestStart.emplace(request.mLatestStart, aArrival.mId);
  mWaiting.emplace(aArrival.mId, queue.Push(*owner, request));
  Place(aNow);
  // Let in on the hope of a free slot, which suited something else.
  if (owner->mWaiting > WaitingBound(*owner) &&
      mWaiting.contains(aArrival.mId)) {
    Unqueue(aArrival.mId);
    Refuse(aArrival.mId, refusal::LimitReached, kMinRetryAfter);
  }
}

service_pool::admission
service_pool::Admit(const arrival& aArrival,
                    const flow& aFlow,
                    bool aIsAwaitingTargets,
                    time_point aNow)
{
  if (aFlow.mRule.mMaxSlots == 0U) {
    return { refusal::LimitReached, duration::max() };
  }
  const duration wait = aFlow.mBucket.Wait(aNow);
  if (wait > duration::zero()) {
    return { refusal::LimitReached, wait };
  }
  const auto full = AdmitByCount(aArrival, aFlow);
  if (full) {
    const double turn = Queue(aArrival.mClass).Estimate(aFlow);
    return { full, FromSeconds(turn) };
  }
  // With a slot free and nobody before it a request is tried, whatever the
  // estimate says: else one wrong measurement would shut a flow out for good.
  if (aIsAwaitingTargets ||
      (mTargets.HasFree() && Queue(aArrival.mClass).Waiting() == 0)) {
    return {};
  }
  return AdmitByTime(aArrival, aFlow, aNow);
}

std::optional<refusal>
service_pool::AdmitByCount(const arrival& aArrival, const flow& aFlow) const
{
  const class_queue& queue = mQueues.at(IndexOf(aArrival.mClass));
  const std::size_t ofClass = mOptions.mQueue.mMaxWaitingOfClass;
  if (PastThreshold(aFlow.mWaiting, queue.Waiting(), ofClass)) {
    return refusal::Overloaded;
  }
  const share_rule& rule = aFlow.mRule;
  const std::size_t bound = WaitingBound(aFlow);
  const bool mayStart = aFlow.mWaiting == 0 && mTargets.HasFree();
  if (aFlow.mWaiting >= bound && !mayStart) {
    return rule.mMaxWaiting ? refusal::LimitReached : refusal::Overloaded;
  }
  const std::size_t own = class_queue::WaitingOf(aFlow, aArrival.mCallerKey);
  if (own > 0 && PastThreshold(own, aFlow.mWaiting, bound)) {
    return refusal::Overloaded;
  }
  return std::nullopt;
}

std::size_t
service_pool::WaitingBound(const flow& aFlow) const
{
  return aFlow.mRule.mMaxWaiting.value_or(mOptions.mQueue.mMaxWaiting);
}

service_pool::admission
service_pool::AdmitByTime(const arrival& aArrival,
                          const flow& aFlow,
                          time_point aNow) const
{
  const class_queue& queue = mQueues.at(IndexOf(aArrival.mClass));
  const double drain =
    mOrder.GuaranteedSlots(aArrival.mClass, Loads(), mTargets.Slots());
  const double wait = queue.ExpectedWait(aFlow, aArrival.mCallerKey, drain);
  const double longest =
    ToSeconds(mOptions.mQueue.mMaxWait.at(IndexOf(aArrival.mClass)));
  const double left =
    ToSeconds(aArrival.mDeadline - aNow) - aFlow.mTime.Seconds();
  if (wait >= left) {
    return { refusal::CannotMeetDeadline, FromSeconds(wait - left) };
  }
  if (wait > longest) {
    return { refusal::Overloaded, FromSeconds(wait - longest) };
  }
  return {};
}

waiting_request
service_pool::MakeWaitingRequest(const arrival& aArrival,
                                 const flow& aFlow,
                                 bool aIsAwaitingTargets,
                                 time_point aNow) const
{
  // Entries held what came while there was no leader: refusing it for the wait
  // until the targets are known again would make a wave of refusals.
  const duration ordinary =
    mOptions.mQueue.mMaxWait.at(IndexOf(aArrival.mClass));
  const duration longest =
    aIsAwaitingTargets ? std::max(ordinary, mOptions.mWarmUp) : ordinary;
  // At least a moment, so that it is offered to a free slot once.
  const time_point byDeadline =
    std::max(aArrival.mDeadline - FromSeconds(aFlow.mTime.Seconds()),
             std::min(aNow + duration(1), aArrival.mDeadline));
  if (byDeadline <= aNow + longest) {
    return { aArrival, aNow, byDeadline, latest_start_bound::Deadline };
  }
  return { aArrival, aNow, aNow + longest, latest_start_bound::MaxWait };
}

void
service_pool::Expire(time_point aNow)
{
  while (!mByLatestStart.empty() && mByLatestStart.begin()->first <= aNow) {
    const request_id id = mByLatestStart.begin()->second;
    const waiting_request& request = *mWaiting.at(id).mRequest;
    refusal reason = refusal::Overloaded;
    if (aNow >= request.mArrival.mDeadline) {
      reason = refusal::Expired;
    } else if (request.mLatestStartBound == latest_start_bound::Deadline) {
      reason = refusal::CannotMeetDeadline;
    }
    const duration retryAfter =
      mOptions.mQueue.mMaxWait.at(IndexOf(request.mArrival.mClass));
    Unqueue(id);
    Refuse(id, reason, retryAfter);
  }
}

void
service_pool::Review(time_point aNow)
{
  for (const work_class each : kClasses) {
    class_queue& queue = Queue(each);
    const double drain =
      mOrder.GuaranteedSlots(each, Loads(), mTargets.Slots());
    std::vector<std::pair<flow*, caller_queue*>> callers;
    for (flow* owner : queue.WaitingFlows()) {
      for (const auto& [turn, caller] : owner->mOrder.Nodes()) {
        callers.emplace_back(owner, caller);
      }
    }
    for (const auto& [owner, caller] : callers) {
      ReviewCaller(queue, *owner, *caller, drain, aNow);
    }
  }
}

// Only the ends of queues are looked at, since the first request of a queue
// that can be served in time is followed by others that may not.
void
service_pool::ReviewCaller(class_queue& aQueue,
                           flow& aFlow,
                           caller_queue& aCaller,
                           double aDrain,
                           time_point aNow)
{
  // The last one is kept: removing it would remove the caller, and what has
  // nobody before it is better left to its latest start.
  while (aCaller.mWaiting.size() > 1) {
    const waiting_request& last = aCaller.mWaiting.back();
    const double wait = aQueue.ExpectedWaitOfLast(aFlow, aCaller, aDrain);
    const double left = ToSeconds(last.mLatestStart - aNow);
    if (wait <= left * kReviewSlack) {
      return;
    }
    const refusal reason =
      last.mLatestStartBound == latest_start_bound::Deadline
        ? refusal::CannotMeetDeadline
        : refusal::Overloaded;
    const request_id id = last.mArrival.mId;
    Unqueue(id);
    Refuse(id, reason, FromSeconds(wait - left));
  }
}

void
service_pool::RefuseAll(refusal aReason, time_point aNow)
{
  Expire(aNow);
  while (!mByLatestStart.empty()) {
    const request_id id = mByLatestStart.begin()->second;
    Unqueue(id);
    Refuse(id, aReason, kTargetRetryAfter);
  }
}

// What a new policy bars for good is not left to wait for its latest start.
void
service_pool::RefuseExcluded()
{
  std::vector<request_id> excluded;
  for (const auto& [latest, id] : mByLatestStart) {
    if (mWaiting.at(id).mFlow->mRule.mMaxSlots == 0U) {
      excluded.push_back(id);
    }
  }
  for (const request_id id : excluded) {
    Unqueue(id);
    Refuse(id, refusal::LimitReached, duration::max());
  }
}

void
service_pool::Refuse(request_id aId, refusal aReason, duration aRetryAfter)
{
  mDecisions.emplace_back(refuse{ aId, aReason, WithJitter(aRetryAfter) });
}

// Spread over a fifth: callers that were refused together must not come back
// together.
duration
service_pool::WithJitter(duration aRetryAfter) const
{
  constexpr double kSpread = 0.2;
  const duration bounded =
    std::clamp(aRetryAfter, kMinRetryAfter, kMaxRetryAfter);
  return FromSeconds(ToSeconds(bounded) *
                     (1 + (kSpread * mRandom->Fraction())));
}

} // namespace oriolewalk::traffic
