// The order of plans by learned durations.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/plan_fixture.h"

namespace oriolewalk::flow {

namespace {

using testing::plan_fixture;
using testing::Queue;
using testing::Step;
using testing::Worker;

// A full cell: one worker, with room for one task. The queue's callers say 4 s
// for tasks of image "over", which take .5 s, and .25 s for those of "under",
// which take 2.5 s.
struct full_cell
{
  plan_fixture mScene{ { Queue("fees", 0), Queue("runs", 2) } };
  duration_model mModel;
  straggler_detector mStragglers;
  expected_durations mDurations{ mModel, mStragglers };
  std::size_t mJobs = 0;

  full_cell()
  {
    mScene.mBuilder.AddWorker(Worker("w", 1'000));
    for (int task = 0; task < 100; ++task) {
      Learn("over", 4'000, 500);
      Learn("under", 250, 2'500);
    }
  }

  void Learn(const std::string& aImage, double aEstimateMs, double aTookMs)
  {
    mModel.OnRunEnded(
      { "fees", aImage, 0 }, aEstimateMs, aTookMs, 1, mScene.mNow);
  }

  job_id Add(const std::string& aImage,
             std::int64_t aEstimateMs,
             std::int64_t aSubmittedWallMs,
             const std::string& aQueue = "fees")
  {
    job_spec spec;
    spec.mSteps = { Step(1, 1'000) };
    spec.mSteps[0].mImage = aImage;
    spec.mSteps[0].mEstimateMs = aEstimateMs;
    job_id id("0" + std::to_string(mJobs++));
    mScene.mBuilder.Apply(
      submit_job{ id, *mScene.mBuilder.mState.Table().FindQueue(aQueue), spec },
      aSubmittedWallMs);
    return id;
  }

  // The job whose task gets the room; an empty id: none.
  job_id First(bool aUsesModel)
  {
    plan_input input = mScene.Input();
    input.mExpectedDurations = aUsesModel ? &mDurations : nullptr;
    const plan_result plan = MakePlan(std::move(input));
    return plan.mStarts.empty() ? job_id()
                                : plan.mStarts[0].mStart.mRun.mTask.mJob;
  }
};

} // namespace

TEST_CASE("the job with least time left is served first, whatever callers say")
{
  // With estimates that are wrong in both directions, the job that has time
  // left takes the room, and the one that must start now is late.
  full_cell cell;
  const job_id mustStart = cell.Add("over", 4'000, 1'000);
  const job_id hasTime = cell.Add("under", 250, 1'000);
  CHECK(cell.First(false) == hasTime);
  CHECK(cell.First(true) == mustStart);
}

TEST_CASE("without learned figures the callers' estimates decide")
{
  full_cell cell;
  cell.Add("over", 4'000, 1'000, "runs");
  const job_id shortest = cell.Add("under", 250, 1'000, "runs");
  CHECK(cell.First(false) == shortest);
  CHECK(cell.First(true) == shortest);
}

TEST_CASE("a job that can have no more value comes after those that can")
{
  // Its tasks would take the room in which others can still be in time. Of
  // tasks of .5 s, the objective is 1 s, and the value ends after 3 s.
  full_cell cell;
  cell.mScene.mPolicy.mOrder = plan_order::UsefulFirst;
  cell.mScene.mWallMs = 10'000;
  const job_id past = cell.Add("over", 4'000, 7'200);
  const job_id late = cell.Add("over", 4'000, 8'000);
  const job_id inTime = cell.Add("over", 4'000, 9'800);
  CHECK(cell.First(true) == late);
  cell.mScene.mPolicy.mOrder = plan_order::LeastSlack;
  CHECK(cell.First(true) == past);
  CHECK(cell.First(true) != inTime);
}

TEST_CASE("a job that can have no more value still runs where there is room")
{
  // It must not wait behind work of later queues, or for ever.
  full_cell cell;
  cell.mScene.mPolicy.mOrder = plan_order::UsefulFirst;
  cell.mScene.mWallMs = 100'000;
  const job_id past = cell.Add("over", 4'000, 1'000);
  cell.Add("over", 4'000, 99'900, "runs");
  CHECK(cell.First(true) == past);
}

TEST_CASE("a job of unknown duration counts as one that can have value")
{
  // Callers' estimates don't tell when its value ends.
  full_cell cell;
  cell.mScene.mPolicy.mOrder = plan_order::UsefulFirst;
  cell.mScene.mWallMs = 100'000;
  const job_id unknown = cell.Add("over", 4'000, 1'000, "runs");
  cell.Add("over", 4'000, 99'900, "runs");
  CHECK(cell.First(true) == unknown);
}

TEST_CASE("the spread of durations decides in favour of a job's value")
{
  // Of tasks that take .25 or 1 s, some would still be in time to be of value.
  full_cell cell;
  cell.mScene.mPolicy.mOrder = plan_order::UsefulFirst;
  for (int task = 0; task < 200; ++task) {
    cell.Learn("uneven", 500, task % 2 == 0 ? 250 : 1'000);
  }
  cell.mScene.mWallMs = 10'000;
  const job_id perhaps = cell.Add("uneven", 500, 7'200);
  cell.Add("uneven", 500, 9'900);
  CHECK(cell.First(true) == perhaps);
}

} // namespace oriolewalk::flow
