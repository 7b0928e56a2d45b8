#include <catch2/catch.hpp>

#include "oriolewalk/flow/heartbeat_aggregator.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::Worker;

constexpr time_point kStart{ seconds(100) };

worker_beat
Beat(const std::string& aId, std::int64_t aNumber)
{
  worker_beat beat;
  beat.mFacts = Worker(aId);
  beat.mNumber = aNumber;
  beat.mClockMs = 1'000 * aNumber;
  return beat;
}

} // namespace

TEST_CASE("a heartbeat that says nothing new is told in a summary")
{
  beat_desk desk;
  CHECK_FALSE(desk.Take(Beat("w", 1), kStart));
  CHECK_FALSE(desk.TakeSummary(kStart));
  desk.Acknowledged(Beat("w", 1), kStart);
  CHECK(desk.Take(Beat("w", 3), kStart));
  CHECK(desk.Take(Beat("w", 2), kStart)); // overtaken on its way
  const auto summary = desk.TakeSummary(kStart);
  REQUIRE(summary);
  REQUIRE(summary->mNotes.size() == 1);
  CHECK(summary->mNotes[0].mNumber == 3);
  CHECK(summary->mNotes[0].mClockMs == 3'000);
}

TEST_CASE("summaries go one at a time, a quarter second apart")
{
  beat_desk desk;
  desk.Acknowledged(Beat("w", 1), kStart);
  CHECK(desk.Take(Beat("w", 2), kStart));
  CHECK(desk.TakeSummary(kStart));
  CHECK(desk.Take(Beat("w", 3), kStart));
  CHECK_FALSE(desk.TakeSummary(kStart + milliseconds(300))); // under way
  desk.Summarised({}, kStart + milliseconds(300));
  CHECK(desk.TakeSummary(kStart + milliseconds(300)));
  desk.SummaryFailed();
  CHECK(desk.Take(Beat("w", 4), kStart + milliseconds(310)));
  CHECK_FALSE(desk.TakeSummary(kStart + milliseconds(310)));
}

TEST_CASE("a summary tells of the newest life, whatever its number")
{
  // A worker has started again under its id and numbers its heartbeats anew.
  // Were the higher number told, the new process would seem silent.
  beat_desk desk;
  worker_beat before = Beat("w", 40);
  before.mFacts.mBornMs = 1'000;
  worker_beat after = Beat("w", 2);
  after.mFacts.mBornMs = 2'000;
  desk.Acknowledged(before, kStart);
  CHECK(desk.Take(before, kStart));
  CHECK_FALSE(desk.Take(after, kStart)); // the leader must hear of the restart
  desk.Acknowledged(after, kStart);
  CHECK(desk.Take(after, kStart));
  const auto summary = desk.TakeSummary(kStart);
  REQUIRE(summary);
  REQUIRE(summary->mNotes.size() == 1);
  CHECK(summary->mNotes[0].mNumber == 2);
}

TEST_CASE("whatever changes goes to the leader by itself")
{
  // A worker says that it drains. Answered from here it would believe that the
  // leader knows, and be given work that ends with it.
  beat_desk desk;
  desk.Acknowledged(Beat("w", 1), kStart);
  worker_beat drains = Beat("w", 2);
  drains.mDraining = true;
  CHECK_FALSE(desk.Take(drains, kStart));
  worker_beat grown = Beat("w", 2);
  grown.mFacts.mCapacity.mMemoryMb += 1;
  CHECK_FALSE(desk.Take(grown, kStart));
  CHECK_FALSE(desk.Take(Beat("ww", 1), kStart));
}

TEST_CASE("a worker that the leader forgot is made known anew")
{
  // The leader took it out after a long silence. Its heartbeats are answered
  // here all the while: unless the leader's word counts, it never gets work.
  beat_desk desk;
  desk.Acknowledged(Beat("w", 1), kStart);
  CHECK(desk.Take(Beat("w", 2), kStart));
  REQUIRE(desk.TakeSummary(kStart));
  const std::vector<worker_id> unknown{ worker_id("w") };
  desk.Summarised(unknown, kStart);
  CHECK_FALSE(desk.Take(Beat("w", 3), kStart));
}

TEST_CASE("a process that is cut off from the leader holds no workers")
{
  beat_desk desk;
  desk.Acknowledged(Beat("w", 1), kStart);
  const time_point later = kStart + milliseconds(1'100);
  CHECK_FALSE(desk.IsGathering(later));
  CHECK_FALSE(desk.Take(Beat("w", 2), later));
}

} // namespace oriolewalk::flow
