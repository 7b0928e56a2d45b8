#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/storage/data_folder.h"
#include "oriolewalk/storage/segment.h"
#include "oriolewalk/storage/verify.h"
#include "testing/storage/faulty_disk.h"
#include "testing/storage/folder_helpers.h"

namespace oriolewalk::storage {
namespace {

using fault = faulty_disk::fault;

std::string
SegmentPath(std::uint64_t aNumber)
{
  return kPath + "/" + SegmentName(aNumber);
}

// Three synced blocks in one segment, then the process ends.
void
WriteThreeBlocks(faulty_disk& aDisk, const folder_options& aOptions = {})
{
  auto opened = MustOpen(aDisk, aOptions);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    REQUIRE(opened.mFolder->Append(Records(i, i)));
    REQUIRE(opened.mFolder->Sync());
  }
}

} // namespace

TEST_CASE("a torn tail is cut, said and forgotten")
{
  // The power fails during the write of the last block: some of its bytes are
  // there. Nobody was told of it, so that it may go; the voter starts with
  // the rest and its log names file and offset, once.
  const auto cut = GENERATE(1U, 20U, 40U, 64U);
  faulty_disk disk;
  WriteThreeBlocks(disk);
  auto& content = disk.Content(SegmentPath(1));
  content.resize(content.size() - cut);
  const auto report = Verify(disk, kPath);
  REQUIRE(report);
  CHECK(report->Sound());
  CHECK(report->mFindings.size() == 1);
  {
    auto opened = MustOpen(disk);
    CHECK(opened.mState.mRecords == Records(1, 2));
    REQUIRE(opened.mState.mNotes.size() == 1);
    CHECK(opened.mState.mNotes[0].starts_with(SegmentName(1) + " at offset "));
    REQUIRE(opened.mFolder->Append(Records(3, 4, 2)));
    REQUIRE(opened.mFolder->Sync());
  }
  const auto state = MustOpen(disk).mState;
  CHECK(state.mNotes.empty());
  CHECK(state.mRecords.size() == 4);
  CHECK(state.mRecords.back().mTerm == 2);
}

TEST_CASE("damage before a valid block is reported and never skipped")
{
  // A bit rots in a block that was acknowledged. Cutting there would drop the
  // valid block after it, which others count on: the voter must refuse to
  // start and name the place, and leave the file as it is.
  faulty_disk disk;
  WriteThreeBlocks(disk);
  auto& content = disk.Content(SegmentPath(1));
  const auto place = GENERATE(0U, 9U, 32U, 36U, 40U, 60U, 80U, 120U);
  const auto before = content;
  content[place] = static_cast<char>(content[place] ^ 1);
  const auto damaged = content;
  const auto problem = OpenError(disk);
  CHECK(problem.mCode == error_code::Corrupt);
  CHECK(problem.mMessage.find(SegmentName(1) + " at offset ") !=
        std::string::npos);
  CHECK(disk.Content(SegmentPath(1)) == damaged);
  const auto report = Verify(disk, kPath);
  REQUIRE(report);
  CHECK_FALSE(report->Sound());
  CHECK(report->ToText().find("damage: " + SegmentName(1)) !=
        std::string::npos);
  disk.Content(SegmentPath(1)) = before;
  CHECK(MustOpen(disk).mState.mRecords.size() == 3);
}

TEST_CASE("a torn tail in any but the last segment is damage")
{
  faulty_disk disk;
  WriteThreeBlocks(disk, TinySegments());
  auto& content = disk.Content(SegmentPath(2));
  content.resize(content.size() - 8);
  CHECK(OpenError(disk).mCode == error_code::Corrupt);
}

TEST_CASE("a missing file is damage")
{
  // An operator deletes a segment to free space, or restores half a backup.
  // The folder must not pass for one that never had those records.
  faulty_disk disk;
  WriteThreeBlocks(disk, TinySegments());
  const auto lost = GENERATE(as<std::string>{},
                             "wal-0000000000000001",
                             "wal-0000000000000002",
                             "IDENTITY");
  REQUIRE(disk.Remove(kPath + "/" + lost));
  CHECK(OpenError(disk).mCode == error_code::Corrupt);
}

TEST_CASE("a damaged snapshot or identity is damage")
{
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->Append(Records(1, 3)));
    REQUIRE(opened.mFolder->SaveSnapshot({ 3, 1, "a state of some length" }));
  }
  const auto name =
    GENERATE(as<std::string>{}, "snapshot-0000000000000003", "IDENTITY");
  const auto place = GENERATE(0U, 8U, 16U, 24U, 40U);
  auto& content = disk.Content(kPath + "/" + name);
  content[place] = static_cast<char>(content[place] ^ 0x10);
  const auto problem = OpenError(disk);
  CHECK(problem.mCode == error_code::Corrupt);
  CHECK(problem.mMessage.find(name + " at offset ") != std::string::npos);
}

TEST_CASE("another's folder is refused")
{
  faulty_disk disk;
  WriteThreeBlocks(disk);
  CHECK(OpenError(disk, { "cell-1", 4 }).mCode == error_code::InvalidArgument);
  CHECK(OpenError(disk, { "cell-2", 3 }).mCode == error_code::InvalidArgument);
  auto opened = MustOpen(disk);
  CHECK(OpenError(disk).mCode == error_code::Busy);
}

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
    const auto first = folder.Failure()->Describe();
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
