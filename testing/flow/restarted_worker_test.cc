#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Workers that start again under their ids: the new process knows nothing of
// before, and its counts and its clock start anew.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kBefore = "00000000000000aa";
constexpr const char* kAfter = "00000000000000bb";

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
NamesCursor(const worker_order& aOrder)
{
  const auto* hold = std::get_if<poll_order>(&aOrder.mBody);
  return hold != nullptr && hold->mCursor > 0;
}

// One worker that has done twelve tasks, so that its cursor is at 12.
struct worked_scene
{
  fake_group mGroup;

  explicit worked_scene(std::uint64_t aSeed, bool aForgetsOnRise)
    : mGroup(3, 3, aSeed)
  {
    mGroup.AddWorker("w", 0.02);
    mGroup.Worker(0).mTaskSize = Step(1, 500).mSize;
    mGroup.Worker(0).mForgetsOnHigherCursor = aForgetsOnRise;
    mGroup.Run(seconds(2));
    mGroup.Submit(kBefore, { Step(12, 500) });
    CHECK(EndsAsDone(kBefore, seconds(10)));
  }

  bool EndsAsDone(const std::string& aJob, duration aWithin)
  {
    return mGroup.RunUntil([&]() { return mGroup.StateOf(aJob) == "done"; },
                           aWithin);
  }

  // Each task of a further job starts once, and the job ends as done.
  void CheckNextJob()
  {
    const std::size_t before = mGroup.Oracle().Starts();
    mGroup.Submit(kAfter, { Step(4, 500) });
    CHECK(EndsAsDone(kAfter, seconds(6)));
    CHECK(mGroup.Oracle().Starts() == before + 4);
    CHECK(mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
};

} // namespace

TEST_CASE("ends of a worker that started again count, and only once")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onRise : { false, true }) {
      CAPTURE(seed, onRise);
      worked_scene scene(seed, onRise);
      scene.mGroup.RestartWorker(0);
      scene.mGroup.Run(milliseconds(100));
      scene.CheckNextJob();
    }
  }
}

TEST_CASE("a worker that started again is heard at once")
{
  // Its heartbeats are numbered anew as well. Passed over until they reach the
  // old number, they leave a worker that says that it is there without work.
  worked_scene scene(1, false);
  scene.mGroup.Run(seconds(30));
  scene.mGroup.RestartWorker(0);
  scene.mGroup.Run(seconds(8));
  scene.CheckNextJob();
}

