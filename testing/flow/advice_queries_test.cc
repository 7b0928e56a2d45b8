// Loads in which the policy service's answers are the scarce thing.

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

TEST_CASE("a step asks about workers that are full, too, and once")
{
  // Three of four workers are full. A step that asks about the one with room
  // learns one verdict at 0.4 s each: where a third is approved it took 16
  // questions and 48 s to its start. Verdicts don't change, so all are asked
  // about at once.
  plan_fixture scene({ Advised(), Queue("runs", 2) });
  std::vector<worker_number> workers;
  for (const char* id : { "w", "ww", "www", "wwww" }) {
    workers.push_back(scene.mBuilder.AddWorker(Worker(id, 8'000)));
  }
  const job_id fills = scene.mBuilder.AddJob("00", { Step(3, 8'000) }, "runs");
  for (std::uint32_t index = 0; index < 3; ++index) {
    scene.mBuilder.Start(testing::state_builder::Run(fills, 1, index),
                         workers[index]);
  }
  scene.mBuilder.AddJob("01", { Step(1, 8'000) });
  plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers.size() == 4);
  CHECK(plan.mQueries[0].mWorkers.front() == workers[3]); // it has room
  scene.mPolicy.mQueriesAhead = false;
  plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers == std::vector{ workers[3] });
}

TEST_CASE("workers too small for the step are never asked about")
{
  plan_fixture scene({ Advised() });
  scene.mBuilder.AddWorker(Worker("w", 4'000));
  scene.mBuilder.AddJob("00", { Step(1, 8'000) });
  CHECK(scene.Plan().mQueries.empty());
}

TEST_CASE("a ticket is renewed before the room that is kept falls free")
{
  // The approved worker is full of work that ends by itself. A ticket that is
  // renewed only when the room is there leaves it empty for the answer's 0.4 s.
  plan_fixture scene({ Advised(), Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  const job_id fills = scene.mBuilder.AddJob("00", { Step(1, 8'000) }, "runs");
  scene.mBuilder.Start(testing::state_builder::Run(fills, 1), worker);
  const job_id waits = scene.mBuilder.AddJob("01", { Step(1, 8'000) });
  scene.Approve(waits, { worker });
  CHECK(scene.Plan().mQueries.empty());
  scene.mNow += milliseconds(1'500);
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers == std::vector{ worker });
}

TEST_CASE("a later queue's step is asked about though an earlier one has many")
{
  // Every advisor that falls free goes to the queue of priority 1, whose
  // tickets run out again and again; a step of the last queue is never asked
  // about and waits for ever, with its room free. One advisor is its own.
  queue_row last = Queue("runs", 2);
  last.mAdvice = advice_timing{ 150, 2, 2'000 };
  plan_fixture scene({ Advised(), last });
  scene.mBuilder.AddWorker(Worker("w", 8'000));
  scene.mBuilder.AddJob("00", { Step(1, 1'000) });
  scene.mBuilder.AddJob("01", { Step(1, 1'000) });
  const job_id later = scene.mBuilder.AddJob("02", { Step(1, 1'000) }, "runs");
  scene.mAdvisors = 9;
  scene.mUsedAdvisors["fees"] = 5;
  scene.mFreeAdvisors = 3; // two of them are kept for the first queue
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mStep.mJob == later);
  scene.mPolicy.mSharesAdvisors = false;
  CHECK(scene.Plan().mQueries[0].mStep.mJob != later);
}

TEST_CASE("tasks that last are asked about before all advisors are taken")
{
  // A service's task has failed; all but the advisors kept for the first queue
  // are busy. Were it to wait for another one, its users would be without it.
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

} // namespace oriolewalk::flow
