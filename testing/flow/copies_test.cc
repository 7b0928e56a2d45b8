#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/copy_planner.h"
#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"
#include "testing/flow/flow_history.h"
#include "testing/flow/plan_fixture.h"

// Tests of copies of tasks: the replicated state, the planner, and the leader
// under each failure.

namespace oriolewalk::flow {

namespace {

using testing::Organisation;
using testing::plan_fixture;
using testing::Queue;
using testing::state_builder;
using testing::Step;
using testing::Worker;

step_spec
CopiedStep(std::uint32_t aCount, std::int64_t aMilliProcessors = 1'000)
{
  step_spec step = Step(aCount, aMilliProcessors);
  step.mAllowsCopies = true;
  return step;
}

// A job of one step whose first task runs as attempt 1 on the first of three
// workers.
struct copy_scene
{
  state_builder mBuilder;
  worker_number mFirst = mBuilder.AddWorker(Worker("w"));
  worker_number mSecond = mBuilder.AddWorker(Worker("ww"));
  worker_number mThird = mBuilder.AddWorker(Worker("www"));
  job_id mJob;
  run_ref mRun;
  run_ref mCopy;

  explicit copy_scene(std::uint32_t aTasks = 1,
                      const step_spec& aStep = CopiedStep(1))
  {
    step_spec step = aStep;
    step.mCount = aTasks;
    mJob = mBuilder.AddJob("01", { step });
    mRun = state_builder::Run(mJob, 1);
    mCopy = state_builder::Run(mJob, 2);
    mBuilder.Start(mRun, mFirst);
  }

  bool Copy(const run_ref& aRun, worker_number aWorker)
  {
    return !mBuilder.Apply(start_copies{ { { aRun, aWorker } } })
              .mStarted.empty();
  }
  bool Copy() { return Copy(mCopy, mSecond); }

  [[nodiscard]] const flow_state& State() const { return mBuilder.mState; }
  [[nodiscard]] const task_record& Task() const
  {
    return *State().FindTask(mRun.mTask);
  }
  [[nodiscard]] const job_record& Job() const { return *State().FindJob(mJob); }
  [[nodiscard]] std::int64_t BookedAt(worker_number aWorker) const
  {
    return State().TotalsAt(aWorker).mBooked.mMilliProcessors;
  }
  // The indexes are the same after a restore, and so is the next snapshot.
  void CheckRestore() const
  {
    flow_state restored;
    REQUIRE(restored.Restore(State().Save()));
    CHECK(restored.Save() == State().Save());
    for (const worker_number worker : { mFirst, mSecond, mThird }) {
      CHECK(restored.RunsAt(worker) == State().RunsAt(worker));
      CHECK(restored.TotalsAt(worker).mBooked ==
            State().TotalsAt(worker).mBooked);
    }
    CHECK(restored.LastAttempt(mRun.mTask) == State().LastAttempt(mRun.mTask));
  }
};

} // namespace

TEST_CASE("a step that doesn't allow copies never has two attempts")
{
  // Guards against a second attempt that a faulty or delayed leader proposes.
  step_spec gang = CopiedStep(1);
  gang.mGang = true;
  step_spec lasting = CopiedStep(1);
  lasting.mLongRunning = true;
  step_spec oneRack = CopiedStep(1);
  oneRack.mSameRack = true;
  for (const step_spec& step : { Step(1, 1'000), gang, lasting, oneRack }) {
    copy_scene scene(1, step);
    CHECK_FALSE(scene.Copy());
    CHECK(scene.BookedAt(scene.mSecond) == 0);
    CHECK(scene.Job().mPlacedRuns == 1);
    CHECK(scene.State().Copies().empty());
  }
}

TEST_CASE("a copy is only placed beside one run, on another worker")
{
  copy_scene scene(2);
  CHECK_FALSE(scene.Copy(scene.mCopy, scene.mFirst));
  CHECK_FALSE(scene.Copy(scene.mRun, scene.mSecond));
  CHECK_FALSE(scene.Copy(state_builder::Run(scene.mJob, 2, 1), scene.mSecond));
  CHECK_FALSE(scene.Copy(state_builder::Run(job_id("99"), 2), scene.mSecond));
  CHECK_FALSE(scene.Copy(scene.mCopy, 99));
  scene.mBuilder.Apply(register_worker{ Worker("www"), true });
  CHECK_FALSE(scene.Copy(scene.mCopy, scene.mThird));
  CHECK(scene.Copy());
  CHECK(scene.State().IsPlaced(scene.mCopy, scene.mSecond));
  CHECK(scene.State().IsPlaced(scene.mRun, scene.mFirst));
  CHECK(scene.Job().mPlacedRuns == 2);
  // A third run isn't possible by either command.
  const worker_number fourth = scene.mBuilder.AddWorker(Worker("wwww"));
  CHECK_FALSE(scene.Copy(state_builder::Run(scene.mJob, 3), fourth));
  CHECK(scene.mBuilder.Start(state_builder::Run(scene.mJob, 3), fourth)
          .mStarted.empty());
  scene.CheckRestore();
}

TEST_CASE("no copy is placed once the task or its job has ended")
{
  // Guards against a copy whose proposal is overtaken by an end or a
  // cancellation.
  copy_scene ended(2);
  ended.mBuilder.End(ended.mRun, ended.mFirst, run_outcome::Done);
  CHECK_FALSE(ended.Copy());
  copy_scene cancelled;
  cancelled.mBuilder.Apply(cancel_job{ cancelled.mJob });
  CHECK_FALSE(cancelled.Copy());
}

TEST_CASE("the first end as done counts, and the other run stays booked")
{
  // Guards against a second end that counts again, and against capacity that is
  // given away while the other run still uses it.
  const bool copyIsFirst = GENERATE(false, true);
  copy_scene scene(2);
  scene.Copy();
  const auto [winner, winnerAt] = copyIsFirst
                                    ? std::pair(scene.mCopy, scene.mSecond)
                                    : std::pair(scene.mRun, scene.mFirst);
  const auto [loser, loserAt] = copyIsFirst
                                  ? std::pair(scene.mRun, scene.mFirst)
                                  : std::pair(scene.mCopy, scene.mSecond);
  scene.mBuilder.End(winner, winnerAt, run_outcome::Done);
  CHECK(scene.Task().mPhase == task_phase::Done);
  CHECK(scene.BookedAt(winnerAt) == 0);
  CHECK(scene.BookedAt(loserAt) == 1'000);
  CHECK(scene.State().IsPlaced(loser, loserAt));
  REQUIRE(scene.State().FindPlacedCopy(scene.mRun.mTask) != nullptr);
  CHECK(scene.Job().mPlacedRuns == 1);
  CHECK_FALSE(scene.Copy(state_builder::Run(scene.mJob, 3), scene.mThird));
  scene.CheckRestore();
  scene.mBuilder.End(loser, loserAt, run_outcome::Done);
  CHECK(scene.BookedAt(loserAt) == 0);
  CHECK(scene.Job().mOccurrences.at(0).mSteps[0].mDoneTasks == 1);
  CHECK(scene.Job().IsActive());
  CHECK(scene.Job().mPlacedRuns == 0);
  CHECK(scene.State().Copies().empty());
}

TEST_CASE("what becomes of the overtaken run changes nothing but its capacity")
{
  // Guards against a failure of the overtaken run that counts, and against a
  // task that is done and waits again.
  const run_outcome outcome =
    GENERATE(run_outcome::Failed, run_outcome::Stopped, run_outcome::Lapsed);
  copy_scene scene(2);
  scene.Copy();
  scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Done);
  scene.mBuilder.End(scene.mCopy, scene.mSecond, outcome, 1, "late");
  CHECK(scene.Task().mPhase == task_phase::Done);
  CHECK(scene.Task().mFailures == 0);
  CHECK(scene.Task().mCheckpoint.empty());
  CHECK(scene.BookedAt(scene.mSecond) == 0);
  CHECK(scene.Job().mOccurrences.at(0).mSteps[0].mDoneTasks == 1);
}

TEST_CASE("a done job stays live until the overtaken run is over")
{
  // Guards against a record that is forgotten while a worker still runs for it.
  copy_scene scene;
  scene.Copy();
  scene.mBuilder.End(scene.mCopy, scene.mSecond, run_outcome::Done);
  CHECK(scene.Job().mState == job_state::Done);
  CHECK(scene.State().LiveJobs().contains(scene.mJob));
  scene.mBuilder.Apply(forget_jobs{ { scene.mJob } });
  CHECK(scene.State().FindJob(scene.mJob) != nullptr);
  scene.CheckRestore();
  scene.mBuilder.Apply(drop_runs{ scene.mFirst, { scene.mRun } });
  CHECK_FALSE(scene.State().LiveJobs().contains(scene.mJob));
  CHECK(scene.State().Copies().empty());
  scene.mBuilder.Apply(forget_jobs{ { scene.mJob } });
  CHECK(scene.State().FindJob(scene.mJob) == nullptr);
}

TEST_CASE("a copy takes the place of the first run, however that ends")
{
  // Guards against a task that waits, and starts a third time, while its copy
  // runs.
  const int how = GENERATE(0, 1, 2, 3, 4, 5);
  copy_scene scene;
  scene.Copy();
  switch (how) {
    case 0:
      scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Failed);
      break;
    case 1:
      scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Stopped);
      break;
    case 2:
      scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Lapsed);
      break;
    case 3:
      scene.mBuilder.Apply(drop_runs{ scene.mFirst, { scene.mRun } });
      break;
    case 4:
      scene.mBuilder.Apply(mark_runs_lost{ scene.mFirst, { scene.mRun } });
      break;
    default:
      scene.mBuilder.Apply(remove_worker{ scene.mFirst });
  }
  CHECK(scene.Task().mPhase == task_phase::Placed);
  CHECK(scene.Task().mAttempt == 2);
  CHECK(scene.Task().mWorker == scene.mSecond);
  CHECK(scene.Task().mFailures == (how == 0 ? 1 : 0));
  CHECK(scene.BookedAt(scene.mFirst) == 0);
  CHECK(scene.BookedAt(scene.mSecond) == 1'000);
  CHECK(scene.State().FindPlacedCopy(scene.mRun.mTask) == nullptr);
  // A run that was withdrawn and reports its end afterwards changes nothing.
  scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Done, 2);
  CHECK(scene.Task().mPhase == task_phase::Placed);
  scene.CheckRestore();
  scene.mBuilder.End(scene.mCopy, scene.mSecond, run_outcome::Done);
  CHECK(scene.Job().mState == job_state::Done);
  CHECK(scene.Job().mPlacedRuns == 0);
  CHECK(scene.State().Copies().empty());
}

TEST_CASE("no attempt number is given twice, whether to a copy or not")
{
  // Guards against a start order of an earlier attempt that is still in transit
  // and would be taken for a later one.
  copy_scene scene;
  scene.Copy();
  scene.mBuilder.Apply(drop_runs{ scene.mSecond, { scene.mCopy } });
  CHECK(scene.Task().mAttempt == 1);
  CHECK(scene.State().LastAttempt(scene.mRun.mTask) == 2);
  scene.CheckRestore();
  CHECK_FALSE(scene.Copy(scene.mCopy, scene.mThird));
  scene.mBuilder.Apply(drop_runs{ scene.mFirst, { scene.mRun } });
  CHECK(scene.Task().mPhase == task_phase::Waiting);
  CHECK(scene.mBuilder.Start(scene.mCopy, scene.mThird).mStarted.empty());
  CHECK(scene.mBuilder.Start(state_builder::Run(scene.mJob, 3), scene.mThird)
          .mStarted.size() == 1);
  CHECK(scene.Copy(state_builder::Run(scene.mJob, 4), scene.mFirst));
}

TEST_CASE("the failures of both runs count towards the maximum of attempts")
{
  // Guards against a task that fails more often than its queue allows, and
  // against a failed job whose other run is forgotten.
  copy_scene scene;
  scene.Copy();
  scene.mBuilder.End(scene.mCopy, scene.mSecond, run_outcome::Failed);
  CHECK(scene.Job().IsActive());
  CHECK(scene.Task().mAttempt == 1);
  CHECK(scene.Copy(state_builder::Run(scene.mJob, 3), scene.mThird));
  scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Failed);
  CHECK(scene.Job().mState == job_state::Failed);
  CHECK(scene.State().LiveJobs().contains(scene.mJob));
  CHECK(scene.BookedAt(scene.mThird) == 1'000);
  scene.mBuilder.End(
    state_builder::Run(scene.mJob, 3), scene.mThird, run_outcome::Stopped);
  CHECK_FALSE(scene.State().LiveJobs().contains(scene.mJob));
  CHECK(scene.State().Copies().empty());
}

TEST_CASE("both runs of a cancelled job stay booked until they are over")
{
  copy_scene scene;
  scene.Copy();
  scene.mBuilder.Apply(cancel_job{ scene.mJob });
  CHECK(scene.Job().mPlacedRuns == 2);
  scene.mBuilder.End(scene.mRun, scene.mFirst, run_outcome::Stopped);
  CHECK(scene.BookedAt(scene.mSecond) == 1'000);
  CHECK(scene.State().LiveJobs().contains(scene.mJob));
  scene.CheckRestore();
  scene.mBuilder.End(scene.mCopy, scene.mSecond, run_outcome::Done);
  CHECK(scene.Job().mState == job_state::Cancelled);
  CHECK_FALSE(scene.State().LiveJobs().contains(scene.mJob));
  CHECK(scene.State().Copies().empty());
}

TEST_CASE("a copy counts in its organisation's maximum")
{
  // Guards against an organisation that runs more than its maximum by copies,
  // also after a restore.
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 2'000) });
  const job_id job = builder.AddOwnedJob("00", "a", { CopiedStep(2) });
  const worker_number first = builder.AddWorker(Worker("w"));
  const worker_number second = builder.AddWorker(Worker("ww"));
  const auto running = [](const flow_state& aState) {
    return aState.Accounts().at(organisation_id("a")).mRunning.mMilliProcessors;
  };
  const start_copies copy{ { { state_builder::Run(job, 2), second } } };
  builder.Start(state_builder::Run(job, 1), first);
  CHECK(builder.Apply(copy).mStarted.size() == 1);
  CHECK(running(builder.mState) == 2'000);
  flow_state restored;
  REQUIRE(restored.Restore(builder.mState.Save()));
  CHECK(running(restored) == 2'000);
  CHECK(builder.Start(state_builder::Run(job, 1, 1), first).mStarted.empty());
  builder.End(state_builder::Run(job, 1), first, run_outcome::Done);
  CHECK(running(builder.mState) == 1'000);
  CHECK(builder.Start(state_builder::Run(job, 1, 1), first).mStarted.size() ==
        1);
  CHECK(
    builder.Apply(start_copies{ { { state_builder::Run(job, 2, 1), second } } })
      .mStarted.empty());
  builder.Apply(drop_runs{ second, { state_builder::Run(job, 2) } });
  CHECK(running(builder.mState) == 1'000);
}

TEST_CASE("a checkpoint is taken over from either run while both count")
{
  // Guards against a checkpoint that is lost because a copy reported it.
  copy_scene scene;
  scene.Copy();
  scene.mBuilder.Apply(save_checkpoints{ { { scene.mRun, "a" } } });
  CHECK(scene.Task().mCheckpoint == "a");
  scene.mBuilder.Apply(save_checkpoints{ { { scene.mCopy, "b" } } });
  CHECK(scene.Task().mCheckpoint == "b");
  scene.mBuilder.Apply(
    save_checkpoints{ { { state_builder::Run(scene.mJob, 3), "c" } } });
  CHECK(scene.Task().mCheckpoint == "b");
  scene.mBuilder.End(scene.mCopy, scene.mSecond, run_outcome::Stopped, 1, "d");
  CHECK(scene.Task().mCheckpoint == "d");
}

TEST_CASE("a copy moves with its worker's next incarnation")
{
  // Guards against the first run being booked at the worker of the copy.
  copy_scene scene;
  worker_description restarted = Worker("ww");
  scene.Copy();
  restarted.mProcessStartMs = 5'000;
  scene.mBuilder.Apply(register_worker{ restarted, false });
  const worker_number next = scene.State().NumberOf(restarted.mId);
  CHECK(next != scene.mSecond);
  CHECK(scene.State().IsPlaced(scene.mCopy, next));
  CHECK(scene.State().IsPlaced(scene.mRun, scene.mFirst));
  CHECK(scene.BookedAt(next) == 1'000);
  worker_description first = Worker("w");
  first.mProcessStartMs = 5'000;
  scene.mBuilder.Apply(register_worker{ first, false });
  const worker_number nextFirst = scene.State().NumberOf(first.mId);
  CHECK(scene.State().IsPlaced(scene.mRun, nextFirst));
  CHECK(scene.State().IsPlaced(scene.mCopy, next));
  scene.mBuilder.Apply(remove_worker{ nextFirst });
  CHECK(scene.Task().mWorker == next);
  scene.mBuilder.End(scene.mCopy, next, run_outcome::Done);
  CHECK(scene.Job().mState == job_state::Done);
}

TEST_CASE("a crash under one run is evidence, and the other run goes on")
{
  const bool copyCrashes = GENERATE(false, true);
  copy_scene scene;
  scene.Copy();
  const run_ref& lost = copyCrashes ? scene.mCopy : scene.mRun;
  const worker_number at = copyCrashes ? scene.mSecond : scene.mFirst;
  scene.mBuilder.Apply(record_worker_crash{ at, { lost }, {} });
  scene.mBuilder.Apply(remove_worker{ at });
  const crash_record* record = scene.State().Crashes().Find(lost.mTask);
  REQUIRE(record != nullptr);
  CHECK(record->mSuspectedCrashes == 1);
  CHECK(scene.Task().mPhase == task_phase::Placed);
  CHECK(scene.Task().mAttempt == (copyCrashes ? 1 : 2));
  CHECK(scene.Job().mPlacedRuns == 1);
  CHECK_FALSE(scene.Copy(state_builder::Run(scene.mJob, 3), at));
}

TEST_CASE("a snapshot without copies is as it was before them")
{
  // Guards against a process of an earlier version that can't read the
  // snapshot although no copy is placed.
  copy_scene copied(2);
  copied.Copy();
  copied.mBuilder.End(copied.mRun, copied.mFirst, run_outcome::Done);
  copied.mBuilder.Apply(drop_runs{ copied.mSecond, { copied.mCopy } });
  copy_scene plain(2);
  plain.mBuilder.Apply(drop_runs{ plain.mFirst, { plain.mRun } });
  plain.mBuilder.Start(plain.mCopy, plain.mFirst);
  plain.mBuilder.End(plain.mCopy, plain.mFirst, run_outcome::Done);
  CHECK(copied.State().Save() == plain.State().Save());
}

namespace {

// A step of which all tasks but the last ones are done, and what SelectCopies()
// is told about them.
struct selection_scene
{
  state_builder mBuilder;
  worker_number mFirst = mBuilder.AddWorker(Worker("w"));
  worker_number mSecond = mBuilder.AddWorker(Worker("ww"));
  job_id mJob;
  std::vector<running_task> mRunning;
  std::map<step_ref, finished_tasks> mFinished;
  std::map<task_ref, std::uint32_t> mCopyCounts;
  std::optional<int> mWaitingPriority;

  explicit selection_scene(const step_spec& aStep = CopiedStep(5),
                           std::uint32_t aDone = 4)
  {
    mJob = mBuilder.AddJob("01", { aStep });
    for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
      const run_ref run = state_builder::Run(mJob, 1, index);
      mBuilder.Start(run, mFirst);
      if (index < aDone) {
        mBuilder.End(run, mFirst, run_outcome::Done, index + 1);
      } else {
        mRunning.push_back({ run, mFirst, 2'000 });
      }
    }
    mFinished[{ mJob, 0, 0 }] = { static_cast<int>(aDone), 1'000 };
  }

  std::vector<copy_candidate> Select()
  {
    return SelectCopies({ .mState = &mBuilder.mState,
                          .mRunning = mRunning,
                          .mFinished = &mFinished,
                          .mCopyCounts = &mCopyCounts,
                          .mWaitingPriority = mWaitingPriority });
  }
};

} // namespace

TEST_CASE("only a run that is clearly slower than its siblings gets a copy")
{
  // Guards against copies of tasks that are merely long.
  selection_scene scene;
  REQUIRE(scene.Select().size() == 1);
  CHECK(scene.Select()[0].mRun == scene.mRunning[0].mRun);
  CHECK(scene.Select()[0].mExpectedGainMs > 0);
  scene.mRunning[0].mElapsedMs = 1'400;
  CHECK(scene.Select().empty());
  // Nothing is known but the caller's estimate.
  scene.mRunning[0].mElapsedMs = 60'000;
  scene.mFinished.clear();
  CHECK(scene.Select().empty());
}

TEST_CASE("while its siblings run, only a run that is far behind gets a copy")
{
  selection_scene scene(CopiedStep(5), 2);
  CHECK(scene.Select().empty());
  scene.mRunning[1].mElapsedMs = 3'200;
  REQUIRE(scene.Select().size() == 1);
  scene.mRunning[0].mElapsedMs = 5'000;
  REQUIRE(scene.Select().size() == 2);
  // The most worthwhile comes first.
  CHECK(scene.Select()[0].mRun == scene.mRunning[0].mRun);
}

TEST_CASE("no copy is selected for a step that allows none")
{
  step_spec gang = CopiedStep(5);
  gang.mGang = true;
  step_spec lasting = CopiedStep(5);
  lasting.mLongRunning = true;
  step_spec oneRack = CopiedStep(5);
  oneRack.mSameRack = true;
  for (const step_spec& step : { Step(5, 1'000), gang, lasting, oneRack }) {
    selection_scene scene(step, 3);
    for (running_task& task : scene.mRunning) {
      task.mElapsedMs = 60'000;
    }
    CHECK(scene.Select().empty());
  }
}

TEST_CASE("a task gets one copy at a time, and two in its lifetime")
{
  // Guards against a task that is slow by itself and takes the room for copies,
  // also under a new leader, which doesn't know earlier counts.
  selection_scene scene;
  const task_ref& task = scene.mRunning[0].mRun.mTask;
  const run_ref copy{ task, 2 };
  scene.mBuilder.Apply(start_copies{ { { copy, scene.mSecond } } });
  CHECK(scene.Select().empty());
  scene.mBuilder.Apply(drop_runs{ scene.mSecond, { copy } });
  CHECK(scene.Select().size() == 1);
  scene.mCopyCounts[task] = 1;
  CHECK(scene.Select().size() == 1);
  scene.mCopyCounts[task] = 2;
  CHECK(scene.Select().empty());
}

TEST_CASE("a task that may crash its workers gets no copy")
{
  // Guards against a task that crashes two workers at a time.
  selection_scene lost;
  const run_ref run = lost.mRunning[0].mRun;
  lost.mBuilder.Apply(mark_runs_lost{ lost.mFirst, { run } });
  lost.mBuilder.Start({ run.mTask, 2 }, lost.mSecond);
  lost.mRunning = { { { run.mTask, 2 }, lost.mSecond, 5'000 } };
  CHECK(lost.Select().empty()); // it isn't known whether the worker crashed
  lost.mBuilder.Apply(record_worker_return{ lost.mFirst });
  CHECK(lost.Select().size() == 1);
  lost.mBuilder.Apply(record_worker_crash{ lost.mSecond, {}, {} });
  CHECK(lost.Select().empty());
}

TEST_CASE("no copy is selected while as urgent work waits for room")
{
  // Guards against copies that delay work which hasn't started at all.
  selection_scene scene; // its queue has priority 0
  scene.mWaitingPriority = 0;
  CHECK(scene.Select().empty());
  scene.mWaitingPriority = 2;
  CHECK(scene.Select().size() == 1);
}

TEST_CASE("copies take less than a twentieth, and only of a cell with room")
{
  // Guards against copies that take the room which the next burst needs.
  state_builder builder;
  const worker_number first = builder.AddWorker(Worker("w"));
  const worker_number second = builder.AddWorker(Worker("ww"));
  const job_id job = builder.AddJob("01", { CopiedStep(3) });
  builder.Start(state_builder::Run(job, 1), first);
  builder.Start(state_builder::Run(job, 1, 1), first);
  std::map<task_ref, worker_number> proposed;
  const auto mayAdd = [&](std::int64_t aCapacity, std::int64_t aFree) {
    return copy_budget(
             builder.mState, proposed, { aCapacity, 0, 0 }, { aFree, 0, 0 })
      .MayAdd(CopiedStep(1));
  };
  CHECK(mayAdd(21'000, 2'100));
  CHECK_FALSE(mayAdd(20'000, 20'000)); // a copy would take a twentieth
  CHECK_FALSE(mayAdd(21'000, 2'000));  // too little is free
  proposed[{ job, 0, 0, 0 }] = second; // of a copy
  proposed[{ job, 0, 0, 2 }] = second; // of a waiting task
  CHECK_FALSE(mayAdd(40'000, 40'000));
  CHECK(mayAdd(41'000, 41'000));
  proposed.clear();
  builder.Apply(start_copies{ { { state_builder::Run(job, 2), second } } });
  CHECK_FALSE(mayAdd(40'000, 40'000));
  CHECK(mayAdd(41'000, 41'000));
  copy_budget budget(
    builder.mState, proposed, { 41'000, 0, 0 }, { 41'000, 0, 0 });
  budget.Add(CopiedStep(1));
  CHECK_FALSE(budget.MayAdd(CopiedStep(1)));
}

namespace {

// A step of five tasks on "present", of which the last is slow, in a cell of
// 48 processors.
struct plan_scene : plan_fixture
{
  job_id mJob;
  worker_number mPresent;
  running_task mSlow;
  std::map<worker_number, double> mSpeeds;
  std::set<worker_number> mAvoided;

  explicit plan_scene(const step_spec& aStep = CopiedStep(5),
                      std::vector<queue_row> aQueues = { Queue("fees", 0),
                                                         Queue("runs", 2) })
    : plan_fixture(std::move(aQueues))
  {
    mPresent = AddWorker("present", "r1");
    mJob = mBuilder.AddJob("01", { aStep });
    for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
      const run_ref run = state_builder::Run(mJob, 1, index);
      mBuilder.Start(run, mPresent);
      if (index + 1 < aStep.mCount) {
        mBuilder.End(run, mPresent, run_outcome::Done, index + 1);
      }
    }
    mSlow = { state_builder::Run(mJob, 1, aStep.mCount - 1), mPresent, 5'000 };
  }

  worker_number AddWorker(const std::string& aId,
                          const std::string& aRack,
                          std::int64_t aMilliProcessors = 8'000)
  {
    worker_description description = Worker(aId, aMilliProcessors);
    description.mRack = rack_id(aRack);
    return mBuilder.AddWorker(description);
  }

  plan_result PlanWith(plan_scope aScope = plan_scope::All)
  {
    plan_input input = Input();
    for (const auto& [number, worker] : mBuilder.mState.Workers()) {
      plan_worker planned = *mWorkers.Find(number);
      planned.mSpeed = mSpeeds.contains(number) ? mSpeeds.at(number) : 1;
      planned.mAvoided = mAvoided.contains(number);
      mWorkers.Put(planned);
    }
    input.mWorkers = &mWorkers;
    input.mScope = aScope;
    input.mRunning = { mSlow };
    input.mFinished[{ mJob, 0, 0 }] = { 4, 1'000 };
    return MakePlan(std::move(input));
  }

  // The worker of the plan's only copy; 0: there is none.
  worker_number CopyAt()
  {
    const plan_result plan = PlanWith();
    return plan.mTaskCopies.size() == 1
             ? plan.mTaskCopies[0].mStart.mStart.mWorker
             : 0;
  }
};

} // namespace

TEST_CASE("a copy goes to a worker of another rack that isn't slower")
{
  // Guards against a copy that meets what slows the first run down.
  plan_scene scene;
  for (const char* id : { "a", "b", "c", "d" }) {
    scene.AddWorker(id, "r1", 10'000);
  }
  CHECK(scene.CopyAt() != 0);
  const worker_number slower = scene.AddWorker("slower", "r2");
  const worker_number avoided = scene.AddWorker("avoided", "r2");
  const worker_number other = scene.AddWorker("other", "r2", 2'000);
  scene.mSpeeds[slower] = 0.9;
  scene.mAvoided.insert(avoided);
  CHECK(scene.CopyAt() == other);
  const plan_result plan = scene.PlanWith();
  REQUIRE(plan.mTaskCopies.size() == 1);
  CHECK(plan.mTaskCopies[0].mStart.mStart.mRun.mAttempt == 2);
  CHECK(plan.mTaskCopies[0].mReason.mElapsedMs == 5'000);
  CHECK(plan.mTaskCopies[0].mReason.mExpectedMs == 1'000);
  CHECK(plan.mPreemptions.empty());
}

TEST_CASE("copies are planned only with all steps, once, and if switched on")
{
  plan_scene scene;
  scene.AddWorker("other", "r2", 40'000);
  CHECK(scene.CopyAt() != 0);
  CHECK(scene.PlanWith(plan_scope::TopPriority).mTaskCopies.empty());
  scene.mProposed[scene.mSlow.mRun.mTask] = 2;
  CHECK(scene.CopyAt() == 0);
  scene.mProposed.clear();
  scene.mPolicy.mCopies = false;
  CHECK(scene.CopyAt() == 0);
}

TEST_CASE("a copy preempts nothing and waits for free room")
{
  // Guards against a copy on capacity that somebody else uses.
  plan_scene scene;
  const worker_number other = scene.AddWorker("other", "r2", 40'000);
  const job_id filler =
    scene.mBuilder.AddJob("02", { Step(1, 40'000) }, "runs");
  scene.mBuilder.Start(state_builder::Run(filler, 1), other);
  const plan_result plan = scene.PlanWith();
  CHECK(plan.mTaskCopies.empty());
  CHECK(plan.mPreemptions.empty());
}

TEST_CASE("copies wait behind work of their priority that waits for room")
{
  plan_scene scene;
  scene.AddWorker("other", "r2", 40'000);
  scene.mBuilder.AddJob("02", { Step(1, 41'000) }, "runs");
  CHECK(scene.CopyAt() != 0); // the task fits nowhere, and has less priority
  // Of these tasks, three don't fit beside the others.
  scene.mBuilder.AddJob("03", { Step(7, 9'000) });
  CHECK(scene.CopyAt() == 0);
}

TEST_CASE("the maximum per worker counts copies")
{
  // Guards against two tasks of a step on one worker where one is the most.
  step_spec apart = CopiedStep(2);
  apart.mMaxPerWorker = 1;
  plan_scene scene(apart);
  scene.mBuilder.Start(state_builder::Run(scene.mJob, 1, 1), scene.mPresent);
  const worker_number other = scene.AddWorker("other", "r2", 40'000);
  CHECK(scene.CopyAt() == other);
  const run_ref copy{ scene.mSlow.mRun.mTask, 2 };
  scene.mBuilder.Apply(start_copies{ { { copy, other } } });
  CHECK(CopyWorkers(scene.mBuilder.mState, { scene.mJob, 0, 0 }) ==
        std::vector{ other });
  scene.mBuilder.Apply(drop_runs{ other, { copy } });
  // Another task of the step runs there.
  plan_scene taken(apart);
  const job_id job = taken.mBuilder.AddJob("02", { apart });
  const worker_number only = taken.AddWorker("only", "r2", 40'000);
  taken.mBuilder.Start(state_builder::Run(job, 1, 0), taken.mPresent);
  taken.mBuilder.Start(state_builder::Run(job, 1, 1), only);
  taken.mJob = job;
  taken.mSlow = { state_builder::Run(job, 1, 0), taken.mPresent, 60'000 };
  CHECK(taken.CopyAt() == 0);
}

TEST_CASE("a copy's organisation stays within its maximum")
{
  plan_scene scene;
  scene.AddWorker("other", "r2", 40'000);
  scene.mBuilder.PutOrganisations({ Organisation("a", 1'000) });
  const job_id job = scene.mBuilder.AddOwnedJob("02", "a", { CopiedStep(1) });
  scene.mBuilder.Start(state_builder::Run(job, 1), scene.mPresent);
  scene.mJob = job;
  scene.mSlow = { state_builder::Run(job, 1), scene.mPresent, 5'000 };
  CHECK(scene.CopyAt() == 0);
  scene.mBuilder.PutOrganisations({ Organisation("a", 2'000) });
  CHECK(scene.CopyAt() != 0);
}

TEST_CASE("a copy needs a valid ticket, and queries only with spare advisors")
{
  // Guards against a copy on a worker that the policy service forbids, and
  // against queries for copies that delay those of waiting steps.
  queue_row queue = Queue("fees", 0);
  queue.mAdvice = advice_timing{ 30, 0.4, 2'000 };
  plan_scene scene(CopiedStep(5), { queue, Queue("runs", 2) });
  const worker_number other = scene.AddWorker("other", "r2", 40'000);
  scene.mFreeAdvisors = 0;
  plan_result plan = scene.PlanWith();
  CHECK(plan.mTaskCopies.empty());
  CHECK(plan.mQueries.empty());
  scene.mFreeAdvisors = 8;
  plan = scene.PlanWith();
  CHECK(plan.mTaskCopies.empty());
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mStep.mJob == scene.mJob);
  scene.Approve(scene.mJob, { other });
  plan = scene.PlanWith();
  REQUIRE(plan.mTaskCopies.size() == 1);
  CHECK(plan.mTaskCopies[0].mStart.mTicket == "ticket");
  scene.mNow += seconds(3); // the ticket has expired
  CHECK(scene.PlanWith().mTaskCopies.empty());
}

namespace {

constexpr const char* kJob = "00000000000000aa";

// Six workers, of which the first is slow, and a job of twelve tasks that allow
// copies, of which at least one has been copied.
struct group_scene
{
  fake_group mGroup;
  std::map<run_ref, run_outcome> mEnds;

  // aHoldsCopies: the orders for second attempts stay in transit.
  explicit group_scene(std::uint64_t aSeed,
                       milliseconds aCopyTakes = seconds(1),
                       milliseconds aSlowTakes = seconds(60),
                       bool aHoldsCopies = false,
                       flow_options aOptions = {})
    : mGroup(3, 3, aSeed, 9, aOptions)
  {
    if (aHoldsCopies) {
      mGroup.HoldOrders([](const worker_order& aOrder) {
        const auto* start = std::get_if<start_order>(&aOrder.mBody);
        const auto* stop = std::get_if<stop_order>(&aOrder.mBody);
        return (start != nullptr && start->mRun.mAttempt > 1) ||
               (stop != nullptr && stop->mRun.mAttempt > 1);
      });
    }
    constexpr std::size_t kWorkers = 6;
    for (std::size_t made = 0; made < kWorkers; ++made) {
      fake_worker& worker = mGroup.Worker(
        mGroup.AddWorker(std::string(made + 1, 'w'), made % 2 == 0 ? 0.02 : 0));
      worker.mTaskSize = Step(1, kTaskMilliProcessors).mSize;
      worker.mWorkTime = made == 0 ? aSlowTakes : milliseconds(300);
    }
    mGroup.Oracle().mAllowsCopies = [](const task_ref&) { return true; };
    mGroup.Oracle().mOnEnd = [this](const run_ref& aRun, run_outcome aHow) {
      mEnds[aRun] = aHow;
    };
    mGroup.Run(seconds(2));
    mGroup.Submit(kJob, { CopiedStep(12, kTaskMilliProcessors) });
    mGroup.Run(milliseconds(200));
    for (std::size_t made = 1; made < kWorkers; ++made) {
      mGroup.Worker(made).mWorkTime = aCopyTakes;
    }
    REQUIRE(mGroup.RunUntil([&]() { return mGroup.Count("run.copied") > 0; },
                            seconds(5)));
  }

  bool EndsAs(const std::string& aState, duration aWithin)
  {
    return mGroup.RunUntil([&]() { return mGroup.StateOf(kJob) == aState; },
                           aWithin);
  }

  // No run is booked any more, and no guarantee was violated.
  void CheckOver(duration aWithin)
  {
    const auto isOver = [&]() {
      const auto leader = mGroup.Leader();
      return leader && mGroup.Core(*leader).State().LiveJobs().empty() &&
             mGroup.Core(*leader).State().Copies().empty();
    };
    CHECK(mGroup.RunUntil(isOver, aWithin));
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }

  [[nodiscard]] std::size_t EndsBy(run_outcome aHow) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      mEnds, [&](const auto& aEnd) { return aEnd.second == aHow; }));
  }

  // A few copies fit into a twentieth of the six workers.
  static constexpr std::int64_t kTaskMilliProcessors = 500;
};

} // namespace

TEST_CASE("a slow task is done by its copy, and its first run is stopped")
{
  // Guards against a step that waits for its slowest worker, and against the
  // run that lost and keeps its capacity for a minute.
  group_scene scene(1);
  CHECK(scene.EndsAs("done", seconds(10)));
  scene.CheckOver(seconds(2));
  CHECK(scene.EndsBy(run_outcome::Stopped) > 0);
  CHECK(scene.mGroup.Count("run.straggles") == 0);
}

TEST_CASE("a new leader knows both runs and stops the one that lost")
{
  // Guards against a leader that dies between the start of a copy and the
  // commit of an end, and against one that dies before it stops the other run.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    group_scene scene(seed);
    scene.mGroup.Run(milliseconds(150 * (seed - 1)));
    const std::size_t leader = *scene.mGroup.Leader();
    scene.mGroup.Kill(leader);
    scene.mGroup.Run(seconds(3));
    scene.mGroup.Restart(leader);
    CHECK(scene.EndsAs("done", seconds(20)));
    scene.CheckOver(seconds(3));
  }
}

TEST_CASE("a cancellation stops both runs of a task")
{
  group_scene scene(2, seconds(30));
  scene.mGroup.Run(milliseconds(300));
  scene.mGroup.SendRequest(
    job_cancellation{ { "jobs.example", std::string("/fees/") + kJob } });
  scene.CheckOver(seconds(3));
  CHECK(scene.mGroup.StateOf(kJob) == "cancelled");
  CHECK(scene.EndsBy(run_outcome::Stopped) >= 2);
}

TEST_CASE("a copy goes on while the first run's worker is cut off")
{
  // Its lease expires and its run is dropped. The task must neither wait nor
  // start a third time.
  group_scene scene(3, seconds(12));
  scene.mGroup.CutWorker(0, true);
  CHECK(scene.EndsAs("done", seconds(40)));
  scene.mGroup.CutWorker(0, false);
  scene.CheckOver(seconds(10));
}

TEST_CASE("a copy goes on when the first run's worker crashes")
{
  group_scene scene(4, seconds(3));
  scene.mGroup.Run(milliseconds(300));
  scene.mGroup.Worker(0).Crash(scene.mGroup.Now());
  CHECK(scene.EndsAs("done", seconds(40)));
  scene.CheckOver(seconds(30));
}

TEST_CASE("a copy's start in transit is refused after its task was done")
{
  // Guards against a start order that is held up, and executed later than 1 s
  // after the end as done was acknowledged.
  group_scene scene(5, seconds(1), seconds(3), true);
  const auto isDone = [&]() { return scene.EndsBy(run_outcome::Done) == 12; };
  CHECK(scene.mGroup.RunUntil(isDone, seconds(10)));
  scene.mGroup.Run(milliseconds(1'500));
  const std::size_t starts = scene.mGroup.Oracle().Starts();
  scene.mGroup.ReleaseOrders();
  CHECK(scene.EndsAs("done", seconds(10)));
  scene.CheckOver(seconds(10));
  CHECK(scene.mGroup.Oracle().Starts() == starts);
}

TEST_CASE("the oracle notices a copy that starts too late")
{
  // Guards against an oracle that passes what the test above forbids: without
  // the shorter lease, the held order is executed.
  flow_options options;
  options.mMaxCopyStartDelay = options.mLease;
  group_scene scene(5, seconds(1), seconds(2), true, options);
  const auto isDone = [&]() { return scene.EndsBy(run_outcome::Done) == 12; };
  CHECK(scene.mGroup.RunUntil(isDone, seconds(10)));
  scene.mGroup.Run(milliseconds(1'200));
  scene.mGroup.ReleaseOrders();
  scene.mGroup.Run(seconds(1));
  CHECK_FALSE(scene.mGroup.Oracle().Violations().empty());
}

TEST_CASE("random histories with copies violate no guarantee")
{
  constexpr int kActions = 60;
  constexpr std::uint64_t kSeeds = 60;
  std::size_t secondStarts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    history_counts counts;
    const auto broken =
      PlayFlowSeed(seed, kActions, {}, { .mCopies = true }, &counts);
    CHECK(broken.value_or("") == "");
    secondStarts += counts.mSecondStarts;
  }
  CHECK(secondStarts > 0);
}

} // namespace oriolewalk::flow
