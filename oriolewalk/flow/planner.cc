#include "oriolewalk/flow/planner.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <unordered_map>

#include "oriolewalk/flow/kept_capacity.h"
#include "oriolewalk/flow/open_steps.h"
#include "oriolewalk/flow/placement.h"
#include "oriolewalk/flow/quota_planner.h"
#include "oriolewalk/flow/reservations.h"
#include "oriolewalk/flow/speed_preference.h"

namespace oriolewalk::flow {

namespace {

using worker_list = std::vector<plan_worker*>;

const preemption_records&
RecordsOf(const plan_input& aInput)
{
  static const preemption_records sNone;
  return aInput.mPreemptionRecords == nullptr ? sNone
                                              : *aInput.mPreemptionRecords;
}

class plan_maker
{
public:
  explicit plan_maker(plan_input aInput)
    : mInput(std::move(aInput))
    , mReservations(*mInput.mState, RecordsOf(mInput), mInput.mPolicy)
    , mQuotas(*mInput.mState, *mInput.mProposed)
    , mLoad(*mInput.mState, mInput.mDurations, mInput.mNow)
    , mKept(*mInput.mState,
            *mInput.mWorkers,
            mInput.mForecast,
            mInput.mPolicy,
            mInput.mNow)
    , mSpeeds(mInput.mState->Table(), *mInput.mWorkers, mInput.mPolicy)
  {
    for (const auto& [number, pending] : mInput.mPending) {
      if (plan_worker* worker = Find(number)) {
        worker->mFree -= pending.mProposed;
        mKept.OnBooked(worker->mDescription->mService,
                       pending.mProposed.mMilliProcessors);
        worker->mBeingFreed += pending.mBeingFreed;
      }
    }
    for (const auto& [number, suspects] : mInput.mSuspicions.mByWorker) {
      if (plan_worker* worker = Find(number)) {
        worker->mSuspects = suspects;
      }
    }
  }

  plan_result Run()
  {
    std::vector<open_step> steps =
      CollectOpenSteps(*mInput.mState,
                       { .mProposed = mInput.mProposed,
                         .mWallMs = mInput.mWallMs,
                         .mOrder = mInput.mPolicy.mOrder,
                         .mShares = mInput.mPolicy.mShares,
                         .mScope = mInput.mScope,
                         .mSuspicions = &mInput.mSuspicions,
                         .mQuotas = &mQuotas,
                         .mCapacity = mInput.mWorkers->Capacity(),
                         .mDurations = mInput.mExpectedDurations,
                         .mNow = mInput.mNow,
                         .mLoad = CollectsLoad() ? &mLoad : nullptr });
    mAdvisors.emplace(mInput.mAdvisors,
                      mInput.mPolicy.mSharesAdvisors ? steps
                                                     : std::vector<open_step>(),
                      *mInput.mAdvice,
                      *mInput.mOpenQueries);
    for (open_step& step : steps) {
      const std::size_t waitsBefore = mResult.mWaits.size();
      mResult.mConsideredTasks += step.mWaiting.size();
      step.mSpeed = mSpeeds.For(step);
      const std::size_t beyondQuota = LimitToQuota(step);
      const bool isKept = KeepForUrgent(step);
      const bool waits = isKept || (!step.mWaiting.empty() && Serve(step));
      if (beyondQuota > 0 && !waits) {
        mResult.mWaits.push_back(
          { step.mRef, step.mQueue->mName, wait_cause::Quota, beyondQuota });
      }
      if (CollectsLoad() && mResult.mWaits.size() > waitsBefore) {
        mLoad.AddWaiting(step, mResult.mWaits.back());
      }
    }
    mResult.mFree = mInput.mWorkers->Free();
    for (const auto& [number, worker] : mCopies) {
      mResult.mFree += worker.mFree - mInput.mWorkers->Find(number)->mFree;
      mResult.mReserved += worker.mReserved;
    }
    PlanCopies();
    if (CollectsLoad()) {
      mResult.mLoads = CollectLoads();
    }
    mResult.mVisitedWorkers += mCopies.size();
    mResult.mOpenSteps = steps.size();
    mResult.mHeldForUrgent = mKept.Held();
    mResult.mComparisons += mReservations.Comparisons();
    return std::move(mResult);
  }

private:
  // What jobs are refused by; see admission.
  [[nodiscard]] bool CollectsLoad() const
  {
    return mInput.mPolicy.mRefusesHopeless && mInput.mScope == plan_scope::All;
  }

