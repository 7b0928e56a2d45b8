#pragma once

// Decides which request runs on which target, and when.
//
//   dispatcher traffic({}, seed);
//   traffic.SetPolicy(policy, now);
//   traffic.OnTargetUp(target, now);
//   traffic.OnArrival(request, now);
//   for (const decision& decided : traffic.TakeDecisions()) { … }
//   traffic.OnFinished(id, { finish_result::Answered, latency }, now);
//
// Each arrival gets exactly one decision unless it is cancelled first. A
// dispatched request holds its slot until OnFinished. The leading control
// process owns the dispatcher: a single place that knows all slots keeps seven
// entries together within them. A new leader creates a new dispatcher, calls
// Restore for each running attempt in the ledger, and then admits requests.
//
// Used by one thread. Each call costs O(log waiting) plus the choice of a
// target; docs/POLICY.md has measured figures.

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

  // The target announced itself or renewed its lease; repeated calls change
  // nothing. A leaving target stays leaving until OnTargetGone, because a
  // renewal that was in flight when the target announced that it leaves must
  // not bring it back.
  void OnTargetUp(const target_state& aTarget, time_point aNow);
  // The target gets no new requests; attempts in progress continue.
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  // The target's lease expired or the target has left. Attempts in progress
  // hold their slots until OnFinished, even if the target announces itself
  // again.
  void OnTargetGone(const target_id& aTarget, time_point aNow);

  // Returns false and changes nothing if the id is already waiting or running.
  bool OnArrival(const arrival& aArrival, time_point aNow);
  // The caller closed its connection. Returns true if the request was waiting;
  // it is removed from its queue and gets no decision. Otherwise returns false:
  // an attempt in progress cannot be stopped and continues.
  bool Cancel(request_id aId, time_point aNow);
  // Gives a slot to an attempt that is already running.
  void Restore(const running_attempt& aAttempt, time_point aNow);
  // Frees the slot. Ids that hold no slot are ignored.
  void OnFinished(request_id aId, const finish& aFinish, time_point aNow);

  void Tick(time_point aNow);
  // The time of the next Tick, or nothing if only an event can change the
  // state.
  [[nodiscard]] std::optional<time_point> NextWake() const;
  // Returns the decisions in the order in which they were made.
  std::vector<decision> TakeDecisions();

  // Linear in targets and organisations: meant for status pages, not for each
  // call.
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
  std::unique_ptr<random_source> mRandom; // stable address for pools
  share_policy mPolicy;
  std::optional<time_point> mWarmUpStart; // time of the first event
  std::map<service_id, std::unique_ptr<service_pool>> mPools;
  std::unordered_map<target_id, service_pool*> mTargets;
  std::unordered_map<request_id, service_pool*> mRequests;
  std::vector<decision> mDecisions;
  dispatch_counters mCounters;
};

} // namespace oriolewalk::traffic
