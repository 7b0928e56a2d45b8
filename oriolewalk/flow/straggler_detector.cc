#include "oriolewalk/flow/straggler_detector.h"

#include <algorithm>
#include <chrono>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Only runs that have stalled, or nearly so, are stopped. A factor of 2.2 and
// 400 ms stopped tasks that were merely long: the served share of three
// scenarios with faults was 0.975, 0.971 and 0.921 instead of 0.977, 0.977 and
// 0.942 without any stops.
constexpr double kSlowdownFactor = 4;
constexpr double kSlowdownMarginMs = 1'500;
// A task that was stopped twice is slow by itself.
constexpr int kMaxStops = 2;

step_ref
StepOf(const task_ref& aTask)
{
  return { aTask.mJob, aTask.mOccurrence, aTask.mStep };
}

double
ToMs(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

} // namespace

void
straggler_detector::OnRunStarted(const run_ref& aRun,
                                 time_point aNow,
                                 const run_origin& aOrigin)
{
  mRuns[aRun] = { aNow, aOrigin };
}

std::optional<double>
straggler_detector::OnRunEnded(const run_ref& aRun,
                               run_outcome aOutcome,
                               time_point aNow)
{
  const auto started = mRuns.extract(aRun);
  if (started.empty() || aOutcome != run_outcome::Done) {
    return std::nullopt;
  }
  const double took = ToMs(aNow - started.mapped().mStartedAt);
  step_times& step = mSteps[StepOf(aRun.mTask)];
  std::optional<double> ratio;
  if (step.mCount > 0 && step.mMeanMs > 0) {
    ratio = took / step.mMeanMs;
  }
  ++step.mCount;
  step.mMeanMs += (took - step.mMeanMs) / step.mCount;
  const run_origin& origin = started.mapped().mOrigin;
  if (!origin.mFromCheckpoint) {
    ++step.mFinishedWhole;
    step.mMeanWorkMs +=
      (took * origin.mSpeed - step.mMeanWorkMs) / step.mFinishedWhole;
  }
  return ratio;
}

bool
straggler_detector::IsStraggler(const run_ref& aRun,
                                time_point aNow,
                                std::optional<double> aLearnedMs) const
{
  const auto started = mRuns.find(aRun);
  if (started == mRuns.end()) {
    return false;
  }
  const run_times& run = started->second;
  const auto step = mSteps.find(StepOf(aRun.mTask));
  if (step == mSteps.end() && !aLearnedMs) {
    return false;
  }
  const double usual = step == mSteps.end() ? *aLearnedMs / run.mOrigin.mSpeed
                                            : step->second.mMeanMs;
  return ToMs(aNow - run.mStartedAt) >=
         kSlowdownFactor * usual + kSlowdownMarginMs;
}

bool
straggler_detector::MarkIfStraggler(const run_ref& aRun,
                                    time_point aNow,
                                    std::optional<double> aLearnedMs)
{
  if (!IsStraggler(aRun, aNow, aLearnedMs)) {
    return false;
  }
  int& stops = mStops[aRun.mTask];
  if (stops >= kMaxStops) {
    return false;
  }
  ++stops;
  return true;
}

std::optional<double>
straggler_detector::WholeRunMs(const run_ref& aRun, time_point aNow) const
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end() || found->second.mOrigin.mFromCheckpoint) {
    return std::nullopt;
  }
  return ToMs(aNow - found->second.mStartedAt);
}

step_progress
straggler_detector::ProgressOf(const step_ref& aStep, time_point aNow) const
{
  const auto finished = mSteps.find(aStep);
  if (finished != mSteps.end() && finished->second.mFinishedWhole > 0) {
    return { finished->second.mMeanWorkMs, 0 };
  }
  step_progress progress;
  const run_ref first{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, 0 }, 0 };
  for (auto next = mRuns.lower_bound(first);
       next != mRuns.end() && StepOf(next->first.mTask) == aStep;
       ++next) {
    const run_times& run = next->second;
    if (!run.mOrigin.mFromCheckpoint) {
      progress.mLongestRunningMs =
        std::max(progress.mLongestRunningMs,
                 ToMs(aNow - run.mStartedAt) * run.mOrigin.mSpeed);
    }
  }
  return progress;
}

finished_tasks
straggler_detector::FinishedTasks(const step_ref& aStep) const
{
  const auto found = mSteps.find(aStep);
  if (found == mSteps.end()) {
    return {};
  }
  const finished_tasks& finished = found->second;
  return finished;
}

void
straggler_detector::OnRunsDropped(std::span<const run_ref> aRuns)
{
  for (const run_ref& run : aRuns) {
    mRuns.erase(run);
  }
}

void
straggler_detector::Forget(const job_id& aJob)
{
  EraseWhile(mRuns, { { aJob, 0, 0, 0 }, 0 }, [&](const run_ref& aRun) {
    return aRun.mTask.mJob == aJob;
  });
  EraseWhile(mSteps, { aJob, 0, 0 }, [&](const step_ref& aStep) {
    return aStep.mJob == aJob;
  });
  EraseWhile(mStops, { aJob, 0, 0, 0 }, [&](const task_ref& aTask) {
    return aTask.mJob == aJob;
  });
}

} // namespace oriolewalk::flow
