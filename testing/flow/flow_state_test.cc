#include <catch2/catch.hpp>

#include "oriolewalk/flow/flow_state.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

using testing::state_builder;
using testing::Step;
using testing::Worker;

TEST_CASE("a saved checkpoint is the task's, or that of the whole gang")
{
  state_builder made;
  const worker_number worker = made.AddWorker(Worker("w"));
  step_spec gang = Step(2, 500);
  gang.mGang = true;
  const job_id one = made.AddJob("01", { Step(2, 500) });
  const job_id many = made.AddJob("02", { gang });
  for (const std::uint32_t index : { 0U, 1U }) {
    made.Start(state_builder::Run(one, 1, index), worker);
    made.Start(state_builder::Run(many, 1, index), worker);
  }
  made.Apply(
    save_checkpoints{ { { state_builder::Run(one, 1, 0), "a" },
                        { state_builder::Run(many, 1, 1), "b" },
                        // This attempt isn't in progress.
                        { state_builder::Run(one, 2, 1), "c" },
                        { state_builder::Run(job_id("03"), 1), "d" } } });
  const auto kept = [&](const job_id& aJob, std::uint32_t aIndex) {
    return made.mState.FindTask({ aJob, 0, 0, aIndex })->mCheckpoint;
  };
  CHECK(kept(one, 0) == "a");
  CHECK(kept(one, 1).empty());
  CHECK(kept(many, 0) == "b");
  CHECK(kept(many, 1) == "b");
}

