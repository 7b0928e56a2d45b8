#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Workers that restart under their ids: the new process has no state of the
// former one, and its sequence numbers and its clock start from zero.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kFirstJob = "00000000000000aa";
constexpr const char* kNextJob = "00000000000000bb";

template<class Body>
std::function<bool(const worker_order&)>
OrdersTo(const char* aWorker)
{
  return [aWorker](const worker_order& aOrder) {
    return aOrder.mWorkerId.Value() == aWorker &&
           std::holds_alternative<Body>(aOrder.mBody);
  };
}

bool
SendsCursor(const worker_order& aOrder)
{
  const auto* poll = std::get_if<poll_order>(&aOrder.mBody);
  return poll != nullptr && poll->mCursor > 0;
}

// One worker that has finished twelve tasks, so that its cursor is at 12.
struct used_worker_fixture
{
  fake_group mGroup;

  explicit used_worker_fixture(std::uint64_t aSeed, bool aForgetsOnHigherCursor)
    : mGroup(3, 3, aSeed)
  {
    mGroup.AddWorker("w", 0.02);
    mGroup.Worker(0).mTaskSize = Step(1, 500).mSize;
    mGroup.Worker(0).mForgetsOnHigherCursor = aForgetsOnHigherCursor;
    mGroup.Run(seconds(2));
    mGroup.Submit(kFirstJob, { Step(12, 500) });
    CHECK(EndsAsDone(kFirstJob, seconds(10)));
  }

  bool EndsAsDone(const std::string& aJob, duration aWithin)
  {
    return mGroup.RunUntil([&]() { return mGroup.StateOf(aJob) == "done"; },
                           aWithin);
  }

  // Checks that each task of another job starts once and that the job ends as
  // done.
  void CheckNextJob()
  {
    const std::size_t before = mGroup.Oracle().Starts();
    mGroup.Submit(kNextJob, { Step(4, 500) });
    CHECK(EndsAsDone(kNextJob, seconds(6)));
    CHECK(mGroup.Oracle().Starts() == before + 4);
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
};

} // namespace

TEST_CASE("ends at a restarted worker are counted exactly once")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onHigherCursor : { false, true }) {
      CAPTURE(seed, onHigherCursor);
      used_worker_fixture fixture(seed, onHigherCursor);
      fixture.mGroup.RestartWorker(0);
      fixture.mGroup.Run(milliseconds(100));
      fixture.CheckNextJob();
    }
  }
}

TEST_CASE("heartbeats of a restarted worker count at once")
{
  // Guards against a live worker without work: its heartbeat numbers restart as
  // well, and its heartbeats are ignored until they reach the old number.
  used_worker_fixture fixture(1, false);
  fixture.mGroup.Run(seconds(30));
  fixture.mGroup.RestartWorker(0);
  fixture.mGroup.Run(seconds(8));
  fixture.CheckNextJob();
}

