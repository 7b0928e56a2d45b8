#pragma once

// Heartbeats that workers send to this control process, on their way to the
// leader: what says nothing new is answered here and told in summaries.
//
//   beat_desk desk;
//   if (desk.Take(beat, now)) { /* answer at once */ }
//   else { /* ask the leader; then */ desk.Acknowledged(beat, now); }
//   if (auto summary = desk.TakeSummary(now)) { /* send it; then */
//     desk.Summarised(unknown, now); }
//
// The load it answers: 1,100 workers' heartbeats are 733 calls a second with a
// connection each, all at the leader, and nearly all of them say what the last
// one said. In summaries of a quarter second they are 32 messages.
//
// A heartbeat that names a life, an address or a state that the leader hasn't
// acknowledged here goes to it by itself, and is answered when it has committed
// it. So is every heartbeat while the leader doesn't take summaries: a process
// that is cut off from it must not hold workers to itself.
//
// Pure; owned by the control host, its thread.

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
  // False: the leader must be asked.
  bool TryAccept(const worker_heartbeat& aBeat, time_point aNow);
  // The leader knows all that this heartbeat said, and takes summaries.
  void OnAcknowledged(const worker_heartbeat& aBeat, time_point aNow);
  // The worker has said that it leaves.
  void Forget(const worker_id& aId);
  // At most one a quarter second, one under way at a time; nothing if nothing
  // was taken.
  std::optional<heartbeat_summary> TakeSummary(time_point aNow);
  // The leader took the summary; it doesn't know these.
  void OnSummaryAccepted(std::span<const worker_id> aUnknown, time_point aNow);
  // Nobody took it.
  void OnSummaryFailed();
  // Whether workers may go on sending their heartbeats here.
  [[nodiscard]] bool IsAggregating(time_point aNow) const;

private:
  struct known_worker
  {
    worker_description mFacts;
    bool mDraining = false;
    time_point mBeatAt{};
  };

  std::map<worker_id, known_worker> mKnown;
  std::map<worker_id, heartbeat_digest> mNotes;
  bool mUnderWay = false;
  time_point mNextSummary{};
  time_point mLeaderHeardAt = time_point::min();
};

} // namespace oriolewalk::flow
