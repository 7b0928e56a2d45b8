#include <cmath>
#include <numbers>
#include <string>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/demand_forecast.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Step;
using testing::Worker;

constexpr time_point kStart{ seconds(100) };

// Seeded arrivals whose rate is a function of the time.
class arrivals
{
public:
  static constexpr double kMeanPerSecond = 28;
  static constexpr double kProcessorMs = 2'000;
  static constexpr double kMeanProcessors =
    kMeanPerSecond * kProcessorMs / 1'000;

  explicit arrivals(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // aFactorAt(seconds since kStart): of the mean rate.
  template<class Factor>
  void RunUntil(duration aTime, Factor aFactorAt)
  {
    while (mNow < kStart + aTime) {
      const std::chrono::duration<double> at = mNow - kStart;
      const double rate = kMeanPerSecond * aFactorAt(at.count());
      mNow +=
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          -std::log(1 - mRandom.Fraction()) / rate));
      mForecast.OnArrival("fees", kProcessorMs, mNow);
    }
  }

  demand_forecast mForecast;
  time_point mNow = kStart;

private:
  random_source mRandom;
};

double
Steady(double /*aTime*/)
{
  return 1;
}

auto
Wave(double aPeriod, double aAmplitude)
{
  return [=](double aTime) {
    return 1 + aAmplitude * std::sin(2 * std::numbers::pi * aTime / aPeriod);
  };
}

// A cell of 60 processors, of which 8 are free, and an urgent queue that is in
// the trough of a wave which is about to rise by 60.
struct trough
{
  trough()
    : mArrivals(1)
  {
    for (int at = 0; at < 7; ++at) {
      mScene.mBuilder.AddWorker(Worker("w" + std::to_string(at)));
    }
    // 12.75 of 17 s is the trough.
    mArrivals.RunUntil(milliseconds(34'000 + 12'750), Wave(17, 0.55));
    mScene.mNow = mArrivals.mNow;
  }

  // All workers but the last one are full of such runs.
  void Fill(bool aSavesCheckpoints)
  {
    step_spec filling = Step(6, 8'000);
    filling.mCheckpoints = aSavesCheckpoints;
    const job_id job = mScene.mBuilder.AddJob("00", { filling }, "runs");
    for (std::uint32_t at = 0; at < 6; ++at) {
      mScene.mBuilder.Start(testing::state_builder::Run(job, 1, at), at + 1);
    }
  }

  std::size_t Starts()
  {
    plan_input input = mScene.Input();
    input.mForecast = &mArrivals.mForecast;
    return MakePlan(std::move(input)).mStarts.size();
  }

  void AddWaiting(std::int64_t aEstimateMs, bool aSavesCheckpoints)
  {
    step_spec waiting = Step(4, 2'000);
    waiting.mEstimateMs = aEstimateMs;
    waiting.mCheckpoints = aSavesCheckpoints;
    mScene.mBuilder.AddJob("01", { waiting }, "runs");
  }

  plan_fixture mScene;
  arrivals mArrivals;
};

} // namespace

TEST_CASE("the forecast of steady arrivals is their level")
{
  // Guards against capacity that is kept idle because of chance differences.
  int grows = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    arrivals load(seed);
    load.RunUntil(seconds(45), Steady);
    CHECK(load.mForecast.ExpectedProcessors("fees", load.mNow, {}) ==
          Approx(arrivals::kMeanProcessors).epsilon(0.4));
    grows +=
      load.mForecast.ExpectedGrowth("fees", load.mNow, seconds(6)) > 0 ? 1 : 0;
  }
  CHECK(grows <= 1);
  CHECK(demand_forecast().ExpectedGrowth("fees", kStart, seconds(6)) == 0);
}