TEST_CASE("runs that a restart ended start again at once")
{
  // The former process's lease need not expire: the new process shows that
  // nothing runs there.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    used_worker_fixture fixture(seed, seed % 2 == 0);
    fixture.mGroup.Worker(0).mWorkTime = milliseconds(800);
    fixture.mGroup.Submit(kNextJob, { Step(4, 500) });
    fixture.mGroup.Run(milliseconds(500));
    CHECK(fixture.mGroup.Oracle().Starts() == 16);
    fixture.mGroup.RestartWorker(0);
    CHECK(fixture.EndsAsDone(kNextJob, milliseconds(1'200)));
    CHECK(fixture.mGroup.Oracle().Starts() == 20);
    CHECK(fixture.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("ends count that arrive before the leader learns of the restart")
{
  // Guards against lost ends: the new process's first heartbeat is late. Until
  // then it gets starts, and polls with the cursor of its former process. It
  // forgets ends that weren't recorded, or lists them to a leader that compares
  // them with that cursor.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onHigherCursor : { false, true }) {
      CAPTURE(seed, onHigherCursor);
      used_worker_fixture fixture(seed, onHigherCursor);
      fixture.mGroup.RestartWorker(0, milliseconds(1'200));
      fixture.CheckNextJob();
    }
  }
}

TEST_CASE("late messages of an earlier incarnation are ignored")
{
  // Guards against tasks that start a second time: a heartbeat and a
  // deregistration of the former process are delayed and arrive when the new
  // one has runs. Applied to the new process, the heartbeat would drain it, and
  // the deregistration would drop its runs.
  used_worker_fixture fixture(1, false);
  const worker_description earlier = fixture.mGroup.Worker(0).Description();
  fixture.mGroup.RestartWorker(0);
  fixture.mGroup.Run(milliseconds(100));
  fixture.mGroup.Worker(0).mWorkTime = seconds(2);
  const std::size_t before = fixture.mGroup.Oracle().Starts();
  fixture.mGroup.Submit(kNextJob, { Step(4, 500) });
  fixture.mGroup.Run(milliseconds(300));
  fixture.mGroup.SendRequest(worker_heartbeat{ earlier, true, 0, 1'000, 900 });
  fixture.mGroup.SendRequest(
    worker_deregistration{ earlier.mId, earlier.mProcessStartMs });
  fixture.mGroup.SendRequest(
    worker_deregistration{ earlier.mId, 0 }); // names no process
  CHECK(fixture.EndsAsDone(kNextJob, seconds(4)));
  CHECK(fixture.mGroup.Oracle().Starts() == before + 4);
  CHECK(fixture.mGroup.Oracle().Violations() == std::vector<std::string>{});
  // The current process's heartbeats count, and so does a deregistration that
  // names no process while the worker drains.
  const worker_description own = fixture.mGroup.Worker(0).Description();
  const auto isKnown = [&]() {
    return fixture.mGroup.Core(*fixture.mGroup.Leader())
             .State()
             .NumberOf(own.mId) != 0;
  };
  CHECK(isKnown());
  fixture.mGroup.Worker(0).mDraining = true;
  fixture.mGroup.Run(seconds(2));
  fixture.mGroup.SendRequest(worker_deregistration{ own.mId, 0 });
  CHECK_FALSE(isKnown());
}

TEST_CASE("a task starts nowhere else while a restarted worker may run it")
{
  // Guards against a task that runs twice: a start is in flight when its worker
  // restarts, and the new process executes it because it can't tell which
  // process it was meant for. The leader learns of the restart later.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    fake_group group(3, 3, seed);
    for (const char* id : { "w0", "w1" }) {
      group.Worker(group.AddWorker(id, 0.02)).mTaskSize = Step(1, 500).mSize;
    }
    group.Run(seconds(2));
    group.SetOrderDelay(milliseconds(300));
    group.Submit(kNextJob, { Step(6, 500) });
    group.Run(milliseconds(20 * (seed % 10)));
    group.RestartWorker(0, milliseconds(50 * (seed % 7)));
    CHECK(group.RunUntil([&]() { return group.StateOf(kNextJob) == "done"; },
                         seconds(15)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a restarted worker forgets no end by a cursor of its last process")
{
  // Guards against tasks that start again after they ended as done: a poll with
  // the cursor arrives when the new process has ended tasks of its own.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onHigherCursor : { false, true }) {
      CAPTURE(seed, onHigherCursor);
      used_worker_fixture fixture(seed, onHigherCursor);
      fixture.mGroup.HoldOrders(SendsCursor);
      fixture.mGroup.Submit("00000000000000cc", { Step(1, 500) });
      CHECK(fixture.EndsAsDone("00000000000000cc", seconds(4)));
      fixture.mGroup.Worker(0).mWorkTime = milliseconds(50);
      fixture.mGroup.RestartWorker(0, milliseconds(700));
      const std::size_t before = fixture.mGroup.Oracle().Starts();
      fixture.mGroup.Submit(kNextJob, { Step(4, 500) });
      fixture.mGroup.Run(milliseconds(150));
      fixture.mGroup.ReleaseOrders();
      CHECK(fixture.EndsAsDone(kNextJob, seconds(6)));
      CHECK(fixture.mGroup.Oracle().Starts() == before + 4);
      CHECK(fixture.mGroup.Oracle().Violations() == std::vector<std::string>{});
    }
  }
}

TEST_CASE("a new process accepts no lease on its former process's clock")
{
  // Guards against a task that runs twice at once: the new process, whose clock
  // is near zero, accepts a start with a lease on its former process's clock as
  // the longest lease, and is partitioned before its first heartbeat.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    used_worker_fixture fixture(seed, false);
    fixture.mGroup.Run(seconds(8));
    fixture.mGroup.Worker(0).mWorkTime = milliseconds(5'500);
    fixture.mGroup.RestartWorker(0, seconds(30));
    fixture.mGroup.HoldOrders(OrdersTo<poll_order>("w"));
    fixture.mGroup.Submit(kNextJob, { Step(1, 500) });
    fixture.mGroup.Run(milliseconds(100));
    fixture.mGroup.CutWorker(0, true);
    fixture.mGroup.AddWorker("w1", 0.02);
    CHECK(fixture.EndsAsDone(kNextJob, seconds(15)));
    CHECK(fixture.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a start that its relay delayed reaches no later process")
{
  // Guards against a task that runs twice at once: a relay resumes after
  // seconds and sends a dropped start to a process that has started since and
  // has seen no fence.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    flow_options options;
    options.mMaxWorkersWithoutRelays = 0;
    fake_group group(3, 3, seed, 9, options);
    group.AddWorker("w0", 0.02);
    group.Run(seconds(2));
    group.HoldOrders(OrdersTo<start_order>("w0"));
    group.Submit(kNextJob, { Step(1, 500) });
    group.Run(milliseconds(100));
    group.Worker(0).mDraining = true;
    group.Worker(group.AddWorker("w1", 0.02)).mWorkTime = seconds(8);
    CHECK(group.RunUntil([&]() { return group.Oracle().Starts() > 0; },
                         seconds(6)));
    group.RestartWorker(0, seconds(4));
    group.Worker(0).mWorkTime = seconds(2);
    group.ReleaseOrders();
    CHECK(group.RunUntil([&]() { return group.StateOf(kNextJob) == "done"; },
                         seconds(15)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a stop that its relay delayed blocks no task on a later process")
{
  // Guards against a leader that waits forever for a run that the new process
  // refuses.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    flow_options options;
    options.mMaxWorkersWithoutRelays = 0;
    fake_group group(3, 3, seed, 9, options);
    group.AddWorker("w0", 0.02);
    group.Run(seconds(2));
    group.HoldOrders([](const worker_order& aOrder) {
      return !std::holds_alternative<poll_order>(aOrder.mBody);
    });
    group.Submit(kNextJob, { Step(1, 500) });
    group.Run(milliseconds(1'500));
    group.RestartWorker(0, milliseconds(500));
    group.ReleaseOrders();
    CHECK(group.RunUntil([&]() { return group.StateOf(kNextJob) == "done"; },
                         seconds(8)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

} // namespace oriolewalk::flow
