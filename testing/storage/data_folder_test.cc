#include <algorithm>
#include <filesystem>
#include <iterator>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "oriolewalk/storage/data_folder.h"
#include "oriolewalk/storage/verify.h"
#include "testing/storage/faulty_disk.h"
#include "testing/storage/folder_helpers.h"

namespace oriolewalk::storage {

TEST_CASE("what was synced comes back")
{
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    CHECK(opened.mState.mFresh);
    auto& folder = *opened.mFolder;
    REQUIRE(folder.Append(Records(1, 10)));
    REQUIRE(folder.SaveVote("term 4, voted for 2"));
    REQUIRE(folder.TruncateFrom(8));
    REQUIRE(folder.Append(Records(8, 9, 2)));
    REQUIRE(folder.Sync());
    CHECK(folder.LastIndex() == 9);
  }
  disk.Kill();
  const auto state = MustOpen(disk).mState;
  CHECK_FALSE(state.mFresh);
  CHECK(state.mVote == "term 4, voted for 2");
  CHECK(state.mNotes.empty());
  auto expected = Records(1, 7);
  std::ranges::copy(Records(8, 9, 2), std::back_inserter(expected));
  CHECK(state.mRecords == expected);
}

TEST_CASE("one sync of the folder is one sync of the disk")
{
  faulty_disk disk;
  auto opened = MustOpen(disk);
  REQUIRE(opened.mFolder->Append(Records(1, 1)));
  REQUIRE(opened.mFolder->Sync());
  const auto before = disk.Syncs();
  REQUIRE(opened.mFolder->Append(Records(2, 100)));
  REQUIRE(opened.mFolder->SaveVote("vote"));
  REQUIRE(opened.mFolder->TruncateFrom(50));
  REQUIRE(opened.mFolder->Sync());
  CHECK(disk.Syncs() == before + 1);
  REQUIRE(opened.mFolder->Sync());
  CHECK(disk.Syncs() == before + 1);
}

TEST_CASE("a snapshot replaces the records that it covers")
{
  faulty_disk disk;
  {
    auto opened = MustOpen(disk, TinySegments());
    auto& folder = *opened.mFolder;
    REQUIRE(folder.SaveVote("vote"));
    for (std::uint64_t i = 1; i <= 10; ++i) {
      REQUIRE(folder.Append(Records(i, i)));
      REQUIRE(folder.Sync());
    }
    const auto before = disk.Paths().size();
    REQUIRE(folder.SaveSnapshot({ 7, 1, "state at 7" }));
    CHECK(disk.Paths().size() < before);
    CHECK_FALSE(folder.TruncateFrom(7));
    REQUIRE(folder.SaveSnapshot({ 8, 1, "state at 8" }));
  }
  const auto state = MustOpen(disk).mState;
  CHECK(state.mVote == "vote");
  REQUIRE(state.mSnapshot);
  CHECK(*state.mSnapshot == snapshot_record{ 8, 1, "state at 8" });
  CHECK(state.mRecords == Records(9, 10));
}

TEST_CASE("a snapshot past the log replaces the log")
{
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->Append(Records(1, 3)));
    REQUIRE(opened.mFolder->SaveSnapshot({ 50, 6, "from the leader" }));
    CHECK(opened.mFolder->LastIndex() == 50);
    REQUIRE(opened.mFolder->Append(Records(51, 52, 6)));
    REQUIRE(opened.mFolder->Sync());
  }
  const auto state = MustOpen(disk).mState;
  CHECK(state.mSnapshot->mIndex == 50);
  CHECK(state.mRecords == Records(51, 52, 6));
}

TEST_CASE("the leader's snapshot replaces records past it")
{
  // A voter has records of a branch that was never committed, further on than
  // the snapshot that the new leader sends. Were they kept, the leader's next
  // record would not fit and the voter would stop; after a restart they would
  // stand in the log with a term below the snapshot's.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    auto& folder = *opened.mFolder;
    REQUIRE(folder.Append(Records(1, 20, 2)));
    REQUIRE(folder.Sync());
    REQUIRE(folder.InstallSnapshot({ 10, 3, "committed" }));
    CHECK(folder.LastIndex() == 10);
    REQUIRE(folder.Append(Records(11, 12, 3)));
    REQUIRE(folder.Sync());
    REQUIRE(folder.InstallSnapshot({ 10, 3, "again, late" }));
    CHECK(folder.LastIndex() == 12);
  }
  const auto state = MustOpen(disk).mState;
  CHECK(state.mSnapshot == snapshot_record{ 10, 3, "committed" });
  CHECK(state.mRecords == Records(11, 12, 3));
}

TEST_CASE("calls that make no sense are refused and take nothing")
{
  faulty_disk disk;
  auto opened = MustOpen(disk);
  auto& folder = *opened.mFolder;
  REQUIRE(folder.Append(Records(1, 5)));
  CHECK(folder.Append(Records(7, 8)).error().mCode ==
        error_code::InvalidArgument);
  CHECK(folder.Append(Records(5, 6)).error().mCode ==
        error_code::InvalidArgument);
  REQUIRE(folder.SaveSnapshot({ 3, 1, "s" }));
  const auto calls = disk.ChangingCalls();
  CHECK(folder.SaveSnapshot({ 3, 1, "other" }));
  CHECK(folder.SaveSnapshot({ 2, 1, "older" }));
  CHECK(disk.ChangingCalls() == calls);
  CHECK(folder.TruncateFrom(3).error().mCode == error_code::InvalidArgument);
  CHECK(folder.TruncateFrom(6));
  CHECK(folder.LastIndex() == 5);
  CHECK_FALSE(folder.Failure());
}

TEST_CASE("the folder on the machine's own files")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("oriole-storage-test-" + std::to_string(::getpid()));
  std::filesystem::remove_all(path);
  posix_file_system files;
  {
    auto opened = data_folder::Open(files, path, kIdentity, {});
    REQUIRE(opened);
    REQUIRE(opened->mFolder->Append(Records(1, 100)));
    REQUIRE(opened->mFolder->SaveSnapshot({ 90, 1, "state" }));
    REQUIRE(opened->mFolder->SaveVote("vote"));
    REQUIRE(opened->mFolder->Sync());
    const auto second = data_folder::Open(files, path, kIdentity, {});
    REQUIRE_FALSE(second);
    CHECK(second.error().mCode == error_code::Busy);
  }
  const auto again = data_folder::Open(files, path, kIdentity, {});
  REQUIRE(again);
  CHECK(again->mState.mRecords == Records(91, 100));
  CHECK(again->mState.mVote == "vote");
  const auto report = Verify(files, path);
  REQUIRE(report);
  CHECK(report->Sound());
  CHECK(report->mIdentity == kIdentity);
  CHECK(report->mLastIndex == 100);
  std::filesystem::remove_all(path);
}

} // namespace oriolewalk::storage
