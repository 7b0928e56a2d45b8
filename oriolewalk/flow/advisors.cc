#include "oriolewalk/flow/advisors.h"

#include <algorithm>
#include <numeric>

namespace oriolewalk::flow {

namespace {

// At most one in kMaxReservedDivisor advisors is reserved for the top-priority
// queues, and no more than their recent peak plus kReservedBeyondPeak: a fixed
// reserve would be idle most of the time while other queues wait.
constexpr std::size_t kMaxReservedDivisor = 3;
constexpr std::size_t kReservedBeyondPeak = 2;
// A waiting queue is guaranteed an equal share divided by
// kGuaranteedDivisor, and at least one advisor. Full equal shares would starve
// queues whose queries take long, such as those of gangs.
constexpr std::size_t kGuaranteedDivisor = 4;
// Queries are sent ahead of need while at least one in kSurplusDivisor advisors
// is free.
constexpr std::size_t kSurplusDivisor = 2;

bool
IsFirst(const open_step& aStep)
{
  return flow::IsTopPriority(*aStep.mQueue, *aStep.mSpec);
}

} // namespace

std::size_t
recent_peak::Record(std::size_t aCount, time_point aNow)
{
  if (aNow >= mSpanStart + kSpan) {
    mLastPeak = aNow >= mSpanStart + 2 * kSpan ? 0 : mPeak;
    mPeak = 0;
    mSpanStart = aNow;
  }
  mPeak = std::max(mPeak, aCount);
  return std::max(mPeak, mLastPeak);
}

advisor_pool::advisor_pool(const advisor_load& aLoad,
                           std::span<const open_step> aSteps,
                           const advice_cache& aAdvice,
                           const std::set<step_ref>& aOpenQueries)
  : mFree(aLoad.mFree)
  , mTotal(aLoad.mTotal)
  , mReserved(std::min(aLoad.mTotal / kMaxReservedDivisor,
                       aLoad.mTopPriorityPeak + kReservedBeyondPeak))
{
  for (const open_step& step : aSteps) {
    if (IsFirst(step) || !step.mQueue->mAdvice) {
      continue;
    }
    const auto [queue, isNew] = mUsage.try_emplace(step.mQueue->mName);
    if (const auto used = aLoad.mUsed.find(step.mQueue->mName);
        isNew && used != aLoad.mUsed.end()) {
      queue->second.mUsed = used->second;
    }
    queue->second.mWanted +=
      aOpenQueries.contains(step.mRef) || aAdvice.HasVerdict(step.mRef) ? 0 : 1;
  }
  const auto active = static_cast<std::size_t>(
    std::ranges::count_if(mUsage, [](const auto& aQueue) {
      return aQueue.second.mUsed + aQueue.second.mWanted > 0;
    }));
  mGuaranteed = std::max<std::size_t>(
    (mTotal - mReserved) /
      (kGuaranteedDivisor * std::max<std::size_t>(active, 1)),
    1);
}

// The unused part of the queue's guaranteed advisors, limited to what the queue
// wants.
std::size_t
advisor_pool::ReservedFor(const queue_usage& aOther) const
{
  return std::min(aOther.mWanted,
                  mGuaranteed - std::min(mGuaranteed, aOther.mUsed));
}

bool
advisor_pool::CanQuery(const open_step& aStep) const
{
  if (IsFirst(aStep)) {
    return mFree > 0;
  }
  const std::size_t reserved =
    std::accumulate(mUsage.begin(),
                    mUsage.end(),
                    mReserved,
                    [&](std::size_t aSum, const auto& aQueue) {
                      return aSum + (aQueue.first == aStep.mQueue->mName
                                       ? 0
                                       : ReservedFor(aQueue.second));
                    });
  return mFree > reserved;
}

void
advisor_pool::OnQuery(const open_step& aStep)
{
  --mFree;
  if (const auto queue = mUsage.find(aStep.mQueue->mName);
      queue != mUsage.end()) {
    ++queue->second.mUsed;
    queue->second.mWanted -= std::min<std::size_t>(queue->second.mWanted, 1);
  }
}

bool
advisor_pool::HasSurplus() const
{
  return mFree * kSurplusDivisor >= mTotal;
}

} // namespace oriolewalk::flow
