// The leader's decision log. Its volume is bounded: one line per event of a
// job, a step or a run, and shortages are logged once a second.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <set>
#include <utility>
#include <vector>

#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/open_steps.h"
#include "oriolewalk/flow/speed_preference.h"
#include "oriolewalk/flow/whole_ms.h"

namespace oriolewalk::flow {

namespace {

using log_fields = decltype(decision::mFields);

constexpr milliseconds kShortageLogInterval{ 1'000 };
constexpr milliseconds kLoadLogInterval{ 1'000 };
constexpr milliseconds kDurationsLogInterval{ 1'000 };
// A wait that is shorter than two commits isn't logged.
constexpr milliseconds kMinLoggedWait{ 20 };

// Formats steps as "8x2500m/1024mb/2a,gang 4x500m/64mb,after", with the
// properties that decide where and when they run.
std::string
Describe(const job_spec& aSpec)
{
  std::string text;
  for (const step_spec& step : aSpec.mSteps) {
    text += text.empty() ? "" : " ";
    text += std::to_string(step.mCount) + "x" +
            std::to_string(step.mSize.mMilliProcessors) + "m/" +
            std::to_string(step.mSize.mMemoryMb) + "mb" +
            (step.mSize.mAccelerators > 0
               ? "/" + std::to_string(step.mSize.mAccelerators) + "a"
               : "");
    const auto properties = std::to_array<std::pair<bool, std::string_view>>({
      { step.mGang, ",gang" },
      { step.mLongRunning, ",lasting" },
      { step.mBestEffort, ",fills" },
      { step.mAllowsCopies, ",copies" },
      { step.mCheckpoints, ",checkpoints" },
      { step.mSameRack, ",one-rack" },
      { !step.mDataRack.empty(), ",near-data" },
      { !step.mLabel.empty(), ",label" },
      { step.mMaxPerWorker > 0, ",apart" },
      { step.mTailLatencyTargetMs > 0, ",tail-target" },
      { step.mHasMaxMisses, ",may-miss" },
      { !step.mDependsOn.empty(), ",after" },
    });
    for (const auto& [isSet, word] : properties) {
      text += isSet ? word : "";
    }
  }
  return text;
}

} // namespace

void
leader_core::LogAccepted(const std::string& aId,
                         const queue_row& aQueue,
                         const job_spec& aSpec,
                         const organisation_id& aOwner)
{
  mPort.mLogDecision(
    { "job.accepted",
      { { "job", aId },
        { "queue", aQueue.mName },
        { "organisation", aOwner.Value() },
        { "priority", std::to_string(aQueue.mPriority) },
        { "table", std::to_string(mState.Table().mVersion) },
        { "objective_ms", std::to_string(ObjectiveMs(aSpec, aQueue)) },
        { "steps", Describe(aSpec) } } });
}

// Logs one line per step that waited, once its tasks are placed, with the time
// waited for each cause.
void
leader_core::LogWaits(const plan_result& aPlan)
{
  for (const ended_wait& wait : mWaits.Update(aPlan.mWaits, mAt.mNow)) {
    const auto& times = wait.mTimes;
    if (std::accumulate(times.begin(), times.end(), duration::zero()) <
        kMinLoggedWait) {
      continue;
    }
    const job_record* job = mState.FindJob(wait.mStep.mJob);
    log_fields fields{
      { "job", wait.mStep.mJob.Value() },
      { "step", std::to_string(wait.mStep.mStep) },
      { "organisation", job == nullptr ? "" : job->mOwner.Value() },
    };
    for (std::size_t cause = 0; cause < times.size(); ++cause) {
      if (times.at(cause) >= milliseconds(1)) {
        fields.emplace_back(ToString(static_cast<wait_cause>(cause)),
                            std::to_string(ToMs(times.at(cause))));
      }
    }
    mPort.mLogDecision({ "step.waited", std::move(fields) });
  }
}

// Logs how much the plans looked at since the last line, the processor time
// that they, this thread and the process used, and how late the process is: a
// leader that can't keep up is told from one that has no work.
void
leader_core::LogLoad()
{
  if (mAt.mNow < mLoadLoggedAt + kLoadLogInterval) {
    return;
  }
  const decision_counts now = Counts();
  const auto since = [&](std::uint64_t decision_counts::*aCount) {
    return std::to_string(now.*aCount - mLoggedCounts.*aCount);
  };
  const processor_times times = ProcessorTimes();
  mPort.mLogDecision(
    { "leader.load",
      { { "plans", since(&decision_counts::mPlans) },
        { "steps", since(&decision_counts::mPlannedSteps) },
        { "tasks", since(&decision_counts::mPlannedTasks) },
        { "comparisons", since(&decision_counts::mComparisons) },
        { "workers", since(&decision_counts::mPlannedWorkers) },
        { "evaluated", since(&decision_counts::mEvaluatedWorkers) },
        { "plan_ms",
          std::to_string(ToMs(now.mPlanTime - mLoggedCounts.mPlanTime)) },
        { "control_ms",
          std::to_string(ToMs(times.mThread - mLoggedTimes.mThread)) },
        { "process_ms",
          std::to_string(ToMs(times.mProcess - mLoggedTimes.mProcess)) },
        { "live_jobs", std::to_string(mState.LiveJobs().size()) },
        { "tick_ms", std::to_string(ToMs(mPlanTimer.TickInterval())) } } });
  mLoadLoggedAt = mAt.mNow;
  mLoggedCounts = now;
  mLoggedTimes = times;
}

// Logs what is learned of each queue's durations: how they compare with the
// callers' estimates, and how far they are around the prediction.
void
leader_core::LogDurations()
{
  if (mAt.mNow < mDurationsLoggedAt + kDurationsLogInterval) {
    return;
  }
  mDurationsLoggedAt = mAt.mNow;
  constexpr double kPercent = 100;
  const auto whole = [](double aNumber) {
    return std::to_string(std::llround(aNumber));
  };
  for (const learned_queue& learned : mDurationModel.Queues(mAt.mNow)) {
    mPort.mLogDecision(
      { "durations.learned",
        { { "queue", std::string(learned.mQueue) },
          { "samples", whole(learned.mSamples) },
          { "ratio_percent", whole(kPercent * learned.mRatio) },
          { "spread_percent", whole(kPercent * learned.mSpread) } } });
  }
}

// Logs once a second, for each service in which the speeds of workers matter,
// what is known of them and how many fast workers run no work of a lower
// priority than 0.
void
leader_core::LogSpeeds(const plan_workers& aWorkers)
{
  if (!mOptions.mPlan.mPlacesBySpeed ||
      mAt.mNow < mSpeedsLoggedAt + kLoadLogInterval) {
    return;
  }
  mSpeedsLoggedAt = mAt.mNow;
  std::set<service_id> services;
  for (const queue_row& queue : mState.Table().mQueues) {
    services.insert(queue.mService);
  }
  for (const service_id& service : services) {
    if (DoSpeedsMatter(mState.Table(), service, aWorkers.Speeds(service))) {
      LogSpeedsOf(service, aWorkers);
    }
  }
}

void
leader_core::LogSpeedsOf(const service_id& aService,
                         const plan_workers& aWorkers)
{
  const speed_spread spread = aWorkers.Speeds(aService);
  const double middle = std::sqrt(spread.mSlow * spread.mFast);
  std::size_t fast = 0;
  std::size_t left = 0;
  for (const auto& [capacity, ranked] : aWorkers.Ranked(aService)) {
    for (const auto& [rank, worker] : ranked) {
      const bool isFast = worker->mIsSpeedKnown && worker->mSpeed >= middle;
      fast += isFast ? 1 : 0;
      left += isFast && !RunsLowerPriority(worker->mNumber) ? 1 : 0;
    }
  }
  const auto percent = [](double aSpeed) {
    constexpr double kPercent = 100;
    return std::to_string(std::lround(kPercent * aSpeed));
  };
  mPort.mLogDecision(
    { "workers.speeds",
      { { "service", aService.Value() },
        { "known", std::to_string(aWorkers.KnownSpeeds(aService)) },
        { "slow_percent", percent(spread.mSlow) },
        { "fast_percent", percent(spread.mFast) },
        { "fast_workers", std::to_string(fast) },
        { "left_to_urgent", std::to_string(left) } } });
}

bool
leader_core::RunsLowerPriority(worker_number aWorker) const
{
  return std::ranges::any_of(
    mState.RunsAt(aWorker), [this](const run_ref& aRun) {
      const job_record* job = mState.FindJob(aRun.mTask.mJob);
      return job != nullptr && mState.QueueOf(*job).mPriority > 0;
    });
}

// Logs why work waits, once a second while it does: one line for all work, and
// one per queue with its waiting tasks by cause.
void
leader_core::LogShortage(const plan_result& aPlan, std::size_t aWorkers)
{
  if (aPlan.mWaiting == 0 ||
      mAt.mNow < mShortageLoggedAt + kShortageLogInterval) {
    return;
  }
  mShortageLoggedAt = mAt.mNow;
  log_fields totals{
    { "waiting", std::to_string(aPlan.mWaiting) },
    { "urgent", std::to_string(aPlan.mUrgentWaiting) },
    { "workers", std::to_string(aWorkers) },
    { "free_processors_m", std::to_string(aPlan.mFree.mMilliProcessors) },
    { "free_memory_mb", std::to_string(aPlan.mFree.mMemoryMb) },
    { "free_accelerators", std::to_string(aPlan.mFree.mAccelerators) },
    { "held_processors_m", std::to_string(aPlan.mReserved.mMilliProcessors) },
    { "held_accelerators", std::to_string(aPlan.mReserved.mAccelerators) },
    { "yielding", std::to_string(mPreemptedRuns.size()) },
    { "asking", std::to_string(mQueriedSteps.size()) }
  };
  if (aPlan.mHeldForUrgent > 0) {
    totals.emplace_back("left_for_urgent",
                        std::to_string(aPlan.mHeldForUrgent));
  }
  mPort.mLogDecision({ "plan.short", std::move(totals) });
  std::map<std::string_view, std::map<wait_cause, std::size_t>> queues;
  for (const waiting_step& step : aPlan.mWaits) {
    queues[step.mQueue][step.mCause] += step.mTasks;
  }
  for (const auto& [queue, causes] : queues) {
    log_fields fields{ { "queue", std::string(queue) } };
    for (const auto& [cause, tasks] : causes) {
      fields.emplace_back(ToString(cause), std::to_string(tasks));
    }
    mPort.mLogDecision({ "queue.short", std::move(fields) });
  }
  LogQuotas(aPlan);
}

// Logs the organisations whose steps wait for their quota, with what they have
// running against their maximum: those with the most waiting tasks.
void
leader_core::LogQuotas(const plan_result& aPlan)
{
  constexpr std::size_t kMaxLines = 10;
  struct quota_wait
  {
    std::size_t mTasks = 0;
    cell::resources mSize; // of a task that waits
  };
  std::map<organisation_id, quota_wait> waits;
  for (const waiting_step& step : aPlan.mWaits) {
    const job_record* job = mState.FindJob(step.mStep.mJob);
    if (step.mCause == wait_cause::Quota && job != nullptr) {
      quota_wait& wait = waits[job->mOwner];
      wait.mTasks += step.mTasks;
      wait.mSize = job->mSpec.mSteps[step.mStep.mStep].mSize;
    }
  }
  std::vector<std::pair<std::size_t, organisation_id>> largest;
  largest.reserve(waits.size());
  for (const auto& [name, wait] : waits) {
    largest.emplace_back(wait.mTasks, name);
  }
  std::ranges::sort(largest, std::greater{});
  largest.resize(std::min(largest.size(), kMaxLines));
  for (const auto& [tasks, name] : largest) {
    const organisations::quota_account& account = mState.Accounts().at(name);
    const auto dimension =
      account.Exceeded(waits.at(name).mSize).value_or(cell::dimension{});
    const auto at = static_cast<std::size_t>(dimension);
    mPort.mLogDecision(
      { "organisation.at_maximum",
        { { "organisation", name.Value() },
          { "waiting", std::to_string(tasks) },
          { "dimension", std::string(cell::ToString(dimension)) },
          { "running", std::to_string(account.mRunning.Amounts().at(at)) },
          { "maximum", std::to_string(account.mMaximum.Amounts().at(at)) } } });
  }
}

// Logs one line for the starts of a step that were committed together and have
// the same attempt: "17@WORKER 18@WORKER". A line per start would be half of
// all lines, 1,200 a second at 1,100 workers.
void
leader_core::LogStarts(const std::vector<run_start>& aStarts)
{
  std::map<std::pair<step_ref, attempt_t>, std::string> lines;
  for (const run_start& start : aStarts) {
    const task_ref& task = start.mRun.mTask;
    std::string& runs = lines[{ { task.mJob, task.mOccurrence, task.mStep },
                                start.mRun.mAttempt }];
    runs += (runs.empty() ? "" : " ") + std::to_string(task.mIndex) + "@" +
            mState.FindWorker(start.mWorker)->mDescription.mId.Value();
  }
  for (auto& [key, runs] : lines) {
    mPort.mLogDecision({ "run.start",
                         { { "job", key.first.mJob.Value() },
                           { "step", std::to_string(key.first.mStep) },
                           { "attempt", std::to_string(key.second) },
                           { "runs", std::move(runs) } } });
  }
}

void
leader_core::LogCrashingTasks(const std::vector<task_ref>& aTasks)
{
  for (const task_ref& task : aTasks) {
    const crash_record& record = *mState.Crashes().Find(task);
    mPort.mLogDecision(
      { "task.crashes_workers",
        { { "job", task.mJob.Value() },
          { "step", std::to_string(task.mStep) },
          { "task", std::to_string(task.mIndex) },
          { "crashes", std::to_string(record.mCrashes) },
          { "suspected", std::to_string(record.mSuspectedCrashes) },
          { "unknown", std::to_string(record.mUnexplainedLosses) } } });
  }
}

// Logs one line per run that ended without success, and one per finished step.
// The successful ends of a step's tasks add no information and are the most
// frequent.
void
leader_core::LogEnds(const end_runs& aEnds)
{
  std::set<step_ref> done;
  for (const run_end& end : aEnds.mEnds) {
    const task_ref& task = end.mRun.mTask;
    const step_record* step = mState.FindStepRecord(task);
    if (step == nullptr) {
      continue;
    }
    if (end.mOutcome != run_outcome::Done) {
      mPort.mLogDecision(
        { "run.ended",
          { { "job", task.mJob.Value() },
            { "step", std::to_string(task.mStep) },
            { "task", std::to_string(task.mIndex) },
            { "attempt", std::to_string(end.mRun.mAttempt) },
            { "how", std::string(ToString(end.mOutcome)) } } });
    } else if (step->IsDone() &&
               done.insert({ task.mJob, task.mOccurrence, task.mStep })
                 .second) {
      mPort.mLogDecision({ "step.done",
                           { { "job", task.mJob.Value() },
                             { "step", std::to_string(task.mStep) } } });
    }
  }
}

} // namespace oriolewalk::flow
