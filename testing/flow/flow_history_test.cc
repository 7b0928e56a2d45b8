#include <catch2/catch.hpp>

#include <cstdint>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"
#include "testing/flow/flow_history.h"

namespace oriolewalk::flow {

namespace {

void
PlaySeed(std::uint64_t aSeed,
         int aActions,
         flow_options aOptions,
         history_faults aTroubles)
{
  CAPTURE(aSeed);
  const auto broken = PlayFlowSeed(aSeed, aActions, aOptions, aTroubles);
  CHECK(broken.value_or("") == "");
}

void
PlaySeeds(std::uint64_t aSeeds,
          flow_options aOptions,
          history_faults aTroubles = {})
{
  constexpr int kActions = 60;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    PlaySeed(seed, kActions, aOptions, aTroubles);
  }
}

} // namespace

TEST_CASE("random histories of faults break no promise")
{
  PlaySeeds(150, {});
}

TEST_CASE("random histories break no promise where others carry the orders")
{
  // A leader's orders go through processes that die, pause and are cut off: an
  // order may be lost with its carrier, or carried out when nobody waits for
  // its answer any more.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, options);
}

TEST_CASE("random histories break no promise while the leader is busy")
{
  // A leader whose processor is full: orders wait for seconds before they go
  // out, answers wait to be read, a commit takes a second, workers are cut off
  // and come back with ends that nobody waits for any more. No task that was
  // done and acknowledged may start again.
  PlaySeeds(150, {}, { .mBusy = true });
}

TEST_CASE("random histories break no promise while workers start again")
{
  // Workers start again under their ids, between all that may happen else: what
  // the leader kept of the process before must not be taken for the new one's.
  PlaySeeds(150, {}, { .mRestarts = true });
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(75, carried, { .mRestarts = true });
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true });
}

TEST_CASE("random histories break no promise while orders stand still")
{
  // Guards against orders that go on after seconds and reach a process that
  // started meanwhile.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true, .mHolds = true });
  PlaySeeds(75, carried, { .mRestarts = true, .mHolds = true });
}

TEST_CASE("random histories break no promise while tasks crash their workers")
{
  // Guards against crashes that aren't counted: between changes of leader,
  // silent workers, restarts and late orders.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, {}, { .mCrashing = true });
  PlaySeeds(75, {}, { .mRestarts = true, .mCrashing = true });
  PlaySeeds(75, carried, { .mBusy = true, .mCrashing = true });
}

TEST_CASE("random histories break no promise while workers' rooms shrink")
{
  // Guards against starts by a capacity that a late heartbeat, another leader
  // or a commit under way doesn't show.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, {}, { .mShrinking = true });
  PlaySeeds(75, carried, { .mBusy = true, .mShrinking = true });
  PlaySeeds(75, {}, { .mRestarts = true, .mHolds = true, .mShrinking = true });
}

TEST_CASE("a leader knows no room by a leader that didn't hear the worker")
{
  // Guards against a start by a room that has shrunk unheard: a leader of less
  // than a heartbeat's pause (2071, 202, 815), one that was paused (1097), a
  // start that overtakes the commit of the change (1374).
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  for (const std::uint64_t seed : { 1'097, 1'374, 2'071 }) {
    PlaySeed(seed, 60, {}, { .mShrinking = true });
  }
  for (const std::uint64_t seed : { 202, 815 }) {
    PlaySeed(seed, 60, carried, { .mBusy = true, .mShrinking = true });
  }
}

TEST_CASE("a start that its carrier held brings no worker over its capacity")
{
  // Guards against a start that was planned by room that shrinks while it
  // stands still on its way, with a lease that is still valid.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeed(1'872,
           60,
           carried,
           { .mBusy = true,
             .mRestarts = true,
             .mHolds = true,
             .mCrashing = true,
             .mShrinking = true });
}

TEST_CASE("a crash counts where its worker's next life is not heard")
{
  // Guards against a loss that is forgotten when the silent worker is taken
  // out: seed 855 started the task once too often.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeed(855, 60, carried, { .mBusy = true, .mCrashing = true });
}

TEST_CASE("a cursor on its way while its worker starts again tells nobody")
{
  // A leader that is busy for a second has a look on its way that names the
  // cursor. Its worker starts again meanwhile, and the new process has begun
  // and ended a task of its own when the look arrives: it forgets that end, and
  // the task starts a second time.
  for (const std::uint64_t seed : { 734, 2'565 }) {
    PlaySeed(seed, 60, {}, { .mBusy = true, .mRestarts = true });
  }
}

TEST_CASE("a disk lost while another voter is out of the group is not played")
{
  // Seed 1077: a voter that was cut off for over 20 s is taken out; it is back,
  // and not in the group yet, when a second one loses its disk. That is one
  // loss more than the group of two bears, and no fault of it.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeed(1'077, 100, options, { .mBusy = true });
}

TEST_CASE("a carrier's loss stops nothing for longer than a lease")
{
  // The process that carries a worker's orders is cut off from the leader. Its
  // worker is not renewed and its ends aren't seen until another one carries
  // them; a job that runs there goes on, and the next one is done soon.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  fake_group group(3, 3, 7, 9, options);
  group.AddWorker("w");
  group.Run(seconds(2));
  const std::size_t leader = *group.Leader();
  group.Submit("0000000000000001", { testing::Step(2, 1'000) });
  for (std::size_t node = 0; node < 3; ++node) {
    group.Cut(node, node == (leader + 1) % 3);
  }
  CHECK(group.RunUntil(
    [&]() { return group.StateOf("0000000000000001") == "done"; }, seconds(4)));
  CHECK(group.Count("order.carried") > 0);
  CHECK(group.Oracle().Violations().empty());
}

} // namespace oriolewalk::flow
