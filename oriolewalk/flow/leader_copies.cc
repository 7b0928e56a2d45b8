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

// Only runs count that this leader knows to have started. The start order of
// another one may be in transit, and could arrive after a copy has ended as
// done.
void
leader_core::AddRunningTasks(plan_input& aInput) const
{
  const auto addStep = [&](const step_ref& aStep, const step_record& aRecord) {
    for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
      const task_record& task = aRecord.mTasks[index];
      const run_ref run{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
                         task.mAttempt };
      const auto view = task.mPhase == task_phase::Placed
                          ? mSupervisor.Views().find(task.mWorker)
                          : mSupervisor.Views().end();
      if (view == mSupervisor.Views().end()) {
        continue;
      }
      const auto seen = view->second.mRuns.find(run);
      if (seen != view->second.mRuns.end() && seen->second.mStartedAt &&
          !seen->second.mStopRequested) {
        aInput.mRunning.push_back(
          { run,
            task.mWorker,
            std::chrono::duration<double, std::milli>(mAt.mNow -
                                                      *seen->second.mStartedAt)
              .count(),
            mHealth.Standing(task.mWorker, mAt.mNow).mSpeed });
        aInput.mFinished[aStep] = mStragglers.FinishedTasks(aStep);
      }
    }
  };
  for (const auto& [id, job] : mState.LiveJobs()) {
    const auto& specs = job->mSpec.mSteps;
    if (!job->IsActive() || job->mPlacedRuns == 0 ||
        std::ranges::none_of(specs, &step_spec::MayHaveCopies)) {
      continue;
    }
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (std::uint32_t step = 0; step < specs.size(); ++step) {
        if (specs[step].MayHaveCopies() && !occurrence.mSteps[step].IsDone()) {
          addStep({ id, number, step }, occurrence.mSteps[step]);
        }
      }
    }
  }
  if (!aInput.mRunning.empty()) {
    aInput.mCopyCounts = mCopyCounts;
  }
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
