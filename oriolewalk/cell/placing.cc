// Chooses the worker for a task.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/health.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/packing.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/reservations.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

// A family that uses more than it declares searches for capacity for its
// observed use. After this wait the declared size suffices, which prevents
// starvation.
constexpr std::int64_t kPaddedWaitMs = 30'000;

// Returns true if a task of aSize leaves the reserved capacity free at the
// reservation's start. Tasks that are expected to end by then are not counted.
bool
FitsBesideReserved(const plan_context& aPlan,
                   const resources& aSize,
                   worker_slot aSlot,
                   const reserved_capacity& aReserved)
{
  const resources needed = aSize + aReserved.mAmount;
  resources free = aPlan.mSoft.Free(aPlan.mState, aSlot);
  if (needed.FitsIn(free)) {
    return true;
  }
  for (const task_id& id : aPlan.mState.Workers()[aSlot].mTasks) {
    const job_record& job = *aPlan.mState.FindJob(id.mJob);
    const task_record& task = job.mTasks[id.mIndex];
    if (ExpectedEndMs(aPlan, job, task) <= aReserved.mFromMs) {
      free += Booking(job.mSpec, task);
    }
  }
  return needed.FitsIn(free);
}

// One search for a worker for one task.
class worker_choice
{
public:
  worker_choice(plan_context& aPlan,
                const job_record& aJob,
                std::uint32_t aIndex)
    : mPlan(aPlan)
    , mSoft(aPlan.mSoft)
    , mJob(aJob)
    , mTask{ aJob.mNumber, aIndex }
    , mExpectedMs(mSoft.mLearning.ExpectedMs(aJob.mSpec))
  {
    const auto failed = mSoft.mFailedOn.find(mTask);
    mFailedOn = failed == mSoft.mFailedOn.end() ? nullptr : &failed->second;
  }

  std::optional<worker_slot> Find()
  {
    if (const auto own = FindReservedPlace()) {
      return own;
    }
    const resources padded = mSoft.mLearning.CapacityToSearch(mJob.mSpec);
    const bool pads = padded != mJob.mSpec.mEach &&
                      mJob.mSpec.mClass != job_class::Urgent &&
                      WaitedMs(mPlan, mJob) < kPaddedWaitMs;
    auto found = FindFor(pads ? padded : mJob.mSpec.mEach);
    if (!found && mFailedOn != nullptr && mRejectedForTask) {
      // Earlier attempts of the task failed on every worker that fits, so all
      // are equally good.
      mFailedOn = nullptr;
      found = FindFor(mJob.mSpec.mEach);
    }
    return found;
  }

private:
  std::optional<worker_slot> FindReservedPlace()
  {
    const reservation* reserved = mSoft.mReservations.Find(mJob.mNumber);
    if (reserved == nullptr) {
      return std::nullopt;
    }
    for (const auto& [slot, count] : reserved->mPlaces) {
      if (mSoft.mIndex.Contains(slot) &&
          mJob.mSpec.mEach.FitsIn(mSoft.Free(mPlan.mState, slot))) {
        return slot;
      }
    }
    return std::nullopt;
  }

  std::optional<worker_slot> FindFor(const resources& aSize)
  {
    unplaced_request request{
      aSize, false, mExpectedMs, MayBackfill(), mJob.mSpec.mClass
    };
    if (mSoft.IsKnownUnplaceable(request)) {
      return std::nullopt;
    }
    const auto found =
      mJob.mSpec.mKind == job_kind::Service
        ? FindSpread(aSize)
        : mSoft.mIndex.Find(
            mSoft.mOptions.mPacking,
            aSize,
            [&](worker_slot aSlot) { return Accepts(aSlot, aSize); },
            mSoft.mRandom);
    if (!found && !mRejectedForTask) {
      request.mForAll = !mRejectedForReservation;
      mSoft.AddUnplaced(request);
    }
    return found;
  }

