#include "oriolewalk/flow/straggler_detector.h"

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
straggler_detector::OnRunStarted(const run_ref& aRun, time_point aNow)
{
  mStartedAt[aRun] = aNow;
}

std::optional<double>
straggler_detector::OnRunEnded(const run_ref& aRun,
                               run_outcome aOutcome,
                               time_point aNow)
{
  const auto started = mStartedAt.extract(aRun);
  if (started.empty() || aOutcome != run_outcome::Done) {
    return std::nullopt;
  }
  const double took = ToMs(aNow - started.mapped());
  step_times& step = mSteps[StepOf(aRun.mTask)];
  std::optional<double> ratio;
  if (step.mFinished > 0 && step.mMeanMs > 0) {
    ratio = took / step.mMeanMs;
  }
  ++step.mFinished;
  step.mMeanMs += (took - step.mMeanMs) / step.mFinished;
  return ratio;
}

std::optional<double>
straggler_detector::ElapsedMs(const run_ref& aRun, time_point aNow) const
{
  const auto started = mStartedAt.find(aRun);
  return started == mStartedAt.end()
           ? std::nullopt
           : std::optional(ToMs(aNow - started->second));
}

bool
straggler_detector::MarkIfStraggler(const run_ref& aRun, time_point aNow)
{
  const auto started = mStartedAt.find(aRun);
  const auto step = mSteps.find(StepOf(aRun.mTask));
  if (started == mStartedAt.end() || step == mSteps.end() ||
      ToMs(aNow - started->second) <
        kSlowdownFactor * step->second.mMeanMs + kSlowdownMarginMs) {
    return false;
  }
  int& stops = mStops[aRun.mTask];
  if (stops >= kMaxStops) {
    return false;
  }
  ++stops;
  return true;
}

void
straggler_detector::Forget(const job_id& aJob)
{
  EraseWhile(mStartedAt, { { aJob, 0, 0, 0 }, 0 }, [&](const run_ref& aRun) {
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
