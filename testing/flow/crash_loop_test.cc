#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Workers that crash again right after each restart. Only a run that was
// started in an incarnation is evidence against its task when that incarnation
// crashes.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kJob = "00000000000000aa";

// One step of a sound job runs at worker 0. No poll ever reaches the
// incarnations that crash right after their first heartbeat.
struct crash_loop_fixture
{
  fake_group mGroup;

  crash_loop_fixture(std::uint64_t aSeed, step_spec aStep)
    : mGroup(3, 3, aSeed)
  {
    AddWorker("w0");
    mGroup.Run(seconds(2));
    mGroup.Submit(kJob, { std::move(aStep) });
    REQUIRE(mGroup.RunUntil([&]() { return mGroup.Oracle().Starts() > 0; },
                            seconds(2)));
    mGroup.Run(seconds(1));
  }

  void AddWorker(const std::string& aId)
  {
    const std::size_t made = mGroup.AddWorker(aId, 0.02);
    mGroup.Worker(made).mTaskSize = Step(1, 500).mSize;
    mGroup.Worker(made).mWorkTime = seconds(3);
  }

  // aAfterEach: called while the worker is down.
  void CrashAfterEachRestart(int aTimes,
                             const std::function<void()>& aAfterEach)
  {
    mGroup.HoldOrders([](const worker_order& aOrder) {
      return aOrder.mWorkerId.Value() == "w0" &&
             std::holds_alternative<poll_order>(aOrder.mBody);
    });
    for (int crash = 0; crash < aTimes; ++crash) {
      mGroup.RestartWorker(0);
      mGroup.Run(milliseconds(5));
      mGroup.Worker(0).Crash(mGroup.Now());
      mGroup.Run(milliseconds(1'200));
      aAfterEach();
    }
    mGroup.ReleaseOrders();
    mGroup.RestartWorker(0);
  }

  void CheckDone()
  {
    CHECK(mGroup.RunUntil([&]() { return mGroup.StateOf(kJob) == "done"; },
                          seconds(20)));
    CHECK(mGroup.Count("task.crashes_workers") == 0);
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
};

step_spec
Gang()
{
  step_spec step = Step(3, 500);
  step.mGang = true;
  return step;
}

} // namespace

TEST_CASE("a worker's later crashes count for no task that it didn't start")
{
  // Guards against a sound job that ends as failed: its worker crashes once
  // under it, and then again after each restart, before it is polled.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool isGang : { false, true }) {
      CAPTURE(seed, isGang);
      crash_loop_fixture fixture(seed, isGang ? Gang() : Step(1, 500));
      fixture.CrashAfterEachRestart(6, []() {});
      fixture.CheckDone();
    }
  }
}

TEST_CASE("a new leader counts no crash for a task that wasn't started there")
{
  // Guards against a sound job that ends as failed: each crash is found by
  // another leader, to which only the replicated state tells what ran there.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    crash_loop_fixture fixture(seed, Step(1, 500));
    fixture.CrashAfterEachRestart(6, [&]() {
      const auto leader = fixture.mGroup.Leader();
      REQUIRE(leader);
      fixture.mGroup.Kill(*leader);
      fixture.mGroup.Run(seconds(2));
      fixture.mGroup.Restart(*leader);
    });
    fixture.CheckDone();
  }
}

TEST_CASE("runs of a restarted worker start elsewhere before it is polled")
{
  // Guards against tasks that wait for a worker that restarts in a loop and
  // never answers a poll.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    crash_loop_fixture fixture(seed, Step(1, 500));
    fixture.AddWorker("w1");
    fixture.mGroup.Run(seconds(1));
    fixture.CrashAfterEachRestart(1, []() {});
    CHECK(fixture.mGroup.Oracle().Starts() == 2);
    fixture.CheckDone();
  }
}

} // namespace oriolewalk::flow
