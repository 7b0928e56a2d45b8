#include "oriolewalk/flow/planner.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <unordered_map>

#include "oriolewalk/flow/open_steps.h"
#include "oriolewalk/flow/placement.h"
#include "oriolewalk/flow/reservations.h"

namespace oriolewalk::flow {

namespace {

using worker_list = std::vector<plan_worker*>;

class plan_maker
{
public:
  explicit plan_maker(plan_input aInput)
    : mInput(std::move(aInput))
    , mHolds(*mInput.mState, mInput.mPreemptionRecords, mInput.mPolicy)
  {
    for (plan_worker& worker : mInput.mWorkers) {
      mByNumber[worker.mNumber] = &worker;
      mByService[worker.mDescription->mService].push_back(&worker);
      const auto suspects = mInput.mSuspicions.mByWorker.find(worker.mNumber);
      if (suspects != mInput.mSuspicions.mByWorker.end()) {
        worker.mSuspects = suspects->second;
      }
    }
  }

  plan_result Run()
  {
    const std::vector<open_step> steps = CollectOpenSteps(*mInput.mState,
                                                          *mInput.mProposed,
                                                          mInput.mWallMs,
                                                          mInput.mPolicy.mOrder,
                                                          mInput.mScope,
                                                          mInput.mSuspicions);
    mAdvisors.emplace(mInput.mAdvisors,
                      mInput.mPolicy.mSharesAdvisors ? steps
                                                     : std::vector<open_step>(),
                      *mInput.mAdvice,
                      *mInput.mOpenQueries);
    for (const open_step& step : steps) {
      Serve(step);
    }
    for (const plan_worker& worker : mInput.mWorkers) {
      mResult.mFree += worker.mFree;
      mResult.mReserved += worker.mReserved;
    }
    return std::move(mResult);
  }

private:
  // Where the policy service lets the step run: with a valid ticket, or also
  // with one that has run out. All of the service's without such a policy. Most
  // open steps wait for the policy service's answer: to look at every worker
  // for each of them took most of the leader's processor time at 350 workers.
  [[nodiscard]] worker_list ApprovedFor(const open_step& aStep,
                                        bool aExpiredToo)
  {
    worker_list approved;
    if (!aStep.mQueue->mAdvice) {
      std::ranges::copy_if(mByService[aStep.mQueue->mService],
                           std::back_inserter(approved),
                           [&](const plan_worker* aWorker) {
                             return FitsWhenEmpty(aStep, *aWorker);
                           });
      return approved;
    }
    for (const worker_number number : mInput.mAdvice->ApprovedWorkers(
           aStep.mRef, aExpiredToo ? time_point::min() : mInput.mNow)) {
      const auto found = mByNumber.find(number);
      if (found != mByNumber.end() && FitsWhenEmpty(aStep, *found->second)) {
        approved.push_back(found->second);
      }
    }
    return approved;
  }

  void Serve(const open_step& aStep)
  {
    step_placement places(aStep, *mInput.mProposed, mInput.mPolicy);
    const std::size_t placed = PlaceNow(aStep, places);
    const std::size_t left = aStep.mWaiting.size() - placed;
    mResult.mWaiting += left;
    mResult.mUrgentWaiting += aStep.mQueue->mPriority == 0 ? left : 0;
    if (left == 0) {
      return;
    }
    const wait_cause cause =
      IsGangUnderWay(aStep)
        ? wait_cause::Gang
        : KeepRoomAndAsk(
            aStep, std::span(aStep.mWaiting).subspan(placed), places);
    mResult.mWaits.push_back({ aStep.mRef, aStep.mQueue->mName, cause, left });
  }

  // Members of the last attempt aren't all over.
  [[nodiscard]] static bool IsGangUnderWay(const open_step& aStep)
  {
    return aStep.mSpec->mGang &&
           aStep.mWaiting.size() != aStep.mRecord->mTasks.size();
  }

