#include <chrono>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/speed_samples.h"
#include "oriolewalk/flow/straggler_detector.h"
#include "oriolewalk/flow/worker_health.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;

constexpr time_point kStart{ seconds(100) };
constexpr worker_number kWorkers = 60;
constexpr int kTasks = 10; // of a step
constexpr double kSlow = 0.7;
constexpr double kFast = 1.7;

double
ToMs(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

double
SpeedOf(worker_number aWorker)
{
  return aWorker % 3 == 0 ? kFast : kSlow;
}

// Runs steps of ten tasks on uneven workers, two ends per worker and second,
// and learns from their durations as the leader does.
class uneven_load
{
public:
  explicit uneven_load(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  void RunFor(duration aSpan)
  {
    constexpr milliseconds kPause{ 1'000 * kTasks / (2 * kWorkers) };
    const time_point end = mNow + aSpan;
    for (; mNow < end; mNow += kPause) {
      const double work = 400 + 800 * mRandom.Fraction();
      const job_id job(std::to_string(++mJobs));
      mStartedAt[{ job, 0, 0 }] = mNow;
      for (std::uint32_t index = 0; index < kTasks; ++index) {
        const run_ref run = state_builder::Run(job, 1, index);
        const auto worker =
          static_cast<worker_number>(1 + mRandom.Below(kWorkers));
        mEnds.emplace(mNow + TimeOf(work, worker), std::pair(run, worker));
      }
      while (!mEnds.empty() && mEnds.begin()->first <= mNow) {
        End(mEnds.begin()->second.first,
            mEnds.begin()->second.second,
            mEnds.begin()->first);
        mEnds.erase(mEnds.begin());
      }
    }
  }

  [[nodiscard]] double Learned(worker_number aWorker) const
  {
    return mHealth.Standing(aWorker, mNow).mSpeed;
  }

  time_point mNow = kStart;
  worker_health mHealth;

private:
  // Tasks of a step differ by a third, and 3 of 100 take up to 7 times as long.
  duration TimeOf(double aWorkMs, worker_number aWorker)
  {
    double took =
      aWorkMs * (1 + 0.3 * (mRandom.Fraction() - 1)) / SpeedOf(aWorker);
    if (mRandom.Below(100) < 3) {
      took *= 1 + 6 * mRandom.Fraction();
    }
    return milliseconds(static_cast<std::int64_t>(took));
  }

  void End(const run_ref& aRun, worker_number aWorker, time_point aAt)
  {
    const step_ref step{ aRun.mTask.mJob, 0, 0 };
    mHealth.OnRunEnded(aWorker, run_outcome::Done, aAt);
    mSamples.OnTaskDone(step, aWorker, ToMs(aAt - mStartedAt.at(step)));
    if (++mDone[step] < kTasks) {
      return;
    }
    const double mean = mHealth.MeanSpeed();
    const auto speedOf = [&](worker_number aOne) {
      return mHealth.Standing(aOne, aAt).mSpeed;
    };
    for (const auto& [worker, ratio] : mSamples.TakeStep(step, speedOf)) {
      mHealth.OnTaskTime(worker, ratio * mean);
    }
  }

  random_source mRandom;
  speed_samples mSamples;
  std::map<step_ref, time_point> mStartedAt;
  std::map<step_ref, int> mDone;
  std::multimap<time_point, std::pair<run_ref, worker_number>> mEnds;
  int mJobs = 0;
};

} // namespace

TEST_CASE("a worker that fails its tasks is avoided for a while")
{
  // A worker that fails everything at once looks free and would attract every
  // retry.
  worker_health health;
  health.OnRunEnded(1, run_outcome::Failed, kStart);
  CHECK_FALSE(
    health.Standing(1, kStart).mAvoided); // it may be the task's own fault
  health.OnRunEnded(1, run_outcome::Failed, kStart);
  CHECK(health.Standing(1, kStart).mAvoided);
  CHECK_FALSE(health.Standing(2, kStart).mAvoided);
  CHECK_FALSE(health.Standing(1, kStart + seconds(10)).mAvoided);
  // It fails again when it is tried again: avoided at once, and for longer.
  health.OnRunEnded(1, run_outcome::Failed, kStart + seconds(10));
  CHECK(health.Standing(1, kStart + seconds(12)).mAvoided);
  health.OnRunEnded(1, run_outcome::Done, kStart + seconds(20));
  health.OnRunEnded(1, run_outcome::Failed, kStart + seconds(21));
  CHECK_FALSE(health.Standing(1, kStart + seconds(21)).mAvoided);
}

TEST_CASE("the estimated speed of a worker stays within bounds")
{
  worker_health health;
  for (int end = 0; end < 50; ++end) {
    health.OnTaskTime(1, 0.8);
    health.OnTaskTime(2, 100);
  }
  CHECK(health.Standing(1, kStart).mSpeed == Approx(1.25).margin(0.01));
  CHECK(health.Standing(2, kStart).mSpeed == Approx(0.2).margin(0.01));
  CHECK(health.Standing(3, kStart).mSpeed == 1);
}

TEST_CASE("the speeds of uneven workers are learned within seconds")
{
  // Siblings end on fast workers first. If a run were compared with those that
  // ended before it, the speeds would seem half as far apart.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    uneven_load load(seed);
    load.RunFor(seconds(6));
    for (int later = 0; later < 3; ++later) {
      double fast = 0;
      double slow = 0;
      int wrong = 0;
      int unknown = 0;
      for (worker_number worker = 1; worker <= kWorkers; ++worker) {
        const double speed = load.Learned(worker);
        const bool isFast = SpeedOf(worker) == kFast;
        (isFast ? fast : slow) += std::log(speed) * 3 / kWorkers;
        wrong += isFast == (speed > std::sqrt(kFast * kSlow)) ? 0 : 1;
        unknown +=
          load.mHealth.Standing(worker, load.mNow).mIsSpeedKnown ? 0 : 1;
      }
      CHECK(std::exp(fast - slow / 2) == Approx(kFast / kSlow).epsilon(0.15));
      CHECK(wrong <= 2);
      CHECK(unknown <= (later == 0 ? static_cast<int>(kWorkers / 5) : 0));
      load.RunFor(seconds(20));
    }
  }
}

TEST_CASE("a task's duration is compared with all of its siblings'")
{
  // Durations on workers of another speed are corrected for it.
  speed_samples samples;
  const step_ref step{ job_id("00"), 0, 0 };
  const auto speedOf = [](worker_number aWorker) {
    return aWorker == 2 ? 2.0 : 1.0;
  };
  samples.OnTaskDone(step, 1, 1'000);
  CHECK(samples.TakeStep(step, speedOf).empty()); // nothing to compare it with
  samples.OnTaskDone(step, 1, 1'000);
  samples.OnTaskDone(step, 2, 500);
  samples.OnTaskDone(step, 3, 3'000);
  const auto taken = samples.TakeStep(step, speedOf);
  REQUIRE(taken.size() == 3);
  CHECK(taken[0].mWorker == 1);
  CHECK(taken[2].mRatio == Approx(3));
  CHECK(taken[1].mRatio == Approx(0.5 / std::sqrt(3)));
  CHECK(samples.TakeStep(step, speedOf).empty());
  samples.OnTaskDone(step, 1, 1'000);
  samples.OnTaskDone(step, 2, 1'000);
  samples.Forget(job_id("00"));
  CHECK(samples.TakeStep(step, speedOf).empty());
}

TEST_CASE("a worker's learned speed fades while no run ends there")
{
  // A worker that was slow gets few runs. If it stayed slow in the records, it
  // would never be used again after it has recovered.
  worker_health health;
  for (int end = 0; end < 20; ++end) {
    health.OnRunEnded(1, run_outcome::Done, kStart);
    health.OnTaskTime(1, 6);
  }
  CHECK(health.Standing(1, kStart).mSpeed < 0.25);
  CHECK(health.Standing(1, kStart + seconds(1)).mSpeed < 0.25);
  CHECK(health.Standing(1, kStart + seconds(30)).mSpeed > 0.75);
}

TEST_CASE("a forgotten worker doesn't count towards the mean speed")
{
  worker_health health;
  for (int end = 0; end < 20; ++end) {
    health.OnTaskTime(1, 0.5);
    health.OnTaskTime(2, 4);
  }
  CHECK(health.MeanSpeed() == Approx(std::sqrt(0.5)).margin(0.05));
  health.Forget(2);
  CHECK(health.MeanSpeed() == Approx(2).margin(0.05));
  health.Forget(1);
  CHECK(health.MeanSpeed() == 1);
}

TEST_CASE("a run far behind its siblings is stopped, at most twice per task")
{
  // Tasks stall on one worker although their siblings ended long ago: the step,
  // and the job's caller, would wait for them.
  straggler_detector detector;
  const job_id job("00");
  const run_ref quick = state_builder::Run(job, 1, 0);
  const run_ref slow = state_builder::Run(job, 1, 1);
  detector.OnRunStarted(quick, kStart);
  detector.OnRunStarted(slow, kStart);
  CHECK_FALSE(
    detector.MarkIfStraggler(slow, kStart + seconds(60))); // no sibling ended
  CHECK_FALSE(
    detector.OnRunEnded(quick, run_outcome::Done, kStart + seconds(1)));
  CHECK_FALSE(detector.MarkIfStraggler(slow, kStart + seconds(4)));
  CHECK(detector.MarkIfStraggler(slow, kStart + seconds(6)));
  for (attempt_t attempt = 2; attempt <= 4; ++attempt) {
    const run_ref again = state_builder::Run(job, attempt, 1);
    detector.OnRunStarted(again, kStart);
    CHECK(detector.MarkIfStraggler(again, kStart + seconds(30)) ==
          (attempt == 2));
  }
}

TEST_CASE("a run's duration is compared with its siblings'")
{
  straggler_detector detector;
  const job_id job("00");
  for (std::uint32_t index = 0; index < 3; ++index) {
    detector.OnRunStarted(state_builder::Run(job, 1, index), kStart);
  }
  CHECK_FALSE(detector.OnRunEnded(
    state_builder::Run(job, 1, 0), run_outcome::Done, kStart + seconds(1)));
  CHECK_FALSE(detector.OnRunEnded(
    state_builder::Run(job, 1, 1), run_outcome::Failed, kStart + seconds(1)));
  const auto ratio = detector.OnRunEnded(
    state_builder::Run(job, 1, 2), run_outcome::Done, kStart + seconds(2));
  REQUIRE(ratio);
  CHECK(*ratio == Approx(2));
}

} // namespace oriolewalk::flow
