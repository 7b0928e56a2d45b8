#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "testing/flow/plan_fixture.h"

// Tests of the maxima of organisations in the replicated state and in plans.

namespace oriolewalk::flow {

namespace {

using testing::Organisation;
using testing::plan_fixture;
using testing::Queue;
using testing::state_builder;
using testing::Step;
using testing::Worker;

std::int64_t
Running(const flow_state& aState, const std::string& aOrganisation)
{
  const auto found = aState.Accounts().find(organisation_id(aOrganisation));
  return found == aState.Accounts().end()
           ? -1
           : found->second.mRunning.mMilliProcessors;
}

std::size_t
StartsOf(const plan_result& aPlan, const job_id& aJob)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aPlan.mStarts, [&](const planned_start& aStart) {
      return aStart.mStart.mRun.mTask.mJob == aJob;
    }));
}

bool
WaitsFor(const plan_result& aPlan, const job_id& aJob, wait_cause aCause)
{
  return std::ranges::any_of(aPlan.mWaits, [&](const waiting_step& aStep) {
    return aStep.mStep.mJob == aJob && aStep.mCause == aCause;
  });
}

queue_row
AdvisedQueue(const std::string& aName, int aPriority)
{
  queue_row queue = Queue(aName, aPriority);
  queue.mAdvice = advice_timing{ 30, 0.4, 2'000 };
  return queue;
}

} // namespace

