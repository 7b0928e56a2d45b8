// When the leader plans, on what it believes, and what it does with the plan.

#include <algorithm>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/flow/leading.h"

namespace oriolewalk::flow {

namespace {

// Between two plans: what happens meanwhile is planned together. A commit takes
// five times as long.
constexpr milliseconds kPlanPause{ 3 };
// A plan's cost grows with the cell and with what waits. At 350 workers 17 ms
// while little waits; with 2,000 tasks waiting 47 ms, since a backlog makes
// plans dear just when the leader has most else to do: at 17 ms its processor
// was full in bursts and everybody's answers waited.
constexpr microseconds kPlanPausePerWorker{ 40 };
constexpr microseconds kPlanPausePerWaiting{ 15 };
// Between two plans for the steps that come first alone, whatever waits behind
// them. Each such step waits for two plans, one to ask and one to start. With
// the pause of the others, at 1,100 workers half of the first starts took 150
// ms of the 250 ms that callers allow beside the work, and 0.81 of a burst's
// urgent jobs were in time; with this one 90 ms and 0.89 (made time). Such a
// plan takes a millisecond of a core.
constexpr microseconds kFirstPausePerWorker{ 8 };
// A plan is made at least so often, for tickets that run out.
constexpr milliseconds kPlanEvery{ 100 };
// A waiting step of a later queue that had nothing to ask is looked at again so
// often: each look goes over its service's workers, and hundreds of steps wait.
constexpr milliseconds kAskAllEvery{ 100 };

} // namespace

std::vector<plan_worker>
leading::UsableWorkers() const
{
  std::vector<plan_worker> workers;
  workers.reserve(mState.Workers().size());
  for (const auto& [number, worker] : mState.Workers()) {
    if (worker.mDraining || !mKeeper.IsUsable(number, mAt.mNow)) {
      continue;
    }
    const placed_amounts placed = mState.AmountsAt(number);
    plan_worker& planned = workers.emplace_back();
    planned.mNumber = number;
    planned.mFacts = &worker.mFacts;
    planned.mFree = worker.mFacts.mCapacity - placed.mBooked;
    const worker_standing standing = mHealth.StandingOf(number, mAt.mNow);
    planned.mSpeed = standing.mSpeed;
    planned.mAvoided = standing.mAvoided;
    planned.mServes = placed.mServing > 0;
    planned.mFilled = placed.mFilling > 0;
  }
  const auto find = [&workers](worker_number aNumber) -> plan_worker* {
    const auto found =
      std::ranges::lower_bound(workers, aNumber, {}, &plan_worker::mNumber);
    return found != workers.end() && found->mNumber == aNumber ? &*found
                                                               : nullptr;
  };
  for (const auto& [number, room] : mProposedRoom) {
    if (plan_worker* worker = find(number)) {
      worker->mFree -= room;
    }
  }
  for (const auto& [run, number] : mYielding) {
    if (plan_worker* worker = find(number)) {
      worker->mLeaving += mState.FindStep(run.mTask)->Booked();
    }
  }
  // If many seem bad, something else is: nobody is avoided then.
  constexpr std::ptrdiff_t kLeastOthers = 3;
  if (std::ranges::count(workers, true, &plan_worker::mAvoided) * kLeastOthers >
      std::ssize(workers)) {
    for (plan_worker& worker : workers) {
      worker.mAvoided = false;
    }
  }
  return workers;
}

std::optional<plan_scope>
leading::ScopeDue() const
{
  const duration since = mAt.mNow - mPlannedAt;
  const auto workers = static_cast<std::int64_t>(mState.Workers().size());
  const duration pause = kPlanPause + kPlanPausePerWorker * workers +
                         kPlanPausePerWaiting * mWaitingTasks;
  if (since >= pause && (mPlanDue || since >= kPlanEvery)) {
    return plan_scope::All;
  }
  if (mFirstDue && mAt.mNow - std::max(mPlannedAt, mFirstPlannedAt) >=
                     kPlanPause + kFirstPausePerWorker * workers) {
    return plan_scope::First;
  }
  return std::nullopt;
}

plan_input
leading::MakeInput(plan_scope aScope)
{
  plan_input input;
  input.mState = &mState;
  input.mAdvice = &mAdvice;
  input.mWorkers = UsableWorkers();
  input.mProposed = &mProposed;
  input.mAsking = &mAsking;
  input.mNamed = &mNamed;
  if (mAt.mNow >= mAskedAllAt + kAskAllEvery) {
    mAskedAllAt = mAt.mNow;
    mNothingToAsk.clear();
  }
  input.mNothingToAsk = &mNothingToAsk;
  input.mYields = mYields;
  input.mPolicy = mOptions.mPlan;
  input.mAdvisors = AdvisorLoad();
  input.mNow = mAt.mNow;
  input.mWallMs = mAt.mWallMs;
  input.mScope = aScope;
  return input;
}

void
leading::Decide()
{
  const auto scope = ScopeDue();
  if (!scope) {
    return;
  }
  mFirstDue = false;
  mFirstPlannedAt = mAt.mNow;
  ForgetYielded();
  plan_input input = MakeInput(*scope);
  const std::size_t usable = input.mWorkers.size();
  plan_result plan = MakePlan(std::move(input));
  mFirstWaiting = plan.mUrgentWaiting;
  if (*scope == plan_scope::All) {
    mPlanDue = false;
    mPlannedAt = mAt.mNow;
    mWaitingTasks = static_cast<std::int64_t>(plan.mWaiting);
    NoteWaits(plan);
    NoteShortage(plan, usable);
  }
  mNothingToAsk.insert(plan.mNothingToAsk.begin(), plan.mNothingToAsk.end());
  for (const question& asked : plan.mQuestions) {
    AskPolicy(asked);
  }
  MakeWay(plan.mStops);
  if (!plan.mStarts.empty()) {
    Start(std::move(plan.mStarts));
  }
}

bool
leading::ConcernsFirst(const command_body& aCommand) const
{
  const auto isFirst = [this](const run_ref& aRun) {
    const job_record* job = mState.FindJob(aRun.mTask.mJob);
    const step_spec* step = mState.FindStep(aRun.mTask);
    return job != nullptr && step != nullptr &&
           IsFirst(mState.QueueOf(*job), *step);
  };
  return std::visit(
    overloaded{
      [](const submit_job& aSubmit) { return aSubmit.mQueue.mPriority == 0; },
      [&](const end_runs& aEnds) {
        return mFirstWaiting > 0 ||
               std::ranges::any_of(aEnds.mEnds, isFirst, &run_end::mRun);
      },
      [&](const drop_runs& aDrop) {
        return mFirstWaiting > 0 || std::ranges::any_of(aDrop.mRuns, isFirst);
      },
      [](const auto&) { return false; },
    },
    aCommand);
}

} // namespace oriolewalk::flow
