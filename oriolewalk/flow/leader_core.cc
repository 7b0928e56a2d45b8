#include "oriolewalk/flow/leader_core.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Interval of the checks for due occurrences, broken gangs and unwanted runs.
constexpr milliseconds kSweepInterval{ 100 };
// A run that stalls for less than two seconds isn't stopped as a straggler, and
// ended jobs are kept for minutes. Checking every task ten times a second would
// cost more than the plans.
constexpr milliseconds kSlowSweepInterval{ 500 };

} // namespace

std::string_view
StateName(const job_record& aJob)
{
  switch (aJob.mState) {
    case job_state::Done:
      return "done";
    case job_state::Failed:
      return "failed";
    case job_state::Cancelled:
      return "cancelled";
    case job_state::Active:
      break;
  }
  return aJob.mHasStarted ? "running" : "queued";
}

leader_core::leader_core(const flow_state& aState,
                         flow_options aOptions,
                         leader_port aPort,
                         std::uint64_t aTerm,
                         instant aAt,
                         const heard_workers& aHeard)
  : mState(aState)
  , mOptions(aOptions)
  , mPort(std::move(aPort))
  , mAt(aAt)
  , mSupervisor(aState, aOptions, aTerm, aAt.mNow, aHeard)
  , mPlanWorkers(aOptions.mPlan.mPlacement)
  , mLoggedTimes(ProcessorTimes())
  , mRelays(aOptions.mMaxWorkersWithoutRelays)
  , mAdmission(aAt.mNow)
  , mFreed(aAt.mNow)
  , mLastQuery(OrderIdBase(aTerm))
  , mWaves(aState, aOptions, aTerm, aAt.mNow)
{
}

void
leader_core::OnApplied(const command_body& aCommand,
                       const apply_outcome& aOutcome)
{
  mPlanTimer.OnChange(AffectsTopPriority(aCommand));
  InvalidateWorkers(aCommand, aOutcome);
  if (const auto* worker = std::get_if<register_worker>(&aCommand)) {
    ForgetWorker(aOutcome.mPreviousIncarnation);
    mSupervisor.OnRegistered(mState.NumberOf(worker->mDescription.mId),
                             mAt.mNow);
  } else if (const auto* removed = std::get_if<remove_worker>(&aCommand)) {
    ForgetWorker(removed->mWorker);
  } else if (const auto* ends = std::get_if<end_runs>(&aCommand)) {
    OnEndsApplied(*ends);
  } else if (const auto* several =
               std::get_if<end_runs_on_workers>(&aCommand)) {
    for (const end_runs& one : several->mWorkers) {
      OnEndsApplied(one);
    }
  } else if (const auto* dropped = std::get_if<drop_runs>(&aCommand)) {
    mSupervisor.OnRunsDropped(dropped->mWorker);
    mStragglers.OnRunsDropped(dropped->mRuns);
  } else if (const auto* lost = std::get_if<mark_runs_lost>(&aCommand)) {
    mSupervisor.OnRunsDropped(lost->mWorker);
    mStragglers.OnRunsDropped(lost->mRuns);
    mIsolation.OnRunsLost(lost->mRuns, mAt.mNow);
  } else if (const auto* upkeep = std::get_if<record_upkeep>(&aCommand)) {
    if (!aOutcome.mError) {
      std::ranges::for_each(DescribeUpkeep(*upkeep, mState, mAt.mWallMs),
                            mPort.mLogDecision);
    }
  }
  LearnSpeeds();
  LogCrashingTasks(aOutcome.mAbandonedTasks);
  for (const job_id& id : aOutcome.mEndedJobs) {
    const job_record* job = mState.FindJob(id);
    mPort.mLogDecision(
      { "job.ended",
        { { "job", id.Value() },
          { "state", std::string(StateName(*job)) },
          { "after_ms",
            std::to_string(mAt.mWallMs - job->mSubmittedWallMs) } } });
    mAdvice.Forget(id);
    mStragglers.Forget(id);
    mSpeedSamples.Forget(id);
    mIsolation.Forget(id);
    EraseWhile(mPreemptionRecords, { id, 0, 0, 0 }, [&](const task_ref& aTask) {
      return aTask.mJob == id;
    });
    EraseWhile(mCopyCounts, { id, 0, 0, 0 }, [&](const task_ref& aTask) {
      return aTask.mJob == id;
    });
    StopRuns(id, *job);
  }
  StopOvertakenRuns();
}

void
leader_core::ForgetWorker(worker_number aWorker)
{
  mSupervisor.OnRemoved(aWorker);
  mHealth.Forget(aWorker);
  mPlanWorkers.Invalidate(aWorker);
  mInterference.Forget(aWorker);
  AnswerDeregistrations(aWorker);
}

void
leader_core::OnOrderAnswer(std::uint64_t aOrder, const order_answer& aAnswer)
{
  mSupervisor.OnAnswer(aOrder, aAnswer, mAt.mNow);
  for (const run_start& refused : mSupervisor.TakeTicketRefusals()) {
    const task_ref& task = refused.mRun.mTask;
    mAdvice.Expire({ task.mJob, task.mOccurrence, task.mStep },
                   refused.mWorker);
  }
  DrainSupervisor();
}

