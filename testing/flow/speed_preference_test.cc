#include <cmath>
#include <numbers>
#include <string>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/speed_preference.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::Step;
using testing::Worker;

constexpr double kSlow = 0.7;
constexpr double kFast = 1.7;

queue_row
Batch()
{
  queue_row queue = Queue("runs", 2);
  queue.mStretch = 2.2;
  queue.mTargetMs = 1'200;
  return queue;
}

// Two thirds of the workers are slow.
bool
IsFast(worker_number aWorker)
{
  constexpr worker_number kFraction = 3;
  return aWorker % kFraction == 0;
}

// A cell whose workers' speeds are known.
class uneven_cell
{
public:
  explicit uneven_cell(int aWorkers, queue_row aUrgent = Queue("fees", 0))
    : mScene({ std::move(aUrgent), Batch() })
  {
    for (int at = 0; at < aWorkers; ++at) {
      mScene.mBuilder.AddWorker(Worker("w" + std::to_string(at)));
    }
  }

  template<class Speed>
  plan_result Plan(Speed aSpeedOf)
  {
    const plan_input input = mScene.Input();
    for (const auto& [number, record] : mScene.mBuilder.mState.Workers()) {
      plan_worker worker = *mScene.mWorkers.Find(number);
      worker.mSpeed = aSpeedOf(number);
      worker.mIsSpeedKnown = true;
      mScene.mWorkers.Put(worker);
    }
    return MakePlan(input);
  }

  plan_result Plan()
  {
    return Plan(
      [](worker_number aWorker) { return IsFast(aWorker) ? kFast : kSlow; });
  }

  // Fills the worker except for what is given.
  void Fill(worker_number aWorker, std::int64_t aLeft)
  {
    const std::string name = "fill" + std::to_string(aWorker);
    const job_id job = mScene.mBuilder.AddJob(
      name,
      { Step(1,
             mScene.mBuilder.mState.FindWorker(aWorker)
                 ->mDescription.mCapacity.mMilliProcessors -
               aLeft) },
      "runs");
    mScene.mBuilder.Start(testing::state_builder::Run(job, 1), aWorker);
  }

  plan_fixture mScene;
};

std::size_t
FastOf(const std::vector<planned_start>& aStarts)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aStarts, [](const planned_start& aStart) {
      return IsFast(aStart.mStart.mWorker);
    }));
}

// What a plan decides, comparable.
auto
Decisions(const plan_result& aPlan)
{
  std::vector<std::tuple<run_ref, worker_number, std::string>> starts;
  starts.reserve(aPlan.mStarts.size());
  for (const planned_start& start : aPlan.mStarts) {
    starts.emplace_back(start.mStart.mRun, start.mStart.mWorker, start.mTicket);
  }
  std::vector<std::pair<run_ref, worker_number>> preemptions;
  preemptions.reserve(aPlan.mPreemptions.size());
  for (const planned_preemption& one : aPlan.mPreemptions) {
    preemptions.emplace_back(one.mRun.mRun, one.mRun.mWorker);
  }
  std::vector<std::pair<step_ref, std::vector<worker_number>>> queries;
  queries.reserve(aPlan.mQueries.size());
  for (const advice_query& query : aPlan.mQueries) {
    queries.emplace_back(query.mStep, query.mWorkers);
  }
  return std::tuple(starts,
                    preemptions,
                    queries,
                    aPlan.mNothingToQuery,
                    aPlan.mWaiting,
                    aPlan.mComparisons);
}

} // namespace