  // The first tasks of aStep.mWaiting that start now; a gang whole or not at
  // all; a step bound to one rack there.
  std::size_t PlaceNow(const open_step& aStep, step_placement& aPlaces)
  {
    const worker_list candidates = ApprovedFor(aStep, false);
    if (candidates.empty() || IsGangUnderWay(aStep)) {
      return 0;
    }
    if (!aStep.mSpec->mGang && !aStep.mSpec->mSameRack) {
      return PlaceSome(aStep, {}, candidates, aPlaces);
    }
    const std::size_t all = aStep.mWaiting.size();
    for (const rack_id& rack : RacksFor(aStep)) {
      const std::size_t before = mResult.mStarts.size();
      if (PlaceSome(aStep, rack, candidates, aPlaces) == all) {
        return all;
      }
      TakeBack(aStep, before, aPlaces);
    }
    return 0;
  }

  // Where the whole may go: one rack after the other, or anywhere (an empty
  // name) where it isn't bound to one.
  [[nodiscard]] std::vector<rack_id> RacksFor(const open_step& aStep) const
  {
    if (!aStep.mSpec->mSameRack) {
      return { rack_id() };
    }
    std::set<rack_id> racks;
    for (const plan_worker& worker : mInput.mWorkers) {
      racks.insert(worker.mDescription->mRack);
    }
    std::vector<rack_id> order(racks.begin(), racks.end());
    std::ranges::stable_partition(order, [&](const rack_id& aRack) {
      return aRack.Value() == aStep.mSpec->mDataRack;
    });
    if (!aStep.mSpec->mGang) {
      order.emplace_back(); // slower anywhere than never
    }
    return order;
  }

  std::size_t PlaceSome(const open_step& aStep,
                        const rack_id& aRack,
                        const worker_list& aCandidates,
                        step_placement& aPlaces)
  {
    std::size_t placed = 0;
    for (const std::uint32_t task : aStep.mWaiting) {
      plan_worker* best = aPlaces.BestWorker(task, aRack, aCandidates, FitsNow);
      if (best == nullptr) {
        break; // the tasks of a step are alike
      }
      aPlaces.AddTask(*best);
      Start(aStep, task, *best);
      ++placed;
    }
    return placed;
  }

  void TakeBack(const open_step& aStep,
                std::size_t aFrom,
                step_placement& aPlaces)
  {
    for (std::size_t at = aFrom; at < mResult.mStarts.size(); ++at) {
      plan_worker& worker = *mByNumber.at(mResult.mStarts[at].mStart.mWorker);
      worker.mFree += aStep.mSpec->Booked();
      aPlaces.RemoveTask(worker);
      const std::uint32_t task = mResult.mStarts[at].mStart.mRun.mTask.mIndex;
      worker.mSuspects.Remove(SuspicionOf(aStep, task));
    }
    mResult.mStarts.resize(aFrom);
  }

