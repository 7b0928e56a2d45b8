#include "oriolewalk/flow/advice_queries.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "oriolewalk/flow/placement.h"

namespace oriolewalk::flow {

namespace {

// A query includes more workers than are expected to suffice, so that a second
// one isn't needed: capacity that is free now may be taken when the answer
// arrives.
constexpr double kQueryMargin = 1.3;
constexpr double kExtraTasks = 1;
// It also includes as many more workers as the policy service checks in this
// time, because a second query costs a cheap queue several times as much.
constexpr double kExtraMs = 8;
// Each worker in a query delays the answer. A step of a queue of priority 0 is
// the most sensitive to that delay: beyond its need it includes only this
// fraction of the extra workers that other steps include.
constexpr double kUrgentFraction = 1.0 / 3;
// For each waiting task, the number of tasks that the workers with a verdict
// should be able to hold when empty. Below this a step includes full workers
// too, since each of the few workers may stay full: with four fifths of the
// capacity in use, a third of it becomes free in time. When there are surplus
// advisors, a step includes all workers that it can afford. A gang always does,
// because its members need capacity at the same time.
constexpr double kVerdictsPerTask = 3;
// A ticket is renewed early if it would expire before the renewal's answer
// arrives. This is the round trip to the policy service over a busy entry.
constexpr milliseconds kRenewalRoundTrip{ 200 };

// Why a worker is included, in the order in which workers are selected.
enum class query_reason : std::uint8_t
{
  Renewal,     // approved, and its ticket is needed now
  Capacity,    // no verdict yet, and has free capacity now
  Opportunity, // approved; renewed in passing, for capacity that is freed soon
  Ahead,       // no verdict yet, and full: for later
};

struct candidate
{
  query_reason mReason = query_reason::Ahead;
  double mScore = 0;
  const plan_worker* mWorker = nullptr;
};

// The fraction of the usual extra workers that the step includes.
double
ExtraFraction(const open_step& aStep)
{
  return aStep.mQueue->mPriority == 0 ? kUrgentFraction : 1;
}

// The number of workers that the policy service checks in this time.
double
Affordable(const advice_timing& aTerms, double aMs)
{
  return aTerms.mPerWorkerMs > 0 ? aMs / aTerms.mPerWorkerMs : aMs;
}

// The tasks for which a query finds capacity.
double
TasksToCover(const query_need& aNeed)
{
  return static_cast<double>(aNeed.mTasks) * kQueryMargin + kExtraTasks;
}

std::size_t
MaxExtra(const open_step& aStep, const advice_timing& aTerms)
{
  return static_cast<std::size_t>(
    Affordable(aTerms, ExtraFraction(aStep) * kExtraMs));
}

// Fewer workers than this cost less than the query itself.
std::size_t
MaxCheap(const open_step& aStep, const advice_timing& aTerms)
{
  return static_cast<std::size_t>(
    Affordable(aTerms, ExtraFraction(aStep) * aTerms.mBaseMs));
}

// How many of the step's tasks are expected to start in the capacity: half of
// those that fit, since other steps compete for it.
double
ExpectedTasks(const open_step& aStep, const cell::resources& aCapacity)
{
  const std::int64_t fit = aStep.mSpec->Booked().TimesIn(aCapacity);
  std::int64_t tasks = std::max<std::int64_t>(1, fit / 2);
  if (aStep.mSpec->mMaxPerWorker > 0) {
    tasks = std::min<std::int64_t>(tasks, aStep.mSpec->mMaxPerWorker);
  }
  return static_cast<double>(tasks);
}

// How many of the step's tasks fit in the worker when it is empty.
double
TasksWhenEmpty(const open_step& aStep, const plan_worker& aWorker)
{
  const std::int64_t fit =
    aStep.mSpec->Booked().TimesIn(aWorker.mDescription->mCapacity);
  const std::uint32_t max = aStep.mSpec->mMaxPerWorker;
  return static_cast<double>(max > 0 ? std::min<std::int64_t>(fit, max) : fit);
}

class worker_selection
{
public:
  worker_selection(const open_step& aStep,
                   const query_need& aNeed,
                   std::span<const plan_worker* const> aWorkers,
                   const advice_cache& aAdvice,
                   const plan_policy& aPolicy,
                   time_point aNow)
    : mStep(aStep)
    , mNeed(aNeed)
    , mTerms(*aStep.mQueue->mAdvice)
    , mVerdicts(aAdvice.VerdictsFor(aStep.mRef))
    , mApprovalRate(aAdvice.ApprovalRate(aStep.mQueue->mName))
  {
    for (const plan_worker* worker : aWorkers) {
      if (FitsWhenEmpty(aStep, *worker)) {
        Consider(*worker, aPolicy, aNow);
      }
    }
    std::ranges::make_heap(mCandidates, IsAfter);
  }

