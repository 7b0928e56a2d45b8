#include <catch2/catch.hpp>

#include "oriolewalk/flow/expected_durations.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;
using testing::Step;

constexpr time_point kStart{ seconds(100) };
constexpr int kLearnedTasks = 200;

// A job of two steps with estimates of 1 s, whose queue's tasks take 400 ms.
struct known_job
{
  state_builder mBuilder;
  duration_model mModel;
  straggler_detector mStragglers;
  expected_durations mDurations{ mModel, mStragglers };
  job_id mId;
  time_point mNow = kStart;

  known_job()
  {
    step_spec after = Step(2, 1'000);
    after.mDependsOn = { 0 };
    mId = mBuilder.AddJob("00", { Step(4, 1'000), after });
  }

  void Learn()
  {
    for (int task = 0; task < kLearnedTasks; ++task) {
      // Within a factor of 1.2 around 400 ms.
      const double took = task % 2 == 0 ? 333 : 480;
      mModel.OnRunEnded({ "fees", "", 0 }, 1'000, took, 1, mNow);
    }
  }

  duration_estimate Of(std::uint32_t aStep)
  {
    const job_record& job = *mBuilder.mState.FindJob(mId);
    return mDurations.Of(
      mId, job, mBuilder.mState.QueueOf(job), 0, mNow)[aStep];
  }
};

} // namespace

TEST_CASE("a step without a learned figure is expected as its caller says")
{
  known_job job;
  CHECK(job.Of(0).mMeanMs == 1'000);
  CHECK_FALSE(job.Of(0).mIsLearned);
  CHECK(job.Of(1).mMeanMs == 1'000);
}

TEST_CASE("a step is expected to take what its queue's tasks took")
{
  known_job job;
  job.Learn();
  CHECK(job.Of(0).mMeanMs == Approx(400).epsilon(0.05));
  CHECK(job.Of(0).mIsLearned);
  CHECK(job.Of(1).mMeanMs == Approx(400).epsilon(0.05));
}

TEST_CASE("finished siblings predict a step better than its queue")
{
  // The queue's mean says little of one step whose tasks are alike.
  known_job job;
  job.Learn();
  job.mStragglers.OnRunStarted(state_builder::Run(job.mId, 1, 0), job.mNow);
  job.mStragglers.OnRunStarted(
    state_builder::Run(job.mId, 1, 1), job.mNow, { false, 2 });
  job.mNow += milliseconds(1'000);
  job.mStragglers.OnRunEnded(
    state_builder::Run(job.mId, 1, 0), run_outcome::Done, job.mNow);
  job.mStragglers.OnRunEnded(
    state_builder::Run(job.mId, 1, 1), run_outcome::Done, job.mNow);
  // 1 s at speed 1 and 2 s of work at speed 2.
  CHECK(job.Of(0).mMeanMs == Approx(1'500));
  CHECK(job.Of(0).mTailMs > 1'500);
  CHECK(job.Of(1).mMeanMs == Approx(400).epsilon(0.05));
}

TEST_CASE("runs that aren't whole tell nothing about a step's duration")
{
  // A run from a checkpoint is short, and a failed or stopped one ends early.
  known_job job;
  job.mStragglers.OnRunStarted(
    state_builder::Run(job.mId, 2, 0), job.mNow, { true, 1 });
  job.mStragglers.OnRunStarted(state_builder::Run(job.mId, 1, 1), job.mNow);
  job.mStragglers.OnRunStarted(state_builder::Run(job.mId, 1, 2), job.mNow);
  job.mNow += milliseconds(100);
  CHECK_FALSE(
    job.mStragglers.WholeRunMs(state_builder::Run(job.mId, 2, 0), job.mNow));
  CHECK(job.mStragglers.WholeRunMs(state_builder::Run(job.mId, 1, 1),
                                   job.mNow) == 100);
  job.mStragglers.OnRunEnded(
    state_builder::Run(job.mId, 2, 0), run_outcome::Done, job.mNow);
  job.mStragglers.OnRunEnded(
    state_builder::Run(job.mId, 1, 1), run_outcome::Failed, job.mNow);
  job.mStragglers.OnRunEnded(
    state_builder::Run(job.mId, 1, 2), run_outcome::Stopped, job.mNow);
  CHECK(job.Of(0).mMeanMs == 1'000);
}

TEST_CASE("a run that is longer than expected raises what its step may take")
{
  // Else a step of long tasks looks short until its first task has ended.
  known_job job;
  job.Learn();
  const double learned = job.Of(0).mMeanMs;
  const double tail = job.Of(0).mTailMs;
  job.mStragglers.OnRunStarted(state_builder::Run(job.mId, 1, 0), job.mNow);
  job.mNow += milliseconds(300);
  CHECK(job.Of(0).mMeanMs == Approx(learned).epsilon(0.01));
  job.mNow += milliseconds(150);
  CHECK(job.Of(0).mMeanMs == Approx(450));
  // Beyond the tail its worker may stand still.
  job.mNow += milliseconds(10'000);
  CHECK(job.Of(0).mMeanMs == Approx(tail).epsilon(0.01));
  CHECK(job.Of(1).mMeanMs == Approx(learned).epsilon(0.01));
}

TEST_CASE("expectations change within a tenth of a second")
{
  // They are kept between plans, and plans must not act on old ones for long.
  known_job job;
  CHECK(job.Of(0).mMeanMs == 1'000);
  job.Learn();
  CHECK(job.Of(0).mMeanMs == 1'000);
  job.mNow += expected_durations::kKeptFor;
  CHECK(job.Of(0).mMeanMs == Approx(400).epsilon(0.05));
}

TEST_CASE("steps without a duration of their own keep the caller's estimate")
{
  // A long-running step ends with its job, and a best-effort one depends on
  // what runs beside it.
  duration_model model;
  for (int task = 0; task < kLearnedTasks; ++task) {
    model.OnRunEnded({ "fees", "", 0 }, 1'000, 400, 1, kStart);
  }
  const queue_row queue = testing::Queue("fees", 0);
  step_spec step = Step(1, 1'000);
  CHECK(EstimateOf(model, step, 0, queue, kStart).mIsLearned);
  step.mLongRunning = true;
  CHECK_FALSE(EstimateOf(model, step, 0, queue, kStart).mIsLearned);
  CHECK(EstimateOf(model, step, 0, queue, kStart).mMeanMs == 1'000);
  step.mLongRunning = false;
  step.mBestEffort = true;
  CHECK_FALSE(EstimateOf(model, step, 0, queue, kStart).mIsLearned);
}

TEST_CASE("a stalled run is found before any task of its step has finished")
{
  // The tasks of a step may all stall, and a step may have only one task.
  straggler_detector detector;
  const run_ref run = state_builder::Run(job_id("00"), 1);
  detector.OnRunStarted(run, kStart);
  CHECK_FALSE(detector.MarkIfStraggler(run, kStart + seconds(60)));
  CHECK_FALSE(detector.MarkIfStraggler(run, kStart + seconds(5), 1'000));
  CHECK(detector.MarkIfStraggler(run, kStart + seconds(6), 1'000));
  // On a worker of half the speed it may take twice as long.
  const run_ref slow = state_builder::Run(job_id("01"), 1);
  detector.OnRunStarted(slow, kStart, { false, 0.5 });
  CHECK_FALSE(detector.MarkIfStraggler(slow, kStart + seconds(9), 1'000));
  CHECK(detector.MarkIfStraggler(slow, kStart + seconds(10), 1'000));
}

} // namespace oriolewalk::flow
