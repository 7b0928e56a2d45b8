#pragma once

// Answers the heartbeats that workers send to this control process, and
// forwards those that report nothing new to the leader in summaries.
//
//   heartbeat_aggregator aggregator;
//   if (aggregator.TryAccept(heartbeat, now)) { /* answer at once */ }
//   else { /* call the leader; then */
//     aggregator.OnAcknowledged(heartbeat, now); }
//   if (auto summary = aggregator.TakeSummary(now)) { /* send it; then */
//     aggregator.OnSummaryAccepted(unknown, now); }
//
// Without it, each heartbeat is a call to the leader with a connection of its
// own, and nearly all of them repeat the previous one. A summary every quarter
// second is four messages a second and control process, however many workers
// there are.
//
// A heartbeat with an incarnation, an address or a state that the leader hasn't
// acknowledged to this process is sent to the leader individually, and is
// answered when the leader has committed it. So is every heartbeat while the
// leader accepts no summaries: a process that is partitioned from the leader
// must not keep workers attached to itself.
//
// Does no I/O. Owned by the control host and used on its thread.

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/messages.h"

namespace oriolewalk::flow {

class heartbeat_aggregator
{
public:
  // Returns false if the heartbeat must be sent to the leader.
  bool TryAccept(const worker_heartbeat& aHeartbeat, time_point aNow);
  // The leader has acknowledged this heartbeat and accepts summaries.
  void OnAcknowledged(const worker_heartbeat& aHeartbeat, time_point aNow);
  // Called when the worker has deregistered.
  void Forget(const worker_id& aId);
  // Returns at most one summary every quarter second, and none while one is in
  // flight or if no heartbeat was accepted since the last one.
  std::optional<heartbeat_summary> TakeSummary(time_point aNow);
  // The leader accepted the summary; it doesn't know the workers aUnknown.
  void OnSummaryAccepted(std::span<const worker_id> aUnknown, time_point aNow);
  // No leader accepted the summary.
  void OnSummaryFailed();
  // Whether workers may continue to send their heartbeats here.
  [[nodiscard]] bool IsAggregating(time_point aNow) const;

private:
  struct known_worker
  {
    worker_description mDescription;
    bool mDraining = false;
    time_point mHeartbeatAt{};
  };

  std::map<worker_id, known_worker> mKnownWorkers;
  std::map<worker_id, heartbeat_digest> mDigests;
  bool mIsSummaryInFlight = false;
  time_point mNextSummaryAt{};
  time_point mLastLeaderContactAt = time_point::min();
};

} // namespace oriolewalk::flow
