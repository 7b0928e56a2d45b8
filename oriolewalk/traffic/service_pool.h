#pragma once

// One service: its queues by class and its targets, joined by the rules.
//
// Admission (what a full system refuses at once):
// - Load pattern: more arrives than can be done. Without admission the queue
//   grows until each request is served after its deadline: goodput falls to
//   nothing while all targets are busy.
// - Memory: a caller may queue no more than is left of its organisation's
//   bound (times a factor), an organisation no more than is left of its
//   class's (dynamic threshold). A hot one alone is refused before the bound is
//   full; the others find room. A plain bound is filled by the hot one, and
//   refuses everybody.
// - A request that must wait is admitted only if the expected wait fits its
//   class's longest wait, and wait plus measured service time its deadline.
// - What is queued has a latest start; at that moment it is refused, and it is
//   never dispatched after it. Every few milliseconds the ends of the queues
//   are checked against the present drain, so that work that has lost its
//   chance (lent share taken back, targets gone) is told so at once.
//
// Root of class_queue, class_order and target_pool. Owned by a dispatcher; one
// thread. Cost: O(log waiting) each call; the review is O(flows that wait +
// requests given up).

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/class_order.h"
#include "oriolewalk/traffic/class_queue.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/target_pool.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

class service_pool
{
public:
  service_pool(service_id aService,
               const dispatch_options& aOptions,
               random_source& aRandom);

  void SetPolicy(const share_policy& aPolicy, time_point aNow);
  void OnTargetUp(const target_state& aTarget, time_point aNow);
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  void OnTargetGone(const target_id& aTarget, time_point aNow);

  // aAwaitTargets: some targets have not announced themselves yet, but will
  // soon; what they will drain cannot be estimated.
  void OnArrival(const arrival& aArrival,
                 const share_rule& aRule,
                 bool aIsAwaitingTargets,
                 time_point aNow);
  bool Cancel(request_id aId, time_point aNow);
  void Restore(const running_attempt& aAttempt,
               const share_rule& aRule,
               time_point aNow);
  // True if its target was ejected by it.
  bool OnFinished(request_id aId, const finish& aFinish, time_point aNow);
  // aAwaitTargets: as for Arrive.
  void Tick(bool aIsAwaitingTargets, time_point aNow);
  [[nodiscard]] std::optional<time_point> NextWake() const;

  std::vector<decision> TakeDecisions()
  {
    return std::exchange(mDecisions, {});
  }
  [[nodiscard]] bool HasDecisions() const { return !mDecisions.empty(); }
  [[nodiscard]] const service_id& Service() const { return mService; }
  [[nodiscard]] bool HasTargets() const { return mTargets.HasTargets(); }
  // Nothing waits, runs or is known of targets.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] bool IsRunning(request_id aId) const
  {
    return mAttempts.contains(aId);
  }
  [[nodiscard]] service_stats Stats() const;

private:
  struct attempt
  {
    target_id mTarget;
    flow* mFlow = nullptr;
    work_class mClass = work_class::Normal;
    std::string mCallerKey;
    double mCharged = 0;
    double mExpected = 0; // seconds by measured mean; 0: not known
    bool mIsLong = false;
    time_point mStarted{};
  };

  struct admission
  {
    std::optional<refusal> mRefused;
    duration mRetryAfter{};
  };

  // Admission (service_pool_admission.cc).
  [[nodiscard]] admission Admit(const arrival& aArrival,
                                const flow& aFlow,
                                bool aIsAwaitingTargets,
                                time_point aNow);
  [[nodiscard]] std::optional<refusal> AdmitByCount(const arrival& aArrival,
                                                    const flow& aFlow) const;
  [[nodiscard]] std::size_t WaitingBound(const flow& aFlow) const;
  [[nodiscard]] admission AdmitByTime(const arrival& aArrival,
                                      const flow& aFlow,
                                      time_point aNow) const;
  [[nodiscard]] waiting_request MakeWaitingRequest(const arrival& aArrival,
                                                   const flow& aFlow,
                                                   bool aIsAwaitingTargets,
                                                   time_point aNow) const;
  void Expire(time_point aNow);
  void Review(time_point aNow);
  void ReviewCaller(class_queue& aQueue,
                    flow& aFlow,
                    caller_queue& aCaller,
                    double aDrain,
                    time_point aNow);
  void RefuseExcluded();
  void RefuseAll(refusal aReason, time_point aNow);
  void Refuse(request_id aId, refusal aReason, duration aRetryAfter);
  [[nodiscard]] duration WithJitter(duration aRetryAfter) const;

  // Placement (service_pool.cc).
  void Place(time_point aNow);
  bool PlaceOne(work_class aClass, time_point aNow);
  void Start(const queue_position& aPosition,
             const target_id& aTarget,
             time_point aNow);
  [[nodiscard]] bool IsLong(work_class aClass, const flow& aFlow) const;
  void Advance(time_point aNow);
  void Unqueue(request_id aId);
  [[nodiscard]] class_loads Loads() const;
  class_queue& Queue(work_class aClass) { return mQueues.at(IndexOf(aClass)); }

  service_id mService;
  dispatch_options mOptions;
  random_source* mRandom; // the dispatcher's
  std::array<class_queue, kClassCount> mQueues;
  class_order mOrder;
  target_pool mTargets;
  std::unordered_map<request_id, queue_position> mWaiting;
  // By latest start.
  std::set<std::pair<time_point, request_id>> mByLatestStart;
  std::unordered_map<request_id, attempt> mAttempts;
  std::uint32_t mLongHeld = 0;
  time_point mNextReview{};
  time_point mNow{};
  std::vector<decision> mDecisions;
};

} // namespace oriolewalk::traffic
