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

// Bounds of the delay after which a refused caller may retry. Below the minimum
// the retries would cost more than the answer; above the maximum a recovered
// system would be idle.
constexpr duration kMinRetryAfter = milliseconds(50);
constexpr duration kMaxRetryAfter = seconds(5);
// Used until targets have announced themselves.
constexpr duration kTargetRetryAfter = milliseconds(500);
// A queued request is refused early once its expected wait exceeds the
// remaining time by this factor. Estimates fluctuate, and a fluctuation should
// not refuse a request that was admitted.
constexpr double kReviewSlack = 2;

// Dynamic threshold: aOwn may be up to kThreshold times the unused part of
// aBound. A single hot sender fills seven eighths; small bounds are fully
// usable.
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
  // The request was admitted because a slot was free, but the slot suited
  // another request.
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
  // With a free slot and an empty queue a request is tried whatever the
  // estimate: otherwise one wrong measurement would block a flow permanently.
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
  // Entries held back the requests that arrived while there was no leader.
  // Refusing them because targets are not known yet would cause a wave of
  // refusals.
  const duration ordinary =
    mOptions.mQueue.mMaxWait.at(IndexOf(aArrival.mClass));
  const duration longest =
    aIsAwaitingTargets ? std::max(ordinary, mOptions.mWarmUp) : ordinary;
  // At least one tick of the clock, so that the request can take a free slot
  // once.
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

// Checks only the last requests of each queue: the first ones can still be
// served in time when later ones cannot.
void
service_pool::ReviewCaller(class_queue& aQueue,
                           flow& aFlow,
                           caller_queue& aCaller,
                           double aDrain,
                           time_point aNow)
{
  // Keeps the last remaining request: removing it would remove the caller, and
  // a request at the head of its queue can wait until its latest start time.
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

// Requests that a new policy excludes are refused immediately instead of at
// their latest start time.
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

// Adds up to a fifth, so that callers that were refused together do not retry
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
