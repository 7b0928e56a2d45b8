#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
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
  // A worker is cut off and goes on running until its lease ends. The caller
  // sees its repeatable task move, never twice at the same moment.
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

} // namespace
} // namespace oriolewalk::cell
