#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "oriolewalk/flow/organisation_order.h"
#include "testing/flow/plan_fixture.h"

// Tests of the division of capacity among organisations when all is full.

namespace oriolewalk::flow {

namespace {

using testing::Organisation;
using testing::plan_fixture;
using testing::Step;
using testing::Worker;

// The owners of the plan's starts, in order.
std::string
Owners(const plan_fixture& aScene, const plan_result& aPlan)
{
  std::string owners;
  for (const planned_start& start : aPlan.mStarts) {
    owners += aScene.mBuilder.mState.FindJob(start.mStart.mRun.mTask.mJob)
                ->mOwner.Value();
  }
  return owners;
}

// A worker for eight tasks, and the backlog of an organisation whose jobs are
// late already beside another that has just sent its first.
struct full_cell
{
  plan_fixture mScene;

  explicit full_cell(share_rule aRule, double aWeightOfB = 1)
  {
    mScene.mPolicy.mShares = aRule;
    mScene.mBuilder.AddWorker(Worker("w", 8'000));
    mScene.mBuilder.PutOrganisations(
      { Organisation("a", 0), Organisation("b", 0, aWeightOfB) });
    for (int job = 0; job < 8; ++job) {
      mScene.mBuilder.AddOwnedJob(
        "0" + std::to_string(job), "a", { Step(2, 1'000) });
    }
    mScene.mWallMs = 20'000;
    job_spec fresh;
    fresh.mSteps = { Step(8, 1'000) };
    mScene.mBuilder.Apply(
      submit_owned_job{ { job_id("10"),
                          *mScene.mBuilder.mState.Table().FindQueue("fees"),
                          fresh },
                        organisation_id("b") },
      mScene.mWallMs);
  }
};

} // namespace

TEST_CASE("an organisation's late backlog doesn't take another's share")
{
  // Guards against an organisation that sends more than its share, is late
  // therefore, and is served first because it is late.
  full_cell within(share_rule::WithinShare);
  const plan_result plan = within.mScene.Plan();
  const std::string owners = Owners(within.mScene, plan);
  // It exceeds its half by less than a step.
  CHECK(std::ranges::count(owners, 'a') <= 6);
  CHECK(std::ranges::count(owners, 'b') >= 2);
  full_cell dominant(share_rule::DominantShare);
  CHECK(Owners(dominant.mScene, dominant.mScene.Plan()).find('b') !=
        std::string::npos);
  full_cell none(share_rule::None);
  CHECK(Owners(none.mScene, none.mScene.Plan()) == "aaaaaaaa");
}

TEST_CASE("shares follow the weights")
{
  full_cell scene(share_rule::WithinShare, 7);
  const std::string owners = Owners(scene.mScene, scene.mScene.Plan());
  CHECK(std::ranges::count(owners, 'a') <= 2);
  CHECK(std::ranges::count(owners, 'b') >= 6);
}

TEST_CASE("what an organisation leaves of its share goes to the others")
{
  for (const share_rule rule :
       { share_rule::WithinShare, share_rule::DominantShare }) {
    plan_fixture scene;
    scene.mPolicy.mShares = rule;
    scene.mBuilder.AddWorker(Worker("w", 8'000));
    scene.mBuilder.PutOrganisations(
      { Organisation("a", 0), Organisation("b", 0, 100) });
    scene.mBuilder.AddOwnedJob("00", "a", { Step(7, 1'000) });
    scene.mBuilder.AddOwnedJob("01", "b", { Step(1, 1'000) });
    CHECK(scene.Plan().mStarts.size() == 8);
  }
}

TEST_CASE("priority goes before shares, and public queues count as nobody's")
{
  for (const share_rule rule :
       { share_rule::WithinShare, share_rule::DominantShare }) {
    plan_fixture scene;
    scene.mPolicy.mShares = rule;
    scene.mBuilder.AddWorker(Worker("w", 2'000));
    scene.mBuilder.PutOrganisations(
      { Organisation("a", 0), Organisation("b", 0, 100) });
    const job_id urgent =
      scene.mBuilder.AddOwnedJob("09", "a", { Step(1, 1'000) });
    scene.mBuilder.AddOwnedJob("00", "b", { Step(8, 1'000) }, "runs");
    const job_id open = scene.mBuilder.AddJob("08", { Step(1, 1'000) });
    const plan_result plan = scene.Plan();
    REQUIRE(plan.mStarts.size() == 2);
    const auto started = [&](const job_id& aJob) {
      return std::ranges::any_of(plan.mStarts, [&](const auto& aStart) {
        return aStart.mStart.mRun.mTask.mJob == aJob;
      });
    };
    CHECK(started(urgent));
    CHECK(started(open));
  }
}

} // namespace oriolewalk::flow
