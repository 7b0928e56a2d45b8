#include "oriolewalk/flow/advice_queries.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "oriolewalk/flow/placement.h"

namespace oriolewalk::flow {

namespace {

// A question names at most so many workers (the policy service's bound). A wide
// step of a queue whose policy approves a third needs 60 for its 20 tasks; at
// 40 it asked again and again, until all advisors were busy.
constexpr std::size_t kMostNamed = 100;
// Named beyond what is expected to suffice, so that one question does: room
// that is there now may be gone when the answer comes.
constexpr double kNameMargin = 1.3;
constexpr double kNameMore = 1;
// And as many more as cost the policy service this: a second question costs a
// cheap queue several times as much.
constexpr double kNameMoreMs = 8;
// Each worker named makes the answer later. A step of the first queues waits
// for it with its callers watching: beyond its need it names this part of what
// others name. At 1,100 workers half of the first starts took 72 ms instead of
// 90 ms, and 0.89 and 0.88 -> 0.90 of a burst's urgent jobs were in time (made
// time).
constexpr double kUrgentPart = 1.0 / 3;
// Room for so many tasks at known workers, were they empty, for each task that
// waits. Below this a step asks about full workers too, since each of the few
// may stay full; at four fifths of all room in use a third of it comes free in
// time. Where advisors are plentiful it asks about all that it can afford; so
// does a gang, whose places must have room all at once.
constexpr double kKnownForTask = 3;
// A ticket that runs out before a renewal would be back is renewed now: the way
// to the policy service and back over a busy entry.
constexpr milliseconds kRenewalWay{ 200 };

// In the order in which they are named.
enum class use : std::uint8_t
{
  Renewal, // approved; its ticket is needed now
  Room,    // unknown, and has room now
  Along,   // approved; renewed with others, for room that falls free soon
  Ahead,   // unknown and full: for later
};

struct nominee
{
  use mUse = use::Ahead;
  double mScore = 0;
  const plan_worker* mWorker = nullptr;
};

// How many of the step's tasks would be put there: half of what fits, since
// others want the room as well.
double
TasksAt(const open_step& aStep, const cell::resources& aRoom)
{
  const std::int64_t fit = aStep.mSpec->Booked().TimesIn(aRoom);
  std::int64_t tasks = std::max<std::int64_t>(1, fit / 2);
  if (aStep.mSpec->mMaxPerWorker > 0) {
    tasks = std::min<std::int64_t>(tasks, aStep.mSpec->mMaxPerWorker);
  }
  return static_cast<double>(tasks);
}

// As many as a worker takes if it is empty.
double
TasksIfEmpty(const open_step& aStep, const plan_worker& aWorker)
{
  const std::int64_t fit =
    aStep.mSpec->Booked().TimesIn(aWorker.mDescription->mCapacity);
  const std::uint32_t most = aStep.mSpec->mMaxPerWorker;
  return static_cast<double>(most > 0 ? std::min<std::int64_t>(fit, most)
                                      : fit);
}

class nomination
{
public:
  nomination(const open_step& aStep,
             const query_need& aNeed,
             std::span<plan_worker* const> aWorkers,
             const advice_cache& aAdvice,
             const plan_policy& aPolicy,
             time_point aNow)
    : mStep(aStep)
    , mNeed(aNeed)
    , mTerms(*aStep.mQueue->mAdvice)
    , mAdvice(aAdvice)
  {
    for (const plan_worker* worker : aWorkers) {
      if (FitsWhenEmpty(aStep, *worker)) {
        Consider(*worker, aPolicy, aNow);
      }
    }
    std::ranges::make_heap(mNominees, IsAfter);
  }

  std::vector<worker_number> Choose()
  {
    std::vector<worker_number> named;
    // Few are named of many: the rest needs no order.
    while (!mNominees.empty() && named.size() < kMostNamed &&
           !HasEnough(named.size())) {
      std::ranges::pop_heap(mNominees, IsAfter);
      const nominee one = mNominees.back();
      mNominees.pop_back();
      if (IsWanted(one, named.size())) {
        Count(one);
        named.push_back(one.mWorker->mNumber);
      }
    }
    return named;
  }

private:
  void Consider(const plan_worker& aWorker,
                const plan_policy& aPolicy,
                time_point aNow)
  {
    const verdict known = mAdvice.VerdictFor(mStep.mRef, aWorker.mNumber, aNow);
    const bool held = mNeed.mReserved.contains(aWorker.mNumber);
    const bool room = FitsNow(mStep, aWorker) || held;
    if (known == verdict::Refused) {
      return;
    }
    if (known != verdict::Unknown) {
      mKnown += TasksIfEmpty(mStep, aWorker);
    }
    const bool due =
      known == verdict::Expired ||
      (known == verdict::Approved && held &&
       mAdvice.RemainingValidity(mStep.mRef, aWorker.mNumber, aNow) <
         AdviceTime(mTerms, 1) + kRenewalWay);
    if (due && room) {
      Add(use::Renewal, aWorker, aPolicy);
    } else if (known != verdict::Unknown) {
      Add(use::Along, aWorker, aPolicy);
    } else if (known == verdict::Unknown && !aWorker.mAvoided &&
               (room || aPolicy.mQueriesAhead)) {
      Add(room ? use::Room : use::Ahead, aWorker, aPolicy);
    }
  }