  cell_loads CollectLoads()
  {
    for (const auto& [number, worker] : mCopies) {
      mLoad.AddBooked(worker.mDescription->mService,
                      mInput.mWorkers->Find(number)->mFree - worker.mFree +
                        worker.mReserved);
    }
    return mLoad.Take(*mInput.mWorkers);
  }

  // The plan's own copy of the worker, which it may change; null if nothing may
  // start there.
  plan_worker* Find(worker_number aWorker)
  {
    if (const auto found = mCopies.find(aWorker); found != mCopies.end()) {
      return &found->second;
    }
    const plan_worker* shared = mInput.mWorkers->Find(aWorker);
    return shared == nullptr ? nullptr
                             : &mCopies.emplace(aWorker, *shared).first->second;
  }

  // The worker as this plan left it.
  [[nodiscard]] const plan_worker& Current(const plan_worker& aShared) const
  {
    const auto found = mCopies.find(aShared.mNumber);
    return found == mCopies.end() ? aShared : found->second;
  }

  // The workers on which the policy service allows the step, also by an expired
  // ticket. All workers of the service if the queue has no policy service.
  // Doesn't visit workers without a verdict, since most open steps wait for an
  // answer.
  [[nodiscard]] worker_list ApprovedFor(const open_step& aStep)
  {
    if (!aStep.mQueue->mAdvice) {
      return AllFor(aStep);
    }
    worker_list approved;
    for (const worker_number number :
         mInput.mAdvice->ApprovedWorkers(aStep.mRef, time_point::min())) {
      plan_worker* worker = Find(number);
      if (worker != nullptr && FitsWhenEmpty(aStep, *worker)) {
        approved.push_back(worker);
      }
    }
    return approved;
  }

  // Those of them with a valid ticket on which a task fits now. Most are full
  // when work waits, so the plan copies only these.
  [[nodiscard]] worker_list UsableFor(const open_step& aStep)
  {
    if (!aStep.mQueue->mAdvice) {
      return AllFor(aStep);
    }
    worker_list usable;
    for (const worker_number number :
         mInput.mAdvice->ApprovedWorkers(aStep.mRef, mInput.mNow)) {
      const plan_worker* shared = mInput.mWorkers->Find(number);
      if (shared != nullptr && FitsNow(aStep, Current(*shared)) &&
          FitsWhenEmpty(aStep, *shared)) {
        usable.push_back(Find(number));
      }
    }
    return usable;
  }

  [[nodiscard]] worker_list AllFor(const open_step& aStep)
  {
    worker_list all;
    for (const auto& [capacity, ranked] :
         mInput.mWorkers->Ranked(aStep.mQueue->mService)) {
      for (const auto& [rank, worker] : ranked) {
        if (FitsWhenEmpty(aStep, *worker)) {
          all.push_back(Find(worker->mNumber));
        }
      }
    }
    std::ranges::sort(all, {}, &plan_worker::mNumber);
    return all;
  }

  // Removes the waiting tasks that the quota of their organisation doesn't
  // allow to start, and returns how many; of tasks that weren't listed, those
  // that aren't done. A step of which none is left is not served: it neither
  // reserves or preempts capacity nor queries the policy service.
  std::size_t LimitToQuota(open_step& aStep)
  {
    const std::size_t tasks = aStep.mRecord->mTasks.size();
    const std::size_t waiting = aStep.mAtQuota
                                  ? tasks - aStep.mRecord->mDoneTasks
                                  : aStep.mWaiting.size();
    const std::size_t startable =
      aStep.mAtQuota ? 0
                     : mQuotas.Startable(*aStep.mJob, *aStep.mSpec, waiting);
    const std::size_t beyond = waiting - startable;
    mResult.mWaiting += beyond;
    mResult.mUrgentWaiting += aStep.mQueue->mPriority == 0 ? beyond : 0;
    aStep.mWaiting.resize(startable);
    if (startable == 0 &&
        (aStep.mSpec->mGang || mQuotas.IsOversize(*aStep.mJob, *aStep.mSpec))) {
      mQuotas.HoldForWhole(*aStep.mJob, *aStep.mSpec, tasks);
    }
    return beyond;
  }