  bool Accepts(worker_slot aSlot, const resources& aSize)
  {
    if (mSoft.mHealth.HasSuspects() && !AcceptsProbe(aSlot)) {
      mRejectedForTask = true;
      return false;
    }
    if (mFailedOn != nullptr &&
        std::ranges::find(*mFailedOn, aSlot) != mFailedOn->end()) {
      mRejectedForTask = true;
      return false;
    }
    const auto reserved = mSoft.mReservations.ReservedOn(aSlot, mJob.mNumber);
    if (!reserved || mJob.mSpec.mClass < reserved->mClass ||
        FitsBesideReserved(mPlan, aSize, aSlot, *reserved) ||
        (MayBackfill() &&
         mPlan.mNow.mWallMs + mExpectedMs <= reserved->mFromMs)) {
      return true;
    }
    mRejectedForReservation = true;
    return false;
  }

  // A task that overran a reservation once may not backfill again; it would be
  // started and ended there repeatedly.
  [[nodiscard]] bool MayBackfill() const
  {
    return IsEvictable(mJob.mSpec) && mExpectedMs > 0 &&
           mJob.mLatestMove != stop_reason::Overrun;
  }

  // A suspect worker is probed with one repeatable task at a time.
  [[nodiscard]] bool AcceptsProbe(worker_slot aSlot) const
  {
    return mSoft.mHealth.Standing(aSlot, mPlan.mNow.mNow) ==
             worker_standing::Good ||
           (mJob.mSpec.mRepeatable && mJob.mSpec.mKind == job_kind::Batch &&
            mPlan.mState.Workers()[aSlot].mTasks.empty() &&
            mSoft.mWorkers[aSlot].mInFlight == resources{});
  }

  // Spreads replicas: chooses the data centre with the fewest, in it the rack
  // with the fewest, there the worker with the fewest, then the best fit. The
  // loss of any of them then affects the smallest share of the service.
  std::optional<worker_slot> FindSpread(const resources& aSize)
  {
    CountReplicas();
    using ranked_rack =
      std::tuple<std::uint32_t, std::uint32_t, const std::set<worker_slot>*>;
    std::vector<ranked_rack> racks;
    for (const auto& [centre, byRack] : mSoft.mRacks) {
      for (const auto& [rack, slots] : byRack) {
        racks.emplace_back(
          mByCentre[centre], mByRack[{ centre, rack }], &slots);
      }
    }
    std::ranges::stable_sort(racks, [](const auto& aLeft, const auto& aRight) {
      return std::tie(std::get<0>(aLeft), std::get<1>(aLeft)) <
             std::tie(std::get<0>(aRight), std::get<1>(aRight));
    });
    for (const auto& [inCentre, inRack, slots] : racks) {
      if (const auto found = BestInRack(*slots, aSize)) {
        return found;
      }
    }
    return std::nullopt;
  }

  std::optional<worker_slot> BestInRack(const std::set<worker_slot>& aSlots,
                                        const resources& aSize)
  {
    std::optional<worker_slot> best;
    std::pair<std::uint32_t, double> bestRank;
    for (const worker_slot slot : aSlots) {
      const resources free = mSoft.Free(mPlan.mState, slot);
      if (!mSoft.mIndex.Contains(slot) || !aSize.FitsIn(free) ||
          !Accepts(slot, aSize)) {
        continue;
      }
      const std::pair rank{
        mByWorker[slot],
        Score(shaped_fit{}, aSize, free, mPlan.mState.Workers()[slot].mCapacity)
      };
      if (!best || rank < bestRank) {
        best = slot;
        bestRank = rank;
      }
    }
    return best;
  }

  void CountReplicas()
  {
    for (std::uint32_t at = 0; at < mJob.mTasks.size(); ++at) {
      const task_record& task = mJob.mTasks[at];
      worker_slot slot = task.mWorker;
      if (task.mState != task_state::Placed) {
        const auto start = mSoft.mStarts.find({ mJob.mNumber, at });
        slot = start == mSoft.mStarts.end() ? kNoWorker : start->second.mWorker;
      }
      if (slot != kNoWorker) {
        const worker_record& worker = mPlan.mState.Workers()[slot];
        ++mByCentre[worker.mDataCentre];
        ++mByRack[{ worker.mDataCentre, worker.mRack }];
        ++mByWorker[slot];
      }
    }
  }

