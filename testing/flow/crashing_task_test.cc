#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Tests of tasks that crash each worker that starts them.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kCrashing = "00000000000000cc";
constexpr const char* kNormal = "00000000000000ee";
constexpr std::size_t kMaxStarts = 5;

// A group with six workers. In the crashing job, either the first task or all
// tasks crash their workers.
struct crashing_fixture
{
  fake_group mGroup;
  std::map<task_ref, std::size_t> mStarts; // of crashing tasks
  bool mAllCrash = false;

  explicit crashing_fixture(std::uint64_t aSeed,
                            milliseconds aDowntime,
                            bool aKeepIds = false)
    : mGroup(3, 3, aSeed)
  {
    constexpr std::size_t kWorkers = 6;
    for (std::size_t made = 0; made < kWorkers; ++made) {
      fake_worker& worker = mGroup.Worker(
        mGroup.AddWorker(std::string(made + 1, 'w'), made % 2 == 0 ? 0.02 : 0));
      worker.mTaskSize = Step(1, 1'000).mSize;
    }
    mGroup.RestartCrashedWorkers(aDowntime, aKeepIds);
    mGroup.Oracle().mCrashesWorker = [this](const task_ref& aTask) {
      return aTask.mJob.Value() == kCrashing &&
             (mAllCrash || aTask.mIndex == 0);
    };
    mGroup.Oracle().mOnStart = [this](const run_ref& aRun) {
      if (mGroup.Oracle().mCrashesWorker(aRun.mTask)) {
        ++mStarts[aRun.mTask];
      }
    };
    mGroup.Run(seconds(2));
  }

  bool EndsAs(const char* aJob, const char* aState, duration aWithin)
  {
    return mGroup.RunUntil([&]() { return mGroup.StateOf(aJob) == aState; },
                           aWithin);
  }

  // Checks that the crashing job ends as failed after few starts, and that the
  // tasks that ran beside it end as done.
  void CheckAbandoned(duration aWithin)
  {
    CHECK(EndsAs(kCrashing, "failed", aWithin));
    for (const auto& [task, starts] : mStarts) {
      CHECK(starts <= kMaxStarts);
    }
    CHECK(EndsAs(kNormal, "done", aWithin));
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
};

} // namespace

TEST_CASE("a task that crashes its workers is not restarted indefinitely")
{
  // Guards against crashes that are not recorded for the task.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool sameId : { false, true }) {
      CAPTURE(seed, sameId);
      crashing_fixture fixture(seed, seconds(3), sameId);
      fixture.mGroup.Submit(kCrashing, { Step(3, 1'000) });
      fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
      fixture.CheckAbandoned(seconds(40));
    }
  }
}

TEST_CASE("crashes count if the worker is down for longer than its lease")
{
  // Guards against runs that count as lapsed, which is no failure: the crash is
  // proved only after the task has started elsewhere.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const std::int64_t downtime : { 5, 9, 14 }) {
      CAPTURE(seed, downtime);
      crashing_fixture fixture(seed, seconds(downtime));
      fixture.mGroup.Submit(kCrashing, { Step(3, 1'000) });
      fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
      fixture.CheckAbandoned(seconds(100));
    }
  }
}

TEST_CASE("the next leader continues the crash counts")
{
  // Guards against counts that are lost with the leader's term.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    fixture.mGroup.Submit(kCrashing, { Step(1, 1'000) });
    fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
    for (int crashes = 0; crashes < 3; ++crashes) {
      fixture.mGroup.Run(milliseconds(2'500));
      const auto leader = fixture.mGroup.Leader();
      REQUIRE(leader);
      fixture.mGroup.Kill(*leader, true);
      fixture.mGroup.Run(seconds(2));
      fixture.mGroup.Restart(*leader);
    }
    fixture.CheckAbandoned(seconds(40));
  }
}

TEST_CASE("a gang whose members crash their workers is abandoned")
{
  // Guards against counts by member or by attempt that add up to too many
  // starts of the whole gang.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    fixture.mAllCrash = true;
    step_spec gang = Step(3, 1'000);
    gang.mGang = true;
    fixture.mGroup.Submit(kCrashing, { gang });
    fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
    fixture.CheckAbandoned(seconds(60));
  }
}

TEST_CASE("a long-running task that crashes its workers is abandoned")
{
  // Guards against endless restarts of long-running tasks, whose failures have
  // no limit.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    step_spec longRunning = Step(1, 1'000);
    longRunning.mLongRunning = true;
    fixture.mGroup.Submit(kCrashing, { longRunning });
    fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
    fixture.CheckAbandoned(seconds(40));
  }
}

TEST_CASE("a step whose tasks all crash their workers crashes few of them")
{
  // Guards against starting all suspects of one job at once: each of twelve
  // tasks would crash three workers.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    fixture.mAllCrash = true;
    fixture.mGroup.Submit(kCrashing, { Step(12, 1'000) });
    fixture.mGroup.Run(milliseconds(50));
    fixture.mGroup.Submit(kNormal, { Step(20, 1'000) });
    fixture.CheckAbandoned(seconds(60));
    CHECK(fixture.mGroup.Count("worker.over") <= 14);
  }
}

TEST_CASE("tasks beside one that crashes its workers are not abandoned")
{
  // Guards against restarting the neighbouring tasks beside the crashing one,
  // so that its crashes count for them as well.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    step_spec longRunning = Step(6, 1'000);
    longRunning.mLongRunning = true;
    fixture.mGroup.Submit(kCrashing, { Step(1, 1'000) });
    fixture.mGroup.Submit(kNormal, { Step(18, 1'000), longRunning });
    CHECK(fixture.EndsAs(kCrashing, "failed", seconds(40)));
    fixture.mGroup.Run(seconds(5));
    CHECK(fixture.mGroup.StateOf(kNormal) == "running");
  }
}

TEST_CASE("a worker that was only cut off does not count as crashed")
{
  // Guards against silence that is taken for a crash: the jobs of the worker's
  // tasks would fail although nothing is wrong with them.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    crashing_fixture fixture(seed, seconds(3));
    step_spec longRunning = Step(1, 1'000);
    longRunning.mLongRunning = true;
    for (std::size_t worker = 0; worker < 6; ++worker) {
      fixture.mGroup.Worker(worker).mWorkTime = seconds(60);
    }
    fixture.mGroup.Submit(kNormal, { longRunning });
    for (int cut = 0; cut < 6; ++cut) {
      fixture.mGroup.Run(seconds(1));
      for (std::size_t worker = 0; worker < 6; ++worker) {
        fixture.mGroup.CutWorker(worker,
                                 worker != static_cast<std::size_t>(cut));
      }
      fixture.mGroup.Run(seconds(8));
      for (std::size_t worker = 0; worker < 6; ++worker) {
        fixture.mGroup.CutWorker(worker, false);
      }
    }
    CHECK(fixture.mGroup.StateOf(kNormal) == "running");
    CHECK(fixture.mGroup.Count("task.crashes_workers") == 0);
    CHECK(fixture.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

} // namespace oriolewalk::flow
