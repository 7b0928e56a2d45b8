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

} // namespace

worker_evaluation
leader_core::EvaluateWorker(worker_number aWorker) const
{
  const worker_record* worker = mState.FindWorker(aWorker);
  if (worker == nullptr || worker->mDraining || mWaves.IsDraining(aWorker)) {
    return {};
  }
  const worker_usability usability = mSupervisor.Usability(aWorker, mAt.mNow);
  if (!usability.mIsUsable) {
    return { std::nullopt, usability.mUntil };
  }
  const placed_totals placed = mState.TotalsAt(aWorker);
  const worker_standing standing = mHealth.Standing(aWorker, mAt.mNow);
  plan_worker planned;
  planned.mNumber = aWorker;
  planned.mDescription = &worker->mDescription;
  planned.mFree = worker->mDescription.mCapacity - placed.mBooked;
  planned.mSpeed = standing.mSpeed;
  planned.mIsSpeedKnown = standing.mIsSpeedKnown;
  planned.mAvoided = standing.mAvoided;
  planned.mRunsLatencySensitive = placed.mLatencySensitive > 0;
  planned.mRunsBestEffort = placed.mBestEffort > 0;
  planned.mRunsGangOrLongRunning = placed.mLongRunning > 0;
  return { planned,
           standing.mAvoided
             ? std::min(usability.mUntil, standing.mAvoidedUntil)
             : usability.mUntil };
}

const plan_workers&
leader_core::RefreshPlanWorkers()
{
  for (const worker_number number : mSupervisor.TakeChangedWorkers()) {
    mPlanWorkers.Invalidate(number);
  }
  return mPlanWorkers.Refresh(mAt.mNow, [this](worker_number aWorker) {
    return EvaluateWorker(aWorker);
  });
}

std::map<worker_number, pending_capacity>
leader_core::PendingCapacity() const
{
  std::map<worker_number, pending_capacity> pending;
  for (const auto& [number, capacity] : mProposedCapacity) {
    pending[number].mProposed = capacity;
  }
  for (const auto& [run, number] : mPreemptedRuns) {
    pending[number].mBeingFreed += mState.FindStep(run.mTask)->Booked();
  }
  return pending;
}

plan_input
leader_core::MakeInput(plan_scope aScope)
{
  plan_input input;
  input.mState = &mState;
  input.mAdvice = &mAdvice;
  input.mWorkers = &RefreshPlanWorkers();
  input.mPending = PendingCapacity();
  input.mProposed = &mProposed;
  input.mOpenQueries = &mQueriedSteps;
  input.mQueriedWorkers = &mQueriedWorkers;
  if (mAt.mNow >= mNothingToQueryClearedAt + kRecheckInterval) {
    mNothingToQueryClearedAt = mAt.mNow;
    mNothingToQuery.clear();
  }
  input.mNothingToQuery = &mNothingToQuery;
  input.mForecast = &mForecast;
  input.mPreemptionRecords = &mPreemptionRecords;
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
  if (mOptions.mPlan.mLearnsDurations) {
    input.mExpectedDurations = &mExpectedDurations;
  }
  if (aScope == plan_scope::All && mOptions.mPlan.mCopies) {
    AddRunningTasks(input);
  }
  input.mDurations = &mDurationModel;
  return input;
}

bool
leader_core::PlanIfDue()
{
  const auto scope = mPlanTimer.DueScope(mState.LiveJobs().size(), mAt.mNow);
  if (!scope) {
    return false;
  }
  const processor_times before = ProcessorTimes();
  ForgetEndedPreemptions();
  plan_input input = MakeInput(*scope);
  LogSpeeds(*input.mWorkers);
  const std::size_t usable = input.mWorkers->Size();
  plan_result plan = MakePlan(std::move(input));
  mTopPriorityWaiting = plan.mUrgentWaiting;
  ++mPlanCounts.mPlans;
  mPlanCounts.mPlannedWorkers += plan.mVisitedWorkers;
  mPlanCounts.mPlannedSteps += plan.mOpenSteps;
  mPlanCounts.mPlannedTasks += plan.mConsideredTasks;
  mPlanCounts.mComparisons += plan.mComparisons;
  LogLoad();
  LogDurations();
  if (*scope == plan_scope::All) {
    LogWaits(plan);
    LogShortage(plan, usable);
    UpdateLoads(std::move(plan.mLoads));
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
  if (!plan.mTaskCopies.empty()) {
    StartCopies(std::move(plan.mTaskCopies));
  }
  mPlanCounts.mPlanTime += ProcessorTimes().mThread - before.mThread;
  return true;
}

processor_times
leader_core::ProcessorTimes() const
{
  return mPort.mProcessorTimes ? mPort.mProcessorTimes() : processor_times{};
}

decision_counts
leader_core::Counts() const
{
  decision_counts counts = mPlanCounts;
  counts.mEvaluatedWorkers = mPlanWorkers.Evaluations();
  counts.mTickedWorkers = mSupervisor.Visits();
  return counts;
}

// The workers whose free capacity the applied command may have changed.
void
leader_core::InvalidateWorkers(const command_body& aCommand,
                               const apply_outcome& aOutcome)
{
  const auto invalidateOne = [this](const auto& aChange) {
    mPlanWorkers.Invalidate(aChange.mWorker);
  };
  std::visit(overloaded{
               [&](const start_runs& aStarts) {
                 std::ranges::for_each(aStarts.mRuns, invalidateOne);
               },
               [&](const start_copies& aStarts) {
                 std::ranges::for_each(aStarts.mRuns, invalidateOne);
               },
               [&](const end_runs& aEnds) { invalidateOne(aEnds); },
               [&](const end_runs_on_workers& aEnds) {
                 std::ranges::for_each(aEnds.mWorkers, invalidateOne);
               },
               [&](const drop_runs& aDrop) { invalidateOne(aDrop); },
               [&](const mark_runs_lost& aLost) { invalidateOne(aLost); },
               [&](const remove_worker& aRemoved) { invalidateOne(aRemoved); },
               [&](const register_worker& aWorker) {
                 mPlanWorkers.Invalidate(
                   mState.NumberOf(aWorker.mDescription.mId));
                 mPlanWorkers.Invalidate(aOutcome.mPreviousIncarnation);
               },
               [](const auto&) {},
             },
             aCommand);
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
  const auto endsTopPriority = [&](const end_runs& aEnds) {
    return mTopPriorityWaiting > 0 ||
           std::ranges::any_of(aEnds.mEnds, isTopPriority, &run_end::mRun);
  };
  return std::visit(
    overloaded{
      [](const submit_job& aSubmit) { return aSubmit.mQueue.mPriority == 0; },
      [](const submit_owned_job& aSubmit) {
        return aSubmit.mSubmit.mQueue.mPriority == 0;
      },
      endsTopPriority,
      [&](const end_runs_on_workers& aEnds) {
        return std::ranges::any_of(aEnds.mWorkers, endsTopPriority);
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
