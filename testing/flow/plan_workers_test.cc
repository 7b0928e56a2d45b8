#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/advice_queries.h"
#include "oriolewalk/flow/open_steps.h"
#include "oriolewalk/flow/plan_worker_cache.h"
#include "oriolewalk/flow/plan_workers.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::Step;
using testing::Worker;

constexpr time_point kNow{ seconds(100) };

plan_worker
Planned(worker_number aNumber, const worker_description& aDescription)
{
  plan_worker worker;
  worker.mNumber = aNumber;
  worker.mDescription = &aDescription;
  worker.mFree = aDescription.mCapacity;
  return worker;
}

std::vector<worker_number>
Order(const plan_workers& aWorkers, const service_id& aService)
{
  std::vector<worker_number> order;
  for (const auto& [capacity, ranked] : aWorkers.Ranked(aService)) {
    for (const auto& [rank, worker] : ranked) {
      order.push_back(worker->mNumber);
    }
  }
  return order;
}

queue_row
Advised()
{
  queue_row queue = Queue("fees", 0);
  queue.mAdvice = advice_timing{ 30, 0.43, 2'000 };
  return queue;
}

} // namespace

TEST_CASE("the plan's workers are ranked by free share and speed")
{
  const worker_description description = Worker("w", 8'000);
  plan_workers workers(placement_rule::Spreading);
  workers.Put(Planned(1, description));
  plan_worker half = Planned(2, description);
  half.mFree.mMilliProcessors /= 2;
  workers.Put(half);
  plan_worker fast = Planned(3, description);
  fast.mSpeed = 1.25;
  workers.Put(fast);
  CHECK(Order(workers, description.mService) ==
        std::vector<worker_number>{ 3, 1, 2 });
  half.mFree = description.mCapacity;
  half.mSpeed = 2;
  workers.Put(half);
  workers.Remove(1);
  CHECK(Order(workers, description.mService) ==
        std::vector<worker_number>{ 2, 3 });
  CHECK(workers.Capacity().mMilliProcessors == 16'000);
  CHECK(workers.Free().mMilliProcessors == 16'000);
  CHECK(workers.Find(1) == nullptr);
}

TEST_CASE("no worker is avoided if more than a third seem bad")
{
  const worker_description description = Worker("w", 8'000);
  plan_workers workers(placement_rule::Packing);
  for (worker_number number = 1; number <= 6; ++number) {
    plan_worker worker = Planned(number, description);
    worker.mAvoided = number <= 2;
    workers.Put(worker);
  }
  workers.UpdateAvoidance();
  CHECK(workers.Find(1)->mAvoided);
  workers.Remove(6);
  workers.UpdateAvoidance();
  CHECK_FALSE(workers.Find(1)->mAvoided);
  CHECK(Order(workers, description.mService).front() == 1);
  workers.Put(Planned(7, description));
  workers.UpdateAvoidance();
  CHECK(workers.Find(2)->mAvoided);
}

TEST_CASE("a refresh evaluates only workers that changed or expired")
{
  constexpr worker_number kWorkers = 6'000;
  const worker_description description = Worker("w", 8'000);
  plan_worker_cache cache(placement_rule::Packing);
  time_point now = kNow;
  const auto evaluate = [&](worker_number aWorker) {
    return worker_evaluation{ Planned(aWorker, description),
                              aWorker == 3 ? now + seconds(1)
                                           : time_point::max() };
  };
  for (worker_number number = 1; number <= kWorkers; ++number) {
    cache.Invalidate(number);
  }
  CHECK(cache.Refresh(now, evaluate).Size() == kWorkers);
  cache.Invalidate(7);
  cache.Refresh(now, evaluate);
  CHECK(cache.Evaluations() == kWorkers + 1);
  now += seconds(2);
  cache.Refresh(now, evaluate);
  CHECK(cache.Evaluations() == kWorkers + 2);
}

TEST_CASE("a worker that is no longer usable leaves the plan's workers")
{
  const worker_description description = Worker("w", 8'000);
  plan_worker_cache cache(placement_rule::Packing);
  bool usable = true;
  const auto evaluate = [&](worker_number aWorker) {
    return usable ? worker_evaluation{ Planned(aWorker, description) }
                  : worker_evaluation{};
  };
  cache.Invalidate(1);
  CHECK(cache.Refresh(kNow, evaluate).Size() == 1);
  usable = false;
  cache.Invalidate(1);
  CHECK(cache.Refresh(kNow, evaluate).Size() == 0);
}

TEST_CASE("a query selects as if it considered all workers")
{
  // Guards against a good worker that the planner's index hides from a query.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    random_source random(seed);
    plan_fixture scene({ Advised(), Queue("runs", 2) });
    const job_id filler =
      scene.mBuilder.AddJob("00", { Step(400, 1'000) }, "runs");
    std::uint32_t started = 0;
    for (int at = 0; at < 400; ++at) {
      const worker_number number = scene.mBuilder.AddWorker(Worker(
        "w" + std::to_string(at), std::int64_t{ 4'000 } << random.Below(3)));
      if (random.Below(2) == 0 && started < 400) {
        scene.mBuilder.Start(testing::state_builder::Run(filler, 1, started++),
                             number);
      }
    }
    scene.mBuilder.AddJob(
      "01", { Step(static_cast<std::uint32_t>(1 + random.Below(40)), 3'000) });
    const plan_input input = scene.Input();
    std::vector<const plan_worker*> all;
    for (const auto& [number, worker] : scene.mBuilder.mState.Workers()) {
      all.push_back(scene.mWorkers.Find(number));
    }
    quota_planner quotas(scene.mBuilder.mState, scene.mProposed);
    const std::vector<open_step> steps =
      CollectOpenSteps(scene.mBuilder.mState,
                       { .mProposed = &scene.mProposed,
                         .mSuspicions = &input.mSuspicions,
                         .mQuotas = &quotas });
    const auto wanted =
      WorkersToQuery(steps.front(),
                     { steps.front().mWaiting.size(), {}, true },
                     all,
                     scene.mAdvice,
                     scene.mPolicy,
                     scene.mNow);
    const plan_result plan = scene.Plan();
    REQUIRE_FALSE(plan.mQueries.empty());
    CHECK(plan.mQueries.front().mWorkers == wanted);
  }
}

TEST_CASE("a plan looks at as many workers in a cell of any size")
{
  // Guards against plans and queries that visit every worker.
  const auto visited = [](int aWorkers) {
    plan_fixture scene({ Advised() });
    for (int at = 0; at < aWorkers; ++at) {
      scene.mBuilder.AddWorker(Worker("w" + std::to_string(at), 32'000));
    }
    for (int job = 0; job < 5; ++job) {
      scene.mBuilder.AddJob("0" + std::to_string(job), { Step(13, 6'000) });
    }
    const plan_result plan = scene.Plan();
    CHECK(plan.mQueries.size() == 5);
    return plan.mVisitedWorkers;
  };
  CHECK(visited(6'000) == visited(1'500));
}

} // namespace oriolewalk::flow