TEST_CASE("what ran when its worker started again runs again at once")
{
  // The former process's lease need not lapse: the next one shows that nothing
  // runs there.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    worked_scene scene(seed, seed % 2 == 0);
    scene.mGroup.Worker(0).mWorkTime = milliseconds(800);
    scene.mGroup.Submit(kAfter, { Step(4, 500) });
    scene.mGroup.Run(milliseconds(500));
    CHECK(scene.mGroup.Oracle().Starts() == 16);
    scene.mGroup.RestartWorker(0);
    CHECK(scene.EndsAsDone(kAfter, milliseconds(1'200)));
    CHECK(scene.mGroup.Oracle().Starts() == 20);
    CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("ends count that come before the leader knows of the restart")
{
  // The new process's first heartbeat is late. Meanwhile it is sent starts, and
  // looks that name the cursor of the process before: it forgets ends that
  // nobody has taken down, or lists them to a leader that measures them by that
  // cursor.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onRise : { false, true }) {
      CAPTURE(seed, onRise);
      worked_scene scene(seed, onRise);
      scene.mGroup.RestartWorker(0, milliseconds(1'200));
      scene.CheckNextJob();
    }
  }
}

TEST_CASE("what an earlier life said counts for it alone")
{
  // A heartbeat and a farewell of the process before were held up on their way
  // and arrive when the next one has work. Taken for its own, the heartbeat
  // would empty it, and the farewell would start its tasks a second time.
  worked_scene scene(1, false);
  const worker_description earlier = scene.mGroup.Worker(0).Description();
  scene.mGroup.RestartWorker(0);
  scene.mGroup.Run(milliseconds(100));
  scene.mGroup.Worker(0).mWorkTime = seconds(2);
  const std::size_t before = scene.mGroup.Oracle().Starts();
  scene.mGroup.Submit(kAfter, { Step(4, 500) });
  scene.mGroup.Run(milliseconds(300));
  scene.mGroup.SendRequest(worker_heartbeat{ earlier, true, 0, 1'000, 900 });
  scene.mGroup.SendRequest(
    worker_deregistration{ earlier.mId, earlier.mProcessStartMs });
  scene.mGroup.SendRequest(
    worker_deregistration{ earlier.mId, 0 }); // it doesn't say whose
  CHECK(scene.EndsAsDone(kAfter, seconds(4)));
  CHECK(scene.mGroup.Oracle().Starts() == before + 4);
  CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  // Its own count, and a farewell that doesn't say whose of one that drains.
  const worker_description own = scene.mGroup.Worker(0).Description();
  const auto isKnown = [&]() {
    return scene.mGroup.Core(*scene.mGroup.Leader())
             .State()
             .NumberOf(own.mId) != 0;
  };
  CHECK(isKnown());
  scene.mGroup.Worker(0).mDraining = true;
  scene.mGroup.Run(seconds(2));
  scene.mGroup.SendRequest(worker_deregistration{ own.mId, 0 });
  CHECK_FALSE(isKnown());
}

TEST_CASE("a task starts nowhere else while a restarted worker may run it")
{
  // A start is on its way when its worker starts again, and the new process
  // carries it out: it can't tell for whom it was meant. The leader learns of
  // the restart later.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    fake_group group(3, 3, seed);
    for (const char* id : { "w0", "w1" }) {
      group.Worker(group.AddWorker(id, 0.02)).mTaskSize = Step(1, 500).mSize;
    }
    group.Run(seconds(2));
    group.SetOrderDelay(milliseconds(300));
    group.Submit(kAfter, { Step(6, 500) });
    group.Run(milliseconds(20 * (seed % 10)));
    group.RestartWorker(0, milliseconds(50 * (seed % 7)));
    CHECK(group.RunUntil([&]() { return group.StateOf(kAfter) == "done"; },
                         seconds(15)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a worker's next process forgets no end for a cursor of the last one")
{
  // Guards against tasks that start again after they ended as done: a look with
  // the cursor arrives when the next process has ended tasks of its own.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool onRise : { false, true }) {
      CAPTURE(seed, onRise);
      worked_scene scene(seed, onRise);
      scene.mGroup.HoldOrders(NamesCursor);
      scene.mGroup.Submit("00000000000000cc", { Step(1, 500) });
      CHECK(scene.EndsAsDone("00000000000000cc", seconds(4)));
      scene.mGroup.Worker(0).mWorkTime = milliseconds(50);
      scene.mGroup.RestartWorker(0, milliseconds(700));
      const std::size_t before = scene.mGroup.Oracle().Starts();
      scene.mGroup.Submit(kAfter, { Step(4, 500) });
      scene.mGroup.Run(milliseconds(150));
      scene.mGroup.ReleaseOrders();
      CHECK(scene.EndsAsDone(kAfter, seconds(6)));
      CHECK(scene.mGroup.Oracle().Starts() == before + 4);
      CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
    }
  }
}

TEST_CASE("no lease reckoned by a worker's last process outlasts its run")
{
  // Guards against a task that runs twice at once: the next process, whose
  // clock is near zero, takes a start with a lease by the last one's clock for
  // the longest lease, and is cut off before it was heard.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    worked_scene scene(seed, false);
    scene.mGroup.Run(seconds(8));
    scene.mGroup.Worker(0).mWorkTime = milliseconds(5'500);
    scene.mGroup.RestartWorker(0, seconds(30));
    scene.mGroup.HoldOrders(OrdersTo<poll_order>("w"));
    scene.mGroup.Submit(kAfter, { Step(1, 500) });
    scene.mGroup.Run(milliseconds(100));
    scene.mGroup.CutWorker(0, true);
    scene.mGroup.AddWorker("w1", 0.02);
    CHECK(scene.EndsAsDone(kAfter, seconds(15)));
    CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a start that its carrier held reaches no later process")
{
  // Guards against a task that runs twice at once: a carrier goes on after
  // seconds and sends a start that was given up to a process that started
  // meanwhile, which has seen no fence.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    flow_options options;
    options.mMaxWorkersWithoutRelays = 0;
    fake_group group(3, 3, seed, 9, options);
    group.AddWorker("w0", 0.02);
    group.Run(seconds(2));
    group.HoldOrders(OrdersTo<start_order>("w0"));
    group.Submit(kAfter, { Step(1, 500) });
    group.Run(milliseconds(100));
    group.Worker(0).mDraining = true;
    group.Worker(group.AddWorker("w1", 0.02)).mWorkTime = seconds(8);
    CHECK(group.RunUntil([&]() { return group.Oracle().Starts() > 0; },
                         seconds(6)));
    group.RestartWorker(0, seconds(4));
    group.Worker(0).mWorkTime = seconds(2);
    group.ReleaseOrders();
    CHECK(group.RunUntil([&]() { return group.StateOf(kAfter) == "done"; },
                         seconds(15)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a stop that its carrier held keeps no task from a later process")
{
  // Guards against a leader that waits for ever for a run that the next process
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
    group.Submit(kAfter, { Step(1, 500) });
    group.Run(milliseconds(1'500));
    group.RestartWorker(0, milliseconds(500));
    group.ReleaseOrders();
    CHECK(group.RunUntil([&]() { return group.StateOf(kAfter) == "done"; },
                         seconds(8)));
    CHECK(group.Oracle().Violations() == std::vector<std::string>{});
  }
}

} // namespace oriolewalk::flow