void
leader_core::DrainSupervisor()
{
  std::ranges::for_each(mSupervisor.TakeDecisions(), mPort.mLogDecision);
  for (command_body& body : mSupervisor.TakeCommands()) {
    if (auto* ends = std::get_if<end_runs>(&body)) {
      mHeldEnds.push_back(std::move(*ends));
    } else {
      // It may drop runs or remove their worker.
      ProposeHeldEnds();
      Propose(std::move(body));
    }
  }
  // While this process falls behind, each entry of the log delays all other
  // work, so the ends until the next tick share one.
  if (!mPlanTimer.IsBehind()) {
    ProposeHeldEnds();
  }
}

void
leader_core::ProposeHeldEnds()
{
  std::vector<end_runs> held = std::exchange(mHeldEnds, {});
  if (mPlanTimer.IsBehind() && held.size() > 1) {
    ProposeEnds(end_runs_on_workers{ held }, held);
    return;
  }
  for (const end_runs& ends : held) {
    ProposeEnds(ends, { &ends, 1 });
  }
}

void
leader_core::ProposeEnds(command_body aBody, std::span<const end_runs> aEnds)
{
  if (mPort.mPropose(std::move(aBody), {})) {
    return;
  }
  for (const end_runs& ends : aEnds) {
    // The next poll lists the ends again.
    mSupervisor.OnEndsApplied(ends.mWorker, mAt.mNow);
  }
}

void
leader_core::Tick()
{
  mPlanTimer.OnTick(mAt.mNow);
  mSupervisor.Tick(mAt.mNow);
  DrainSupervisor();
  AnswerOverdueDeregistrations();
  ProposeHeldEnds();
  if (mAt.mNow >= mSweptAt + kSweepInterval) {
    mSweptAt = mAt.mNow;
    UpdateRelays();
    OpenDueOccurrences();
    StopUnwanted();
    StepWaves();
    if (mAt.mNow >= mSlowSweptAt + kSlowSweepInterval) {
      mSlowSweptAt = mAt.mNow;
      ForgetOldJobs();
      StopAllStragglers();
    }
    for (const worker_number number : mState.WorkersWithBestEffort()) {
      const auto view = mSupervisor.Views().find(number);
      if (view != mSupervisor.Views().end()) {
        AdjustPace(number, view->second);
      }
    }
  }
}

void
leader_core::OpenDueOccurrences()
{
  for (const auto& [id, record] : mState.LiveJobs()) {
    const job_record& job = *record;
    const recurrence& times = job.mSpec.mRecurrence;
    if (job.IsActive() && job.mNextOccurrence < times.mRepeatCount &&
        mAt.mWallMs >=
          times.mFirstWallMs + job.mNextOccurrence * times.mPeriodMs &&
        HasRoomFor(OccurrenceBytes(job.mSpec))) {
      Propose(open_occurrence{ id, job.mNextOccurrence });
    }
  }
}

void
leader_core::ForgetOldJobs()
{
  const std::int64_t before = mAt.mWallMs -
                              mOptions.mEndedJobRetention.count() -
                              mOptions.mWallClockMargin.count();
  forget_jobs old;
  for (const auto& [id, job] : mState.Jobs()) {
    if (!job.IsActive() && job.mEndedWallMs < before) {
      old.mJobs.push_back(id);
    }
  }
  if (!old.mJobs.empty()) {
    Propose(std::move(old));
  }
}

std::vector<worker_order>
leader_core::TakeOrders()
{
  std::vector<worker_order> orders = mSupervisor.TakeOrders();
  for (worker_order& order : orders) {
    order.mRelay = mRelays.RelayFor(order.mWorker);
  }
  return orders;
}

std::vector<std::string>
leader_core::OtherControls() const
{
  std::vector<std::string> others;
  for (const auto& [address, lastHeard] : mSpares) {
    if (mAt.mNow < lastHeard + kEntryTimeout) {
      others.push_back(address);
    }
  }
  const std::vector<std::string> members = mPort.mMembers();
  if (!members.empty()) { // the first is this process
    others.insert(others.end(), members.begin() + 1, members.end());
  }
  return others;
}

void
leader_core::UpdateRelays()
{
  const std::vector<std::string> before = mRelays.Relays();
  mRelays.Update(OtherControls(), mState.Workers().size(), mAt.mNow);
  if (mRelays.Relays() != before) {
    mPort.mLogDecision(
      { "carriers.changed",
        { { "before", std::to_string(before.size()) },
          { "now", std::to_string(mRelays.Relays().size()) },
          { "workers", std::to_string(mState.Workers().size()) } } });
  }
}

void
leader_core::OnRelayFailure(const std::string& aAddress)
{
  mPort.mLogDecision({ "carrier.failed", { { "carrier", aAddress } } });
  mRelays.OnRelayFailure(aAddress, mAt.mNow);
}

} // namespace oriolewalk::flow
