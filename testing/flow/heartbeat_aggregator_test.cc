#include <catch2/catch.hpp>

#include "oriolewalk/flow/heartbeat_aggregator.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::Worker;

constexpr time_point kStart{ seconds(100) };

worker_heartbeat
Heartbeat(const std::string& aId, std::int64_t aNumber)
{
  worker_heartbeat heartbeat;
  heartbeat.mDescription = Worker(aId);
  heartbeat.mSequence = aNumber;
  heartbeat.mClockMs = 1'000 * aNumber;
  return heartbeat;
}

} // namespace

TEST_CASE("a heartbeat that reports nothing new is sent in a summary")
{
  heartbeat_aggregator aggregator;
  CHECK_FALSE(aggregator.TryAccept(Heartbeat("w", 1), kStart));
  CHECK_FALSE(aggregator.TakeSummary(kStart));
  aggregator.OnAcknowledged(Heartbeat("w", 1), kStart);
  CHECK(aggregator.TryAccept(Heartbeat("w", 3), kStart));
  CHECK(
    aggregator.TryAccept(Heartbeat("w", 2), kStart)); // arrives out of order
  const auto summary = aggregator.TakeSummary(kStart);
  REQUIRE(summary);
  REQUIRE(summary->mDigests.size() == 1);
  CHECK(summary->mDigests[0].mSequence == 3);
  CHECK(summary->mDigests[0].mClockMs == 3'000);
}

TEST_CASE("summaries are sent one at a time, a quarter second apart")
{
  heartbeat_aggregator aggregator;
  aggregator.OnAcknowledged(Heartbeat("w", 1), kStart);
  CHECK(aggregator.TryAccept(Heartbeat("w", 2), kStart));
  CHECK(aggregator.TakeSummary(kStart));
  CHECK(aggregator.TryAccept(Heartbeat("w", 3), kStart));
  CHECK_FALSE(aggregator.TakeSummary(kStart + milliseconds(300))); // in flight
  aggregator.OnSummaryAccepted({}, kStart + milliseconds(300));
  CHECK(aggregator.TakeSummary(kStart + milliseconds(300)));
  aggregator.OnSummaryFailed();
  CHECK(aggregator.TryAccept(Heartbeat("w", 4), kStart + milliseconds(310)));
  CHECK_FALSE(aggregator.TakeSummary(kStart + milliseconds(310)));
}

TEST_CASE("a summary reports the newest incarnation, whatever its number")
{
  // Guards against a restarted worker that seems silent: its heartbeat numbers
  // restart, and the higher number of its former process is reported.
  heartbeat_aggregator aggregator;
  worker_heartbeat before = Heartbeat("w", 40);
  before.mDescription.mProcessStartMs = 1'000;
  worker_heartbeat after = Heartbeat("w", 2);
  after.mDescription.mProcessStartMs = 2'000;
  aggregator.OnAcknowledged(before, kStart);
  CHECK(aggregator.TryAccept(before, kStart));
  CHECK_FALSE(aggregator.TryAccept(
    after, kStart)); // the leader must learn of the restart
  aggregator.OnAcknowledged(after, kStart);
  CHECK(aggregator.TryAccept(after, kStart));
  const auto summary = aggregator.TakeSummary(kStart);
  REQUIRE(summary);
  REQUIRE(summary->mDigests.size() == 1);
  CHECK(summary->mDigests[0].mSequence == 2);
}

TEST_CASE("a heartbeat with a change goes to the leader individually")
{
  // Guards against runs that end with a draining worker: the worker's heartbeat
  // is answered here, the leader doesn't learn that it drains, and places new
  // runs there.
  heartbeat_aggregator aggregator;
  aggregator.OnAcknowledged(Heartbeat("w", 1), kStart);
  worker_heartbeat drains = Heartbeat("w", 2);
  drains.mDraining = true;
  CHECK_FALSE(aggregator.TryAccept(drains, kStart));
  worker_heartbeat grown = Heartbeat("w", 2);
  grown.mDescription.mCapacity.mMemoryMb += 1;
  CHECK_FALSE(aggregator.TryAccept(grown, kStart));
  CHECK_FALSE(aggregator.TryAccept(Heartbeat("ww", 1), kStart));
}

TEST_CASE("a worker that the leader has removed is registered again")
{
  // Guards against a worker that never gets work: the leader removed it after a
  // long silence, but its heartbeats are still answered here.
  heartbeat_aggregator aggregator;
  aggregator.OnAcknowledged(Heartbeat("w", 1), kStart);
  CHECK(aggregator.TryAccept(Heartbeat("w", 2), kStart));
  REQUIRE(aggregator.TakeSummary(kStart));
  const std::vector<worker_id> unknown{ worker_id("w") };
  aggregator.OnSummaryAccepted(unknown, kStart);
  CHECK_FALSE(aggregator.TryAccept(Heartbeat("w", 3), kStart));
}

TEST_CASE("a process partitioned from the leader accepts no heartbeats")
{
  heartbeat_aggregator aggregator;
  aggregator.OnAcknowledged(Heartbeat("w", 1), kStart);
  const time_point later = kStart + milliseconds(1'100);
  CHECK_FALSE(aggregator.IsAggregating(later));
  CHECK_FALSE(aggregator.TryAccept(Heartbeat("w", 2), later));
}

} // namespace oriolewalk::flow
