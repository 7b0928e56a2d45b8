#include <catch2/catch.hpp>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::state_builder;
using testing::Step;
using testing::Worker;

} // namespace

TEST_CASE("a plan never exceeds a worker's capacity")
{
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w", 2'500));
  scene.mBuilder.AddJob("00", { Step(5, 1'000) });
  const plan_result plan = scene.Plan();
  CHECK(plan.mStarts.size() == 2);
  CHECK(plan.mWaiting == 3);
}

TEST_CASE("proposed starts count towards the maximum per worker")
{
  // Two plans follow each other before the starts of the first one are applied.
  // If the second plan ignored them, it would start more tasks of the step on a
  // worker than the maximum.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w"));
  step_spec apart = Step(4, 100);
  apart.mMaxPerWorker = 2;
  const job_id job = scene.mBuilder.AddJob("00", { apart });
  CHECK(scene.Plan().mStarts.size() == 2);
  scene.mProposed[{ job, 0, 0, 0 }] = worker;
  scene.mProposed[{ job, 0, 0, 1 }] = worker;
  CHECK(scene.Plan().mStarts.empty());
}

TEST_CASE("advisors are reserved for the top-priority queue")
{
  // The other queues' queries take long. If they occupied all advisors, an
  // urgent job would wait for an advisor before it could send its query.
  queue_row urgent = Queue("fees", 0);
  urgent.mAdvice = advice_timing{ 30, 0.4, 2'000 };
  queue_row other = Queue("runs", 2);
  other.mAdvice = advice_timing{ 500, 7, 2'000 };
  plan_fixture scene({ urgent, other });
  scene.mBuilder.AddWorker(Worker("w"));
  for (const char* id : { "01", "02", "03", "04", "05" }) {
    scene.mBuilder.AddJob(id, { Step(1, 1'000) }, "runs");
  }
  scene.mAdvisors = 6;
  scene.mFreeAdvisors = 4; // two are reserved
  CHECK(scene.Plan().mQueries.size() == 2);
  scene.mFreeAdvisors = 2;
  CHECK(scene.Plan().mQueries.empty());
  const job_id urgentJob = scene.mBuilder.AddJob("00", { Step(1, 1'000) });
  REQUIRE(scene.Plan().mQueries.size() == 1);
  CHECK(scene.Plan().mQueries[0].mStep.mJob == urgentJob);
}

TEST_CASE("the queue with the higher priority gets the capacity")
{
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w", 1'000));
  scene.mBuilder.AddJob("00", { Step(1, 1'000) }, "runs");
  const job_id urgent = scene.mBuilder.AddJob("01", { Step(1, 1'000) }, "fees");
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 1);
  CHECK(plan.mStarts[0].mStart.mRun.mTask.mJob == urgent);
}

TEST_CASE("a backlog doesn't hide an urgent job from the plan")
{
  // 5,000 tasks of a lower-priority queue wait for capacity, which is more than
  // a plan considers, and their job ids sort first. If the limit applied before
  // the steps are ordered, an urgent job would stay queued past its objective
  // although workers are free.
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w", 1'000));
  for (int job = 0; job < 50; ++job) {
    scene.mBuilder.AddJob((job < 10 ? "0" : "") + std::to_string(job),
                          { Step(100, 2'000) },
                          "runs");
  }
  const job_id urgent = scene.mBuilder.AddJob("99", { Step(1, 1'000) }, "fees");
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 1);
  CHECK(plan.mStarts[0].mStart.mRun.mTask.mJob == urgent);
}

TEST_CASE("either all members of a gang start or none")
{
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w", 2'000));
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  scene.mBuilder.AddJob("00", { gang });
  CHECK(scene.Plan().mStarts.empty());
  scene.mBuilder.AddWorker(Worker("ww", 1'000));
  const plan_result plan = scene.Plan();
  CHECK(plan.mStarts.size() == 3);
}

TEST_CASE("a gang's attempt is higher than the last one of every member")
{
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 8'000));
  step_spec gang = Step(2, 1'000);
  gang.mGang = true;
  const job_id job = scene.mBuilder.AddJob("00", { gang });
  scene.mBuilder.Start(state_builder::Run(job, 3, 1), worker);
  CHECK(scene.Plan().mStarts.empty()); // a member of the last attempt runs
  scene.mBuilder.End(state_builder::Run(job, 3, 1), worker, run_outcome::Alone);
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 2);
  CHECK(plan.mStarts[0].mStart.mRun.mAttempt == 4);
  CHECK(plan.mStarts[1].mStart.mRun.mAttempt == 4);
}

TEST_CASE("all tasks of a step bound to one rack start in the same rack")
{
  plan_fixture scene;
  worker_description other = Worker("ww", 2'000);
  other.mRack = rack_id("r2");
  scene.mBuilder.AddWorker(Worker("w", 1'000));
  const worker_number there = scene.mBuilder.AddWorker(other);
  step_spec tight = Step(2, 1'000);
  tight.mSameRack = true;
  tight.mGang = true;
  scene.mBuilder.AddJob("00", { tight });
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 2);
  CHECK(plan.mStarts[0].mStart.mWorker == there);
  CHECK(plan.mStarts[1].mStart.mWorker == there);
}

TEST_CASE("a queue with a policy service starts tasks only with tickets")
{
  queue_row queue = Queue("fees", 0);
  queue.mAdvice = advice_timing{ 20, 0.3, 2'000 };
  plan_fixture scene({ queue });
  const worker_number good = scene.mBuilder.AddWorker(Worker("w"));
  const worker_number bad = scene.mBuilder.AddWorker(Worker("ww"));
  const job_id job = scene.mBuilder.AddJob("00", { Step(2, 1'000) });
  plan_result plan = scene.Plan();
  CHECK(plan.mStarts.empty());
  REQUIRE(plan.mQueries.size() == 1);
  const step_ref step{ job, 0, 0 };
  scene.mAdvice.OnAnswer(step,
                         "fees",
                         { { good, worker_id("w") }, { bad, worker_id("ww") } },
                         { { worker_id("w"), "t1" } },
                         scene.mNow + seconds(2));
  plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 2);
  CHECK(plan.mStarts[0].mStart.mWorker == good);
  CHECK(plan.mStarts[0].mTicket == "t1");
  // An expired ticket is renewed without querying refused workers again.
  scene.mNow += seconds(3);
  plan = scene.Plan();
  CHECK(plan.mStarts.empty());
  REQUIRE(plan.mQueries.size() == 1);
  CHECK(plan.mQueries[0].mWorkers == std::vector{ good });
}

TEST_CASE("a step that requires a label starts only on workers that have it")
{
  // The queue has no policy service that would refuse workers without the
  // label, so the plan has to check it.
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w"));
  step_spec step = Step(1, 1'000);
  step.mLabel = "b";
  scene.mBuilder.AddJob("00", { step });
  CHECK(scene.Plan().mStarts.empty());
  worker_description labelled = Worker("ww");
  labelled.mLabels = { "b" };
  const worker_number there = scene.mBuilder.AddWorker(labelled);
  const plan_result plan = scene.Plan();
  REQUIRE(plan.mStarts.size() == 1);
  CHECK(plan.mStarts[0].mStart.mWorker == there);
}

} // namespace oriolewalk::flow