TEST_CASE("a restarted worker gets a new number and keeps its placed runs")
{
  // Guards against commands for the previous incarnation that are still in the
  // log when the next one is registered. If they applied to it, it would get
  // the previous one's cursor, and its ends would be skipped.
  state_builder made;
  worker_description facts = Worker("w");
  facts.mProcessStartMs = 1'000;
  const worker_number before = made.AddWorker(facts);
  const job_id job = made.AddJob("01", { Step(3, 500) });
  const run_ref ended = state_builder::Run(job, 1, 0);
  const run_ref placed = state_builder::Run(job, 1, 1);
  made.Start(ended, before);
  made.Start(placed, before);
  made.End(ended, before, run_outcome::Done, 7);
  facts.mProcessStartMs = 2'000;
  CHECK(made.Apply(register_worker{ facts, false }).mPreviousIncarnation ==
        before);
  const worker_number after = made.mState.NumberOf(facts.mId);
  CHECK(after != before);
  CHECK(made.mState.FindWorker(before) == nullptr);
  CHECK(made.mState.FindWorker(after)->mCursor == 0);
  CHECK(made.mState.IsPlaced(placed, after));
  CHECK(made.mState.RunsAt(after).size() == 1);
  CHECK(made.mState.TotalsAt(after).mBooked == Step(1, 500).mSize);
  CHECK(made.mState.RunsAt(before).empty());
  // Commands in flight for the previous incarnation, and a late heartbeat of
  // it, change nothing.
  CHECK(made.End(placed, before, run_outcome::Done, 8).mError);
  CHECK(made.Start(state_builder::Run(job, 1, 2), before).mStarted.empty());
  made.Apply(drop_runs{ before, { placed } });
  made.Apply(remove_worker{ before });
  facts.mProcessStartMs = 1'000;
  CHECK(made.Apply(register_worker{ facts, true }).mError);
  CHECK(made.mState.IsPlaced(placed, after));
  CHECK_FALSE(made.mState.FindWorker(after)->mDraining);
  CHECK(made.mState.FindWorker(after)->mDescription.mProcessStartMs == 2'000);
  // The derived indexes are the same after a restore.
  flow_state restored;
  REQUIRE(restored.Restore(made.mState.Save()));
  CHECK(restored.RunsAt(after) == made.mState.RunsAt(after));
  CHECK(restored.TotalsAt(after).mBooked == Step(1, 500).mSize);
  CHECK(made.End(placed, after, run_outcome::Done, 1).mError == std::nullopt);
  CHECK(made.mState.TotalsAt(after).mBooked == cell::resources{});
}

TEST_CASE("a job that is submitted again stays one job")
{
  // Guards against a second job when a caller's connection breaks after the
  // commit and it submits the same id again at another entry.
  state_builder made;
  const job_id job = made.AddJob("00", { Step(1, 1'000) });
  const worker_number worker = made.AddWorker(Worker("w"));
  made.Start(state_builder::Run(job, 1), worker);
  made.AddJob("00", { Step(5, 1'000) });
  CHECK(made.mState.FindJob(job)->mSpec.mSteps[0].mCount == 1);
  CHECK(made.mState.FindJob(job)->mHasStarted);
}

TEST_CASE("a step waits for the steps that it depends on")
{
  state_builder made;
  step_spec second = Step(1, 1'000);
  second.mDependsOn = { 0 };
  const job_id job = made.AddJob("00", { Step(1, 1'000), second });
  const worker_number worker = made.AddWorker(Worker("w"));
  const run_ref later = state_builder::Run(job, 1, 0, 1);
  CHECK(made.Start(later, worker).mStarted.empty());
  made.Start(state_builder::Run(job, 1), worker);
  CHECK(made.Start(later, worker).mStarted.empty());
  made.End(state_builder::Run(job, 1), worker, run_outcome::Done);
  CHECK(made.Start(later, worker).mStarted.size() == 1);
}

TEST_CASE(
  "a task is not placed twice, and an old attempt's end changes nothing")
{
  // A worker is cut off, its lease expires, and the task starts elsewhere. Then
  // the first worker is back and reports its run as done. The second attempt is
  // in progress and must stay the only one that counts.
  state_builder made;
  const job_id job = made.AddJob("00", { Step(1, 1'000) });
  const worker_number first = made.AddWorker(Worker("w"));
  const worker_number second = made.AddWorker(Worker("ww"));
  made.Start(state_builder::Run(job, 1), first);
  CHECK(made.Start(state_builder::Run(job, 2), second).mStarted.empty());
  made.Apply(drop_runs{ first, { state_builder::Run(job, 1) } });
  CHECK(made.Start(state_builder::Run(job, 1), second).mStarted.empty());
  CHECK(made.Start(state_builder::Run(job, 2), second).mStarted.size() == 1);
  made.End(state_builder::Run(job, 1), first, run_outcome::Done);
  CHECK(made.mState.FindJob(job)->IsActive());
  CHECK(made.mState.IsPlaced(state_builder::Run(job, 2), second));
  made.End(state_builder::Run(job, 2), second, run_outcome::Done);
  CHECK(made.mState.FindJob(job)->mState == job_state::Done);
}

TEST_CASE("only failures count towards the queue's maximum of attempts")
{
  state_builder made;
  const job_id job = made.AddJob("00", { Step(1, 1'000) });
  const worker_number worker = made.AddWorker(Worker("w"));
  const std::vector ends{ run_outcome::Failed,
                          run_outcome::Lapsed,
                          run_outcome::Stopped };
  attempt_t attempt = 0;
  for (const run_outcome how : ends) {
    made.Start(state_builder::Run(job, ++attempt), worker);
    made.End(state_builder::Run(job, attempt), worker, how, attempt);
    CHECK(made.mState.FindJob(job)->IsActive());
  }
  made.Start(state_builder::Run(job, ++attempt), worker);
  made.End(
    state_builder::Run(job, attempt), worker, run_outcome::Failed, attempt);
  CHECK(made.mState.FindJob(job)->mState == job_state::Failed);
}

TEST_CASE("a gang's failure counts once, and one success completes the gang")
{
  state_builder made;
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  const job_id job = made.AddJob("00", { gang });
  const worker_number worker = made.AddWorker(Worker("w"));
  const auto startAll = [&](attempt_t aAttempt) {
    for (std::uint32_t index = 0; index < 3; ++index) {
      made.Start(state_builder::Run(job, aAttempt, index), worker);
    }
  };
  startAll(1);
  for (std::uint32_t index = 0; index < 3; ++index) {
    made.End(state_builder::Run(job, 1, index),
             worker,
             run_outcome::Failed,
             index + 1);
  }
  CHECK(made.mState.FindJob(job)->IsActive());
  startAll(2);
  made.End(state_builder::Run(job, 2, 1), worker, run_outcome::Done, 4);
  CHECK(made.mState.FindJob(job)->mState == job_state::Done);
  // The others end at the same moment, but until a member's own end is reported
  // its worker may still run it, so its capacity stays booked.
  CHECK(made.mState.TotalsAt(worker).mBooked.mMilliProcessors == 2'000);
  made.End(state_builder::Run(job, 2, 0), worker, run_outcome::Done, 5);
  made.End(state_builder::Run(job, 2, 2), worker, run_outcome::Done, 6);
  CHECK(made.mState.TotalsAt(worker).mBooked.mMilliProcessors == 0);
  CHECK_FALSE(made.mState.LiveJobs().contains(job));
}

TEST_CASE("a long-running task starts again whatever its outcome")
{
  state_builder made;
  step_spec lasting = Step(1, 1'000);
  lasting.mLongRunning = true;
  const job_id job = made.AddJob("00", { lasting });
  const worker_number worker = made.AddWorker(Worker("w"));
  for (attempt_t attempt = 1; attempt <= 5; ++attempt) {
    CHECK(
      made.Start(state_builder::Run(job, attempt), worker).mStarted.size() ==
      1);
    made.End(
      state_builder::Run(job, attempt), worker, run_outcome::Failed, attempt);
  }
  CHECK(made.mState.FindJob(job)->IsActive());
}

TEST_CASE("no task starts on a draining worker, nor for a job that has ended")
{
  state_builder made;
  const job_id job = made.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = made.AddWorker(Worker("w"));
  made.Start(state_builder::Run(job, 1), worker);
  made.Apply(register_worker{ Worker("w"), true });
  CHECK(made.Start(state_builder::Run(job, 1, 1), worker).mStarted.empty());
  const worker_number other = made.AddWorker(Worker("ww"));
  made.Apply(cancel_job{ job });
  CHECK(made.Start(state_builder::Run(job, 1, 1), other).mStarted.empty());
  CHECK(made.mState.LiveJobs().contains(job)); // a run may be in progress
  made.End(state_builder::Run(job, 1), worker, run_outcome::Stopped);
  CHECK_FALSE(made.mState.LiveJobs().contains(job));
  CHECK(made.mState.FindJob(job)->mState == job_state::Cancelled);
}

TEST_CASE("the removal of a worker releases all its runs")
{
  state_builder made;
  const job_id job = made.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = made.AddWorker(Worker("w"));
  made.Start(state_builder::Run(job, 1, 0), worker);
  made.Start(state_builder::Run(job, 1, 1), worker);
  CHECK(made.mState.TotalsAt(worker).mBooked.mMilliProcessors == 2'000);
  made.Apply(remove_worker{ worker });
  CHECK(made.mState.RunsAt(worker).empty());
  CHECK(made.mState.FindTask({ job, 0, 0, 0 })->mPhase == task_phase::Waiting);
  // The next incarnation has a number of its own.
  CHECK(made.AddWorker(Worker("w")) != worker);
}

TEST_CASE("the table's version only increases")
{
  state_builder made;
  queue_table older = made.mState.Table();
  older.mQueues.clear();
  made.Apply(put_table{ older, "other" });
  CHECK(made.mState.TableSource() == "source");
  older.mVersion = 5;
  made.Apply(put_table{ older, "newer" });
  CHECK(made.mState.Table().mVersion == 5);
  CHECK(made.mState.TableSource() == "newer");
}

TEST_CASE("an invalid table is refused")
{
  state_builder made;
  queue_table table = made.mState.Table();
  CHECK(CheckTable(table));
  queue_table unknown = table;
  unknown.mQueues[0].mService = service_id("other");
  CHECK_FALSE(CheckTable(unknown));
  queue_table twice = table;
  twice.mQueues[1].mPrefix = twice.mQueues[0].mPrefix;
  CHECK_FALSE(CheckTable(twice));
  queue_table never = table;
  never.mQueues[0].mTimeoutMs = 0;
  CHECK_FALSE(CheckTable(never));
}

TEST_CASE("a snapshot restores the same state")
{
  state_builder made;
  const job_id job = made.AddJob("00", { Step(2, 1'000) });
  const worker_number worker = made.AddWorker(Worker("w"));
  made.Start(state_builder::Run(job, 1), worker);
  flow_state read;
  REQUIRE(read.Restore(made.mState.Save()));
  CHECK(read.Save() == made.mState.Save());
  CHECK(read.IsPlaced(state_builder::Run(job, 1), worker));
  CHECK(read.TotalsAt(worker).mBooked.mMilliProcessors == 1'000);
  CHECK_FALSE(read.Restore("rubbish"));
}

TEST_CASE("a recurring job ends with its last occurrence")
{
  state_builder made;
  job_spec spec;
  spec.mSteps = { Step(1, 1'000) };
  spec.mRecurrence = { 2, 5'000, 1'000 };
  const job_id job("00");
  made.Apply(submit_job{ job, *made.mState.Table().FindQueue("fees"), spec });
  const worker_number worker = made.AddWorker(Worker("w"));
  CHECK(made.Start(state_builder::Run(job, 1), worker).mStarted.empty());
  CHECK(made.Apply(open_occurrence{ job, 1 }).mError);
  made.Apply(open_occurrence{ job, 0 });
  made.Start(state_builder::Run(job, 1), worker);
  made.End(state_builder::Run(job, 1), worker, run_outcome::Done);
  CHECK(made.mState.FindJob(job)->IsActive());
  made.Apply(open_occurrence{ job, 1 });
  const run_ref second{ { job, 1, 0, 0 }, 1 };
  made.Start(second, worker);
  made.End(second, worker, run_outcome::Done, 2);
  CHECK(made.mState.FindJob(job)->mState == job_state::Done);
}

} // namespace oriolewalk::flow