TEST_CASE("the state refuses a start above an organisation's maximum")
{
  // Guards against two plans, or two leaders, that each start what fits by
  // itself.
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 2'000) });
  const job_id job = builder.AddOwnedJob("00", "a", { Step(3, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  const auto start = [&](std::uint32_t aIndex) {
    return builder.Start(state_builder::Run(job, 1, aIndex), worker)
      .mStarted.size();
  };
  CHECK(start(0) == 1);
  CHECK(start(1) == 1);
  CHECK(start(2) == 0);
  CHECK(Running(builder.mState, "a") == 2'000);
  builder.End(state_builder::Run(job, 1, 0), worker, run_outcome::Done);
  CHECK(start(2) == 1);
}

TEST_CASE("what an organisation has running survives a restore")
{
  // Guards against a leader that starts from an empty account after a restart.
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 2'000) });
  const job_id job = builder.AddOwnedJob("00", "a", { Step(3, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1, 0), worker);
  builder.Start(state_builder::Run(job, 1, 1), worker);
  state_builder restored;
  REQUIRE(restored.mState.Restore(builder.mState.Save()));
  CHECK(restored.mState.Save() == builder.mState.Save());
  CHECK(Running(restored.mState, "a") == 2'000);
  CHECK(restored.mState.FindJob(job)->mOwner == organisation_id("a"));
  CHECK(restored.mState.OwnerOfKey("a-key") != nullptr);
  CHECK(restored.Start(state_builder::Run(job, 1, 2), worker).mStarted.empty());
}

TEST_CASE("a snapshot without organisations is as it was before them")
{
  // Guards against a process of an earlier version that can't read a snapshot
  // which a leader of this one sends it.
  state_builder builder;
  const job_id job = builder.AddJob("00", { Step(2, 1'000) });
  const bytes before = builder.mState.Save();
  builder.PutOrganisations({ Organisation("a", 0) });
  builder.AddOwnedJob("01", "a", { Step(1, 1'000) });
  const bytes with = builder.mState.Save();
  // The new parts stand at the end.
  state_builder restored;
  REQUIRE(restored.mState.Restore(before));
  CHECK(restored.mState.Save() == before);
  CHECK(!restored.mState.Access());
  CHECK(restored.mState.FindJob(job) != nullptr);
  REQUIRE(restored.mState.Restore(with));
  CHECK(restored.mState.Save() == with);
  CHECK(restored.mState.Access().has_value());
}

TEST_CASE("runs count until there is proof that they don't run")
{
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 1'000) });
  const job_id job = builder.AddOwnedJob("00", "a", { Step(3, 1'000) });
  worker_description description = Worker("w");
  description.mProcessStartMs = 1'000;
  const worker_number before = builder.AddWorker(description);
  builder.Start(state_builder::Run(job, 1), before);
  // The worker restarts under its id: a start may still be on its way.
  description.mProcessStartMs = 2'000;
  const worker_number after = builder.AddWorker(description);
  CHECK(Running(builder.mState, "a") == 1'000);
  // The job is cancelled: its run is still being stopped.
  builder.Apply(cancel_job{ job });
  CHECK(Running(builder.mState, "a") == 1'000);
  builder.Apply(drop_runs{ after, { state_builder::Run(job, 1) } });
  CHECK(Running(builder.mState, "a") == 0);
}

TEST_CASE("a lowered maximum stops new starts and cuts nothing")
{
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 3'000) });
  const job_id job = builder.AddOwnedJob("00", "a", { Step(3, 1'000) });
  const worker_number worker = builder.AddWorker(Worker("w"));
  builder.Start(state_builder::Run(job, 1, 0), worker);
  builder.Start(state_builder::Run(job, 1, 1), worker);
  builder.PutOrganisations({ Organisation("a", 1'000) });
  CHECK(Running(builder.mState, "a") == 2'000);
  CHECK(builder.Start(state_builder::Run(job, 1, 2), worker).mStarted.empty());
  // An organisation that was removed keeps its last maximum, without its keys.
  builder.PutOrganisations({ Organisation("b", 0) });
  CHECK(builder.Start(state_builder::Run(job, 1, 2), worker).mStarted.empty());
  CHECK(builder.mState.OwnerOfKey("a-key") == nullptr);
  builder.PutOrganisations({ Organisation("a", 3'000) });
  CHECK(builder.Start(state_builder::Run(job, 1, 2), worker).mStarted.size() ==
        1);
}

TEST_CASE("the state starts a gang whole or not at all within its maximum")
{
  // Guards against members that wait for others which their maximum, lowered
  // since the plan, doesn't allow.
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 2'000) });
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  const job_id job = builder.AddOwnedJob("00", "a", { gang });
  const worker_number worker = builder.AddWorker(Worker("w"));
  start_runs starts;
  for (std::uint32_t index = 0; index < 3; ++index) {
    starts.mRuns.push_back({ state_builder::Run(job, 1, index), worker });
  }
  CHECK(builder.Apply(starts).mStarted.empty());
  builder.PutOrganisations({ Organisation("a", 3'000) });
  CHECK(builder.Apply(starts).mStarted.size() == 3);
}

TEST_CASE("an id belongs to the organisation that submitted it first")
{
  state_builder builder;
  builder.PutOrganisations({ Organisation("a", 0), Organisation("b", 0) });
  builder.AddOwnedJob("00", "a", { Step(1, 1'000) });
  const submit_job again{ job_id("00"),
                          *builder.mState.Table().FindQueue("fees"),
                          { "", { Step(1, 1'000) }, {} } };
  const auto submit = [&](const std::string& aOwner) {
    return builder.Apply(submit_owned_job{ again, organisation_id(aOwner) })
      .mError;
  };
  CHECK(!submit("a"));
  REQUIRE(submit("b"));
  CHECK(submit("b")->mCode == error_code::Conflict);
  REQUIRE(builder.Apply(again).mError);
  // An organisation that was removed before the job was committed has none.
  const submit_job other{ job_id("01"), again.mQueue, again.mSpec };
  CHECK(builder.Apply(submit_owned_job{ other, organisation_id("gone") })
          .mError->mCode == error_code::NotFound);
  CHECK(builder.mState.FindJob(job_id("01")) == nullptr);
}

TEST_CASE("a plan starts a wide step in waves within the maximum")
{
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations({ Organisation("a", 3'000) });
  const job_id job = scene.mBuilder.AddOwnedJob("00", "a", { Step(8, 1'000) });
  const plan_result plan = scene.Plan();
  CHECK(plan.mStarts.size() == 3);
  CHECK(plan.mWaiting == 5);
  CHECK(WaitsFor(plan, job, wait_cause::Quota));
  // Starts that aren't applied yet count.
  for (const planned_start& planned : plan.mStarts) {
    scene.mProposed[planned.mStart.mRun.mTask] = planned.mStart.mWorker;
  }
  const plan_result next = scene.Plan();
  CHECK(next.mStarts.empty());
  CHECK(WaitsFor(next, job, wait_cause::Quota));
}

TEST_CASE("an organisation at its maximum delays nobody")
{
  // Guards against a backlog that reserves or preempts capacity, or asks the
  // policy service, for tasks that may not start.
  plan_fixture scene({ AdvisedQueue("fees", 0), Queue("runs", 2) });
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w", 4'000));
  scene.mBuilder.PutOrganisations(
    { Organisation("full", 1'000), Organisation("other", 0) });
  const job_id running =
    scene.mBuilder.AddOwnedJob("00", "full", { Step(1, 1'000) }, "runs");
  scene.mBuilder.Start(state_builder::Run(running, 1), worker);
  const job_id low =
    scene.mBuilder.AddOwnedJob("01", "other", { Step(3, 1'000) }, "runs");
  for (std::uint32_t index = 0; index < 2; ++index) {
    scene.mBuilder.Start(state_builder::Run(low, 1, index), worker);
  }
  const job_id urgent =
    scene.mBuilder.AddOwnedJob("02", "full", { Step(50, 1'000) });
  scene.Approve(urgent, { worker });
  const plan_result plan = scene.Plan();
  CHECK(StartsOf(plan, low) == 1);
  CHECK(StartsOf(plan, urgent) == 0);
  CHECK(plan.mPreemptions.empty());
  CHECK(plan.mQueries.empty());
  CHECK(plan.mReserved == cell::resources{});
  CHECK(WaitsFor(plan, urgent, wait_cause::Quota));
}

TEST_CASE("a large backlog at its maximum doesn't hide other organisations")
{
  // Guards against a plan that lists no more tasks than it may consider, all of
  // them of one organisation.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations(
    { Organisation("full", 1'000), Organisation("other", 0) });
  const job_id running =
    scene.mBuilder.AddOwnedJob("00", "full", { Step(6'000, 1'000) });
  scene.mBuilder.Start(state_builder::Run(running, 1), worker);
  const job_id other =
    scene.mBuilder.AddOwnedJob("01", "other", { Step(2, 1'000) });
  CHECK(StartsOf(scene.Plan(), other) == 2);
}

TEST_CASE("a gang gets its organisation's quota although smaller tasks wait")
{
  // Guards against small tasks of the organisation that take each part of its
  // quota as soon as it is free.
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations({ Organisation("a", 4'000) });
  const job_id small =
    scene.mBuilder.AddOwnedJob("00", "a", { Step(9, 1'000) }, "runs");
  for (std::uint32_t index = 0; index < 3; ++index) {
    scene.mBuilder.Start(state_builder::Run(small, 1, index), worker);
  }
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  const job_id whole = scene.mBuilder.AddOwnedJob("01", "a", { gang });
  CHECK(scene.Plan().mStarts.empty());
  scene.mBuilder.End(
    state_builder::Run(small, 1, 0), worker, run_outcome::Done);
  scene.mBuilder.End(
    state_builder::Run(small, 1, 1), worker, run_outcome::Done, 2);
  CHECK(StartsOf(scene.Plan(), whole) == 3);
}

TEST_CASE("a task above the maximum waits for its organisation's others to end")
{
  plan_fixture scene;
  const worker_number worker = scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations({ Organisation("a", 2'000) });
  const job_id small =
    scene.mBuilder.AddOwnedJob("00", "a", { Step(5, 1'000) }, "runs");
  scene.mBuilder.Start(state_builder::Run(small, 1, 0), worker);
  const job_id large =
    scene.mBuilder.AddOwnedJob("01", "a", { Step(2, 3'000) });
  CHECK(scene.Plan().mStarts.empty()); // small tasks don't keep it waiting
  scene.mBuilder.End(
    state_builder::Run(small, 1, 0), worker, run_outcome::Done);
  const plan_result plan = scene.Plan();
  CHECK(StartsOf(plan, large) == 1);
  CHECK(StartsOf(plan, small) == 0);
}

TEST_CASE("a gang above its organisation's maximum leaves the quota to others")
{
  plan_fixture scene;
  scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations({ Organisation("a", 2'000) });
  step_spec gang = Step(3, 1'000);
  gang.mGang = true;
  const job_id never = scene.mBuilder.AddOwnedJob("00", "a", { gang });
  const job_id small =
    scene.mBuilder.AddOwnedJob("01", "a", { Step(5, 1'000) }, "runs");
  const plan_result plan = scene.Plan();
  CHECK(StartsOf(plan, never) == 0);
  CHECK(WaitsFor(plan, never, wait_cause::Quota));
  CHECK(StartsOf(plan, small) == 2);
}

TEST_CASE("an urgent step's quota isn't given to lower queues while it waits")
{
  // Guards against long tasks that take the quota while an urgent step of the
  // same organisation waits for its verdict.
  plan_fixture scene({ AdvisedQueue("fees", 0), Queue("runs", 2) });
  scene.mBuilder.AddWorker(Worker("w"));
  scene.mBuilder.PutOrganisations({ Organisation("a", 3'000) });
  const job_id urgent =
    scene.mBuilder.AddOwnedJob("00", "a", { Step(2, 1'000) });
  const job_id other =
    scene.mBuilder.AddOwnedJob("01", "a", { Step(3, 1'000) }, "runs");
  const plan_result plan = scene.Plan();
  CHECK(StartsOf(plan, urgent) == 0); // no verdict yet
  CHECK(StartsOf(plan, other) == 1);
}

} // namespace oriolewalk::flow
