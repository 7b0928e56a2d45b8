// Builds the planner's input, makes plans when they are due and acts on them.

#include <algorithm>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

// Interval after which a waiting step of a lower-priority queue that had no
// worker to query is checked again. Each check scans the workers of the step's
// service, and hundreds of steps wait.
constexpr milliseconds kRecheckInterval{ 100 };

// aWorkers: sorted by number.
plan_worker*
Find(std::vector<plan_worker>& aWorkers, worker_number aNumber)
{
  const auto found =
    std::ranges::lower_bound(aWorkers, aNumber, {}, &plan_worker::mNumber);
  return found != aWorkers.end() && found->mNumber == aNumber ? &*found
                                                              : nullptr;
}

void
ClearAvoidedIfMany(std::vector<plan_worker>& aWorkers)
{
  // If more than a third of the workers seem bad the cause lies elsewhere, and
  // no worker is avoided.
  constexpr std::ptrdiff_t kMinWorkersPerAvoided = 3;
  if (std::ranges::count(aWorkers, true, &plan_worker::mAvoided) *
        kMinWorkersPerAvoided >
      std::ssize(aWorkers)) {
    for (plan_worker& worker : aWorkers) {
      worker.mAvoided = false;
    }
  }
}

} // namespace

std::vector<plan_worker>
leader_core::UsableWorkers() const
{
  std::vector<plan_worker> workers;
  workers.reserve(mState.Workers().size());
  for (const auto& [number, worker] : mState.Workers()) {
    if (worker.mDraining || !mSupervisor.IsUsable(number, mAt.mNow)) {
      continue;
    }
    const placed_totals placed = mState.TotalsAt(number);
    plan_worker& planned = workers.emplace_back();
    planned.mNumber = number;
    planned.mDescription = &worker.mDescription;
    planned.mFree = worker.mDescription.mCapacity - placed.mBooked;
    const worker_standing standing = mHealth.Standing(number, mAt.mNow);
    planned.mSpeed = standing.mSpeed;
    planned.mAvoided = standing.mAvoided;
    planned.mRunsLatencySensitive = placed.mLatencySensitive > 0;
    planned.mRunsBestEffort = placed.mBestEffort > 0;
    planned.mRunsGangOrLongRunning = placed.mLongRunning > 0;
  }
  for (const auto& [number, capacity] : mProposedCapacity) {
    if (plan_worker* worker = Find(workers, number)) {
      worker->mFree -= capacity;
    }
  }
  for (const auto& [run, number] : mPreemptedRuns) {
    if (plan_worker* worker = Find(workers, number)) {
      worker->mBeingFreed += mState.FindStep(run.mTask)->Booked();
    }
  }
  ClearAvoidedIfMany(workers);
  return workers;
}

plan_input
leader_core::MakeInput(plan_scope aScope)
{
  plan_input input;
  input.mState = &mState;
  input.mAdvice = &mAdvice;
  input.mWorkers = UsableWorkers();
  input.mProposed = &mProposed;
  input.mOpenQueries = &mQueriedSteps;
  input.mQueriedWorkers = &mQueriedWorkers;
  if (mAt.mNow >= mNothingToQueryClearedAt + kRecheckInterval) {
    mNothingToQueryClearedAt = mAt.mNow;
    mNothingToQuery.clear();
  }
  input.mNothingToQuery = &mNothingToQuery;
  input.mPreemptionRecords = mPreemptionRecords;
  input.mSuspicions = mIsolation.Summarize(
    mState,
    mProposed,
    [this](worker_number aWorker, const run_ref& aRun) {
      return mSupervisor.IsNewlyStarted(aWorker, aRun);
    },
    mAt.mNow);
  input.mPolicy = mOptions.mPlan;
  input.mAdvisors = AdvisorLoad();
  input.mNow = mAt.mNow;
  input.mWallMs = mAt.mWallMs;
  input.mScope = aScope;
  return input;
}

void
leader_core::PlanIfDue()
{
  const auto scope = mPlanTimer.DueScope(mState.Workers().size(), mAt.mNow);
  if (!scope) {
    return;
  }
  ForgetEndedPreemptions();
  plan_input input = MakeInput(*scope);
  const std::size_t usable = input.mWorkers.size();
  plan_result plan = MakePlan(std::move(input));
  mTopPriorityWaiting = plan.mUrgentWaiting;
  if (*scope == plan_scope::All) {
    LogWaits(plan);
    LogShortage(plan, usable);
  }
  mPlanTimer.OnPlanned(*scope, plan.mWaiting, mAt.mNow);
  mNothingToQuery.insert(plan.mNothingToQuery.begin(),
                         plan.mNothingToQuery.end());
  for (const advice_query& query : plan.mQueries) {
    QueryPolicy(query);
  }
  Preempt(plan.mPreemptions);
  if (!plan.mStarts.empty()) {
    Start(std::move(plan.mStarts));
  }
}

bool
leader_core::AffectsTopPriority(const command_body& aCommand) const
{
  const auto isTopPriority = [this](const run_ref& aRun) {
    const job_record* job = mState.FindJob(aRun.mTask.mJob);
    const step_spec* step = mState.FindStep(aRun.mTask);
    return job != nullptr && step != nullptr &&
           IsTopPriority(mState.QueueOf(*job), *step);
  };
  return std::visit(
    overloaded{
      [](const submit_job& aSubmit) { return aSubmit.mQueue.mPriority == 0; },
      [](const submit_owned_job& aSubmit) {
        return aSubmit.mSubmit.mQueue.mPriority == 0;
      },
      [&](const end_runs& aEnds) {
        return mTopPriorityWaiting > 0 ||
               std::ranges::any_of(aEnds.mEnds, isTopPriority, &run_end::mRun);
      },
      [&](const drop_runs& aDrop) {
        return mTopPriorityWaiting > 0 ||
               std::ranges::any_of(aDrop.mRuns, isTopPriority);
      },
      [](const auto&) { return false; },
    },
    aCommand);
}

} // namespace oriolewalk::flow
