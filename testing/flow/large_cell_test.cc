// The leader's work in cells of thousands of workers, counted in workers that
// it looks at.

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bench/flow_driver.h"
#include "bench/flow_scenario.h"
#include "oriolewalk/flow/worker_supervisor.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;
using testing::Worker;

constexpr std::size_t kWorkers = 6'000;
constexpr milliseconds kTick{ 10 };

struct large_cell
{
  state_builder mBuilder;
  std::vector<worker_number> mWorkers;
  flow_options mOptions;
  const time_point mBegun{ seconds(100) };
  time_point mNow = mBegun;
  std::optional<worker_supervisor> mSupervisor;

  large_cell()
  {
    for (std::size_t at = 0; at < kWorkers; ++at) {
      worker_description worker = Worker("w" + std::to_string(at));
      worker.mAddress = worker.mId.Value() + ":80";
      mWorkers.push_back(mBuilder.AddWorker(worker));
    }
    mSupervisor.emplace(mBuilder.mState, mOptions, 7, mNow);
  }

  void Run(duration aFor)
  {
    for (const time_point until = mNow + aFor; mNow < until;) {
      mNow += kTick;
      mSupervisor->Tick(mNow);
    }
  }

  // Returns how many.
  std::size_t AnswerPolls()
  {
    const std::vector<worker_order> orders = mSupervisor->TakeOrders();
    for (const worker_order& order : orders) {
      order_answer answer;
      answer.mResult = order_result::Done;
      answer.mClockMs = 0;
      mSupervisor->OnAnswer(order.mId, answer, mNow);
    }
    return orders.size();
  }

  void SyncAll()
  {
    std::size_t answered = 0;
    while (answered < kWorkers) {
      Run(kTick);
      answered += AnswerPolls();
    }
    Run(kTick);
  }
};

// A cell of this size under the same arrivals, with a burst of urgent jobs and
// the loss of a leader.
bench::flow_outcome
PlayBurst(std::size_t aWorkers)
{
  bench::flow_scenario scene = bench::FleetScenarios().front();
  scene.mWorkers = { { "plain", aWorkers, 32'000, 131'072, 0, 8 } };
  scene.mKinds.resize(1);
  scene.mKinds[0].mPerSecond = 8;
  scene.mInfeasibleShare = 0;
  scene.mLostShare = 0;
  scene.mLeaderLost = false;
  return bench::SimulateLoad(bench::MakeLoad(scene, 11), {});
}

} // namespace

TEST_CASE("ticks don't visit workers of which nothing is due")
{
  // Guards against ticks that use up the leader's processor in a large cell.
  large_cell cell;
  cell.Run(milliseconds(100));
  CHECK(cell.mSupervisor->Visits() == kWorkers); // they wait for their polls
  cell.SyncAll();
  const std::uint64_t synced = cell.mSupervisor->Visits();
  CHECK(synced == 2 * kWorkers);
  cell.Run(seconds(1));
  CHECK(cell.mSupervisor->Visits() == synced);
}

TEST_CASE("a registration concerns only workers at the same address")
{
  // Guards against a leader that loses its lead while thousands of workers
  // register, each of which made it look at all others.
  large_cell cell;
  cell.SyncAll();
  const std::uint64_t before = cell.mSupervisor->Visits();
  worker_description next = Worker("next");
  next.mAddress =
    cell.mBuilder.mState.FindWorker(cell.mWorkers[5])->mDescription.mAddress;
  const worker_number added = cell.mBuilder.AddWorker(next);
  cell.mSupervisor->OnRegistered(added, cell.mNow);
  cell.Run(kTick);
  CHECK(cell.mSupervisor->Visits() == before + 2);
  const std::vector<worker_order> orders = cell.mSupervisor->TakeOrders();
  REQUIRE(orders.size() == 2); // a short poll for each of the two
  CHECK(orders[0].mWorker == cell.mWorkers[5]);
  CHECK(orders[1].mWorker == added);
}

TEST_CASE("silent workers of a large cell are removed in time")
{
  large_cell cell;
  cell.SyncAll();
  const duration synced = cell.mNow - cell.mBegun;
  cell.Run(cell.mOptions.mWorkerRemovalDelay - synced - kTick);
  CHECK(cell.mSupervisor->TakeCommands().empty());
  cell.Run(synced + 4 * kTick);
  CHECK(cell.mSupervisor->TakeCommands().size() == kWorkers);
}