  // Removes the waiting tasks whose start would take the room of urgent work
  // that is expected while they run. Returns whether these are all.
  bool KeepForUrgent(open_step& aStep)
  {
    const std::size_t startable = mKept.Startable(aStep);
    const std::size_t held = aStep.mWaiting.size() - startable;
    mResult.mWaiting += held;
    aStep.mWaiting.resize(startable);
    if (held == 0 || startable > 0) {
      return false;
    }
    mResult.mWaits.push_back(
      { aStep.mRef, aStep.mQueue->mName, wait_cause::Room, held });
    return true;
  }

  // Starts what can start now. Returns whether the step waits for the rest.
  bool Serve(const open_step& aStep)
  {
    step_placement placement(aStep, *mInput.mProposed, mInput.mPolicy);
    const std::size_t placed = PlaceNow(aStep, placement);
    mKept.OnBooked(aStep.mQueue->mService,
                   static_cast<std::int64_t>(placed) *
                     aStep.mSpec->Booked().mMilliProcessors);
    // Users notice each second of a top-priority step's delay, so later steps
    // of its organisation can't use the quota that it waits to use.
    const bool holdsAll = IsTopPriority(*aStep.mQueue, *aStep.mSpec);
    mQuotas.Hold(
      *aStep.mJob, *aStep.mSpec, holdsAll ? aStep.mWaiting.size() : placed);
    const std::size_t left = aStep.mWaiting.size() - placed;
    mResult.mWaiting += left;
    mResult.mUrgentWaiting += aStep.mQueue->mPriority == 0 ? left : 0;
    if (left == 0) {
      return false;
    }
    const wait_cause cause =
      IsGangUnderWay(aStep)
        ? wait_cause::Gang
        : ReserveAndQuery(
            aStep, std::span(aStep.mWaiting).subspan(placed), placement);
    mResult.mWaits.push_back({ aStep.mRef, aStep.mQueue->mName, cause, left });
    return true;
  }

  // Some members of the gang's last attempt haven't ended.
  [[nodiscard]] static bool IsGangUnderWay(const open_step& aStep)
  {
    return aStep.mSpec->mGang &&
           aStep.mWaiting.size() != aStep.mRecord->mTasks.size();
  }

  // Starts the first tasks of aStep.mWaiting and returns how many. A gang
  // starts whole or not at all; a step that is bound to one rack starts in one.
  std::size_t PlaceNow(const open_step& aStep, step_placement& aPlacement)
  {
    const worker_list candidates = UsableFor(aStep);
    if (candidates.empty() || IsGangUnderWay(aStep)) {
      return 0;
    }
    if (!aStep.mSpec->mGang && !aStep.mSpec->mSameRack) {
      return PlaceSome(aStep, {}, candidates, aPlacement);
    }
    const std::size_t all = aStep.mWaiting.size();
    for (const rack_id& rack : RacksFor(aStep, candidates)) {
      const std::size_t before = mResult.mStarts.size();
      if (PlaceSome(aStep, rack, candidates, aPlacement) == all) {
        if (aStep.mSpec->mGang) {
          LeaveUselessSpeed(aStep, rack, candidates, before, aPlacement);
        }
        return all;
      }
      UndoStarts(aStep, before, aPlacement);
    }
    return 0;
  }

