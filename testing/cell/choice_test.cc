// The components behind placement choices: the worker index, the estimates per
// family and the health of workers.

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/cell/health.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/learning.h"
#include "oriolewalk/cell/packing.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/worker_index.h"
#include "testing/cell/fake_cell.h"

namespace oriolewalk::cell {
namespace {

TEST_CASE("the index finds a worker whenever one fits the request")
{
  const packing_policy policy = GENERATE(packing_policy(shaped_fit{}),
                                         packing_policy(best_fit{}),
                                         packing_policy(first_fit{}),
                                         packing_policy(random_fit{}));
  random_source random(3);
  worker_index index;
  std::vector<resources> free(300);
  const auto draw = [&](std::uint64_t aBound) {
    return static_cast<std::int64_t>(random.Below(aBound));
  };
  for (int round = 0; round < 3000; ++round) {
    const auto slot = static_cast<worker_slot>(random.Below(free.size()));
    free[slot] = { draw(32'001), draw(65'537), draw(5) };
    index.Set(slot, free[slot], { 32'000, 65'536, 4 });
    const resources request{ draw(33'000), draw(67'000), draw(6) };
    const worker_slot banned = 7;
    const auto found = index.Find(
      policy,
      request,
      [&](worker_slot aSlot) { return aSlot != banned; },
      random);
    bool any = false;
    for (worker_slot at = 0; at < free.size(); ++at) {
      any =
        any || (at != banned && index.Contains(at) && request.FitsIn(free[at]));
    }
    REQUIRE(found.has_value() == any);
    REQUIRE((!found || (*found != banned && request.FitsIn(free[*found]))));
  }
}

TEST_CASE("accelerators are kept for those that ask for them")
{
  worker_index index;
  random_source random(1);
  const auto all = [](worker_slot) { return true; };
  index.Set(0, { 8000, 8192, 4 }, { 8000, 8192, 4 });
  index.Set(1, { 8000, 8192, 0 }, { 8000, 8192, 0 });
  CHECK(index.Find(shaped_fit{}, { 1000, 1024, 0 }, all, random) == 1U);
  CHECK(index.Find(shaped_fit{}, { 1000, 1024, 1 }, all, random) == 0U);
}

TEST_CASE("run times and sizes are learnt by family")
{
  family_learning learning;
  job_spec spec =
    MakeSpec("taksa", job_class::Heavy, 1, { 1000, 1000, 0 }, 10'000);
  learning.OnRunEnd(spec, 60'000);
  learning.OnRunEnd(spec, 50'000);
  CHECK(learning.ExpectedMs(spec) == 10'000);
  learning.OnRunEnd(spec, 55'000);
  CHECK(learning.ExpectedMs(spec) == 60'000);
  learning.OnUsage(spec, { 500, 2000, 0 });
  CHECK(learning.CapacityToSearch(spec) == resources{ 1000, 2000, 0 });
  spec.mFamily = "other";
  CHECK(learning.ExpectedMs(spec) == 10'000);
  CHECK(learning.CapacityToSearch(spec) == spec.mEach);
}

TEST_CASE("failures on all workers count against no worker")
{
  worker_health health;
  health.SetWorkers(10);
  const time_point now;
  for (worker_slot slot = 0; slot < 10; ++slot) {
    for (int at = 0; at < 3; ++at) {
      health.OnResult(slot, "broken", true, now);
    }
  }
  for (worker_slot slot = 0; slot < 10; ++slot) {
    CHECK(health.Standing(slot, now) == worker_standing::Good);
  }
}

TEST_CASE("a bad worker is probed later and comes back when it works")
{
  worker_health health;
  health.SetWorkers(10);
  const time_point now;
  for (worker_slot slot = 1; slot < 6; ++slot) {
    health.OnResult(slot, "good", false, now);
  }
  for (int at = 0; at < 3; ++at) {
    CHECK(health.Standing(0, now) == worker_standing::Good);
    health.OnResult(0, "good", true, now);
  }
  CHECK(health.Standing(0, now) == worker_standing::Out);
  const time_point later = now + seconds(61);
  CHECK(health.Standing(0, later) == worker_standing::Probing);
  health.OnResult(0, "good", true, later);
  CHECK(health.Standing(0, later + seconds(61)) == worker_standing::Out);
  health.OnResult(0, "good", false, later + seconds(121));
  CHECK(health.Standing(0, later + seconds(121)) == worker_standing::Good);
}

TEST_CASE("reported use above the booking is not given to other tasks")
{
  // A task declares 1 GB of memory and uses 3 GB. The excess must not be given
  // to another task, although the bookings show it as free.
  fake_cell cell;
  cell.AddWorker("w0", { 8000, 4096, 0 });
  cell.Run(1000);
  const auto underdeclared = cell.Submit(
    MakeSpec("liar", job_class::Normal, 1, { 1000, 1024, 0 }, 10'000));
  cell.mUsesMb[underdeclared] = 3072;
  cell.Run(2000);
  const auto neighbour = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 1, { 1000, 2048, 0 }, 1000));
  cell.Run(5000);
  CHECK_FALSE(cell.mFirstStartMs.contains({ neighbour, 0 }));
  cell.Run(10'000);
  CHECK(cell.State(neighbour) == job_state::Succeeded);
}

TEST_CASE("a worker that restarts smaller is never booked above its size")
{
  fake_cell cell;
  cell.AddWorker("w0", { 8000, 8192, 0 });
  cell.Run(1000);
  const auto job = cell.Submit(
    MakeSpec("taksa", job_class::Normal, 8, { 1000, 512, 0 }, 5000));
  cell.Run(2000);
  fake_worker& worker = cell.mWorkers["w0"];
  worker.mRunning.clear();
  worker.mEnded.clear();
  worker.mAnnounce.mBoot = boot_id("2");
  worker.mAnnounce.mCapacity = { 3000, 8192, 0 };
  cell.Run(40'000); // Run() checks the bookings in every step.
  CHECK(cell.State(job) == job_state::Succeeded);
}

} // namespace
} // namespace oriolewalk::cell
