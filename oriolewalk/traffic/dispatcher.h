#pragma once

// Decides which request runs on which target, and when.
//
//   dispatcher traffic({}, seed);
//   traffic.SetPolicy(policy, now);
//   traffic.TargetUp(target, now);
//   traffic.Arrive(request, now);
//   for (const decision& decided : traffic.TakeDecisions()) { … }
//   traffic.Finished(id, { finish_result::Answered, latency }, now);
//
// Each arrival gets exactly one decision, unless it is cancelled first. A
// dispatched request holds its slot until Finished. The leading control
// process owns one, since one place that knows all slots is what keeps seven
// entries together within them; a new leader makes a new one, calls Restore
// for each attempt in the ledger, and then lets requests in.
//
// One thread. Cost of a call: O(log waiting) and the choice of a target; see
// docs/POLICY.md for measured figures.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

class service_pool;

class dispatcher
{
public:
  dispatcher(dispatch_options aOptions, std::uint64_t aSeed);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;
  dispatcher(dispatcher&&) noexcept;
  dispatcher& operator=(dispatcher&&) noexcept;

  void SetPolicy(const share_policy& aPolicy, time_point aNow);

  // Announced or renewed; the same again changes nothing. Ends "leaving" only
  // after TargetGone: a renewal that was under way when the target said that
  // it leaves must not bring it back.
  void OnTargetUp(const target_state& aTarget, time_point aNow);
  // Nothing new goes there; what is in progress goes on.
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  // Its lease lapsed, or it left. Attempts in progress hold their slots until
  // Finished, also if the target announces itself again.
  void OnTargetGone(const target_id& aTarget, time_point aNow);

  // False, and nothing happens, if the id is waiting or running already.
  bool OnArrival(const arrival& aArrival, time_point aNow);
  // The caller hung up. True if the request was waiting: it left its queue and
  // gets no decision. False if it is not waiting: an attempt in progress
  // cannot be taken back, and goes on.
  bool Cancel(request_id aId, time_point aNow);
  // An attempt that runs already holds its slot from now on.
  void Restore(const running_attempt& aAttempt, time_point aNow);
  // Frees the slot. Ids that hold none are ignored.
  void OnFinished(request_id aId, const finish& aFinish, time_point aNow);

  void Tick(time_point aNow);
  // When Tick has something to do; nothing if only an event can change things.
  [[nodiscard]] std::optional<time_point> NextWake() const;
  // In the order in which they were made.
  std::vector<decision> TakeDecisions();

  // Linear in targets and organisations: for status pages, not for each call.
  [[nodiscard]] dispatcher_stats Stats() const;
  // O(1).
  [[nodiscard]] const dispatch_counters& Counters() const { return mCounters; }

private:
  service_pool* FindOrMakePool(const arrival& aArrival, time_point aNow);
  service_pool& MakePool(const service_id& aService);
  bool IsWarmingUp(time_point aNow);
  void CollectDecisions(service_pool& aPool);
  void RefuseUnknownService(const arrival& aArrival, refusal aReason);
  void DropIdlePools();

  dispatch_options mOptions;
  std::unique_ptr<random_source> mRandom; // stays where it is when moved
  share_policy mPolicy;
  std::optional<time_point> mWarmUpStart; // of the warm-up: the first event
  std::map<service_id, std::unique_ptr<service_pool>> mPools;
  std::unordered_map<target_id, service_pool*> mTargets;
  std::unordered_map<request_id, service_pool*> mRequests;
  std::vector<decision> mDecisions;
  dispatch_counters mCounters;
};

} // namespace oriolewalk::traffic
