#include <catch2/catch.hpp>

#include "oriolewalk/flow/flow_state.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

using testing::state_builder;
using testing::Step;
using testing::Worker;

TEST_CASE("a saved checkpoint is the task's, or that of the whole gang")
{
  state_builder builder;
  const worker_number worker = builder.AddWorker(Worker("w"));
  step_spec gang = Step(2, 500);
  gang.mGang = true;
  const job_id one = builder.AddJob("01", { Step(2, 500) });
  const job_id many = builder.AddJob("02", { gang });
  for (const std::uint32_t index : { 0U, 1U }) {
    builder.Start(state_builder::Run(one, 1, index), worker);
    builder.Start(state_builder::Run(many, 1, index), worker);
  }
  builder.Apply(
    save_checkpoints{ { { state_builder::Run(one, 1, 0), "a" },
                        { state_builder::Run(many, 1, 1), "b" },
                        // This attempt isn't in progress.
                        { state_builder::Run(one, 2, 1), "c" },
                        { state_builder::Run(job_id("03"), 1), "d" } } });
  const auto checkpointOf = [&](const job_id& aJob, std::uint32_t aIndex) {
    return builder.mState.FindTask({ aJob, 0, 0, aIndex })->mCheckpoint;
  };
  CHECK(checkpointOf(one, 0) == "a");
  CHECK(checkpointOf(one, 1).empty());
  CHECK(checkpointOf(many, 0) == "b");
  CHECK(checkpointOf(many, 1) == "b");
}