  // The candidates' racks to try for the whole step, in order. An empty rack
  // name stands for any rack, which is the only one if the step isn't bound to
  // a rack.
  [[nodiscard]] static std::vector<rack_id> RacksFor(
    const open_step& aStep,
    const worker_list& aCandidates)
  {
    if (!aStep.mSpec->mSameRack) {
      return { rack_id() };
    }
    std::set<rack_id> racks;
    for (const plan_worker* worker : aCandidates) {
      racks.insert(worker->mDescription->mRack);
    }
    std::vector<rack_id> order(racks.begin(), racks.end());
    std::ranges::stable_partition(order, [&](const rack_id& aRack) {
      return aRack.Value() == aStep.mSpec->mDataRack;
    });
    if (!aStep.mSpec->mGang) {
      order.emplace_back(); // any rack, which is slower but avoids starvation
    }
    return order;
  }

  std::size_t PlaceSome(const open_step& aStep,
                        const rack_id& aRack,
                        const worker_list& aCandidates,
                        step_placement& aPlacement)
  {
    std::size_t placed = 0;
    for (const std::uint32_t task : aStep.mWaiting) {
      mResult.mComparisons += aCandidates.size();
      plan_worker* best =
        aPlacement.BestWorker(task, aRack, aCandidates, FitsNow);
      if (best == nullptr) {
        break; // all tasks of a step have the same requirements
      }
      aPlacement.AddTask(*best);
      Start(aStep, task, *best);
      ++placed;
    }
    return placed;
  }

  // A gang is as slow as its slowest member. If the gang that was placed by the
  // starts from aFrom on includes a slow worker, places it on the slowest ones
  // that don't delay it further, and leaves the fast ones to others.
  void LeaveUselessSpeed(const open_step& aStep,
                         const rack_id& aRack,
                         const worker_list& aCandidates,
                         std::size_t aFrom,
                         step_placement& aPlacement)
  {
    if (aStep.mSpeed.mUse == speed_use::LeaveFast ||
        !mSpeeds.Matter(aStep.mQueue->mService)) {
      return;
    }
    double slowest = std::numeric_limits<double>::max();
    for (std::size_t index = aFrom; index < mResult.mStarts.size(); ++index) {
      slowest =
        std::min(slowest, Find(mResult.mStarts[index].mStart.mWorker)->mSpeed);
    }
    const std::size_t all = mResult.mStarts.size() - aFrom;
    UndoStarts(aStep, aFrom, aPlacement);
    open_step leaving = aStep;
    leaving.mSpeed = { speed_use::LeaveFast, slowest };
    step_placement placement(leaving, *mInput.mProposed, mInput.mPolicy);
    if (PlaceSome(leaving, aRack, aCandidates, placement) < all) {
      UndoStarts(leaving, aFrom, placement);
      PlaceSome(aStep, aRack, aCandidates, aPlacement);
    }
  }

  void UndoStarts(const open_step& aStep,
                  std::size_t aFrom,
                  step_placement& aPlacement)
  {
    for (std::size_t index = aFrom; index < mResult.mStarts.size(); ++index) {
      plan_worker& worker = *Find(mResult.mStarts[index].mStart.mWorker);
      worker.mFree += aStep.mSpec->Booked();
      aPlacement.RemoveTask(worker);
      const std::uint32_t task =
        mResult.mStarts[index].mStart.mRun.mTask.mIndex;
      worker.mSuspects.Remove(SuspicionOf(aStep, task));
    }
    mResult.mStarts.resize(aFrom);
  }

  void Start(const open_step& aStep, std::uint32_t aTask, plan_worker& aWorker)
  {
    aWorker.mFree -= aStep.mSpec->Booked();
    aWorker.mSuspects.Add(SuspicionOf(aStep, aTask));
    const step_ref& ref = aStep.mRef;
    attempt_t attempt = mInput.mState->LastAttempt(
                          { ref.mJob, ref.mOccurrence, ref.mStep, aTask }) +
                        1;
    if (aStep.mSpec->mGang) {
      for (const task_record& member : aStep.mRecord->mTasks) {
        attempt = std::max(attempt, member.mAttempt + 1);
      }
    }
    mResult.mStarts.push_back(
      { { { { ref.mJob, ref.mOccurrence, ref.mStep, aTask }, attempt },
          aWorker.mNumber },
        mInput.mAdvice->TicketFor(ref, aWorker.mNumber, mInput.mNow) });
  }

