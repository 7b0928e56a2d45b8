// Plans in which capacity is the bottleneck: what is reserved for a task that
// can't start yet, and which runs are preempted for it.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

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

// Starts the step's tasks as runs of a lower-priority queue on aWorker.
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

queue_row
AdvisedUrgentQueue()
{
  queue_row urgent = Queue("fees", 0);
  urgent.mAdvice = advice_timing{ 30, 1, 2'500 };
  return urgent;
}

// Free workers that each have capacity for one task of 4 processors.
void
AddSmallWorkers(plan_fixture& aScene, int aCount)
{
  for (int at = 0; at < aCount; ++at) {
    aScene.mBuilder.AddWorker(Worker("w" + std::to_string(at), 4'000));
  }
}

} // namespace

TEST_CASE("urgent steps that are queried in one plan query different workers")
{
  // Guards against steps that all query the best workers: one of them starts,
  // and all others query again.
  plan_fixture scene({ AdvisedUrgentQueue(), Queue("runs", 2) });
  AddSmallWorkers(scene, 60);
  for (int job = 0; job < 6; ++job) {
    scene.mBuilder.AddJob(
      "job" + std::to_string(job), { Step(4, 4'000) }, "fees");
  }
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 6);
  // Each task reserves one of the queried workers; queries include a few more.
  constexpr std::size_t kReserved = 24;
  std::set<worker_number> queried;
  for (const advice_query& query : plan.mQueries) {
    queried.insert(query.mWorkers.begin(), query.mWorkers.end());
  }
  CHECK(queried.size() >= kReserved);
  CHECK(plan.mReserved.mMilliProcessors ==
        static_cast<std::int64_t>(kReserved) * 4'000);
}

TEST_CASE("capacity is reserved for an urgent step's second query")
{
  // Guards against steps that start or query on the workers that an urgent step
  // queries while those that it may use are full.
  plan_fixture scene({ AdvisedUrgentQueue(), Queue("runs", 2) });
  const worker_number full = scene.mBuilder.AddWorker(Worker("full", 4'000));
  step_spec lasting = Step(1, 4'000);
  Fill(scene, "long", full, lasting);
  const worker_number other = scene.mBuilder.AddWorker(Worker("other", 4'000));
  const job_id urgentJob =
    scene.mBuilder.AddJob("urgent", { Step(1, 4'000) }, "fees");
  scene.mBuilder.AddJob("later", { Step(1, 4'000) }, "runs");
  scene.Approve(urgentJob, { full });
  scene.mOpenQueries.insert({ urgentJob, 0, 0 });
  scene.mQueriedWorkers[{ urgentJob, 0, 0 }] = { other };
  CHECK(scene.Plan().mStarts.empty());
}

TEST_CASE("capacity is reserved while an urgent step's query is in flight")
{
  // One worker of a full cell has capacity for one task. An urgent step's query
  // about it takes 60 ms. Without a reservation, a task of a lower-priority
  // queue that already has a ticket takes the capacity, and is preempted when
  // the answer arrives, or the urgent step has to query other workers.
  queue_row urgent = Queue("fees", 0);
  urgent.mAdvice = advice_timing{ 30, 0.4, 2'000 };
  plan_fixture scene({ urgent, Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 1'000));
  const job_id urgentJob =
    scene.mBuilder.AddJob("00", { Step(1, 1'000) }, "fees");
  scene.mBuilder.AddJob("01", { Step(1, 1'000) }, "runs");
  CHECK(scene.Plan().mStarts.empty()); // the query is part of the plan
  scene.mOpenQueries.insert({ urgentJob, 0, 0 });
  CHECK(scene.Plan().mStarts.size() == 1); // the query has other workers
  scene.mQueriedWorkers[{ urgentJob, 0, 0 }] = { worker };
  CHECK(scene.Plan().mStarts.empty());
}

TEST_CASE("small tasks are packed on one worker's accelerators")
{
  // A task for eight accelerators follows tasks for one. If the small tasks
  // were spread by free processors, no worker would have eight accelerators
  // free.
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

TEST_CASE("capacity that becomes free is reserved for a large task ahead")
{
  // A task for a whole worker waits, and half of the worker is free. Without a
  // reservation, small tasks of a lower-priority queue take each half as it
  // becomes free, and the large task starves.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec notPreemptible = Step(1, 4'000); // saves no checkpoints
  Fill(scene, "00", worker, notPreemptible);
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

TEST_CASE("an urgent task preempts runs of a lower-priority queue")
{
  // An urgent task arrives while a lower-priority queue occupies the only
  // worker. Without preemption it waits until those runs end.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec preemptible = Step(2, 4'000);
  preemptible.mCheckpoints = true;
  const job_id later = Fill(scene, "00", worker, preemptible);
  const job_id urgent = scene.mBuilder.AddJob("01", { Step(1, 4'000) }, "fees");
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mPreemptions.size() == 1); // one of the two runs suffices
  CHECK(plan.mPreemptions[0].mRun.mRun.mTask.mJob == later);
  CHECK(plan.mPreemptions[0].mRun.mWorker == worker);
  CHECK(plan.mPreemptions[0].mPreemptor.mJob == urgent);
}

TEST_CASE("runs that are costly to stop are not preempted")
{
  // A stop would lose the run's work, break its gang or interrupt a service, or
  // the task was preempted too often already.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec preemptible = Step(1, 8'000);
  preemptible.mCheckpoints = true;
  SECTION("the run saves no checkpoints")
  {
    preemptible.mCheckpoints = false;
  }
  SECTION("the run belongs to a gang")
  {
    preemptible.mGang = true;
  }
  SECTION("the task is long-running")
  {
    preemptible.mLongRunning = true;
  }
  SECTION("the task was preempted twice already")
  {
    scene.mPreemptionRecords[{ job_id("00"), 0, 0, 0 }] = { 2, false };
  }
  SECTION("the run is being preempted")
  {
    scene.mPreemptionRecords[{ job_id("00"), 0, 0, 0 }] = { 1, true };
  }
  Fill(scene, "00", worker, preemptible);
  scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "fees");
  CHECK(scene.Plan().mPreemptions.empty());
}

TEST_CASE("a step doesn't preempt runs of its own queue")
{
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec preemptible = Step(1, 8'000);
  preemptible.mCheckpoints = true;
  Fill(scene, "00", worker, preemptible);
  scene.mBuilder.AddJob("01", { Step(1, 8'000) }, "runs");
  CHECK(scene.Plan().mPreemptions.empty());
}

TEST_CASE("no run is preempted for a gang that doesn't fit as a whole")
{
  // Two members need a worker each, and only one worker can be freed. The gang
  // couldn't start, so preempting the run there would be of no use.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec preemptible = Step(1, 8'000);
  preemptible.mCheckpoints = true;
  Fill(scene, "00", worker, preemptible);
  step_spec gang = Step(2, 8'000);
  gang.mGang = true;
  scene.mBuilder.AddJob("01", { gang }, "fees");
  CHECK(scene.Plan().mPreemptions.empty());
  scene.mBuilder.AddWorker(Worker("ww", 8'000));
  CHECK(scene.Plan().mPreemptions.size() == 1);
}

TEST_CASE("capacity is reserved only for steps that can get a ticket")
{
  // Every advisor is busy and the ticket has expired, so the step couldn't
  // start in reserved capacity, while a lower-priority queue can use it.
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
  CHECK(plan.mStarts.empty()); // reserved, as the ticket is being renewed
  CHECK(plan.mQueries.size() == 1);
}

} // namespace oriolewalk::flow
