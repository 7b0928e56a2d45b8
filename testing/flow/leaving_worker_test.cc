#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Workers that drain, deregister and end. The runs there go on until the
// process ends, which is when it receives the answer to its deregistration, or
// seconds later without one.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kJob = "00000000000000aa";
// How long a worker goes on without an answer to its deregistration.
constexpr milliseconds kEndsAnyway{ 3'500 };

// One task that runs for long at worker 0, which drains; worker 1 is idle.
struct leaving_fixture
{
  fake_group mGroup;

  explicit leaving_fixture(std::uint64_t aSeed)
    : mGroup(3, 3, aSeed)
  {
    const std::size_t first = mGroup.AddWorker("w0", 0.02);
    mGroup.Worker(first).mTaskSize = Step(1, 500).mSize;
    mGroup.Worker(first).mWorkTime = seconds(40);
    mGroup.Run(seconds(2));
    mGroup.Submit(kJob, { Step(1, 500) });
    REQUIRE(mGroup.RunUntil([&]() { return Starts() == 1; }, seconds(2)));
    const std::size_t second = mGroup.AddWorker("w1", 0.02);
    mGroup.Worker(second).mTaskSize = Step(1, 500).mSize;
    mGroup.Run(seconds(1));
    mGroup.Worker(first).mDraining = true;
    mGroup.Run(seconds(3));
  }

  [[nodiscard]] std::size_t Starts() { return mGroup.Oracle().Starts(); }

  // Whether it is answered.
  bool Deregister()
  {
    const worker_description& own = mGroup.Worker(0).Description();
    return mGroup
      .SendRequest(worker_deregistration{ own.mId, own.mProcessStartMs })
      .has_value();
  }

  void EndProcess() { mGroup.Worker(0).Crash(mGroup.Now()); }

  bool IsKnown()
  {
    return mGroup.Core(*mGroup.Leader()).State().NumberOf(worker_id("w0")) != 0;
  }

  void CheckEndsOnce()
  {
    CHECK(mGroup.RunUntil([&]() { return mGroup.StateOf(kJob) == "done"; },
                          seconds(12)));
    CHECK(Starts() == 2);
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
};

} // namespace

TEST_CASE("a task starts nowhere else while a deregistered worker runs it")
{
  // Guards against a task that runs twice: nothing reaches its worker when it
  // deregisters, so that it goes on until it ends without an answer.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    leaving_fixture fixture(seed);
    fixture.mGroup.CutWorker(0, true);
    fixture.mGroup.Run(milliseconds(30 * seed));
    fixture.Deregister();
    CHECK(fixture.Starts() == 1);
    fixture.mGroup.Run(kEndsAnyway);
    fixture.EndProcess();
    fixture.CheckEndsOnce();
  }
}

TEST_CASE("a new leader starts no task while a deregistered worker runs it")
{
  // Guards against a task that runs twice: the leader that took the
  // deregistration is lost, and its successor knows nothing of it.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    leaving_fixture fixture(seed);
    fixture.mGroup.CutWorker(0, true);
    fixture.Deregister();
    fixture.mGroup.Run(milliseconds(70 * seed));
    const std::size_t leader = *fixture.mGroup.Leader();
    fixture.mGroup.Kill(leader);
    fixture.mGroup.Run(kEndsAnyway);
    fixture.mGroup.Restart(leader);
    fixture.EndProcess();
    fixture.CheckEndsOnce();
  }
}

TEST_CASE("a task of a worker that leaves starts elsewhere without its lease")
{
  // Guards against tasks that wait for seconds at each planned end: the worker
  // can be reached, stops them and lists their ends before it is answered.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    leaving_fixture fixture(seed);
    CHECK(fixture.Deregister());
    CHECK_FALSE(fixture.IsKnown());
    fixture.EndProcess();
    CHECK(fixture.mGroup.RunUntil([&]() { return fixture.Starts() == 2; },
                                  milliseconds(100)));
    fixture.CheckEndsOnce();
  }
}

TEST_CASE("a worker without runs is removed when it deregisters")
{
  // Guards against planned ends that wait for an answer of a worker on which
  // nothing runs.
  leaving_fixture fixture(1);
  fixture.mGroup.Worker(1).mDraining = true;
  fixture.mGroup.Run(seconds(2));
  fixture.mGroup.CutWorker(1, true);
  const worker_description& own = fixture.mGroup.Worker(1).Description();
  CHECK(fixture.mGroup.SendRequest(
    worker_deregistration{ own.mId, own.mProcessStartMs }));
  CHECK(
    fixture.mGroup.Core(*fixture.mGroup.Leader()).State().NumberOf(own.mId) ==
    0);
}

TEST_CASE("a deregistration is answered although the worker can't be reached")
{
  // Guards against workers that end without an answer because the leader waits
  // for the expiry of their leases.
  leaving_fixture fixture(1);
  fixture.mGroup.CutWorker(0, true);
  CHECK_FALSE(fixture.Deregister()); // not at once
  fixture.mGroup.Run(milliseconds(400));
  CHECK(fixture.mGroup.Count("worker.unconfirmed") == 1);
  CHECK(fixture.IsKnown());
  CHECK(fixture.Starts() == 1);
  fixture.EndProcess();
  fixture.CheckEndsOnce();
  CHECK_FALSE(fixture.IsKnown());
}

TEST_CASE("a worker that deregisters without draining starts nothing more")
{
  // Guards against a task that runs twice or is lost: its start is committed
  // after the deregistration arrived.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    fake_group group(3, 3, seed);
    for (const char* id : { "w0", "w1" }) {
      const std::size_t made = group.AddWorker(id, 0.02);
      group.Worker(made).mTaskSize = Step(1, 500).mSize;
      group.Worker(made).mWorkTime = seconds(1);
    }
    group.Run(seconds(2));
    group.Submit(kJob, { Step(6, 500) });
    group.Run(milliseconds(5 * (seed % 8)));
    const worker_description own = group.Worker(0).Description();
    group.SendRequest(worker_deregistration{ own.mId, own.mProcessStartMs });
    group.Run(seconds(seed % 2 == 0 ? 0 : 3));
    group.Worker(0).Crash(group.Now());
    CHECK(group.RunUntil([&]() { return group.StateOf(kJob) == "done"; },
                         seconds(15)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

} // namespace oriolewalk::flow
