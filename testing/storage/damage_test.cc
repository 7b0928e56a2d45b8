#include <cstddef>
#include <cstdint>
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

TEST_CASE("a copy of an old block inside a torn one is not a block")
{
  // A payload holds bytes of the log itself (a backup, a trace), and the block
  // that has it is torn. Were the copy taken for a valid block after the torn
  // place, a plain crash would look like damage and the voter would not start.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk);
    REQUIRE(opened.mFolder->Append(Records(1, 1)));
    REQUIRE(opened.mFolder->Sync());
    const auto block = disk.Content(SegmentPath(1)).substr(kSegmentHeaderBytes);
    log_record trap{ 2, 1, 1, {} };
    for (std::size_t shift = 0; shift < 8; ++shift) {
      trap.mPayload += bytes(shift, 'x') + block; // One of them is aligned.
    }
    REQUIRE(opened.mFolder->Append(std::vector{ trap }));
    REQUIRE(opened.mFolder->Sync());
  }
  auto& content = disk.Content(SegmentPath(1));
  content.resize(content.size() - 8);
  CHECK(MustOpen(disk).mState.mRecords == Records(1, 1));
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
  // Also where it takes no record: segments of votes alone.
  faulty_disk disk;
  {
    auto opened = MustOpen(disk, TinySegments());
    for (int i = 0; i < 3; ++i) {
      REQUIRE(opened.mFolder->SaveVote("vote"));
      REQUIRE(opened.mFolder->Sync());
    }
  }
  SECTION("torn")
  {
    auto& content = disk.Content(SegmentPath(2));
    content.resize(content.size() - 8);
  }
  SECTION("missing")
  {
    REQUIRE(disk.Remove(SegmentPath(2)));
  }
  const auto problem = OpenError(disk);
  CHECK(problem.mCode == error_code::Corrupt);
  CHECK(problem.mMessage.find(SegmentName(2)) != std::string::npos);
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

} // namespace oriolewalk::storage
