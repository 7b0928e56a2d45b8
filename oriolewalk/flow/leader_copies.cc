// Copies of tasks: collects the runs that may get one, starts the copies that a
// plan selected, and stops the run that another one has overtaken.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

std::string
WholeMs(double aMs)
{
  return std::to_string(std::llround(aMs));
}

} // namespace

void
leader_core::AddRunningTasks(plan_input& aInput) const
{
  for (const auto& [id, job] : mState.LiveJobs()) {
    if (job->IsActive() && job->mPlacedRuns > 0 &&
        std::ranges::any_of(job->mSpec.mSteps, &step_spec::MayHaveCopies)) {
      AddRunningTasks(id, *job, aInput);
    }
  }
  if (!aInput.mRunning.empty()) {
    aInput.mCopyCounts = mCopyCounts;
  }
}

void
leader_core::AddRunningTasks(const job_id& aId,
                             const job_record& aJob,
                             plan_input& aInput) const
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
      if (aJob.mSpec.mSteps[step].MayHaveCopies() &&
          !occurrence.mSteps[step].IsDone()) {
        AddRunningTasks({ aId, number, step }, occurrence.mSteps[step], aInput);
      }
    }
  }
}

void
leader_core::AddRunningTasks(const step_ref& aStep,
                             const step_record& aRecord,
                             plan_input& aInput) const
{
  for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
    const task_record& task = aRecord.mTasks[index];
    if (task.mPhase != task_phase::Placed) {
      continue;
    }
    const run_ref run{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
                       task.mAttempt };
    if (const auto elapsedMs = ElapsedMs(run, task.mWorker)) {
      aInput.mRunning.push_back(
        { run,
          task.mWorker,
          *elapsedMs,
          mHealth.Standing(task.mWorker, mAt.mNow).mSpeed });
      aInput.mFinished[aStep] = mStragglers.FinishedTasks(aStep);
    }
  }
}

// Only runs count that this leader knows to have started. The start order of
// another one may be in transit, and could arrive after a copy has ended as
// done.
std::optional<double>
leader_core::ElapsedMs(const run_ref& aRun, worker_number aWorker) const
{
  const auto worker = mSupervisor.Views().find(aWorker);
  if (worker == mSupervisor.Views().end()) {
    return std::nullopt;
  }
  const auto run = worker->second.mRuns.find(aRun);
  if (run == worker->second.mRuns.end() || !run->second.mStartedAt ||
      run->second.mStopRequested) {
    return std::nullopt;
  }
  return std::chrono::duration<double, std::milli>(mAt.mNow -
                                                   *run->second.mStartedAt)
    .count();
}

void
leader_core::StartCopies(std::vector<planned_copy> aCopies)
{
  std::vector<planned_start> starts;
  std::ranges::transform(
    aCopies, std::back_inserter(starts), &planned_copy::mStart);
  const std::vector<run_start> proposed = Book(std::move(starts));
  const bool sent =
    mPort.mPropose(start_copies{ proposed },
                   [this, proposed, copies = std::move(aCopies)](
                     const apply_outcome& aOutcome) {
                     for (const run_start& start : aOutcome.mStarted) {
                       ++mCopyCounts[start.mRun.mTask];
                     }
                     LogCopies(copies, aOutcome);
                     OnStartsApplied(proposed, aOutcome);
                   });
  if (!sent) {
    OnStartsApplied(proposed, {});
  }
}

void
leader_core::LogCopies(const std::vector<planned_copy>& aCopies,
                       const apply_outcome& aOutcome)
{
  for (const planned_copy& copy : aCopies) {
    const run_start& start = copy.mStart.mStart;
    if (std::ranges::none_of(aOutcome.mStarted, [&](const run_start& aStarted) {
          return aStarted.mRun == start.mRun;
        })) {
      continue; // refused: its task has ended, or its worker is no longer there
    }
    const auto nameOf = [this](worker_number aWorker) {
      const worker_record* worker = mState.FindWorker(aWorker);
      return worker == nullptr ? std::string()
                               : worker->mDescription.mId.Value();
    };
    const task_ref& task = start.mRun.mTask;
    mPort.mLogDecision(
      { "run.copied",
        { { "job", task.mJob.Value() },
          { "step", std::to_string(task.mStep) },
          { "task", std::to_string(task.mIndex) },
          { "attempt", std::to_string(start.mRun.mAttempt) },
          { "worker", nameOf(start.mWorker) },
          { "slow_attempt", std::to_string(copy.mReason.mRun.mAttempt) },
          { "slow_worker", nameOf(copy.mReason.mWorker) },
          { "elapsed_ms", WholeMs(copy.mReason.mElapsedMs) },
          { "expected_ms", WholeMs(copy.mReason.mExpectedMs) },
          { "gain_ms", WholeMs(copy.mReason.mExpectedGainMs) } } });
  }
}

void
leader_core::StopOvertakenRuns()
{
  for (const auto& [ref, copy] : mState.Copies()) {
    if (!copy.IsPlaced()) {
      continue;
    }
    const bool isUnwanted = !mState.FindJob(ref.mJob)->IsActive() ||
                            mState.FindTask(ref)->mPhase == task_phase::Done;
    if (isUnwanted) {
      mSupervisor.RequestStop(copy.mWorker, { ref, copy.mAttempt }, mAt.mNow);
    }
  }
}

} // namespace oriolewalk::flow
