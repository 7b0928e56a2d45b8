#include "oriolewalk/flow/heartbeat_aggregator.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A sixth of the usual heartbeat interval, so a worker's silence is noticed as
// soon as if it called the leader itself.
constexpr milliseconds kSummaryEvery{ 250 };
// After four summaries without an answer, heartbeats are sent to the current
// leader.
constexpr milliseconds kLeaderSilence{ 1'000 };
// A worker that no longer calls this process is forgotten after the time for
// which a leader keeps a silent worker.
constexpr milliseconds kForgetAfter{ 20'000 };

} // namespace

bool
heartbeat_aggregator::IsAggregating(time_point aNow) const
{
  return mLeaderHeardAt != time_point::min() &&
         aNow < mLeaderHeardAt + kLeaderSilence;
}

bool
heartbeat_aggregator::TryAccept(const worker_heartbeat& aBeat, time_point aNow)
{
  const auto found = mKnown.find(aBeat.mDescription.mId);
  if (!IsAggregating(aNow) || found == mKnown.end() ||
      found->second.mFacts != aBeat.mDescription ||
      found->second.mDraining != aBeat.mDraining) {
    return false;
  }
  found->second.mBeatAt = aNow;
  heartbeat_digest& note = mNotes[aBeat.mDescription.mId];
  // A later incarnation restarts its heartbeat numbers.
  if (std::pair(aBeat.mDescription.mProcessStartMs, aBeat.mSequence) >=
      std::pair(note.mProcessStartMs, note.mSequence)) {
    note = { aBeat.mDescription.mId,
             aBeat.mDescription.mProcessStartMs,
             aBeat.mSequence,
             aBeat.mClockMs };
  }
  return true;
}

void
heartbeat_aggregator::OnAcknowledged(const worker_heartbeat& aBeat,
                                     time_point aNow)
{
  mKnown[aBeat.mDescription.mId] = { aBeat.mDescription,
                                     aBeat.mDraining,
                                     aNow };
  mLeaderHeardAt = aNow;
}

void
heartbeat_aggregator::Forget(const worker_id& aId)
{
  mKnown.erase(aId);
  mNotes.erase(aId);
}

std::optional<heartbeat_summary>
heartbeat_aggregator::TakeSummary(time_point aNow)
{
  if (mUnderWay || mNotes.empty() || aNow < mNextSummary) {
    return std::nullopt;
  }
  mNextSummary = aNow + kSummaryEvery;
  mUnderWay = true;
  heartbeat_summary summary;
  for (auto& [id, note] : std::exchange(mNotes, {})) {
    summary.mDigests.push_back(std::move(note));
  }
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mBeatAt + kForgetAfter;
  });
  return summary;
}

void
heartbeat_aggregator::OnSummaryAccepted(std::span<const worker_id> aUnknown,
                                        time_point aNow)
{
  mUnderWay = false;
  mLeaderHeardAt = aNow;
  std::ranges::for_each(aUnknown,
                        [this](const worker_id& aId) { Forget(aId); });
}

// The contents of the summary are lost; the workers' next heartbeats replace
// them.
void
heartbeat_aggregator::OnSummaryFailed()
{
  mUnderWay = false;
}

} // namespace oriolewalk::flow
