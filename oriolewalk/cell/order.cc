// The scheduling order: strict classes, and within a class the organisation
// with the smallest weighted dominant share.
//
// If one organisation submits ten thousand tasks at once, first come, first
// served would make all others wait. Here each start raises the submitter's
// share, so another organisation is next. An organisation may exceed its share
// while no other organisation waits.

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

// The position in one organisation's queue of a class in this Plan.
struct queue_cursor
{
  double mShare = 0;
  organisation_slot mOrganisation = 0;
  std::set<job_number>::const_iterator mJob;
  std::uint32_t mTask = 0; // Tasks before it are placed or in flight.
  std::uint32_t mSkipped = 0;

  bool operator>(const queue_cursor& aOther) const
  {
    return std::pair(mShare, mOrganisation) >
           std::pair(aOther.mShare, aOther.mOrganisation);
  }
};

// Orders one class for one Plan.
class class_queue
{
public:
  class_queue(plan_context& aPlan, job_class aClass)
    : mPlan(aPlan)
    , mClass(aClass)
  {
    for (const organisation_slot at : aPlan.mState.Waiting(aClass)) {
      mHeap.push_back(
        { aPlan.mSoft.ShareOf(aPlan.mState, at), at, Jobs(at).begin(), 0, 0 });
    }
    std::ranges::make_heap(mHeap, std::greater{});
  }

  // Starts tasks until capacity, the budget or the queue is exhausted.
  void Run(std::uint32_t& aLooks)
  {
    const std::size_t most = mPlan.mSoft.mOptions.mMostStarts;
    while (!mHeap.empty() && aLooks > 0 &&
           mPlan.mStarts.mPlacements.size() < most) {
      --aLooks;
      std::ranges::pop_heap(mHeap, std::greater{});
      queue_cursor cursor = mHeap.back();
      mHeap.pop_back();
      if (Step(cursor)) {
        mHeap.push_back(cursor);
        std::ranges::push_heap(mHeap, std::greater{});
      }
    }
  }

private:
  [[nodiscard]] const std::set<job_number>& Jobs(organisation_slot aAt) const
  {
    return mPlan.mState.Organisations()[aAt].mWaiting.at(
      static_cast<std::size_t>(mClass));
  }

  bool NextJob(queue_cursor& aCursor) const
  {
    ++aCursor.mJob;
    aCursor.mTask = 0;
    return aCursor.mJob != Jobs(aCursor.mOrganisation).end();
  }

  // Returns false if the organisation needs no further step in this Plan.
  bool Step(queue_cursor& aCursor)
  {
    const job_record& job = *mPlan.mState.FindJob(*aCursor.mJob);
    const auto task = NextTask(mPlan, job, aCursor.mTask);
    if (!task) {
      return NextJob(aCursor);
    }
    switch (TryStart(mPlan, job, *task)) {
      case start_result::Started:
        aCursor.mTask = *task + 1;
        aCursor.mShare =
          mPlan.mSoft.ShareOf(mPlan.mState, aCursor.mOrganisation);
        return true;
      case start_result::Paced:
        return NextJob(aCursor);
      case start_result::DoesNotFit:
        if (FreeCapacityFor(mPlan, job)) {
          // Capacity is being freed for the job and reserved for it, so trying
          // the jobs behind it doesn't count as skipping it.
          return NextJob(aCursor);
        }
        return ++aCursor.mSkipped <= mPlan.mSoft.mOptions.mBackfillDepth &&
               NextJob(aCursor);
      case start_result::ExceedsQuota:
        break;
    }
    return false;
  }

  plan_context& mPlan;
  job_class mClass;
  std::vector<queue_cursor> mHeap;
};

// Returns the oldest job of one class that is beyond its wait bound.
const job_record*
OldestAged(const plan_context& aPlan, job_class aClass)
{
  const job_record* oldest = nullptr;
  for (const organisation_slot at : aPlan.mState.Waiting(aClass)) {
    const auto& jobs = aPlan.mState.Organisations()[at].mWaiting.at(
      static_cast<std::size_t>(aClass));
    const job_record* job = aPlan.mState.FindJob(*jobs.begin());
    if (IsAged(aPlan, *job) &&
        (oldest == nullptr ||
         WaitedMs(aPlan, *job) > WaitedMs(aPlan, *oldest))) {
      oldest = job;
    }
  }
  return oldest;
}

} // namespace

std::optional<std::uint32_t>
NextTask(const plan_context& aPlan, const job_record& aJob, std::uint32_t aFrom)
{
  for (std::uint32_t at = std::max(aFrom, aJob.mFirstWaiting);
       at < aJob.mTasks.size();
       ++at) {
    const task_record& task = aJob.mTasks[at];
    if (task.mState == task_state::Waiting &&
        task.mNotBeforeMs <= aPlan.mNow.mWallMs &&
        !aPlan.mSoft.mStarts.contains({ aJob.mNumber, at })) {
      return at;
    }
  }
  return std::nullopt;
}

void
PlanAged(plan_context& aPlan)
{
  for (const job_class each : { job_class::Heavy, job_class::Normal }) {
    const job_record* job = OldestAged(aPlan, each);
    const auto task = job == nullptr ? std::nullopt : NextTask(aPlan, *job, 0);
    if (task && TryStart(aPlan, *job, *task) == start_result::DoesNotFit) {
      FreeCapacityFor(aPlan, *job);
    }
  }
}

void
PlanStarts(plan_context& aPlan)
{
  constexpr std::array kOrder{ job_class::Urgent,
                               job_class::Normal,
                               job_class::Heavy };
  std::uint32_t looks = aPlan.mSoft.mOptions.mMostLooks;
  for (const job_class each : kOrder) {
    class_queue(aPlan, each).Run(looks);
  }
}

} // namespace oriolewalk::cell