  static bool IsAfter(const nominee& aOne, const nominee& aOther)
  {
    const auto place = [](const nominee& aNominee) {
      return std::make_tuple(
        aNominee.mUse, -aNominee.mScore, aNominee.mWorker->mNumber);
    };
    return place(aOne) > place(aOther);
  }

  static bool HasRoom(const nominee& aOne)
  {
    return aOne.mUse == use::Renewal || aOne.mUse == use::Room;
  }
  static bool IsUnknown(const nominee& aOne)
  {
    return aOne.mUse == use::Room || aOne.mUse == use::Ahead;
  }

  [[nodiscard]] double Tasks() const
  {
    return static_cast<double>(mNeed.mTasks);
  }
  // What the step names beyond its need, as a part of what others name.
  [[nodiscard]] double Part() const
  {
    return mStep.mQueue->mPriority == 0 ? kUrgentPart : 1;
  }
  // Those with room are expected to take all tasks.
  [[nodiscard]] bool HasRoomForAll() const
  {
    return mGood >= Tasks() * kNameMargin + kNameMore;
  }
  [[nodiscard]] std::size_t Spare() const
  {
    return static_cast<std::size_t>(Affordable(Part() * kNameMoreMs));
  }
  // One more costs less than the question itself.
  [[nodiscard]] bool IsCheap(std::size_t aNamed) const
  {
    return aNamed <
           static_cast<std::size_t>(Affordable(Part() * mTerms.mBaseMs));
  }
  // No other one would be wanted, whatever it is.
  [[nodiscard]] bool HasEnough(std::size_t aNamed) const
  {
    return HasRoomForAll() && mBeyond >= Spare() && !IsCheap(aNamed);
  }

  // Whether to name it beside the aNamed ones before it.
  bool IsWanted(const nominee& aOne, std::size_t aNamed)
  {
    if (HasRoom(aOne) && (!HasRoomForAll() || ++mBeyond <= Spare())) {
      return true;
    }
    if (!IsCheap(aNamed)) {
      return false;
    }
    if (aOne.mUse == use::Along) {
      return aNamed > 0;
    }
    return IsUnknown(aOne) &&
           (mNeed.mHasSurplusAdvisors || mStep.mSpec->mGang ||
            mKnown < kKnownForTask * Tasks());
  }

  void Count(const nominee& aOne)
  {
    const plan_worker& worker = *aOne.mWorker;
    const double share = mAdvice.ApprovalRate(mStep.mQueue->mName);
    if (HasRoom(aOne)) {
      mGood += (aOne.mUse == use::Renewal ? 1 : share) *
               TasksAt(mStep, worker.mFree - worker.mReserved);
    }
    if (IsUnknown(aOne)) {
      mKnown += share * TasksIfEmpty(mStep, worker);
    }
  }

  void Add(use aUse, const plan_worker& aWorker, const plan_policy& aPolicy)
  {
    mNominees.push_back(
      { aUse, PlacementScore(mStep, aWorker, aPolicy), &aWorker });
  }

  // Workers that the policy service looks at in this time.
  [[nodiscard]] double Affordable(double aMs) const
  {
    return mTerms.mPerWorkerMs > 0 ? aMs / mTerms.mPerWorkerMs : aMs;
  }

  const open_step& mStep;
  const query_need& mNeed;
  const advice_timing& mTerms;
  const advice_cache& mAdvice;
  std::vector<nominee> mNominees;
  double mGood = 0; // tasks that those with room are expected to take
  std::size_t mBeyond = 0;
  double mKnown = 0; // tasks that known workers take if they are empty
};

} // namespace

milliseconds
AdviceTime(const advice_timing& aTerms, std::size_t aNamed)
{
  return milliseconds(static_cast<std::int64_t>(std::ceil(
    aTerms.mBaseMs + aTerms.mPerWorkerMs * static_cast<double>(aNamed))));
}

std::vector<worker_number>
WorkersToQuery(const open_step& aStep,
               const query_need& aNeed,
               std::span<plan_worker* const> aWorkers,
               const advice_cache& aAdvice,
               const plan_policy& aPolicy,
               time_point aNow)
{
  return nomination(aStep, aNeed, aWorkers, aAdvice, aPolicy, aNow).Choose();
}

} // namespace oriolewalk::flow
