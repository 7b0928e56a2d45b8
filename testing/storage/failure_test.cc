#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "oriolewalk/storage/data_folder.h"
#include "testing/storage/faulty_disk.h"
#include "testing/storage/folder_helpers.h"

namespace oriolewalk::storage {
namespace {

using fault = faulty_disk::fault;

} // namespace

TEST_CASE("a disk that fails stops the folder for good")
{
  // The disk is full, or a sync reports an error. The caller gets the error
  // and must tell nobody; a second try may not succeed, since the kernel has
  // dropped the pages and would report success. After a restart all that was
  // acknowledged before is there.
  const auto kind = GENERATE(fault::DiskFull,
                             fault::WriteError,
                             fault::SyncError,
                             fault::FolderSyncError);
  // A segment a block: each sync also makes a file and syncs the folder.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk, TinySegments());
    auto& folder = *opened.mFolder;
    REQUIRE(folder.Append(Records(1, 3)));
    REQUIRE(folder.SaveVote("first"));
    REQUIRE(folder.Sync());
    disk.FailAt(1, kind);
    REQUIRE(folder.Append(Records(4, 4)));
    REQUIRE(folder.SaveVote("second"));
    const auto failed = folder.Sync();
    REQUIRE_FALSE(failed);
    CHECK(failed.error().mCode == error_code::Io);
    const auto first = failed.error().Describe();
    CHECK(folder.Sync().error().Describe() == first);
    CHECK(folder.Append(Records(5, 5)).error().Describe() == first);
    CHECK(folder.SaveVote("x").error().Describe() == first);
    CHECK(folder.TruncateFrom(1).error().Describe() == first);
    CHECK(folder.SaveSnapshot({ 2, 1, "" }).error().Describe() == first);
  }
  random_source random(GENERATE(1U, 2U, 3U, 4U));
  disk.Crash(random);
  const auto state = MustOpen(disk).mState;
  REQUIRE(state.mRecords.size() >= 3);
  CHECK((state.mVote == "first" || state.mVote == "second"));
}

TEST_CASE("a short write is gone on with")
{
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    disk.FailAt(1, fault::ShortWrite);
    REQUIRE(opened.mFolder->Append(Records(1, 3)));
    REQUIRE(opened.mFolder->Sync());
  }
  random_source random(1);
  disk.Crash(random);
  CHECK(MustOpen(disk).mState.mRecords == Records(1, 3));
}

TEST_CASE("what a restart has shown stays, whatever the disk does next")
{
  // The process is killed between write and sync; the restart reads the block
  // from the page cache and acts on it, then the power fails. Without a sync
  // at the start the voter would forget what it has since told others.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->Append(Records(1, 1)));
    REQUIRE(opened.mFolder->Sync());
    REQUIRE(opened.mFolder->Append(Records(2, 2)));
    disk.FailAt(1, fault::SyncError);
    REQUIRE_FALSE(opened.mFolder->Sync());
  }
  disk.Kill();
  const auto shown = MustOpen(disk).mState.mRecords;
  CHECK(shown == Records(1, 2));
  random_source random(GENERATE(1U, 2U, 3U, 4U, 5U, 6U));
  disk.Crash(random);
  CHECK(MustOpen(disk).mState.mRecords == shown);
}

TEST_CASE("a snapshot survives power loss once it is saved")
{
  // No segment follows and none goes, so that no other step syncs the folder.
  // Were the new name lost, the log would say that the records up to the
  // snapshot are covered, and neither would be there: the voter could not
  // start.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->Append(Records(1, 3)));
    REQUIRE(opened.mFolder->SaveSnapshot({ 2, 1, "state" }));
  }
  random_source random(GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U));
  disk.Crash(random);
  const auto state = MustOpen(disk).mState;
  CHECK(state.mSnapshot == snapshot_record{ 2, 1, "state" });
  CHECK(state.mRecords == Records(3, 3));
}

TEST_CASE("a snapshot may be the first that a folder gets")
{
  // A new voter is sent the leader's snapshot before any record. A snapshot
  // with no segment beside it reads as a lost log, so that there must be one.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->SaveSnapshot({ 9, 1, "state" }));
  }
  random_source random(GENERATE(1U, 2U, 3U));
  disk.Crash(random);
  auto opened = MustOpen(disk);
  CHECK(opened.mState.mSnapshot == snapshot_record{ 9, 1, "state" });
  CHECK_FALSE(opened.mState.mFresh);
  CHECK(opened.mFolder->LastIndex() == 9);
}

TEST_CASE("power loss at every step of a run, with each chance")
{
  // The same run (vote, records, truncation, two snapshots, three segments) is
  // cut at each of its disk calls. What had been synced must be there; what
  // had not may be, as a prefix of what was asked.
  constexpr std::uint64_t kSeeds = 6;
  const auto run = [](data_folder& aFolder, std::uint64_t& aSynced) {
    for (std::uint64_t i = 1; i <= 12; ++i) {
      const auto vote = "vote " + std::to_string(i);
      if (!aFolder.Append(Records(i, i)) || !aFolder.SaveVote(vote) ||
          !aFolder.Sync()) {
        return;
      }
      aSynced = i;
      if (i % 5 == 0 && !aFolder.SaveSnapshot({ i - 1, 1, vote })) {
        return;
      }
    }
  };
  std::uint64_t at = 0;
  for (bool reached = true; reached;) {
    ++at;
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      faulty_disk disk;
      random_source random(seed);
      std::uint64_t synced = 0;
      {
        disk.FailAt(at, fault::PowerLoss);
        auto opened = data_folder::Open(disk, kPath, kIdentity, TinySegments());
        if (opened) {
          run(*opened->mFolder, synced);
        }
      }
      reached = disk.ChangingCalls() >= at;
      disk.Crash(random);
      INFO("power lost at call " << at << ", seed " << seed);
      const auto state = MustOpen(disk, TinySegments()).mState;
      const auto base = state.mSnapshot ? state.mSnapshot->mIndex : 0;
      const auto last = base + state.mRecords.size();
      REQUIRE(last >= synced);
      REQUIRE(last <= synced + 1);
      REQUIRE(state.mRecords == Records(base + 1, last));
      REQUIRE(state.mVote == (last == 0 ? "" : "vote " + std::to_string(last)));
      REQUIRE(state.mFresh == (last == 0));
    }
  }
  CHECK(at > 60);
}

} // namespace oriolewalk::storage
