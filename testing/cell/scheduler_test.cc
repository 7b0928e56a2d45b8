#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/protocol.h"
#include "testing/cell/fake_cell.h"

namespace oriolewalk::cell {
namespace {

TEST_CASE("a batch job runs from submit to its end")
{
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  const auto job = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 20, { 1000, 512, 0 }, 1000));
  cell.Run(1500);
  CHECK(cell.State(job) == job_state::Running);
  cell.Run(15'000);
  CHECK(cell.State(job) == job_state::Succeeded);
  for (std::uint32_t at = 0; at < 20; ++at) {
    CHECK(cell.mStarts[{ job, at }] == 1);
  }
}

TEST_CASE("work of a lost worker runs again only after the lease lapsed")
{
  // A disconnected worker runs its tasks until its lease expires. The
  // repeatable task must move, but two copies must never run at once.
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  cell.Run(1000);
  const auto job = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 1, { 1000, 512, 0 }, 60'000));
  cell.Run(2000);
  REQUIRE(cell.Copies({ job, 0 }) == 1);
  cell.AddWorker("w1", { 4000, 4096, 0 });
  cell.mWorkers["w0"].mSilent = true;
  for (int step = 0; step < 150; ++step) {
    cell.Run(100);
    REQUIRE(cell.Copies({ job, 0 }) <= 1);
  }
  CHECK(cell.mWorkers["w1"].mRunning.contains({ job, 0 }));
  CHECK(cell.mStarts[{ job, 0 }] == 2);
}

TEST_CASE("a new leader waits a lease before it declares a worker lost")
{
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  cell.Run(1000);
  cell.mWorkers["w0"].mSilent = true;
  cell.Run(7000);
  cell.mScheduler.BecomeLeader(cell.mState, cell.Now());
  cell.Run(8000);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mPresent);
  cell.Run(1000);
  CHECK_FALSE(cell.mState.FindWorker(worker_id("w0"))->mPresent);
}

TEST_CASE("no lease is given while a worker's loss is proposed")
{
  // The worker returns when its loss is in the log but not applied yet. A
  // lease granted now would let it run tasks that are about to be rescheduled.
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  cell.Run(1000);
  instant later = cell.Now();
  later.mNow += seconds(20);
  const auto commands = cell.mScheduler.Plan(cell.mState, cell.mPolicy, later);
  REQUIRE(commands.size() == 1);
  REQUIRE(std::holds_alternative<workers_lost>(commands.front()));
  const worker_poll poll{ boot_id("1"), {}, {} };
  const auto sendPoll = [&] {
    return cell.mScheduler.Poll(cell.mState, worker_id("w0"), poll, later);
  };
  CHECK(sendPoll().mAnnounceAgain);
  CHECK(sendPoll().mLease == milliseconds(0));
  cell.mScheduler.OnDropped(cell.mState, commands.front(), later);
  CHECK_FALSE(sendPoll().mAnnounceAgain);
}

TEST_CASE("a cancelled task that its worker doesn't show is stopped there")
{
  // The reply with the start was lost, then the job was cancelled. The worker
  // must get a stop rather than a start, so that the cancellation completes.
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  cell.Run(1000);
  const auto job = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 1, { 1000, 512, 0 }, 1000));
  const task_id task{ job, 0 };
  const std::int64_t wallMs = cell.Now().mWallMs;
  cell.mState.Apply(
    start_tasks{ { { task, 1, worker_id("w0"), boot_id("1") } } }, wallMs);
  cell.mState.Apply(cancel_job{ job }, wallMs);
  const auto reply = cell.mScheduler.Poll(
    cell.mState, worker_id("w0"), { boot_id("1"), {}, {} }, cell.Now());
  REQUIRE(reply.mCommands.size() == 1);
  CHECK(reply.mCommands.front().mKind == worker_command_kind::Stop);
}

TEST_CASE("a start that was refused when applied is planned again")
{
  fake_cell cell;
  cell.AddWorker("w0", { 4000, 4096, 0 });
  cell.Run(1000);
  cell.Submit(MakeSpec("taksa", job_class::Normal, 1, { 1000, 512, 0 }, 1000));
  const auto plan = [&] {
    return cell.mScheduler.Plan(cell.mState, cell.mPolicy, cell.Now());
  };
  const auto apply = [&](const cell_command& aCommand) {
    auto outcome = cell.mState.Apply(aCommand, cell.Now().mWallMs);
    cell.mScheduler.OnApplied(cell.mState, aCommand, outcome, cell.Now());
    return outcome;
  };
  const auto first = plan();
  REQUIRE(first.size() == 1);
  CHECK(plan().empty()); // It is in flight.
  apply(drain_worker{ worker_id("w0"), true, 0 });
  CHECK(apply(first.front()).mRefusal);
  CHECK(plan().empty());
  apply(drain_worker{ worker_id("w0"), false, 0 });
  CHECK(plan().size() == 1);
}

} // namespace
} // namespace oriolewalk::cell
