// Load patterns, checked by the results that the submitters see.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "testing/cell/fake_cell.h"

namespace oriolewalk::cell {
namespace {

constexpr resources kWorker{ 8000, 16'384, 0 };
constexpr std::int64_t kUrgentBoundMs = 4200;

// Adds aCount workers, three per rack, with racks in two data centres.
void
AddWorkers(fake_cell& aCell, int aCount)
{
  for (int at = 0; at < aCount; ++at) {
    const int rack = at / 3;
    aCell.AddWorker("w" + std::to_string(at),
                    kWorker,
                    rack % 2 == 0 ? "a" : "b",
                    "r" + std::to_string(rack));
  }
  aCell.Run(1000);
}

TEST_CASE("a live peak starts in time on a cell that a night batch has filled")
{
  // Heavy settlement runs fill every worker when fee checks arrive. Each check
  // must start within 4.2 s: batch tasks are checkpointed, or stopped if they
  // are repeatable, and must still succeed afterwards.
  const bool checkpoints = GENERATE(true, false);
  fake_cell cell;
  AddWorkers(cell, 6);
  job_spec batch =
    MakeSpec("taksa", job_class::Heavy, 48, { 1000, 2048, 0 }, 60'000);
  batch.mCheckpointable = checkpoints;
  const auto night = cell.Submit(batch);
  cell.Run(5000);
  REQUIRE(cell.mState.FindJob(night)->mPlaced == 48);
  std::map<job_number, std::int64_t> checks;
  for (int at = 0; at < 20; ++at) {
    checks[cell.Submit(MakeSpec(
      "tamarin", job_class::Urgent, 1, { 1000, 1024, 0 }, 1000))] = cell.mMs;
    cell.Run(100);
  }
  cell.Run(10'000);
  for (const auto& [job, submittedMs] : checks) {
    REQUIRE(cell.mFirstStartMs.contains({ job, 0 }));
    CHECK(cell.mFirstStartMs[{ job, 0 }] - submittedMs <= kUrgentBoundMs);
    CHECK(cell.State(job) == job_state::Succeeded);
  }
  cell.Run(300'000);
  CHECK(cell.State(night) == job_state::Succeeded);
}

TEST_CASE("work that must not run twice isn't stopped for urgent work")
{
  fake_cell cell;
  AddWorkers(cell, 1);
  job_spec batch =
    MakeSpec("taksa", job_class::Heavy, 2, { 4000, 2048, 0 }, 20'000);
  batch.mRepeatable = false;
  const auto settlement = cell.Submit(batch);
  cell.Run(3000);
  const auto check = cell.Submit(
    MakeSpec("tamarin", job_class::Urgent, 1, { 2000, 1024, 0 }, 1000));
  cell.Run(4000);
  // It is throttled instead, and returns to its full size afterwards.
  CHECK(cell.mFirstStartMs.contains({ check, 0 }));
  cell.Run(10'000);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mBooked.mMilliProcessors ==
        8000);
  cell.Run(20'000);
  CHECK(cell.State(settlement) == job_state::Succeeded);
  CHECK(cell.mStarts[{ settlement, 0 }] == 1);
}

TEST_CASE("a gang starts among small jobs that never stop coming")
{
  // Small tasks fill any free capacity at once, so the five whole workers of
  // a gang would never be free together without reservations for it. Two gangs
  // submitted at once must both run, one after the other.
  fake_cell cell;
  AddWorkers(cell, 6);
  job_spec gang = MakeSpec("taksa", job_class::Normal, 5, kWorker, 5000);
  gang.mKind = job_kind::Gang;
  job_number first;
  job_number second;
  for (int atSecond = 0; atSecond < 240; ++atSecond) {
    for (int at = 0; at < 10; ++at) {
      cell.Submit(
        MakeSpec("small", job_class::Normal, 1, { 1500, 1024, 0 }, 4000));
    }
    if (atSecond == 10) {
      first = cell.Submit(gang);
      second = cell.Submit(gang);
    }
    cell.Run(1000);
  }
  CHECK(cell.State(first) == job_state::Succeeded);
  CHECK(cell.State(second) == job_state::Succeeded);
}

TEST_CASE("a hot organisation doesn't hold up the others")
{
  // One organisation submits far more than the cell can run. A later job of
  // another organisation must still start as soon as any task ends.
  fake_cell cell;
  AddWorkers(cell, 3);
  for (int at = 0; at < 50; ++at) {
    cell.Submit(
      MakeSpec("hot", job_class::Normal, 20, { 1000, 1024, 0 }, 2000));
  }
  cell.Run(5000);
  const auto late = cell.Submit(
    MakeSpec("calm", job_class::Normal, 4, { 1000, 1024, 0 }, 2000));
  const std::int64_t submittedMs = cell.mMs;
  cell.Run(10'000);
  for (std::uint32_t at = 0; at < 4; ++at) {
    CHECK(cell.mFirstStartMs[{ late, at }] - submittedMs < 5000);
  }
}

TEST_CASE("an organisation's share of the cell follows its weight")
{
  fake_cell cell;
  cell.mPolicy.mVersion = 1;
  cell.mPolicy.mWeights[organisation_id("gold")] = 3;
  AddWorkers(cell, 3);
  cell.Submit(MakeSpec("gold", job_class::Normal, 300, { 1000, 512, 0 }, 2000));
  cell.Submit(MakeSpec("tin", job_class::Normal, 300, { 1000, 512, 0 }, 2000));
  cell.Run(8000);
  std::map<std::string, int> placed;
  for (const auto& [number, job] : cell.mState.Jobs()) {
    placed[job.mSpec.mOrganisation.Value()] += static_cast<int>(job.mPlaced);
  }
  CHECK(placed["gold"] >= 16);
  CHECK(placed["tin"] >= 4);
}

TEST_CASE("a worker that fails all it starts is taken out")
{
  // The failing worker is the emptiest one and attracts all new tasks, which
  // fail there at once. After a few starts it must get no more tasks, and
  // every job must still succeed.
  fake_cell cell;
  AddWorkers(cell, 6);
  cell.mWorkers["w2"].mFailsAll = true;
  std::vector<job_number> jobs;
  for (int at = 0; at < 160; ++at) {
    job_spec spec =
      MakeSpec("taksa", job_class::Normal, 1, { 2000, 1024, 0 }, 2000);
    spec.mFamily = "f" + std::to_string(at % 5);
    jobs.push_back(cell.Submit(spec));
    cell.Run(at % 8 == 7 ? 500 : 0);
  }
  cell.Run(20'000);
  int failed = 0;
  for (const job_number job : jobs) {
    CHECK(cell.State(job) == job_state::Succeeded);
    failed += cell.mStarts[{ job, 0 }] - 1;
  }
  CHECK(failed <= 8);
  CHECK(failed >= 1);
}

TEST_CASE("a job that fails everywhere takes no worker out of service")
{
  fake_cell cell;
  AddWorkers(cell, 6);
  job_spec broken =
    MakeSpec("taksa", job_class::Normal, 12, { 1000, 1024, 0 }, 1000);
  broken.mFamily = "broken";
  const auto job = cell.Submit(broken);
  cell.mFailing.insert(job);
  cell.Run(60'000);
  CHECK(cell.State(job) == job_state::Failed);
  const auto after =
    cell.Submit(MakeSpec("taksa", job_class::Normal, 6, kWorker, 1000));
  cell.Run(3000);
  CHECK(cell.State(after) == job_state::Succeeded);
}

TEST_CASE("a backfilled task that overruns is ended when a reservation is due")
{
  // A job that declares 5 s but runs for minutes backfills the reservation of
  // a large job. The large job must still start when its reservation is due.
  fake_cell cell;
  AddWorkers(cell, 1);
  job_spec first =
    MakeSpec("taksa", job_class::Normal, 1, { 6000, 1024, 0 }, 20'000);
  first.mRepeatable = false;
  cell.Submit(first);
  cell.Run(1000);
  const auto large =
    cell.Submit(MakeSpec("tamarin", job_class::Normal, 1, kWorker, 1000));
  cell.Run(1000);
  const auto overrunning = cell.Submit(
    MakeSpec("liar", job_class::Normal, 1, { 2000, 1024, 0 }, 5000));
  cell.mRunsMs[overrunning] = 200'000;
  cell.Run(5000);
  CHECK(cell.mFirstStartMs.contains({ overrunning, 0 }));
  cell.Run(20'000);
  REQUIRE(cell.mFirstStartMs.contains({ large, 0 }));
  CHECK(cell.mFirstStartMs[{ large, 0 }] <= 24'000);
}

TEST_CASE("a lost rack is declared lost at once and its tasks run elsewhere")
{
  // Three workers of a rack go silent at once. One command declares them lost.
  // Replicas and repeatable tasks run again elsewhere; tasks that must not run
  // twice end as unknown.
  fake_cell cell;
  AddWorkers(cell, 9);
  job_spec service =
    MakeSpec("taksa", job_class::Urgent, 3, { 1000, 1024, 0 }, 0);
  service.mKind = job_kind::Service;
  service.mExpectedMs = 1'000'000;
  const auto ledger = cell.Submit(service);
  job_spec once =
    MakeSpec("taksa", job_class::Normal, 36, { 1000, 512, 0 }, 100'000);
  once.mRepeatable = false;
  const auto batch = cell.Submit(once);
  cell.Run(3000);
  std::set<std::string> racks;
  std::set<std::string> centres;
  for (const task_record& task : cell.mState.FindJob(ledger)->mTasks) {
    racks.insert(cell.mState.Workers()[task.mWorker].mRack.Value());
    centres.insert(cell.mState.Workers()[task.mWorker].mDataCentre.Value());
  }
  CHECK(racks.size() == 3);
  CHECK(centres.size() == 2);
  std::size_t held = 0;
  for (const char* id : { "w3", "w4", "w5" }) {
    cell.mWorkers[id].mSilent = true;
    held += cell.mWorkers[id].mRunning.size();
  }
  cell.Run(14'000);
  CHECK(cell.mState.FindJob(ledger)->mPlaced == 3);
  std::size_t unknown = 0;
  for (const task_record& task : cell.mState.FindJob(batch)->mTasks) {
    unknown += task.mState == task_state::Unknown ? 1 : 0;
  }
  CHECK(unknown == held - 1);
}

TEST_CASE("a wave of cancellations doesn't hold up placement")
{
  fake_cell cell;
  AddWorkers(cell, 6);
  std::vector<job_number> wave;
  wave.reserve(5000);
  for (int at = 0; at < 5000; ++at) {
    wave.push_back(cell.Submit(
      MakeSpec("taksa", job_class::Normal, 1, { 1000, 1024, 0 }, 30'000)));
  }
  cell.Run(3000);
  for (const job_number job : wave) {
    cell.Do(cancel_job{ job });
  }
  const auto check = cell.Submit(
    MakeSpec("tamarin", job_class::Normal, 1, { 1000, 1024, 0 }, 1000));
  const std::int64_t submittedMs = cell.mMs;
  cell.Run(5000);
  CHECK(cell.mFirstStartMs[{ check, 0 }] - submittedMs <= 2000);
  for (const job_number job : wave) {
    const bool started = cell.mStarts.contains({ job, 0 });
    const job_state state = cell.State(job);
    const job_state expected =
      started ? job_state::Stopped : job_state::Cancelled;
    if (state != expected) {
      FAIL(ToString(job) << " is " << ToString(state));
    }
  }
}

TEST_CASE("a draining worker gives up its replicas and takes nothing new")
{
  fake_cell cell;
  AddWorkers(cell, 6);
  job_spec service =
    MakeSpec("taksa", job_class::Normal, 6, { 1000, 1024, 0 }, 1'000'000);
  service.mKind = job_kind::Service;
  const auto ledger = cell.Submit(service);
  cell.Run(3000);
  cell.Do(drain_worker{ worker_id("w0"), true, 0 });
  std::uint32_t fewest = 6;
  for (int step = 0; step < 60; ++step) {
    cell.Run(100);
    fewest = std::min(fewest, cell.mState.FindJob(ledger)->mPlaced);
  }
  CHECK(fewest >= 5);
  CHECK(cell.mState.FindJob(ledger)->mPlaced == 6);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mTasks.empty());
}

TEST_CASE("heavy work isn't starved by a flood of more urgent work")
{
  scheduler_options options;
  options.mHeavyBound = milliseconds(20'000);
  fake_cell cell(options);
  AddWorkers(cell, 2);
  job_number heavy;
  for (int at = 0; at < 600; ++at) {
    cell.Submit(
      MakeSpec("live", job_class::Normal, 10, { 2000, 1024, 0 }, 1000));
    if (at == 20) {
      heavy = cell.Submit(
        MakeSpec("taksa", job_class::Heavy, 1, { 6000, 1024, 0 }, 2000));
    }
    cell.Run(100);
  }
  CHECK(cell.mFirstStartMs.contains({ heavy, 0 }));
}

TEST_CASE("a waiting job is explained worker by worker")
{
  fake_cell cell;
  AddWorkers(cell, 3);
  cell.AddWorker("big", { 64'000, 65'536, 2 });
  cell.Run(1000);
  cell.mWorkers["w0"].mSilent = true;
  cell.Do(drain_worker{ worker_id("w1"), true, 0 });
  job_spec filler =
    MakeSpec("taksa", job_class::Normal, 1, { 64'000, 1024, 0 }, 1'000'000);
  filler.mRepeatable = false;
  cell.Submit(filler);
  cell.Run(11'000);
  const auto job = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 1, { 10'000, 1024, 1 }, 1000));
  cell.Run(1000);
  const explanation why = cell.mScheduler.Explain(cell.mState, job, cell.Now());
  CHECK(why.mState == job_state::Waiting);
  std::map<std::string, std::uint32_t> groups;
  for (const worker_group& group : why.mWorkers) {
    groups[group.mReason] = group.mCount;
  }
  CHECK(groups == std::map<std::string, std::uint32_t>{
                    { "absent", 1 },
                    { "draining", 1 },
                    { "too small: accelerators", 1 },
                    { "no room now: processors", 1 } });
}

} // namespace
} // namespace oriolewalk::cell
