#include "oriolewalk/flow/advisors.h"

#include <algorithm>
#include <numeric>

namespace oriolewalk::flow {

namespace {

// At most this share of the advisors is kept for the first queues, and no more
// than they had at a time of late and two. In a burst at 350 workers 31 of 36
// advisors carried other queues' questions, and an urgent one waited 0.55 s; a
// fixed third was idle for most of a day while other queues waited for one.
constexpr std::size_t kMostKept = 3; // one in so many
constexpr std::size_t kKeptBeyondPeak = 2;
// What no other queue can take from one that waits: this part of an equal
// share, and one advisor at least. Equal shares starved the queue of gangs,
// whose questions are the dearest: each took half a second of an advisor, and
// the queue had as many of them as one whose questions take 20 ms.
constexpr std::size_t kFloor = 4;
// Questions ahead of time are put while at least this share is free.
constexpr std::size_t kPlentiful = 2; // one in so many

bool
IsFirst(const open_step& aStep)
{
  return flow::IsTopPriority(*aStep.mQueue, *aStep.mSpec);
}

} // namespace

std::size_t
recent_peak::Record(std::size_t aCount, time_point aNow)
{
  if (aNow >= mSince + kSpan) {
    mLast = aNow >= mSince + 2 * kSpan ? 0 : mPeak;
    mPeak = 0;
    mSince = aNow;
  }
  mPeak = std::max(mPeak, aCount);
  return std::max(mPeak, mLast);
}

advisor_pool::advisor_pool(const advisor_load& aLoad,
                           std::span<const open_step> aSteps,
                           const advice_cache& aAdvice,
                           const std::set<step_ref>& aAsking)
  : mFree(aLoad.mFree)
  , mTotal(aLoad.mTotal)
  , mKept(std::min(aLoad.mTotal / kMostKept,
                   aLoad.mTopPriorityPeak + kKeptBeyondPeak))
{
  for (const open_step& step : aSteps) {
    if (IsFirst(step) || !step.mQueue->mAdvice) {
      continue;
    }
    const auto [queue, fresh] = mParts.try_emplace(step.mQueue->mName);
    if (const auto used = aLoad.mUsed.find(step.mQueue->mName);
        fresh && used != aLoad.mUsed.end()) {
      queue->second.mUsed = used->second;
    }
    queue->second.mWants +=
      aAsking.contains(step.mRef) || aAdvice.HasVerdict(step.mRef) ? 0 : 1;
  }
  const auto active = static_cast<std::size_t>(
    std::ranges::count_if(mParts, [](const auto& aPart) {
      return aPart.second.mUsed + aPart.second.mWants > 0;
    }));
  mFair = std::max<std::size_t>(
    (mTotal - mKept) / (kFloor * std::max<std::size_t>(active, 1)), 1);
}

// What is left of its share, as far as it would use that.
std::size_t
advisor_pool::ReservedFor(const part& aOther) const
{
  return std::min(aOther.mWants, mFair - std::min(mFair, aOther.mUsed));
}

bool
advisor_pool::CanQuery(const open_step& aStep) const
{
  if (IsFirst(aStep)) {
    return mFree > 0;
  }
  const std::size_t reserved =
    std::accumulate(mParts.begin(),
                    mParts.end(),
                    mKept,
                    [&](std::size_t aSum, const auto& aPart) {
                      return aSum + (aPart.first == aStep.mQueue->mName
                                       ? 0
                                       : ReservedFor(aPart.second));
                    });
  return mFree > reserved;
}

void
advisor_pool::OnQuery(const open_step& aStep)
{
  --mFree;
  if (const auto queue = mParts.find(aStep.mQueue->mName);
      queue != mParts.end()) {
    ++queue->second.mUsed;
    queue->second.mWants -= std::min<std::size_t>(queue->second.mWants, 1);
  }
}

bool
advisor_pool::HasSurplus() const
{
  return mFree * kPlentiful >= mTotal;
}

} // namespace oriolewalk::flow