TEST_CASE("a wave's rise is expected in its trough, and none at its peak")
{
  const double period = GENERATE(11.0, 17.0);
  int expected = 0;
  int wrong = 0;
  constexpr int kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    arrivals load(seed);
    const auto at = [&](double aPeriods) {
      return milliseconds(static_cast<std::int64_t>(1'000 * period * aPeriods));
    };
    load.RunUntil(at(2.75), Wave(period, 0.55));
    const double rise =
      load.mForecast.ExpectedGrowth("fees", load.mNow, at(0.5));
    expected += rise > 0.5 * arrivals::kMeanProcessors ? 1 : 0;
    CHECK(rise < 2 * arrivals::kMeanProcessors);
    // The level is the mean of the last 2 s, so it peaks a second later.
    load.RunUntil(at(3.25) + seconds(1), Wave(period, 0.55));
    wrong +=
      load.mForecast.ExpectedGrowth("fees", load.mNow, seconds(3)) > 0 ? 1 : 0;
  }
  CHECK(expected >= kSeeds * 3 / 4);
  CHECK(wrong <= 2);
}

TEST_CASE("a burst that begins is expected to go on rising")
{
  int expected = 0;
  constexpr int kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    arrivals load(seed);
    load.RunUntil(milliseconds(31'500),
                  [](double aTime) { return aTime < 30 ? 1.0 : 2.3; });
    expected +=
      load.mForecast.ExpectedGrowth("fees", load.mNow, seconds(3)) > 0 ? 1 : 0;
  }
  CHECK(expected >= kSeeds * 3 / 4);
}

TEST_CASE("the forecast keeps a bounded number of queues")
{
  demand_forecast forecast;
  for (std::size_t queue = 0; queue < 2 * demand_forecast::kMaxQueues;
       ++queue) {
    forecast.OnArrival(std::to_string(queue),
                       1'000,
                       kStart + seconds(static_cast<std::int64_t>(queue)));
  }
  const time_point after = kStart + seconds(2 * demand_forecast::kMaxQueues);
  CHECK(forecast.ExpectedProcessors("0", after, {}) == 0);
  CHECK(forecast.ExpectedProcessors("127", after, {}) > 0);
}

TEST_CASE("long tasks leave room for a wave of urgent arrivals in a full cell")
{
  // Long batch tasks that can't be preempted would fill the last room in the
  // trough, and the urgent work of the peak would wait until they end.
  trough scene;
  scene.Fill(false);
  scene.AddWaiting(6'000, false);
  CHECK(scene.Starts() == 0);
  scene.mScene.mPolicy.mForecastsDemand = false;
  CHECK(scene.Starts() == 4);
}

TEST_CASE("short tasks use the room that is kept for urgent work")
{
  trough scene;
  scene.Fill(false);
  scene.AddWaiting(1'000, false);
  CHECK(scene.Starts() == 4);
}

TEST_CASE("tasks that save checkpoints needn't leave room: they are preempted")
{
  trough scene;
  scene.Fill(false);
  scene.AddWaiting(6'000, true);
  CHECK(scene.Starts() == 4);
}

TEST_CASE("no room is kept where urgent work can preempt enough")
{
  trough scene;
  scene.mScene.mBuilder.AddWorker(Worker("large", 32'000));
  step_spec filling = Step(1, 32'000);
  filling.mCheckpoints = true;
  const job_id large = scene.mScene.mBuilder.AddJob("02", { filling }, "runs");
  scene.mScene.mBuilder.Start(testing::state_builder::Run(large, 1), 8);
  scene.Fill(true);
  scene.AddWaiting(6'000, false);
  CHECK(scene.Starts() == 4);
}

TEST_CASE("no room is kept in a service without urgent queues")
{
  trough scene;
  scene.Fill(false);
  scene.AddWaiting(6'000, false);
  queue_table table = scene.mScene.mBuilder.mState.Table();
  ++table.mVersion;
  table.mQueues[0].mPriority = 1;
  scene.mScene.mBuilder.Apply(put_table{ table, "source" });
  CHECK(scene.Starts() == 4);
}

TEST_CASE("no room is kept at the peak")
{
  trough scene;
  scene.Fill(false);
  scene.AddWaiting(3'000, false);
  scene.mArrivals.RunUntil(milliseconds(34'000 + 22'250), Wave(17, 0.55));
  scene.mScene.mNow = scene.mArrivals.mNow;
  CHECK(scene.Starts() == 4);
}

} // namespace oriolewalk::flow