  std::vector<worker_number> Select()
  {
    std::vector<worker_number> selected;
    // Few of many candidates are selected, so a heap is cheaper than a sort.
    while (!mCandidates.empty() && selected.size() < kMaxQueriedWorkers &&
           !HasEnough(selected.size())) {
      std::ranges::pop_heap(mCandidates, IsAfter);
      const candidate next = mCandidates.back();
      mCandidates.pop_back();
      if (IsWanted(next, selected.size())) {
        Count(next);
        selected.push_back(next.mWorker->mNumber);
      }
    }
    return selected;
  }

private:
  void Consider(const plan_worker& aWorker,
                const plan_policy& aPolicy,
                time_point aNow)
  {
    const verdict known = mVerdicts.For(aWorker.mNumber, aNow);
    const bool isReserved = mNeed.mReserved.contains(aWorker.mNumber);
    const bool hasCapacity = FitsNow(mStep, aWorker) || isReserved;
    if (known == verdict::Refused) {
      return;
    }
    if (known != verdict::Unknown) {
      mKnownTasks += TasksWhenEmpty(mStep, aWorker);
    }
    const bool isRenewalDue =
      known == verdict::Expired ||
      (known == verdict::Approved && isReserved &&
       mVerdicts.RemainingValidity(aWorker.mNumber, aNow) <
         AdviceTime(mTerms, 1) + kRenewalRoundTrip);
    if (isRenewalDue && hasCapacity) {
      Add(query_reason::Renewal, aWorker, aPolicy);
    } else if (known != verdict::Unknown) {
      Add(query_reason::Opportunity, aWorker, aPolicy);
    } else if (known == verdict::Unknown && !aWorker.mAvoided &&
               (hasCapacity || aPolicy.mQueriesAhead)) {
      Add(hasCapacity ? query_reason::Capacity : query_reason::Ahead,
          aWorker,
          aPolicy);
    }
  }

  static bool IsAfter(const candidate& aOne, const candidate& aOther)
  {
    const auto rank = [](const candidate& aCandidate) {
      return std::make_tuple(
        aCandidate.mReason, -aCandidate.mScore, aCandidate.mWorker->mNumber);
    };
    return rank(aOne) > rank(aOther);
  }

  static bool HasCapacity(const candidate& aOne)
  {
    return aOne.mReason == query_reason::Renewal ||
           aOne.mReason == query_reason::Capacity;
  }
  static bool HasNoVerdict(const candidate& aOne)
  {
    return aOne.mReason == query_reason::Capacity ||
           aOne.mReason == query_reason::Ahead;
  }

  [[nodiscard]] double Tasks() const
  {
    return static_cast<double>(mNeed.mTasks);
  }
  // The selected workers with free capacity are expected to run all tasks.
  [[nodiscard]] bool HasCapacityForAll() const
  {
    return mExpectedTasks >= TasksToCover(mNeed);
  }
  // One more worker costs less than the query itself.
  [[nodiscard]] bool IsCheap(std::size_t aSelected) const
  {
    return aSelected < MaxCheap(mStep, mTerms);
  }
  // No further candidate would be wanted, whatever its reason.
  [[nodiscard]] bool HasEnough(std::size_t aSelected) const
  {
    return HasCapacityForAll() && mExtra >= MaxExtra(mStep, mTerms) &&
           !IsCheap(aSelected);
  }

  // Whether to include aOne in addition to the aSelected workers before it.
  bool IsWanted(const candidate& aOne, std::size_t aSelected)
  {
    if (HasCapacity(aOne) &&
        (!HasCapacityForAll() || ++mExtra <= MaxExtra(mStep, mTerms))) {
      return true;
    }
    if (!IsCheap(aSelected)) {
      return false;
    }
    if (aOne.mReason == query_reason::Opportunity) {
      return aSelected > 0;
    }
    return HasNoVerdict(aOne) &&
           (mNeed.mHasSurplusAdvisors || mStep.mSpec->mGang ||
            mKnownTasks < kVerdictsPerTask * Tasks());
  }

  void Count(const candidate& aOne)
  {
    const plan_worker& worker = *aOne.mWorker;
    const double rate = mApprovalRate;
    if (HasCapacity(aOne)) {
      mExpectedTasks += (aOne.mReason == query_reason::Renewal ? 1 : rate) *
                        ExpectedTasks(mStep, worker.mFree - worker.mReserved);
    }
    if (HasNoVerdict(aOne)) {
      mKnownTasks += rate * TasksWhenEmpty(mStep, worker);
    }
  }

  void Add(query_reason aReason,
           const plan_worker& aWorker,
           const plan_policy& aPolicy)
  {
    mCandidates.push_back(
      { aReason, PlacementScore(mStep, aWorker, aPolicy), &aWorker });
  }

  const open_step& mStep;
  const query_need& mNeed;
  const advice_timing& mTerms;
  const step_verdicts mVerdicts;
  const double mApprovalRate;
  std::vector<candidate> mCandidates;
  // Tasks that the selected workers with free capacity are expected to run.
  double mExpectedTasks = 0;
  std::size_t mExtra = 0; // workers selected beyond the need
  // Tasks that fit in the workers with a verdict when those are empty.
  double mKnownTasks = 0;
};

} // namespace

milliseconds
AdviceTime(const advice_timing& aTerms, std::size_t aWorkerCount)
{
  return milliseconds(static_cast<std::int64_t>(std::ceil(
    aTerms.mBaseMs + aTerms.mPerWorkerMs * static_cast<double>(aWorkerCount))));
}

std::size_t
MaxWorkersToQuery(const open_step& aStep,
                  const query_need& aNeed,
                  const advice_cache& aAdvice)
{
  const advice_timing& terms = *aStep.mQueue->mAdvice;
  // Each free worker is expected to run a task at least if it is approved.
  const double forTasks =
    std::ceil(TasksToCover(aNeed) / aAdvice.ApprovalRate(aStep.mQueue->mName));
  const auto free =
    std::min(kMaxQueriedWorkers, static_cast<std::size_t>(forTasks)) +
    MaxExtra(aStep, terms);
  return std::min(kMaxQueriedWorkers, std::max(free, MaxCheap(aStep, terms)));
}

std::vector<worker_number>
WorkersToQuery(const open_step& aStep,
               const query_need& aNeed,
               std::span<const plan_worker* const> aWorkers,
               const advice_cache& aAdvice,
               const plan_policy& aPolicy,
               time_point aNow)
{
  return worker_selection(aStep, aNeed, aWorkers, aAdvice, aPolicy, aNow)
    .Select();
}

} // namespace oriolewalk::flow