  // Starts copies of slow tasks on what is free when all steps are served.
  void PlanCopies()
  {
    if (mInput.mScope != plan_scope::All || !mInput.mPolicy.mCopies ||
        mInput.mRunning.empty()) {
      return;
    }
    copy_budget budget(*mInput.mState,
                       *mInput.mProposed,
                       mInput.mWorkers->Capacity(),
                       mResult.mFree - mResult.mReserved);
    const copy_input input{ .mState = mInput.mState,
                            .mRunning = mInput.mRunning,
                            .mFinished = &mInput.mFinished,
                            .mDurations = mInput.mDurations,
                            .mCopyCounts = &mInput.mCopyCounts,
                            .mWaitingPriority = PriorityWaitingForRoom(),
                            .mNow = mInput.mNow };
    for (const copy_candidate& candidate : SelectCopies(input)) {
      const step_spec& spec = *mInput.mState->FindStep(candidate.mRun.mTask);
      if (!mInput.mProposed->contains(candidate.mRun.mTask) &&
          budget.MayAdd(spec) && PlanCopy(candidate)) {
        budget.Add(spec);
      }
    }
  }

  [[nodiscard]] std::optional<int> PriorityWaitingForRoom() const
  {
    std::optional<int> first;
    for (const waiting_step& wait : mResult.mWaits) {
      const job_record* job = mInput.mState->FindJob(wait.mStep.mJob);
      if (wait.mCause == wait_cause::Room && job != nullptr) {
        const int priority = mInput.mState->QueueOf(*job).mPriority;
        first = std::min(first.value_or(priority), priority);
      }
    }
    return first;
  }

  // Returns whether there is a worker for the copy now.
  bool PlanCopy(const copy_candidate& aCandidate)
  {
    const task_ref& task = aCandidate.mRun.mTask;
    const step_ref ref{ task.mJob, task.mOccurrence, task.mStep };
    const job_record& job = *mInput.mState->FindJob(task.mJob);
    open_step step;
    step.mRef = ref;
    step.mJob = &job;
    step.mQueue = &mInput.mState->QueueOf(job);
    step.mSpec = mInput.mState->FindStep(task);
    step.mRecord = mInput.mState->FindStepRecord(task);
    step.mWaiting = { task.mIndex };
    step.mCopyWorkers = CopyWorkers(*mInput.mState, ref);
    // The maximum per worker counts starts from the next plan on.
    if ((step.mSpec->mMaxPerWorker > 0 && StartsTasksOf(ref)) ||
        mQuotas.Startable(job, *step.mSpec, 1) == 0) {
      return false;
    }
    const step_placement placement(step, *mInput.mProposed, mInput.mPolicy);
    plan_worker* best = WorkerForCopy(step, aCandidate.mWorker, placement);
    if (best == nullptr) {
      if (step.mQueue->mAdvice && mAdvisors->HasSurplus() &&
          std::ranges::find(mResult.mQueries, ref, &advice_query::mStep) ==
            mResult.mQueries.end()) {
        Query(step, 1, {});
      }
      return false;
    }
    best->mFree -= step.mSpec->Booked();
    mQuotas.Hold(job, *step.mSpec, 1);
    mResult.mTaskCopies.push_back(
      { { { { task, mInput.mState->LastAttempt(task) + 1 }, best->mNumber },
          mInput.mAdvice->TicketFor(ref, best->mNumber, mInput.mNow) },
        aCandidate });
    return true;
  }

  [[nodiscard]] bool StartsTasksOf(const step_ref& aStep) const
  {
    const auto isOfStep = [&](const planned_start& aStart) {
      const task_ref& task = aStart.mStart.mRun.mTask;
      return step_ref{ task.mJob, task.mOccurrence, task.mStep } == aStep;
    };
    return std::ranges::any_of(mResult.mStarts, isOfStep) ||
           std::ranges::any_of(
             mResult.mTaskCopies, isOfStep, &planned_copy::mStart);
  }

