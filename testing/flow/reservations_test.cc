// Loads in which room is the scarce thing: what is kept for a task that can't
// start yet, and what gives way for it.

#include <catch2/catch.hpp>

#include <algorithm>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::state_builder;
using testing::Step;
using testing::Worker;

worker_description
Accelerated(const std::string& aId)
{
  worker_description facts = Worker(aId, 64'000);
  facts.mCapacity = { 64'000, 100'000, 8 };
  return facts;
}

step_spec
WithAccelerators(std::uint32_t aCount, std::int64_t aAccelerators)
{
  step_spec step = Step(aCount, 4'000);
  step.mSize.mAccelerators = aAccelerators;
  step.mCheckpoints = true;
  return step;
}

// aCount runs of a later queue at aWorker.
job_id
Fill(plan_fixture& aScene,
     const std::string& aId,
     worker_number aWorker,
     const step_spec& aStep)
{
  job_id job = aScene.mBuilder.AddJob(aId, { aStep }, "runs");
  for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
    aScene.mBuilder.Start(state_builder::Run(job, 1, index), aWorker);
  }
  return job;
}

} // namespace

TEST_CASE("room is kept where the policy service is asked for urgent work")
{
  // A full cell: a worker has room for one task. An urgent step asks the policy
  // service about it, which takes 60 ms; a later queue's task, whose ticket is
  // at hand, took the room meanwhile, and was stopped again when the answer
  // came, or the step asked about other workers instead.
  queue_row urgent = Queue("fees", 0);
  urgent.mAdvice = advice_timing{ 30, 0.4, 2'000 };
  plan_fixture scene({ urgent, Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 1'000));
  const job_id asks = scene.mBuilder.AddJob("00", { Step(1, 1'000) }, "fees");
  scene.mBuilder.AddJob("01", { Step(1, 1'000) }, "runs");
  CHECK(scene.Plan().mStarts.size() == 1);
  scene.mOpenQueries.insert({ asks, 0, 0 });
  CHECK(scene.Plan().mStarts.size() == 1); // about others
  scene.mQueriedWorkers[{ asks, 0, 0 }] = { worker };
  CHECK(scene.Plan().mStarts.empty());
}

TEST_CASE("small tasks fill one worker, so that others stay whole")
{
  // Tasks for one accelerator, then one for eight. Were the small ones spread
  // by free processors, each worker would have some, and none eight free.
  plan_fixture scene;
  const worker_number first = scene.mBuilder.AddWorker(Accelerated("w"));
  scene.mBuilder.AddWorker(Accelerated("ww"));
  Fill(scene, "00", first, WithAccelerators(1, 1));
  scene.mBuilder.AddJob("01", { WithAccelerators(3, 1) }, "runs");
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 3);
  CHECK(std::ranges::all_of(plan.mStarts, [&](const planned_start& aStart) {
    return aStart.mStart.mWorker == first;
  }));
}

TEST_CASE("room that falls free is kept for the large task in front")
{
  // A task for a whole worker waits; half of the worker is free. A later
  // queue's small task would take that half, the next one the other: the large
  // one never finds its room whole.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec stays = Step(1, 4'000); // no checkpoints: it can't give way
  Fill(scene, "00", worker, stays);
  scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "fees");
  scene.mBuilder.AddJob("02", { Step(1, 4'000) }, "runs");
  plan_result plan = scene.Plan();
  CHECK(plan.mStarts.empty());
  CHECK(plan.mReserved.mMilliProcessors >= 8'000);
  CHECK(plan.mPreemptions.empty());
  scene.mPolicy.mReservesCapacity = false;
  plan = scene.Plan();
  CHECK(plan.mStarts.size() == 1);
}

TEST_CASE("a later queue's runs give way to an earlier one's")
{
  // An urgent task arrives while a later queue holds the only worker. Without
  // preemption it waits for as long as those tasks run.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec saves = Step(2, 4'000);
  saves.mCheckpoints = true;
  const job_id later = Fill(scene, "00", worker, saves);
  const job_id urgent = scene.mBuilder.AddJob("01", { Step(1, 4'000) }, "fees");
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mPreemptions.size() == 1); // one of the two is enough
  CHECK(plan.mPreemptions[0].mRun.mRun.mTask.mJob == later);
  CHECK(plan.mPreemptions[0].mRun.mWorker == worker);
  CHECK(plan.mPreemptions[0].mPreemptor.mJob == urgent);
}

TEST_CASE("what would lose its work, break a gang or end a service stays")
{
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec saves = Step(1, 8'000);
  saves.mCheckpoints = true;
  SECTION("it saves no checkpoints")
  {
    saves.mCheckpoints = false;
  }
  SECTION("it is a gang's")
  {
    saves.mGang = true;
  }
  SECTION("it lasts")
  {
    saves.mLongRunning = true;
  }
  SECTION("it gave way twice already")
  {
    scene.mPreemptionRecords[{ job_id("00"), 0, 0, 0 }] = { 2, false };
  }
  SECTION("it is giving way")
  {
    scene.mPreemptionRecords[{ job_id("00"), 0, 0, 0 }] = { 1, true };
  }
  Fill(scene, "00", worker, saves);
  scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "fees");
  CHECK(scene.Plan().mPreemptions.empty());
}

TEST_CASE("nothing gives way to its own queue or a later one")
{
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec saves = Step(1, 8'000);
  saves.mCheckpoints = true;
  Fill(scene, "00", worker, saves);
  scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "runs");
  CHECK(scene.Plan().mPreemptions.empty());
}

TEST_CASE("nothing is stopped for a gang that stays short of a place")
{
  // Two members need a worker each; only one worker can be made free. To stop
  // what runs there would lose it for nothing.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec saves = Step(1, 8'000);
  saves.mCheckpoints = true;
  Fill(scene, "00", worker, saves);
  step_spec gang = Step(2, 8'000);
  gang.mGang = true;
  scene.mBuilder.AddJob("01", { gang }, "fees");
  CHECK(scene.Plan().mPreemptions.empty());
  scene.mBuilder.AddWorker(Worker("ww", 8'000));
  CHECK(scene.Plan().mPreemptions.size() == 1);
}

TEST_CASE("room is kept only for what can get a ticket there")
{
  // Every advisor is busy and the ticket has run out: nothing can start in the
  // room that would be kept, while a later queue could use it.
  queue_row first = Queue("fees", 0);
  first.mAdvice = advice_timing{ 500, 6, 2'000 };
  plan_fixture scene({ first, Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  const job_id waits = scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "fees");
  scene.mBuilder.AddJob("02", { Step(1, 4'000) }, "runs");
  scene.Approve(waits, { worker });
  scene.mNow += seconds(3);
  scene.mFreeAdvisors = 0;
  CHECK(scene.Plan().mStarts.size() == 1);
  scene.mFreeAdvisors = 1;
  const plan_result plan = scene.Plan();
  CHECK(plan.mStarts.empty()); // kept: the ticket is asked for
  CHECK(plan.mQueries.size() == 1);
}

} // namespace oriolewalk::flow