TEST_CASE("a restarted worker gets a new number and keeps its placed runs")
{
  // Guards against commands for the previous incarnation that are still in the
  // log when the next one is registered. If they applied to it, it would get
  // the previous one's cursor, and its ends would be skipped.
  state_builder builder;
  worker_description description = Worker("w");
  description.mProcessStartMs = 1'000;
  const worker_number before = builder.AddWorker(description);
  const job_id job = builder.AddJob("01", { Step(3, 500) });
  const run_ref ended = state_builder::Run(job, 1, 0);
  const run_ref placed = state_builder::Run(job, 1, 1);
  builder.Start(ended, before);
  builder.Start(placed, before);
  builder.End(ended, before, run_outcome::Done, 7);
  description.mProcessStartMs = 2'000;
  CHECK(
    builder.Apply(register_worker{ description, false }).mPreviousIncarnation ==
    before);
  const worker_number after = builder.mState.NumberOf(description.mId);
  CHECK(after != before);
  CHECK(builder.mState.FindWorker(before) == nullptr);
  CHECK(builder.mState.FindWorker(after)->mCursor == 0);
  CHECK(builder.mState.IsPlaced(placed, after));
  CHECK(builder.mState.RunsAt(after).size() == 1);
  CHECK(builder.mState.TotalsAt(after).mBooked == Step(1, 500).mSize);
  CHECK(builder.mState.RunsAt(before).empty());
  // Commands in flight for the previous incarnation, and a late heartbeat of
  // it, change nothing.
  CHECK(builder.End(placed, before, run_outcome::Done, 8).mError);
  CHECK(builder.Start(state_builder::Run(job, 1, 2), before).mStarted.empty());
  builder.Apply(drop_runs{ before, { placed } });
  builder.Apply(remove_worker{ before });
  description.mProcessStartMs = 1'000;
  CHECK(builder.Apply(register_worker{ description, true }).mError);
  CHECK(builder.mState.IsPlaced(placed, after));
  CHECK_FALSE(builder.mState.FindWorker(after)->mDraining);
  CHECK(builder.mState.FindWorker(after)->mDescription.mProcessStartMs ==
        2'000);
  // The derived indexes are the same after a restore.
  flow_state restored;
  REQUIRE(restored.Restore(builder.mState.Save()));
  CHECK(restored.RunsAt(after) == builder.mState.RunsAt(after));
  CHECK(restored.TotalsAt(after).mBooked == Step(1, 500).mSize);
  CHECK(builder.End(placed, after, run_outcome::Done, 1).mError ==
        std::nullopt);
  CHECK(builder.mState.TotalsAt(after).mBooked == cell::resources{});
}

TEST_CASE("a job that is submitted again stays one job")
{
  // Guards against a second job when a caller's connection breaks after the
  // commit and it submits the same id again at another entry.
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(1, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1), worker);
  builder.AddJob("00", { Step(5, 1'000) });
  CHECK(builder.mState.FindJob(job)->mSpec.mSteps[0].mCount == 1);
  CHECK(builder.mState.FindJob(job)->mHasStarted);
}

TEST_CASE("a step waits for the steps that it depends on")
{
  state_builder builder;
  step_spec second = Step(1, 1'000);
  second.mDependsOn = { 0 };
  const job_id job = builder.AddJob("00", { Step(1, 1'000), second });
  const worker_number worker = builder.AddWorker(Worker("w"));
  const run_ref later = state_builder::Run(job, 1, 0, 1);
  CHECK(builder.Start(later, worker).mStarted.empty());
  builder.Start(state_builder::Run(job, 1), worker);
  CHECK(builder.Start(later, worker).mStarted.empty());
  builder.End(state_builder::Run(job, 1), worker, run_outcome::Done);
  CHECK(builder.Start(later, worker).mStarted.size() == 1);
}

TEST_CASE(
  "a task is not placed twice, and an old attempt's end changes nothing")
{
  // A worker is cut off, its lease expires, and the task starts elsewhere. Then
  // the first worker is back and reports its run as done. The second attempt is
  // in progress and must stay the only one that counts.
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(1, 1'000) });
  const worker_number first = builder.AddWorker(Worker("w"));
  const worker_number second = builder.AddWorker(Worker("ww"));
  builder.Start(state_builder::Run(job, 1), first);
  CHECK(builder.Start(state_builder::Run(job, 2), second).mStarted.empty());
  builder.Apply(drop_runs{ first, { state_builder::Run(job, 1) } });
  CHECK(builder.Start(state_builder::Run(job, 1), second).mStarted.empty());
  CHECK(builder.Start(state_builder::Run(job, 2), second).mStarted.size() == 1);
  builder.End(state_builder::Run(job, 1), first, run_outcome::Done);
  CHECK(builder.mState.FindJob(job)->IsActive());
  CHECK(builder.mState.IsPlaced(state_builder::Run(job, 2), second));
  builder.End(state_builder::Run(job, 2), second, run_outcome::Done);
  CHECK(builder.mState.FindJob(job)->mState == job_state::Done);
}

TEST_CASE("only failures count towards the queue's maximum of attempts")
{
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(1, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  const std::vector ends{ run_outcome::Failed,
                          run_outcome::Lapsed,
                          run_outcome::Stopped };
  attempt_t attempt = 0;
  for (const run_outcome outcome : ends) {
    builder.Start(state_builder::Run(job, ++attempt), worker);
    builder.End(state_builder::Run(job, attempt), worker, outcome, attempt);
    CHECK(builder.mState.FindJob(job)->IsActive());
  }
  builder.Start(state_builder::Run(job, ++attempt), worker);
  builder.End(
    state_builder::Run(job, attempt), worker, run_outcome::Failed, attempt);
  CHECK(builder.mState.FindJob(job)->mState == job_state::Failed);
}

TEST_CASE("a gang's failure counts once, and one success completes the gang")
{
  state_builder builder;
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  const job_id job = builder.AddJob("00", { gang });
  const worker_number worker = builder.AddWorker(Worker("w"));
  const auto startAll = [&](attempt_t aAttempt) {
    for (std::uint32_t index = 0; index < 3; ++index) {
      builder.Start(state_builder::Run(job, aAttempt, index), worker);
    }
  };
  startAll(1);
  for (std::uint32_t index = 0; index < 3; ++index) {
    builder.End(state_builder::Run(job, 1, index),
                worker,
                run_outcome::Failed,
                index + 1);
  }
  CHECK(builder.mState.FindJob(job)->IsActive());
  startAll(2);
  builder.End(state_builder::Run(job, 2, 1), worker, run_outcome::Done, 4);
  CHECK(builder.mState.FindJob(job)->mState == job_state::Done);
  // The others end at the same moment, but until a member's own end is reported
  // its worker may still run it, so its capacity stays booked.
  CHECK(builder.mState.TotalsAt(worker).mBooked.mMilliProcessors == 2'000);
  builder.End(state_builder::Run(job, 2, 0), worker, run_outcome::Done, 5);
  builder.End(state_builder::Run(job, 2, 2), worker, run_outcome::Done, 6);
  CHECK(builder.mState.TotalsAt(worker).mBooked.mMilliProcessors == 0);
  CHECK_FALSE(builder.mState.LiveJobs().contains(job));
}

TEST_CASE("a long-running task starts again whatever its outcome")
{
  state_builder builder;
  step_spec longRunning = Step(1, 1'000);
  longRunning.mLongRunning = true;
  const job_id job = builder.AddJob("00", { longRunning });
  const worker_number worker = builder.AddWorker(Worker("w"));
  for (attempt_t attempt = 1; attempt <= 5; ++attempt) {
    CHECK(
      builder.Start(state_builder::Run(job, attempt), worker).mStarted.size() ==
      1);
    builder.End(
      state_builder::Run(job, attempt), worker, run_outcome::Failed, attempt);
  }
  CHECK(builder.mState.FindJob(job)->IsActive());
}

TEST_CASE("no task starts on a draining worker, nor for a job that has ended")
{
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1), worker);
  builder.Apply(register_worker{ Worker("w"), true });
  CHECK(builder.Start(state_builder::Run(job, 1, 1), worker).mStarted.empty());
  const worker_number other = builder.AddWorker(Worker("ww"));
  builder.Apply(cancel_job{ job });
  CHECK(builder.Start(state_builder::Run(job, 1, 1), other).mStarted.empty());
  CHECK(builder.mState.LiveJobs().contains(job)); // a run may be in progress
  builder.End(state_builder::Run(job, 1), worker, run_outcome::Stopped);
  CHECK_FALSE(builder.mState.LiveJobs().contains(job));
  CHECK(builder.mState.FindJob(job)->mState == job_state::Cancelled);
}

TEST_CASE("the removal of a worker releases all its runs")
{
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1, 0), worker);
  builder.Start(state_builder::Run(job, 1, 1), worker);
  CHECK(builder.mState.TotalsAt(worker).mBooked.mMilliProcessors == 2'000);
  builder.Apply(remove_worker{ worker });
  CHECK(builder.mState.RunsAt(worker).empty());
  CHECK(builder.mState.FindTask({ job, 0, 0, 0 })->mPhase ==
        task_phase::Waiting);
  // The next incarnation has a number of its own.
  CHECK(builder.AddWorker(Worker("w")) != worker);
}

TEST_CASE("the table's version only increases")
{
  state_builder builder;
  queue_table older = builder.mState.Table();
  older.mQueues.clear();
  builder.Apply(put_table{ older, "other" });
  CHECK(builder.mState.TableSource() == "source");
  older.mVersion = 5;
  builder.Apply(put_table{ older, "newer" });
  CHECK(builder.mState.Table().mVersion == 5);
  CHECK(builder.mState.TableSource() == "newer");
}

TEST_CASE("an invalid table is refused")
{
  state_builder builder;
  queue_table table = builder.mState.Table();
  CHECK(CheckTable(table));
  queue_table unknownService = table;
  unknownService.mQueues[0].mService = service_id("other");
  CHECK_FALSE(CheckTable(unknownService));
  queue_table duplicate = table;
  duplicate.mQueues[1].mPrefix = duplicate.mQueues[0].mPrefix;
  CHECK_FALSE(CheckTable(duplicate));
  queue_table noTimeout = table;
  noTimeout.mQueues[0].mTimeoutMs = 0;
  CHECK_FALSE(CheckTable(noTimeout));
}

TEST_CASE("a snapshot restores the same state")
{
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1), worker);
  flow_state read;
  REQUIRE(read.Restore(builder.mState.Save()));
  CHECK(read.Save() == builder.mState.Save());
  CHECK(read.IsPlaced(state_builder::Run(job, 1), worker));
  CHECK(read.TotalsAt(worker).mBooked.mMilliProcessors == 1'000);
  CHECK_FALSE(read.Restore("rubbish"));
}

TEST_CASE("a recurring job ends with its last occurrence")
{
  state_builder builder;
  job_spec spec;
  spec.mSteps = { Step(1, 1'000) };
  spec.mRecurrence = { 2, 5'000, 1'000 };
  const job_id job("00");
  builder.Apply(
    submit_job{ job, *builder.mState.Table().FindQueue("fees"), spec });
  const worker_number worker = builder.AddWorker(Worker("w"));
  CHECK(builder.Start(state_builder::Run(job, 1), worker).mStarted.empty());
  CHECK(builder.Apply(open_occurrence{ job, 1 }).mError);
  builder.Apply(open_occurrence{ job, 0 });
  builder.Start(state_builder::Run(job, 1), worker);
  builder.End(state_builder::Run(job, 1), worker, run_outcome::Done);
  CHECK(builder.mState.FindJob(job)->IsActive());
  builder.Apply(open_occurrence{ job, 1 });
  const run_ref second{ { job, 1, 0, 0 }, 1 };
  builder.Start(second, worker);
  builder.End(second, worker, run_outcome::Done, 2);
  CHECK(builder.mState.FindJob(job)->mState == job_state::Done);
}

TEST_CASE("ends of several workers in one entry count like one by one")
{
  // Guards against ends that are lost with those of a worker that has gone.
  state_builder builder;
  const worker_number gone = builder.AddWorker(Worker("a"));
  const worker_number other = builder.AddWorker(Worker("bb"));
  const job_id job = builder.AddJob("j", { Step(2, 1'000) });
  const run_ref lost = state_builder::Run(job, 1, 0);
  const run_ref done = state_builder::Run(job, 1, 1);
  builder.Start(lost, gone);
  builder.Start(done, other);
  builder.Apply(remove_worker{ gone });
  const apply_outcome outcome = builder.Apply(end_runs_on_workers{
    { { gone, { { lost, run_outcome::Done, {} } }, 1 },
      { other, { { done, run_outcome::Done, {} } }, 4 } } });
  CHECK(!outcome.mError);
  CHECK(builder.mState.FindTask(lost.mTask)->mPhase == task_phase::Waiting);
  CHECK(builder.mState.FindTask(done.mTask)->mPhase == task_phase::Done);
  CHECK(builder.mState.FindWorker(other)->mCursor == 4);
  CHECK(builder.mState.RunsAt(other).empty());
}

} // namespace oriolewalk::flow
