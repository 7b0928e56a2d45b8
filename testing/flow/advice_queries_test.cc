// Plans in which the policy service's answers are the bottleneck.

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::Step;
using testing::Worker;

queue_row
Advised()
{
  queue_row queue = Queue("fees", 1);
  queue.mAdvice = advice_timing{ 400, 6, 2'000 };
  return queue;
}

} // namespace

TEST_CASE("one advice query includes full workers as well")
{
  // Three of four workers are full. A query for only the worker with free
  // capacity yields one verdict per 0.4 s: with a third of the workers
  // approved, a step took 16 queries and 48 s to start. Verdicts are final, so
  // one query includes all workers.
  plan_fixture scene({ Advised(), Queue("runs", 2) });
  std::vector<worker_number> workers;
  for (const char* id : { "w", "ww", "www", "wwww" }) {
    workers.push_back(scene.mBuilder.AddWorker(Worker(id, 8'000)));
  }
  const job_id filler = scene.mBuilder.AddJob("00", { Step(3, 8'000) }, "runs");
  for (std::uint32_t index = 0; index < 3; ++index) {
    scene.mBuilder.Start(testing::state_builder::Run(filler, 1, index),
                         workers[index]);
  }
  scene.mBuilder.AddJob("01", { Step(1, 8'000) });
  plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers.size() == 4);
  CHECK(plan.mQueries[0].mWorkers.front() == workers[3]); // has capacity
  scene.mPolicy.mQueriesAhead = false;
  plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers == std::vector{ workers[3] });
}

TEST_CASE("an advice query excludes workers too small for the step")
{
  plan_fixture scene({ Advised() });
  scene.mBuilder.AddWorker(Worker("w", 4'000));
  scene.mBuilder.AddJob("00", { Step(1, 8'000) });
  CHECK(scene.Plan().mQueries.empty());
}

TEST_CASE("a ticket is renewed before the reserved capacity becomes free")
{
  // The approved worker is full of runs that end on their own. A ticket that is
  // renewed only once the capacity is free leaves the worker idle for the 0.4 s
  // until the answer arrives.
  plan_fixture scene({ Advised(), Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  const job_id filler = scene.mBuilder.AddJob("00", { Step(1, 8'000) }, "runs");
  scene.mBuilder.Start(testing::state_builder::Run(filler, 1), worker);
  const job_id waits = scene.mBuilder.AddJob("01", { Step(1, 8'000) });
  scene.Approve(waits, { worker });
  CHECK(scene.Plan().mQueries.empty());
  scene.mNow += milliseconds(1'500);
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers == std::vector{ worker });
}

TEST_CASE("a lower-priority queue is guaranteed an advisor")
{
  // Without a guaranteed advisor, every advisor that becomes free goes to the
  // queue of priority 1, whose tickets expire repeatedly. A step of the last
  // queue then starves although there is capacity for it.
  queue_row last = Queue("runs", 2);
  last.mAdvice = advice_timing{ 150, 2, 2'000 };
  plan_fixture scene({ Advised(), last });
  scene.mBuilder.AddWorker(Worker("w", 8'000));
  scene.mBuilder.AddJob("00", { Step(1, 1'000) });
  scene.mBuilder.AddJob("01", { Step(1, 1'000) });
  const job_id later = scene.mBuilder.AddJob("02", { Step(1, 1'000) }, "runs");
  scene.mAdvisors = 9;
  scene.mUsedAdvisors["fees"] = 5;
  scene.mFreeAdvisors = 3; // two are reserved for the top-priority queue
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mStep.mJob == later);
  scene.mPolicy.mSharesAdvisors = false;
  CHECK(scene.Plan().mQueries[0].mStep.mJob != later);
}

TEST_CASE("long-running tasks may use the reserved advisors")
{
  // A task of a service has failed, and only the advisors reserved for the
  // top-priority queue are free. If its step waited for another advisor, the
  // service would stay down until then.
  queue_row stays = Queue("runs", 1);
  stays.mAdvice = advice_timing{ 560, 8, 2'000 };
  plan_fixture scene({ Advised(), stays });
  scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec lasting = Step(1, 1'000);
  lasting.mLongRunning = true;
  scene.mBuilder.AddJob("00", { lasting }, "runs");
  scene.mAdvisors = 6;
  scene.mFreeAdvisors = 1;
  CHECK(scene.Plan().mQueries.size() == 1);
}

TEST_CASE("a query finds the one free worker of a full cell")
{
  // Guards against a bound on candidates that hides capacity behind full
  // workers.
  queue_row queue = Queue("fees", 0);
  queue.mAdvice = advice_timing{ 30, 0.4, 2'500 };
  plan_fixture scene({ queue, Queue("runs", 2) });
  constexpr int kFull = 400;
  for (int at = 0; at < kFull; ++at) {
    const worker_number full =
      scene.mBuilder.AddWorker(Worker("w" + std::to_string(at)));
    const job_id job = scene.mBuilder.AddJob(
      "j" + std::to_string(at), { Step(1, 8'000) }, "runs");
    scene.mBuilder.Start(testing::state_builder::Run(job, 1), full);
  }
  const worker_number free = scene.mBuilder.AddWorker(Worker("free"));
  step_spec step = Step(1, 8'000);
  step.mTailLatencyTargetMs = 50; // best-effort runs beside it harm it
  scene.mBuilder.AddJob("urgent", { step }, "fees");
  const plan_input input = scene.Input();
  // It ranks behind the full ones.
  plan_worker worker = *scene.mWorkers.Find(free);
  worker.mSpeed = -3;
  worker.mRunsBestEffort = GENERATE(false, true);
  scene.mWorkers.Put(worker);
  const plan_result plan = MakePlan(input);
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(std::ranges::count(plan.mQueries[0].mWorkers, free) == 1);
}

} // namespace oriolewalk::flow