TEST_CASE("a new leader polls busy workers first, and few idle ones at a time")
{
  // Guards against a takeover that polls thousands of workers at once, while
  // nothing can start and callers get no answer.
  state_builder builder;
  std::vector<worker_number> workers;
  for (std::size_t at = 0; at < kWorkers; ++at) {
    workers.push_back(builder.AddWorker(Worker("w" + std::to_string(at))));
  }
  const job_id job = builder.AddJob("00", { testing::Step(1, 1'000) });
  builder.Start(state_builder::Run(job, 1), workers.back());
  const time_point now{ seconds(100) };
  const worker_number heard = workers[kWorkers / 2];
  worker_supervisor next(
    builder.mState, {}, 8, now, { { heard, now - seconds(1) } });
  next.Tick(now);
  const std::vector<worker_order> orders = next.TakeOrders();
  CHECK(orders.size() < 100);
  REQUIRE(orders.size() > 2);
  CHECK(orders[0].mWorker == workers.back());
  CHECK(orders[1].mWorker == heard);
  // Polls that fail don't hold up the others.
  for (const worker_order& order : orders) {
    next.OnAnswer(order.mId, {}, now);
  }
  next.Tick(now + kTick);
  CHECK(next.TakeOrders().size() == orders.size() - 1);
}

TEST_CASE("a next leader uses workers that the last one heard, until they age")
{
  state_builder builder;
  const worker_number heard = builder.AddWorker(Worker("heard"));
  const worker_number silent = builder.AddWorker(Worker("silent"));
  const flow_options options;
  const time_point now{ seconds(100) };
  worker_supervisor next(
    builder.mState, options, 8, now, { { heard, now - seconds(1) } });
  next.Tick(now);
  for (const worker_order& order : next.TakeOrders()) {
    order_answer answer;
    answer.mResult = order_result::Done;
    answer.mClockMs = 0;
    next.OnAnswer(order.mId, answer, now);
  }
  CHECK(next.IsUsable(heard, now));
  CHECK_FALSE(next.IsUsable(silent, now));
  CHECK_FALSE(next.IsUsable(heard, now + options.mMaxCapacityAge - seconds(1)));
  const worker_contacts contacts = next.Contacts(now);
  REQUIRE(contacts.mWorkers.size() == 1);
  CHECK(contacts.mWorkers[0].mWorker == heard);
  CHECK(contacts.mWorkers[0].mAgeMs >= 1'000);
}

TEST_CASE("a capacity that isn't committed yet is no contact")
{
  // Guards against a next leader that trusts the capacity from before a change
  // which the last leader had heard of.
  state_builder builder;
  const worker_number number = builder.AddWorker(Worker("w"));
  const time_point now{ seconds(100) };
  worker_supervisor supervisor(builder.mState, {}, 8, now);
  supervisor.OnHeartbeat(number, 1, 0, now);
  supervisor.OnUpdateProposed(number);
  supervisor.OnHeartbeat(number, 2, 0, now + seconds(1));
  supervisor.OnUpdateProposed(number);
  const worker_contacts contacts = supervisor.Contacts(now + seconds(1));
  CHECK(contacts.mWorkers.empty());
}

TEST_CASE("a burst of urgent jobs costs a large cell what it costs a small one")
{
  // Guards against plans, and pauses between them, that grow with the workers.
  const bench::flow_outcome small = PlayBurst(1'000);
  const bench::flow_outcome large = PlayBurst(4'000);
  const auto late = [](const bench::flow_outcome& aOutcome) {
    auto waits = aOutcome.mQueues.at("urgent").mFirstStartMs;
    std::ranges::sort(waits);
    return waits[waits.size() * 95 / 100];
  };
  CHECK(late(large) < late(small) + 10);
  CHECK(large.mCounts.mPlannedWorkers < small.mCounts.mPlannedWorkers * 5 / 4);
  CHECK(large.mCounts.mPlans < small.mCounts.mPlans * 5 / 4);
}

} // namespace oriolewalk::flow