  // On another rack than the present worker's if possible. What slows a worker
  // down may slow its rack.
  [[nodiscard]] plan_worker* WorkerForCopy(const open_step& aStep,
                                           worker_number aPresent,
                                           const step_placement& aPlacement)
  {
    const plan_worker* present = mInput.mWorkers->Find(aPresent);
    const double minSpeed = present == nullptr ? 0 : present->mSpeed;
    worker_list usable = UsableFor(aStep);
    std::erase_if(usable, [&](const plan_worker* aWorker) {
      return aWorker->mNumber == aPresent || aWorker->mAvoided ||
             aWorker->mSpeed < minSpeed || Interferes(aStep, *aWorker);
    });
    const rack_id& rack =
      mInput.mState->FindWorker(aPresent)->mDescription.mRack;
    worker_list elsewhere;
    std::ranges::copy_if(
      usable, std::back_inserter(elsewhere), [&](const plan_worker* aWorker) {
        return aWorker->mDescription->mRack != rack;
      });
    mResult.mComparisons += usable.size() + elsewhere.size();
    const std::uint32_t task = aStep.mWaiting.front();
    plan_worker* best = aPlacement.BestWorker(task, {}, elsewhere, FitsNow);
    return best != nullptr ? best
                           : aPlacement.BestWorker(task, {}, usable, FitsNow);
  }

  wait_cause ReserveAndQuery(const open_step& aStep,
                             std::span<const std::uint32_t> aTasks,
                             step_placement& aPlacement)
  {
    const worker_list approved = ApprovedFor(aStep);
    if (approved.empty() && mInput.mOpenQueries->contains(aStep.mRef)) {
      ReserveQueried(aStep, aTasks, aPlacement);
      return wait_cause::Verdict;
    }
    capacity_reservation reservation;
    if (mInput.mPolicy.mReservesCapacity || mInput.mPolicy.mPreempts) {
      reservation = mReservations.Reserve(aStep, aTasks, approved, aPlacement);
    }
    const bool needsAdvisor =
      aStep.mQueue->mAdvice && !Query(aStep, aTasks.size(), reservation);
    // Tasks that wait for a worker to drain start sooner elsewhere.
    const std::size_t served =
      reservation.mWorkers.size() - reservation.mDrainingTasks;
    ReserveQueried(aStep, aTasks.subspan(served), aPlacement);
    const bool willHaveTickets = WillHaveTickets(aStep, reservation);
    const wait_cause cause =
      CauseOf(aStep, approved, reservation, needsAdvisor);
    if (!willHaveTickets) {
      mReservations.Release(aStep, reservation);
      return cause;
    }
    for (const auto& [run, worker] : reservation.mPreemptions) {
      mResult.mPreemptions.push_back({ { run, worker->mNumber }, aStep.mRef });
    }
    return cause;
  }

  // While a query for a top-priority step is in flight, or part of this plan,
  // reserves the capacity that aTasks would use on the queried workers.
  // Otherwise other steps start runs there or query the same workers, and all
  // but the first of them have to preempt or to query again.
  void ReserveQueried(const open_step& aStep,
                      std::span<const std::uint32_t> aTasks,
                      step_placement& aPlacement)
  {
    if (!mInput.mPolicy.mReservesCapacity ||
        !IsTopPriority(*aStep.mQueue, *aStep.mSpec)) {
      return;
    }
    worker_list workers;
    for (const worker_number number : QueriedWorkers(aStep)) {
      const plan_worker* shared = mInput.mWorkers->Find(number);
      if (shared != nullptr && FitsNow(aStep, Current(*shared))) {
        workers.push_back(Find(number));
      }
    }
    for (const std::uint32_t task : aTasks) {
      mResult.mComparisons += workers.size();
      plan_worker* worker = aPlacement.BestWorker(task, {}, workers, FitsNow);
      if (worker == nullptr) {
        break;
      }
      worker->mReserved += aStep.mSpec->Booked();
      aPlacement.AddTask(*worker);
    }
  }

