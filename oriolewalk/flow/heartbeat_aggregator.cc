#include "oriolewalk/flow/heartbeat_aggregator.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A sixth of a heartbeat's usual pause: a worker's silence is noticed as soon
// as when it calls the leader itself.
constexpr milliseconds kSummaryEvery{ 250 };
// Four summaries without an answer: heartbeats go to the leader, whoever it is.
constexpr milliseconds kLeaderSilence{ 1'000 };
// A worker that calls here no more: as long as a leader keeps a silent one.
constexpr milliseconds kForgetAfter{ 20'000 };

} // namespace

bool
beat_desk::IsGathering(time_point aNow) const
{
  return mLeaderHeardAt != time_point::min() &&
         aNow < mLeaderHeardAt + kLeaderSilence;
}

bool
beat_desk::Take(const worker_beat& aBeat, time_point aNow)
{
  const auto found = mKnown.find(aBeat.mFacts.mId);
  if (!IsGathering(aNow) || found == mKnown.end() ||
      found->second.mFacts != aBeat.mFacts ||
      found->second.mDraining != aBeat.mDraining) {
    return false;
  }
  found->second.mBeatAt = aNow;
  beat_note& note = mNotes[aBeat.mFacts.mId];
  // A later life numbers its heartbeats anew.
  if (std::pair(aBeat.mFacts.mBornMs, aBeat.mNumber) >=
      std::pair(note.mBornMs, note.mNumber)) {
    note = {
      aBeat.mFacts.mId, aBeat.mFacts.mBornMs, aBeat.mNumber, aBeat.mClockMs
    };
  }
  return true;
}

void
beat_desk::Acknowledged(const worker_beat& aBeat, time_point aNow)
{
  mKnown[aBeat.mFacts.mId] = { aBeat.mFacts, aBeat.mDraining, aNow };
  mLeaderHeardAt = aNow;
}

void
beat_desk::Forget(const worker_id& aId)
{
  mKnown.erase(aId);
  mNotes.erase(aId);
}

std::optional<beat_summary>
beat_desk::TakeSummary(time_point aNow)
{
  if (mUnderWay || mNotes.empty() || aNow < mNextSummary) {
    return std::nullopt;
  }
  mNextSummary = aNow + kSummaryEvery;
  mUnderWay = true;
  beat_summary summary;
  for (auto& [id, note] : std::exchange(mNotes, {})) {
    summary.mNotes.push_back(std::move(note));
  }
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mBeatAt + kForgetAfter;
  });
  return summary;
}

void
beat_desk::Summarised(std::span<const worker_id> aUnknown, time_point aNow)
{
  mUnderWay = false;
  mLeaderHeardAt = aNow;
  std::ranges::for_each(aUnknown,
                        [this](const worker_id& aId) { Forget(aId); });
}

// What it held is lost: those workers' next heartbeats tell more.
void
beat_desk::SummaryFailed()
{
  mUnderWay = false;
}

} // namespace oriolewalk::flow
