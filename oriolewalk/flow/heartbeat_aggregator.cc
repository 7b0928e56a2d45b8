#include "oriolewalk/flow/heartbeat_aggregator.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A sixth of the usual heartbeat interval, so a worker's silence is noticed as
// soon as if it called the leader itself.
constexpr milliseconds kSummaryInterval{ 250 };
// After four summaries without an answer, heartbeats are sent to the current
// leader.
constexpr milliseconds kLeaderTimeout{ 1'000 };
// A worker that no longer calls this process is forgotten after the time for
// which a leader keeps a silent worker.
constexpr milliseconds kForgetAfter{ 20'000 };

} // namespace

bool
heartbeat_aggregator::IsAggregating(time_point aNow) const
{
  return mLastLeaderContactAt != time_point::min() &&
         aNow < mLastLeaderContactAt + kLeaderTimeout;
}

bool
heartbeat_aggregator::TryAccept(const worker_heartbeat& aHeartbeat,
                                time_point aNow)
{
  const auto found = mKnownWorkers.find(aHeartbeat.mDescription.mId);
  if (!IsAggregating(aNow) || found == mKnownWorkers.end() ||
      found->second.mDescription != aHeartbeat.mDescription ||
      found->second.mDraining != aHeartbeat.mDraining) {
    return false;
  }
  found->second.mHeartbeatAt = aNow;
  heartbeat_digest& digest = mDigests[aHeartbeat.mDescription.mId];
  // A later incarnation restarts its heartbeat numbers.
  if (std::pair(aHeartbeat.mDescription.mProcessStartMs,
                aHeartbeat.mSequence) >=
      std::pair(digest.mProcessStartMs, digest.mSequence)) {
    digest = { aHeartbeat.mDescription.mId,
               aHeartbeat.mDescription.mProcessStartMs,
               aHeartbeat.mSequence,
               aHeartbeat.mClockMs };
  }
  return true;
}

void
heartbeat_aggregator::OnAcknowledged(const worker_heartbeat& aHeartbeat,
                                     time_point aNow)
{
  mKnownWorkers[aHeartbeat.mDescription.mId] = { aHeartbeat.mDescription,
                                                 aHeartbeat.mDraining,
                                                 aNow };
  mLastLeaderContactAt = aNow;
}

void
heartbeat_aggregator::Forget(const worker_id& aId)
{
  mKnownWorkers.erase(aId);
  mDigests.erase(aId);
}

std::optional<heartbeat_summary>
heartbeat_aggregator::TakeSummary(time_point aNow)
{
  if (mIsSummaryInFlight || mDigests.empty() || aNow < mNextSummaryAt) {
    return std::nullopt;
  }
  mNextSummaryAt = aNow + kSummaryInterval;
  mIsSummaryInFlight = true;
  heartbeat_summary summary;
  for (auto& [id, digest] : std::exchange(mDigests, {})) {
    summary.mDigests.push_back(std::move(digest));
  }
  std::erase_if(mKnownWorkers, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mHeartbeatAt + kForgetAfter;
  });
  return summary;
}

void
heartbeat_aggregator::OnSummaryAccepted(std::span<const worker_id> aUnknown,
                                        time_point aNow)
{
  mIsSummaryInFlight = false;
  mLastLeaderContactAt = aNow;
  std::ranges::for_each(aUnknown,
                        [this](const worker_id& aId) { Forget(aId); });
}

// The contents of the summary are lost; the workers' next heartbeats replace
// them.
void
heartbeat_aggregator::OnSummaryFailed()
{
  mIsSummaryInFlight = false;
}

} // namespace oriolewalk::flow