  // Whether this plan queries the policy service for the step. Holds only while
  // the step is served.
  [[nodiscard]] bool IsQueriedByPlan(const open_step& aStep) const
  {
    return !mResult.mQueries.empty() &&
           mResult.mQueries.back().mStep == aStep.mRef;
  }

  // The workers of the step's query that is in flight or part of this plan.
  [[nodiscard]] std::span<const worker_number> QueriedWorkers(
    const open_step& aStep) const
  {
    if (IsQueriedByPlan(aStep)) {
      return mResult.mQueries.back().mWorkers;
    }
    if (mInput.mQueriedWorkers == nullptr) {
      return {};
    }
    const auto found = mInput.mQueriedWorkers->find(aStep.mRef);
    return found == mInput.mQueriedWorkers->end()
             ? std::span<const worker_number>()
             : found->second;
  }

  [[nodiscard]] wait_cause CauseOf(const open_step& aStep,
                                   const worker_list& aApproved,
                                   const capacity_reservation& aReservation,
                                   bool aNeedsAdvisor) const
  {
    if (aNeedsAdvisor) {
      return wait_cause::Advisor;
    }
    if (aApproved.empty()) {
      return HasOpenQuery(aStep) ? wait_cause::Verdict : wait_cause::Nowhere;
    }
    const bool hasCapacity = aReservation.mPreemptions.empty() &&
                             aReservation.mDrainingTasks == 0 &&
                             !aReservation.mWorkers.empty();
    return hasCapacity && HasOpenQuery(aStep) ? wait_cause::Ticket
                                              : wait_cause::Room;
  }

  // Whether a query for the step is in flight or part of this plan.
  [[nodiscard]] bool HasOpenQuery(const open_step& aStep) const
  {
    return mInput.mOpenQueries->contains(aStep.mRef) || IsQueriedByPlan(aStep);
  }

  // Whether the reserved workers' tickets are valid or a query is open.
  // Capacity is reserved only for steps that can start there.
  [[nodiscard]] bool WillHaveTickets(
    const open_step& aStep,
    const capacity_reservation& aReservation) const
  {
    return !aStep.mQueue->mAdvice || HasOpenQuery(aStep) ||
           std::ranges::all_of(
             aReservation.mWorkers, [&](const plan_worker* aWorker) {
               return mInput.mAdvice->VerdictFor(
                        aStep.mRef, aWorker->mNumber, mInput.mNow) ==
                      verdict::Approved;
             });
  }

  // Adds a query to the plan if one is worthwhile. Returns false if no advisor
  // is available for the step.
  bool Query(const open_step& aStep,
             std::size_t aTasks,
             const capacity_reservation& aReservation)
  {
    if (HasOpenQuery(aStep)) {
      return true;
    }
    if (!mAdvisors->CanQuery(aStep)) {
      return false;
    }
    if (mInput.mNothingToQuery->contains(aStep.mRef)) {
      return true;
    }
    query_need need{ aTasks, {}, mAdvisors->HasSurplus() };
    // While a task waits for a run to end on its own, its tickets may expire
    // several times. They are renewed ahead of time only if no other step needs
    // the advisors.
    if (aReservation.mDrainingTasks == 0 || need.mHasSurplusAdvisors) {
      for (const plan_worker* worker : aReservation.mWorkers) {
        need.mReserved.insert(worker->mNumber);
      }
    }
    const std::vector<const plan_worker*> candidates =
      QueryCandidates(aStep, need);
    mResult.mVisitedWorkers += candidates.size();
    advice_query query{
      aStep.mRef,
      WorkersToQuery(
        aStep, need, candidates, *mInput.mAdvice, mInput.mPolicy, mInput.mNow)
    };
    if (!query.mWorkers.empty()) {
      mAdvisors->OnQuery(aStep);
      mResult.mQueries.push_back(std::move(query));
    } else if (aStep.mQueue->mPriority > 0) {
      mResult.mNothingToQuery.push_back(aStep.mRef);
    }
    return true;
  }