TEST_CASE("batch steps that have time leave the fast workers")
{
  // Batch tasks run for seconds: on the fast workers they leave only slow ones
  // to the urgent steps that arrive meanwhile.
  uneven_cell cell(12);
  cell.mScene.mBuilder.AddJob("00", { Step(16, 2'000) }, "runs");
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mStarts.size() == 16);
  CHECK(FastOf(plan.mStarts) == 0);
  cell.mScene.mPolicy.mPlacesBySpeed = false;
  CHECK(FastOf(cell.Plan().mStarts) > 0);
}

TEST_CASE("batch steps use fast workers once the slow ones are full")
{
  // Guards against capacity that stays idle while work waits.
  uneven_cell cell(6);
  cell.mScene.mBuilder.AddJob("00", { Step(20, 2'000) }, "runs");
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mStarts.size() == 20);
  CHECK(FastOf(plan.mStarts) == 4);
}

TEST_CASE("a batch step that is short of time takes fast workers")
{
  // Left to the slow workers it would miss its objective, although there is
  // room on fast ones.
  uneven_cell cell(12);
  cell.mScene.mBuilder.AddJob("00", { Step(4, 2'000) }, "runs");
  // Of 3.4 s, 1.2 s are left for 1 s of work.
  cell.mScene.mWallMs += 2'200;
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mStarts.size() == 4);
  CHECK(FastOf(plan.mStarts) == 4);
}

TEST_CASE("a batch step that is late everywhere leaves the fast workers")
{
  uneven_cell cell(12);
  cell.mScene.mBuilder.AddJob("00", { Step(4, 2'000) }, "runs");
  cell.mScene.mWallMs += 60'000;
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mStarts.size() == 4);
  CHECK(FastOf(plan.mStarts) == 0);
}

TEST_CASE("a worker that is far slower than the slow ones is the last resort")
{
  // Workers with a fault are six times slower for a while. A step that leaves
  // the fast workers must not choose them for being the slowest.
  uneven_cell cell(12);
  cell.mScene.mBuilder.AddJob("00", { Step(8, 8'000) }, "runs");
  const auto speedOf = [](worker_number aWorker) {
    constexpr double kFaulty = 0.2;
    return aWorker == 1 ? kFaulty : IsFast(aWorker) ? kFast : kSlow;
  };
  const plan_result plan = cell.Plan(speedOf);
  REQUIRE(plan.mStarts.size() == 8);
  CHECK(std::ranges::none_of(plan.mStarts, [](const planned_start& aStart) {
    return aStart.mStart.mWorker == 1;
  }));
  CHECK(FastOf(plan.mStarts) == 1);
}

TEST_CASE(
  "an urgent step prefers a nearly full fast worker to an empty slow one")
{
  // On a slow worker the work alone takes longer than the objective.
  uneven_cell cell(6);
  cell.Fill(3, 2'000);
  cell.Fill(6, 2'000);
  cell.mScene.mBuilder.AddJob("00", { Step(2, 2'000) });
  const plan_result plan = cell.Plan(
    [](worker_number aWorker) { return IsFast(aWorker) ? 1.4 : 0.9; });
  REQUIRE(plan.mStarts.size() == 2);
  CHECK(FastOf(plan.mStarts) == 2);
}

TEST_CASE("long-running steps leave the fast workers")
{
  // Their objective is the first start, and they would stay for hours.
  uneven_cell cell(12);
  step_spec lasting = Step(4, 2'000);
  lasting.mLongRunning = true;
  cell.mScene.mBuilder.AddJob("00", { lasting }, "runs");
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mStarts.size() == 4);
  CHECK(FastOf(plan.mStarts) == 0);
}

TEST_CASE("a gang with a slow member leaves the fast workers")
{
  // It is as slow as its slowest member, so that fast workers are wasted on
  // the others.
  uneven_cell cell(12);
  step_spec gang = Step(6, 8'000);
  gang.mGang = true;
  cell.mScene.mBuilder.AddJob("00", { gang });
  const plan_result mixed = cell.Plan();
  REQUIRE(mixed.mStarts.size() == 6);
  CHECK(FastOf(mixed.mStarts) == 0);
  // One that fits on fast workers uses them.
  uneven_cell other(12);
  gang.mCount = 4;
  other.mScene.mBuilder.AddJob("00", { gang });
  const plan_result fast = other.Plan();
  REQUIRE(fast.mStarts.size() == 4);
  CHECK(FastOf(fast.mStarts) == 4);
}

TEST_CASE("a query names the workers in the order of the step's preference")
{
  // A ticket for a fast worker is of no use to a step that leaves it, and the
  // policy service takes 7 ms for each.
  uneven_cell cell(120);
  queue_table table = cell.mScene.mBuilder.mState.Table();
  ++table.mVersion;
  for (queue_row& queue : table.mQueues) {
    queue.mAdvice = queue.mPriority == 0 ? advice_timing{ 34, 0.5, 2'500 }
                                         : advice_timing{ 500, 7, 2'500 };
  }
  cell.mScene.mBuilder.Apply(put_table{ table, "source" });
  cell.mScene.mBuilder.AddJob("00", { Step(4, 6'000) });
  cell.mScene.mBuilder.AddJob("01", { Step(4, 6'000) }, "runs");
  const plan_result plan = cell.Plan();
  REQUIRE(plan.mQueries.size() == 2);
  const auto fastOf = [](const advice_query& aQuery) {
    return std::ranges::count_if(aQuery.mWorkers, IsFast);
  };
  CHECK(plan.mQueries[0].mStep.mJob == job_id("00"));
  CHECK(fastOf(plan.mQueries[0]) ==
        std::min<std::ptrdiff_t>(40, std::ssize(plan.mQueries[0].mWorkers)));
  CHECK(fastOf(plan.mQueries[1]) <= 0);
}

TEST_CASE("plans don't change where workers are alike")
{
  // Learned speeds of workers that are alike differ by chance. A preference
  // that follows them would shuffle work for nothing.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    random_source random(seed);
    queue_row urgent = Queue("fees", 0);
    urgent.mAdvice = advice_timing{ 30, 0.43, 2'000 };
    uneven_cell cell(60, urgent);
    for (worker_number number = 1; number <= 60; ++number) {
      if (random.Below(2) == 0) {
        cell.Fill(number, std::int64_t{ 500 } << random.Below(4));
      }
    }
    for (int job = 0; job < 8; ++job) {
      step_spec step = Step(static_cast<std::uint32_t>(1 + random.Below(20)),
                            std::int64_t{ 500 } << random.Below(4));
      step.mGang = random.Below(4) == 0;
      const job_id id = cell.mScene.mBuilder.AddJob(
        "0" + std::to_string(job), { step }, job % 2 == 0 ? "fees" : "runs");
      if (job % 4 == 0) {
        cell.mScene.Approve(id, { 1, 2, 3, 4, 5, 6 });
      }
    }
    std::vector<double> speeds;
    for (int at = 0; at <= 60; ++at) {
      constexpr double kNoise = 0.1;
      speeds.push_back(1 + kNoise * (2 * random.Fraction() - 1));
    }
    const auto speedOf = [&](worker_number aWorker) { return speeds[aWorker]; };
    const plan_result with = cell.Plan(speedOf);
    cell.mScene.mPolicy.mPlacesBySpeed = false;
    CHECK(Decisions(with) == Decisions(cell.Plan(speedOf)));
  }
}

TEST_CASE("speeds have no effect before enough of them are known")
{
  speed_histogram speeds;
  for (int at = 0; at < 4; ++at) {
    speeds.Add(kSlow);
    speeds.Add(kSlow);
    speeds.Add(kFast);
  }
  CHECK(speeds.Spread(12).mSlow == Approx(kSlow).margin(0.03));
  CHECK(speeds.Spread(12).mFast == Approx(kFast).margin(0.03));
  CHECK(speeds.Spread(25).mFast == 1);
  CHECK(speed_histogram().Spread(0).mFast == 1);
}

TEST_CASE("speeds matter only where urgent work shares the service")
{
  queue_table table;
  table.mQueues = { Queue("fees", 0), Batch() };
  const service_id service("pay");
  CHECK(DoSpeedsMatter(table, service, { kSlow, kFast }));
  // A job of the urgent queue is in time on a worker that is a fifth slower.
  CHECK_FALSE(DoSpeedsMatter(table, service, { 0.9, 1.1 }));
  table.mQueues[0].mPriority = 1;
  CHECK_FALSE(DoSpeedsMatter(table, service, { kSlow, kFast }));
}

} // namespace oriolewalk::flow
