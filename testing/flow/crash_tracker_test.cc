#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/crash_tracker.h"
#include "testing/flow/fixtures.h"
#include "testing/flow/plan_fixture.h"

// Tests which crashes are counted, for how long, and what follows from the
// counts.

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::state_builder;
using testing::Step;
using testing::Worker;

const run_ref kRun = state_builder::Run(job_id("00"), 1);
const run_ref kOther = state_builder::Run(job_id("01"), 1);

record_worker_crash
Crash(worker_number aWorker, std::vector<run_ref> aSuspects = {})
{
  return { aWorker, std::move(aSuspects), {} };
}

// Starts a task on a new worker each time, which crashes at once.
struct crash_fixture : plan_fixture
{
  job_id mJob = mBuilder.AddJob("00", { Step(2, 1'000) });

  apply_outcome CrashWhileRunning(std::uint32_t aTask, bool aSuspected)
  {
    const worker_number worker =
      mBuilder.AddWorker(Worker("c" + std::to_string(++mCrashes)));
    const run_ref run = state_builder::Run(
      mJob,
      mBuilder.mState.FindTask({ mJob, 0, 0, aTask })->mAttempt + 1,
      aTask);
    mBuilder.Start(run, worker);
    apply_outcome outcome = mBuilder.Apply(
      Crash(worker, aSuspected ? std::vector{ run } : std::vector<run_ref>{}));
    mBuilder.Apply(remove_worker{ worker });
    return outcome;
  }

  int mCrashes = 0;
};

} // namespace

TEST_CASE("a crash counts once for a task, however often it is recorded")
{
  // Guards against a crash that counts twice because two leaders record it one
  // after the other.
  crash_tracker crashes;
  CHECK(crashes.OnCrash(1, { kRun }, Crash(1, { kRun })).size() == 1);
  CHECK(crashes.OnCrash(1, { kRun }, Crash(1, { kRun })).empty());
  CHECK(crashes.Find(kRun.mTask)->mCrashes == 1);
  CHECK(crashes.Find(kRun.mTask)->mSuspectedCrashes == 1);
}

TEST_CASE("a lost run counts once its worker is known to have crashed")
{
  // Guards against crashes that go unnoticed because the lease expired first,
  // and against silence that counts as a crash.
  crash_tracker crashes;
  crashes.OnRunsLost(1, std::vector{ kRun });
  CHECK(crashes.Find(kRun.mTask) == nullptr);
  CHECK(crashes.UnresolvedLosses().at(kRun.mTask) == 1);
  crashes.OnWorkerReturn(1);
  CHECK(crashes.UnresolvedLosses().empty());
  CHECK(crashes.OnCrash(1, {}, Crash(1)).empty());
  crashes.OnRunsLost(2, std::vector{ kRun });
  CHECK(crashes.OnCrash(2, {}, Crash(2)).size() == 1);
  CHECK(crashes.Find(kRun.mTask)->mCrashes == 1);
  CHECK(crashes.UnresolvedLosses().empty());
}

TEST_CASE("lost workers alone, without a known crash, abandon no task")
{
  // Guards against a job that fails although no worker is known to have crashed
  // under it, and against losses that are forgotten with their worker.
  crash_tracker crashes;
  for (worker_number worker = 1; worker <= 8; ++worker) {
    crashes.OnRunsLost(worker, std::vector{ kRun });
    crashes.OnWorkerRemoved(worker);
  }
  CHECK_FALSE(crashes.ShouldAbandon(kRun.mTask));
  crashes.OnCrash(9, { kRun }, Crash(9));
  CHECK_FALSE(crashes.ShouldAbandon(kRun.mTask));
  crashes.OnCrash(10, { kRun }, Crash(10));
  CHECK(crashes.ShouldAbandon(kRun.mTask));
}

TEST_CASE("a task that ran for long resets its crash count")
{
  // Guards against services that are abandoned for crashes spread over months.
  crash_tracker crashes;
  for (worker_number worker = 1; worker <= 2; ++worker) {
    crashes.OnCrash(worker, { kRun, kOther }, Crash(worker, { kRun, kOther }));
  }
  crashes.OnCrash(3, { kRun, kOther }, { 3, {}, { kRun } });
  CHECK(crashes.Find(kRun.mTask) == nullptr);
  CHECK(crashes.Find(kOther.mTask)->mCrashes == 3);
}

TEST_CASE("a suspect is abandoned after three crashes, another task after five")
{
  // Guards against tasks that are abandoned because they ran beside the one
  // that crashes its workers.
  crash_fixture fixture;
  for (int crash = 1; crash < 3; ++crash) {
    CHECK(fixture.CrashWhileRunning(0, true).mAbandonedTasks.empty());
  }
  CHECK(fixture.CrashWhileRunning(0, true).mAbandonedTasks.size() == 1);
  CHECK(fixture.mBuilder.mState.FindJob(fixture.mJob)->mState ==
        job_state::Failed);
  crash_fixture other;
  for (int crash = 1; crash < 5; ++crash) {
    CHECK(other.CrashWhileRunning(0, false).mAbandonedTasks.empty());
  }
  CHECK(other.CrashWhileRunning(0, false).mAbandonedTasks.size() == 1);
}

TEST_CASE("crash counts are in the snapshot, and one without them is readable")
{
  // Guards against counts that are lost in a restart.
  crash_fixture fixture;
  fixture.CrashWhileRunning(0, true);
  const bytes saved = fixture.mBuilder.mState.Save();
  flow_state restored;
  REQUIRE(restored.Restore(saved));
  CHECK(restored.Crashes().Records().size() == 1);
  // The older format ends before the counts, which are two empty maps here.
  constexpr std::size_t kTwoSizes = 2 * sizeof(std::uint64_t);
  state_builder withoutCrashes;
  withoutCrashes.AddJob("00", { Step(2, 1'000) });
  const bytes older = withoutCrashes.mState.Save();
  REQUIRE(restored.Restore(older.substr(0, older.size() - kTwoSizes)));
  CHECK(restored.FindJob(job_id("00")) != nullptr);
  CHECK(restored.Crashes().Records().empty());
}

TEST_CASE("no task starts at a worker that is known to have crashed")
{
  // Guards against a start between the crash and the worker's removal.
  state_builder builder;
  const worker_number worker = builder.AddWorker(Worker("w"));
  const job_id job = builder.AddJob("00", { Step(1, 1'000) });
  builder.Apply(Crash(worker));
  CHECK(builder.Start(state_builder::Run(job, 1), worker).mStarted.empty());
}

TEST_CASE("a task of high suspicion starts alone, one of its job at a time")
{
  // Guards against suspects that crash a worker together, which hides the
  // cause, and against a step that crashes every worker.
  crash_fixture fixture;
  for (const std::uint32_t task : { 0U, 1U }) {
    fixture.CrashWhileRunning(task, true);
    fixture.CrashWhileRunning(task, true);
  }
  for (const char* id : { "w", "ww", "www" }) {
    fixture.mBuilder.AddWorker(Worker(id));
  }
  fixture.mBuilder.AddJob("11", { Step(30, 1'000) });
  const auto plan = [&]() {
    plan_input input = fixture.Input();
    suspect_isolation isolation;
    input.mSuspicions = isolation.Summarize(
      fixture.mBuilder.mState,
      fixture.mProposed,
      [](worker_number, const run_ref&) { return true; },
      fixture.mNow);
    return MakePlan(std::move(input));
  };
  std::vector<run_start> suspects;
  std::set<worker_number> others;
  for (const planned_start& start : plan().mStarts) {
    if (start.mStart.mRun.mTask.mJob == fixture.mJob) {
      suspects.push_back(start.mStart);
    } else {
      others.insert(start.mStart.mWorker);
    }
  }
  REQUIRE(suspects.size() == 1);
  CHECK(others.size() == 2);
  CHECK_FALSE(others.contains(suspects[0].mWorker));
  // It runs, and is not known to be sound yet.
  fixture.mBuilder.Start(suspects[0].mRun, suspects[0].mWorker);
  for (const planned_start& start : plan().mStarts) {
    CHECK(start.mStart.mWorker != suspects[0].mWorker);
    CHECK(start.mStart.mRun.mTask.mJob != fixture.mJob);
  }
}

} // namespace oriolewalk::flow