  plan_context& mPlan;
  soft_state& mSoft;
  const job_record& mJob;
  task_id mTask;
  std::int64_t mExpectedMs;
  const std::vector<worker_slot>* mFailedOn = nullptr;
  bool mRejectedForTask = false;
  bool mRejectedForReservation = false;
  std::map<data_centre_id, std::uint32_t> mByCentre;
  std::map<std::pair<data_centre_id, rack_id>, std::uint32_t> mByRack;
  std::map<worker_slot, std::uint32_t> mByWorker;
};

void
ProposeStart(plan_context& aPlan,
             const job_record& aJob,
             std::uint32_t aIndex,
             worker_slot aSlot)
{
  soft_state& soft = aPlan.mSoft;
  const worker_record& worker = aPlan.mState.Workers()[aSlot];
  const task_id task{ aJob.mNumber, aIndex };
  const auto reserved = soft.mReservations.ReservedOn(aSlot, aJob.mNumber);
  if (reserved && aJob.mSpec.mClass >= reserved->mClass &&
      !FitsBesideReserved(aPlan, aJob.mSpec.mEach, aSlot, *reserved)) {
    soft.mBackfilled.insert(task);
  }
  aPlan.mStarts.mPlacements.push_back(
    { task, aJob.mTasks[aIndex].mAttempt + 1, worker.mId, worker.mBoot });
  soft.AddStart(aPlan.mState,
                task,
                { aSlot, aJob.mOrganisation, aJob.mSpec.mEach },
                aPlan.mNow.mNow);
}

void
TakeBack(plan_context& aPlan, std::size_t aKeep)
{
  while (aPlan.mStarts.mPlacements.size() > aKeep) {
    const task_id task = aPlan.mStarts.mPlacements.back().mTask;
    aPlan.mSoft.mBackfilled.erase(task);
    aPlan.mSoft.ClearStart(aPlan.mState, task, aPlan.mNow.mNow);
    aPlan.mStarts.mPlacements.pop_back();
  }
}

// Starts all tasks or none. Two gangs that each occupied places while waiting
// for the others could deadlock.
start_result
TryStartGang(plan_context& aPlan, const job_record& aJob)
{
  const std::size_t before = aPlan.mStarts.mPlacements.size();
  const auto known = aPlan.mSoft.mUnplaced;
  for (std::uint32_t at = aJob.mFirstWaiting; at < aJob.mTasks.size(); ++at) {
    if (aJob.mTasks[at].mState != task_state::Waiting) {
      continue;
    }
    const auto slot = worker_choice(aPlan, aJob, at).Find();
    if (!slot) {
      TakeBack(aPlan, before);
      // Searches in the trial may have failed because of its starts.
      aPlan.mSoft.mUnplaced = known;
      return start_result::DoesNotFit;
    }
    ProposeStart(aPlan, aJob, at, *slot);
  }
  aPlan.mSoft.DropReservation(aJob.mNumber);
  return start_result::Started;
}

} // namespace

start_result
TryStart(plan_context& aPlan, const job_record& aJob, std::uint32_t aIndex)
{
  soft_state& soft = aPlan.mSoft;
  const bool gang = aJob.mSpec.mKind == job_kind::Gang;
  const resources needed = aJob.mSpec.mEach * (gang ? aJob.mWaiting : 1);
  if (!soft.QuotaAllows(aPlan.mState, aJob.mOrganisation, needed)) {
    return start_result::ExceedsQuota;
  }
  if (gang) {
    return TryStartGang(aPlan, aJob);
  }
  const auto slot = worker_choice(aPlan, aJob, aIndex).Find();
  if (!slot) {
    return start_result::DoesNotFit;
  }
  if (aJob.mTasks[aIndex].mAttempt > 0 &&
      aJob.mSpec.mClass != job_class::Urgent &&
      !soft.TakeRecoveryToken(aPlan.mNow.mNow)) {
    return start_result::Paced;
  }
  ProposeStart(aPlan, aJob, aIndex, *slot);
  if (soft.mReservations.Find(aJob.mNumber) != nullptr) {
    soft.mReservations.Use(aJob.mNumber, *slot);
  }
  return start_result::Started;
}

} // namespace oriolewalk::cell
