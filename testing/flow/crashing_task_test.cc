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
constexpr const char* kInnocent = "00000000000000ee";
constexpr std::size_t kMaxStarts = 5;

// A group with six workers. In the crashing job, either the first task or all
// tasks crash their workers.
struct crashing_scene
{
  fake_group mGroup;
  std::map<task_ref, std::size_t> mStarts; // of crashing tasks
  bool mAllCrash = false;

  explicit crashing_scene(std::uint64_t aSeed,
                          milliseconds aAway,
                          bool aUnderTheirIds = false)
    : mGroup(3, 3, aSeed)
  {
    constexpr std::size_t kWorkers = 6;
    for (std::size_t made = 0; made < kWorkers; ++made) {
      fake_worker& worker = mGroup.Worker(
        mGroup.AddWorker(std::string(made + 1, 'w'), made % 2 == 0 ? 0.02 : 0));
      worker.mTaskSize = Step(1, 1'000).mSize;
    }
    mGroup.RestartCrashedWorkers(aAway, aUnderTheirIds);
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
  void CheckGivenUp(duration aWithin)
  {
    CHECK(EndsAs(kCrashing, "failed", aWithin));
    for (const auto& [task, starts] : mStarts) {
      CHECK(starts <= kMaxStarts);
    }
    CHECK(EndsAs(kInnocent, "done", aWithin));
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
      crashing_scene scene(seed, seconds(3), sameId);
      scene.mGroup.Submit(kCrashing, { Step(3, 1'000) });
      scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
      scene.CheckGivenUp(seconds(40));
    }
  }
}

TEST_CASE("crashes count if the worker is down for longer than its lease")
{
  // Guards against runs that count as lapsed, which is no failure: the crash is
  // proved only after the task has started elsewhere.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const std::int64_t away : { 5, 9, 14 }) {
      CAPTURE(seed, away);
      crashing_scene scene(seed, seconds(away));
      scene.mGroup.Submit(kCrashing, { Step(3, 1'000) });
      scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
      scene.CheckGivenUp(seconds(100));
    }
  }
}

TEST_CASE("the next leader continues the crash counts")
{
  // Guards against counts that are lost with the leader's term.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    scene.mGroup.Submit(kCrashing, { Step(1, 1'000) });
    scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
    for (int crashes = 0; crashes < 3; ++crashes) {
      scene.mGroup.Run(milliseconds(2'500));
      const auto leader = scene.mGroup.Leader();
      REQUIRE(leader);
      scene.mGroup.Kill(*leader, true);
      scene.mGroup.Run(seconds(2));
      scene.mGroup.Restart(*leader);
    }
    scene.CheckGivenUp(seconds(40));
  }
}

TEST_CASE("a gang whose members crash their workers is abandoned")
{
  // Guards against counts by member or by attempt that add up to too many
  // starts of the whole gang.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    scene.mAllCrash = true;
    step_spec gang = Step(3, 1'000);
    gang.mGang = true;
    scene.mGroup.Submit(kCrashing, { gang });
    scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
    scene.CheckGivenUp(seconds(60));
  }
}

TEST_CASE("a long-running task that crashes its workers is abandoned")
{
  // Guards against endless restarts of long-running tasks, whose failures have
  // no limit.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    step_spec lasting = Step(1, 1'000);
    lasting.mLongRunning = true;
    scene.mGroup.Submit(kCrashing, { lasting });
    scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
    scene.CheckGivenUp(seconds(40));
  }
}

TEST_CASE("a step whose tasks all crash their workers crashes few of them")
{
  // Guards against starting all suspects of one job at once: each of twelve
  // tasks would crash three workers.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    scene.mAllCrash = true;
    scene.mGroup.Submit(kCrashing, { Step(12, 1'000) });
    scene.mGroup.Run(milliseconds(50));
    scene.mGroup.Submit(kInnocent, { Step(20, 1'000) });
    scene.CheckGivenUp(seconds(60));
    CHECK(scene.mGroup.Count("worker.over") <= 14);
  }
}

TEST_CASE("tasks beside one that crashes its workers are not abandoned")
{
  // Guards against restarting the neighbouring tasks beside the crashing one,
  // so that its crashes count for them as well.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    step_spec lasting = Step(6, 1'000);
    lasting.mLongRunning = true;
    scene.mGroup.Submit(kCrashing, { Step(1, 1'000) });
    scene.mGroup.Submit(kInnocent, { Step(18, 1'000), lasting });
    CHECK(scene.EndsAs(kCrashing, "failed", seconds(40)));
    scene.mGroup.Run(seconds(5));
    CHECK(scene.mGroup.StateOf(kInnocent) == "running");
  }
}

TEST_CASE("a worker that was only cut off does not count as crashed")
{
  // Guards against silence that is taken for a crash: the jobs of the worker's
  // tasks would fail although nothing is wrong with them.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    crashing_scene scene(seed, seconds(3));
    step_spec lasting = Step(1, 1'000);
    lasting.mLongRunning = true;
    for (std::size_t worker = 0; worker < 6; ++worker) {
      scene.mGroup.Worker(worker).mWorkTime = seconds(60);
    }
    scene.mGroup.Submit(kInnocent, { lasting });
    for (int cut = 0; cut < 6; ++cut) {
      scene.mGroup.Run(seconds(1));
      for (std::size_t worker = 0; worker < 6; ++worker) {
        scene.mGroup.CutWorker(worker, worker != static_cast<std::size_t>(cut));
      }
      scene.mGroup.Run(seconds(8));
      for (std::size_t worker = 0; worker < 6; ++worker) {
        scene.mGroup.CutWorker(worker, false);
      }
    }
    CHECK(scene.mGroup.StateOf(kInnocent) == "running");
    CHECK(scene.mGroup.Count("task.crashes_workers") == 0);
    CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

} // namespace oriolewalk::flow