  // The workers that a query for the step may include: those with a verdict or
  // a reservation, those near its data, and the best of the others. As many of
  // the others have free capacity as a query takes, if there are so many, and
  // no more of them are full than a query takes.
  [[nodiscard]] std::vector<const plan_worker*> QueryCandidates(
    const open_step& aStep,
    const query_need& aNeed)
  {
    const plan_workers& workers = *mInput.mWorkers;
    std::vector<const plan_worker*> candidates;
    const auto add = [&](worker_number aNumber) {
      if (const plan_worker* worker = workers.Find(aNumber)) {
        candidates.push_back(worker);
      }
    };
    std::ranges::for_each(aNeed.mReserved, add);
    std::ranges::for_each(mInput.mAdvice->QueriedWorkers(aStep.mRef), add);
    std::ranges::for_each(workers.InRack(rack_id(aStep.mSpec->mDataRack)), add);
    // Those with a verdict are no news to the step.
    const std::size_t wanted =
      MaxWorkersToQuery(aStep, aNeed, *mInput.mAdvice) +
      mInput.mAdvice->QueriedCount(aStep.mRef);
    for (const auto& [capacity, ranked] :
         workers.Ranked(aStep.mQueue->mService, aStep.mSpeed.mUse)) {
      AddBest(aStep, wanted, ranked, candidates);
    }
    std::ranges::sort(candidates, {}, &plan_worker::mNumber);
    const auto repeated = std::ranges::unique(candidates);
    candidates.erase(repeated.begin(), repeated.end());
    std::ranges::transform(
      candidates, candidates.begin(), [this](const plan_worker* aWorker) {
        return &Current(*aWorker);
      });
    return candidates;
  }

  // Adds the best workers until aWanted of them could run a task now without
  // harm. Of those that are full, and of those that are a last resort, it adds
  // no more than a query takes.
  // aRanked: workers of one capacity.
  void AddBest(const open_step& aStep,
               std::size_t aWanted,
               const plan_workers::ranking& aRanked,
               std::vector<const plan_worker*>& aCandidates)
  {
    if (!aStep.mSpec->Booked().FitsIn(
          aRanked.begin()->second->mDescription->mCapacity)) {
      return;
    }
    std::array<std::size_t, 3> found{}; // by availability
    const std::size_t& usable =
      found[static_cast<std::size_t>(availability::Usable)];
    for (const auto& [rank, worker] : aRanked) {
      if (usable >= aWanted) {
        break;
      }
      ++mResult.mComparisons;
      std::size_t& known =
        found.at(static_cast<std::size_t>(AvailabilityOf(aStep, *worker)));
      if (known < aWanted && FitsWhenEmpty(aStep, *worker)) {
        ++known;
        aCandidates.push_back(worker);
      }
    }
  }

  // Whether a task of the step could run on a worker now.
  enum class availability : std::uint8_t
  {
    Usable,
    LastResort, // with harm
    Full,
  };

  [[nodiscard]] availability AvailabilityOf(const open_step& aStep,
                                            const plan_worker& aWorker) const
  {
    if (!FitsNow(aStep, aWorker) || !FitsNow(aStep, Current(aWorker))) {
      return availability::Full;
    }
    return aWorker.mAvoided || Interferes(aStep, aWorker) ||
               IsTooSlow(aStep, aWorker)
             ? availability::LastResort
             : availability::Usable;
  }

  plan_input mInput;
  // Workers that this plan has looked at, with what it booked there.
  std::unordered_map<worker_number, plan_worker> mCopies;
  reservation_planner mReservations;
  quota_planner mQuotas;
  load_collector mLoad;
  kept_capacity mKept;
  speed_preferences mSpeeds;
  std::optional<advisor_pool> mAdvisors;
  plan_result mResult;
};

} // namespace

plan_result
MakePlan(plan_input aInput)
{
  return plan_maker(std::move(aInput)).Run();
}

} // namespace oriolewalk::flow