  void Start(const open_step& aStep, std::uint32_t aTask, plan_worker& aWorker)
  {
    aWorker.mFree -= aStep.mSpec->Booked();
    aWorker.mSuspects.Add(SuspicionOf(aStep, aTask));
    const step_ref& ref = aStep.mRef;
    attempt_t attempt = aStep.mRecord->mTasks[aTask].mAttempt + 1;
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

  wait_cause KeepRoomAndAsk(const open_step& aStep,
                            std::span<const std::uint32_t> aTasks,
                            step_placement& aPlaces)
  {
    const worker_list known = ApprovedFor(aStep, true);
    if (known.empty() && KeepNamedRoom(aStep, aTasks, aPlaces)) {
      return wait_cause::Verdict;
    }
    capacity_reservation kept;
    if (mInput.mPolicy.mReservesCapacity || mInput.mPolicy.mPreempts) {
      kept = mHolds.Reserve(aStep, aTasks, known, aPlaces);
    }
    const bool wantsAdvisor =
      aStep.mQueue->mAdvice && !Ask(aStep, aTasks.size(), kept);
    const bool comes = WillHaveTickets(aStep, kept);
    const wait_cause cause = CauseOf(aStep, known, kept, wantsAdvisor);
    if (!comes) {
      mHolds.Release(aStep, kept);
      return cause;
    }
    for (const auto& [run, worker] : kept.mPreemptions) {
      mResult.mPreemptions.push_back({ { run, worker->mNumber }, aStep.mRef });
    }
    return cause;
  }

  // While the policy service thinks about a step that comes first, the room
  // that it would take at the workers it asks about is kept: what others start
  // there meanwhile has to give way again, or the step asks a second time.
  // True: a question is under way.
  bool KeepNamedRoom(const open_step& aStep,
                     std::span<const std::uint32_t> aTasks,
                     step_placement& aPlaces)
  {
    if (mInput.mQueriedWorkers == nullptr ||
        !mInput.mPolicy.mReservesCapacity ||
        !IsTopPriority(*aStep.mQueue, *aStep.mSpec)) {
      return false;
    }
    const auto named = mInput.mQueriedWorkers->find(aStep.mRef);
    if (named == mInput.mQueriedWorkers->end()) {
      return false;
    }
    worker_list workers;
    for (const worker_number number : named->second) {
      if (const auto found = mByNumber.find(number); found != mByNumber.end()) {
        workers.push_back(found->second);
      }
    }
    for (const std::uint32_t task : aTasks) {
      plan_worker* worker = aPlaces.BestWorker(task, {}, workers, FitsNow);
      if (worker == nullptr) {
        break;
      }
      worker->mReserved += aStep.mSpec->Booked();
      aPlaces.AddTask(*worker);
    }
    return true;
  }

  [[nodiscard]] wait_cause CauseOf(const open_step& aStep,
                                   const worker_list& aKnown,
                                   const capacity_reservation& aKept,
                                   bool aWantsAdvisor) const
  {
    if (aWantsAdvisor) {
      return wait_cause::Advisor;
    }
    if (aKnown.empty()) {
      return IsAsking(aStep) ? wait_cause::Verdict : wait_cause::Nowhere;
    }
    const bool room = aKept.mPreemptions.empty() && aKept.mDrainingTasks == 0 &&
                      !aKept.mWorkers.empty();
    return room && IsAsking(aStep) ? wait_cause::Ticket : wait_cause::Room;
  }

  // A question about the step is under way, or part of this plan.
  [[nodiscard]] bool IsAsking(const open_step& aStep) const
  {
    return mInput.mOpenQueries->contains(aStep.mRef) ||
           (!mResult.mQueries.empty() &&
            mResult.mQueries.back().mStep == aStep.mRef);
  }

  // Room is kept only for what can start there: its tickets are valid, or a
  // question is under way.
  [[nodiscard]] bool WillHaveTickets(const open_step& aStep,
                                     const capacity_reservation& aHold) const
  {
    return !aStep.mQueue->mAdvice || IsAsking(aStep) ||
           std::ranges::all_of(aHold.mWorkers, [&](const plan_worker* aWorker) {
             return mInput.mAdvice->VerdictFor(
                      aStep.mRef, aWorker->mNumber, mInput.mNow) ==
                    verdict::Approved;
           });
  }

  // False: there is something to ask, and nobody free to carry it.
  bool Ask(const open_step& aStep,
           std::size_t aTasks,
           const capacity_reservation& aHold)
  {
    if (IsAsking(aStep)) {
      return true;
    }
    if (!mAdvisors->CanQuery(aStep)) {
      return false;
    }
    if (mInput.mNothingToQuery->contains(aStep.mRef)) {
      return true;
    }
    query_need need{ aTasks, {}, mAdvisors->HasSurplus() };
    // While it waits for a run to end by itself, its tickets may run out
    // several times: they are renewed ahead only where nobody else needs the
    // advisors.
    if (aHold.mDrainingTasks == 0 || need.mHasSurplusAdvisors) {
      for (const plan_worker* worker : aHold.mWorkers) {
        need.mReserved.insert(worker->mNumber);
      }
    }
    advice_query asked{ aStep.mRef,
                        WorkersToQuery(aStep,
                                       need,
                                       mByService[aStep.mQueue->mService],
                                       *mInput.mAdvice,
                                       mInput.mPolicy,
                                       mInput.mNow) };
    if (!asked.mWorkers.empty()) {
      mAdvisors->OnQuery(aStep);
      mResult.mQueries.push_back(std::move(asked));
    } else if (aStep.mQueue->mPriority > 0) {
      mResult.mNothingToQuery.push_back(aStep.mRef);
    }
    return true;
  }

  plan_input mInput;
  std::unordered_map<worker_number, plan_worker*> mByNumber;
  std::map<service_id, worker_list> mByService;
  reservation_planner mHolds;
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
