#pragma once

// One service: its queues by class, its targets, and the rules between them.
//
// Admission decides which requests are refused immediately:
// - This handles more arrivals than the service can serve. Without admission
//   the queue grows until each request is served after its deadline, and
//   goodput falls to zero while all targets are busy.
// - Memory: a caller may queue at most a factor times the unused part of its
//   organisation's bound, and an organisation at most that of its class's bound
//   (dynamic threshold). A single hot sender is refused before the bound is
//   reached, which leaves capacity for the others. With a fixed bound alone the
//   hot sender fills the queue and everybody is refused.
// - A request that must wait is admitted only if the expected wait fits the
//   longest wait of its class, and wait plus measured service time fit its
//   deadline.
// - Each queued request has a latest start time. It is refused at that time and
//   never dispatched after it. Every few milliseconds the last requests of the
//   queues are checked against the current drain, so that requests that can no
//   longer start in time (because lent capacity was reclaimed or targets left)
//   are refused early.
//
// Owns its class_queue, class_order and target_pool. Owned by a dispatcher;
// used by one thread. Each call costs O(log waiting); the review costs
// O(waiting flows + refused requests).

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

  // aAwaitTargets: some targets are expected to announce themselves soon, so
  // the drain cannot be estimated yet.
  void OnArrival(const arrival& aArrival,
                 const share_rule& aRule,
                 bool aIsAwaitingTargets,
                 time_point aNow);
  bool Cancel(request_id aId, time_point aNow);
  void Restore(const running_attempt& aAttempt,
               const share_rule& aRule,
               time_point aNow);
  // Returns true if the result ejected the target.
  bool OnFinished(request_id aId, const finish& aFinish, time_point aNow);
  // aAwaitTargets: see OnArrival.
  void Tick(bool aIsAwaitingTargets, time_point aNow);
  [[nodiscard]] std::optional<time_point> NextWake() const;

  std::vector<decision> TakeDecisions()
  {
    return std::exchange(mDecisions, {});
  }
  [[nodiscard]] bool HasDecisions() const { return !mDecisions.empty(); }
  [[nodiscard]] const service_id& Service() const { return mService; }
  [[nodiscard]] bool HasTargets() const { return mTargets.HasTargets(); }
  // Whether no request waits or runs and no target is known.
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
    double mExpected = 0; // measured mean in seconds; 0 if unknown
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
  random_source* mRandom; // owned by the dispatcher
  std::array<class_queue, kClassCount> mQueues;
  class_order mOrder;
  target_pool mTargets;
  std::unordered_map<request_id, queue_position> mWaiting;
  // Sorted by latest start time.
  std::set<std::pair<time_point, request_id>> mByLatestStart;
  std::unordered_map<request_id, attempt> mAttempts;
  std::uint32_t mLongHeld = 0;
  time_point mNextReview{};
  time_point mNow{};
  std::vector<decision> mDecisions;
};

} // namespace oriolewalk::traffic
