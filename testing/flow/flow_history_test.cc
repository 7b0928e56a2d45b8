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

TEST_CASE("random histories of faults violate no guarantee")
{
  PlaySeeds(150, {});
}

TEST_CASE("random histories violate no guarantee while relays make the calls")
{
  // A leader's orders go through processes that die, pause and are cut off: an
  // order may be lost with its relay, or executed when nobody waits for its
  // answer any longer.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, options);
}

TEST_CASE("random histories violate no guarantee with ten spares as relays")
{
  // Guards against members that are replaced from spares which relay orders at
  // the same time.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(50, options, { .mRestarts = true, .mSpares = true });
}

TEST_CASE("random histories violate no guarantee while the leader is busy")
{
  // The leader's processor is saturated: orders wait for seconds before they
  // are sent, answers wait to be read, a commit takes a second, and workers are
  // cut off and return with ends that nobody waits for any longer. No task that
  // was done and acknowledged may start again.
  PlaySeeds(150, {}, { .mBusy = true });
}

TEST_CASE("random histories violate no guarantee while jobs are refused")
{
  // Guards against a refused job that runs by a copy of its request or by
  // another leader, and against an accepted one that doesn't.
  PlaySeeds(75, {}, { .mFull = true });
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true, .mFull = true });
  PlaySeeds(75, {}, { .mOrganisations = true, .mFull = true });
}

TEST_CASE("random histories violate no guarantee while workers leave")
{
  // Guards against tasks that start elsewhere while the worker that
  // deregistered still runs them.
  PlaySeeds(75, {}, { .mLeaving = true });
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true, .mLeaving = true });
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(75, options, { .mLeaving = true, .mHolds = true });
}

TEST_CASE("random histories violate no guarantee in full cells with faults")
{
  // Guards against faults that show only together: wide jobs whose tasks have
  // copies, crash their workers or lose them.
  PlaySeeds(20, {}, { .mCopies = true, .mFull = true });
  PlaySeeds(20, {}, { .mCrashing = true, .mFull = true });
  PlaySeeds(20, {}, { .mRestarts = true, .mLeaving = true, .mFull = true });
}

TEST_CASE("random histories violate no guarantee with two kinds of faults")
{
  // Guards against faults that show only together with others.
  PlaySeeds(20, {}, { .mCrashing = true, .mCopies = true });
  PlaySeeds(20, {}, { .mHolds = true, .mCopies = true });
  PlaySeeds(20, {}, { .mLeaving = true, .mCopies = true });
  PlaySeeds(20, {}, { .mLeaving = true, .mCrashing = true });
  PlaySeeds(20, {}, { .mLeaving = true, .mShrinking = true });
  PlaySeeds(20, {}, { .mLeaving = true, .mOrganisations = true });
}

TEST_CASE("random histories violate no guarantee while workers restart")
{
  // Workers restart under their ids, amid all other faults. What the leader
  // knows of the former process must not be applied to the new one.
  PlaySeeds(150, {}, { .mRestarts = true });
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(75, carried, { .mRestarts = true });
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true });
}

TEST_CASE("random histories violate no guarantee while orders are held")
{
  // Guards against orders that are delivered after seconds and reach a process
  // that started in the meantime.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(75, {}, { .mBusy = true, .mRestarts = true, .mHolds = true });
  PlaySeeds(75, carried, { .mRestarts = true, .mHolds = true });
}

TEST_CASE(
  "random histories violate no guarantee while tasks crash their workers")
{
  // Guards against crashes that aren't counted because of changes of leader,
  // silent workers, restarts or late orders.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, {}, { .mCrashing = true });
  PlaySeeds(75, {}, { .mRestarts = true, .mCrashing = true });
  PlaySeeds(75, carried, { .mBusy = true, .mCrashing = true });
}

TEST_CASE("random histories violate no guarantee while capacities shrink")
{
  // Guards against starts that exceed a capacity that has shrunk, when the
  // change is in a late heartbeat, unknown to another leader or in a commit in
  // progress.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(150, {}, { .mShrinking = true });
  PlaySeeds(75, carried, { .mBusy = true, .mShrinking = true });
  PlaySeeds(75, {}, { .mRestarts = true, .mHolds = true, .mShrinking = true });
}

TEST_CASE("random histories violate no guarantee while organisations change")
{
  // Guards against starts above a maximum, keys that work too long or not yet,
  // and jobs that are shown to others, amid all other faults.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeeds(100, {}, { .mOrganisations = true });
  PlaySeeds(
    75, {}, { .mRestarts = true, .mHolds = true, .mOrganisations = true });
  PlaySeeds(75, carried, { .mBusy = true, .mOrganisations = true });
  PlaySeeds(50, carried, { .mCrashing = true, .mOrganisations = true });
}

TEST_CASE("no start exceeds a capacity that shrank while no leader noticed")
{
  // Guards against a start for a capacity that has shrunk unnoticed: with a
  // leader that led for less than a heartbeat interval (2071, 202, 815), with
  // one that was paused (1097), or if the start overtakes the commit of the
  // change (1374).
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
  // Guards against a start that was planned for a capacity that shrinks while
  // the start is held in transit, with a lease that is still valid.
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

TEST_CASE("a crash counts if its worker's next incarnation is not heard from")
{
  // Guards against a loss that is forgotten when the silent worker is removed:
  // seed 855 started the task once too often.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeed(855, 60, carried, { .mBusy = true, .mCrashing = true });
}

TEST_CASE("a worker that crashes again before it is polled fails no sound job")
{
  // Guards against crashes that count for runs which the worker's former
  // process started.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeed(1'204'201'087,
           60,
           carried,
           { .mBusy = true,
             .mRestarts = true,
             .mHolds = true,
             .mOrganisations = true });
}

TEST_CASE("a cursor in flight while its worker restarts acknowledges no end")
{
  // Guards against a task that starts a second time: a poll with the cursor of
  // the worker's former process is in flight while the leader is busy for a
  // second. The worker restarts, and the new process has started and ended a
  // task of its own when the poll arrives, which makes it forget that end.
  for (const std::uint64_t seed : { 734, 2'565 }) {
    PlaySeed(seed, 60, {}, { .mBusy = true, .mRestarts = true });
  }
}

TEST_CASE("a history loses no disk while another voter is out of the group")
{
  // Seed 1077: a voter that was cut off for over 20 s is removed. It is back,
  // but not in the group yet, when a second one loses its disk. That is one
  // loss more than the group of two tolerates, and not a fault of the group.
  flow_options options;
  options.mMaxWorkersWithoutRelays = 0;
  PlaySeed(1'077, 100, options, { .mBusy = true });
}

TEST_CASE("a relay's loss stops nothing for longer than a lease")
{
  // The worker's relay is cut off from the leader. Until another relay makes
  // the calls, the worker's lease is not renewed and its ends aren't seen. The
  // job that was submitted just before is nevertheless done soon.
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

TEST_CASE("a new leader knows no capacity that its predecessor didn't hear of")
{
  // Guards against a start for a capacity that shrank while the worker, on
  // which nothing ran, was silent to the earlier leader.
  flow_options carried;
  carried.mMaxWorkersWithoutRelays = 0;
  PlaySeed(3'327'201'113,
           60,
           carried,
           { .mBusy = true,
             .mRestarts = true,
             .mHolds = true,
             .mCrashing = true,
             .mShrinking = true });
}

} // namespace oriolewalk::flow
