#include "oriolewalk/storage/data_folder.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/open_folder.h"
#include "oriolewalk/storage/owned_file.h"
#include "oriolewalk/storage/records.h"
#include "oriolewalk/storage/recovery.h"
#include "oriolewalk/storage/sealed_file.h"
#include "oriolewalk/storage/segment.h"

namespace oriolewalk::storage {
namespace {

// A block's length is a 32-bit number; this stays far below it.
constexpr std::size_t kRecordBytes = 256UL * 1024UL * 1024UL;
// About what an entry costs beside its payload.
constexpr std::size_t kEntryOverhead = 32;

std::size_t
SizeOf(const entry& aEntry)
{
  if (const auto* record = std::get_if<log_record>(&aEntry)) {
    return kEntryOverhead + record->mPayload.size();
  }
  if (const auto* vote = std::get_if<vote_entry>(&aEntry)) {
    return kEntryOverhead + vote->mVote.size();
  }
  return kEntryOverhead;
}

} // namespace

result<opened_folder>
data_folder::Open(file_system& aFiles,
                  const std::string& aPath,
                  const folder_identity& aIdentity,
                  const folder_options& aOptions)
{
  constexpr std::string_view kStep = "open data folder";
  auto lock = LockFolder(aFiles, aPath);
  if (!lock) {
    return Fail(lock.error().At(kStep));
  }
  auto contents = ReadFolder(aFiles, aPath);
  if (!contents) {
    return Fail(contents.error().At(kStep));
  }
  auto ready = ClaimIdentity(aFiles, aPath, aIdentity, *contents).and_then([&] {
    return Repair(aFiles, aPath, *contents);
  });
  if (!ready) {
    return Fail(ready.error().At(kStep));
  }
  opened_folder opened;
  opened.mFolder.reset(
    new data_folder(aFiles, aPath, aOptions, std::move(*lock)));
  opened.mFolder->Adopt(*contents);
  opened.mState = std::move(contents->mState);
  return opened;
}

data_folder::data_folder(file_system& aFiles,
                         std::string aPath,
                         const folder_options& aOptions,
                         owned_file aLock)
  : mFiles(aFiles)
  , mPath(std::move(aPath))
  , mOptions(aOptions)
  , mLock(std::move(aLock))
{
}

void
data_folder::Adopt(const folder_contents& aContents)
{
  const auto& state = aContents.mState;
  mLastIndex = aContents.mLastIndex;
  mSnapshotIndex = state.mSnapshot ? state.mSnapshot->mIndex : 0;
  mWritten = position_entry{ mSnapshotIndex, mLastIndex };
  mWrittenVote = state.mVote;
  for (const auto& segment : aContents.mSegments) {
    mSealed.push_back({ segment.mNumber, segment.mHighestIndex });
    mSegmentNumber = segment.mNumber;
  }
}

result<void>
data_folder::Append(std::span<const log_record> aRecords)
{
  constexpr std::string_view kStep = "append records";
  if (mFailure) {
    return Fail(*mFailure);
  }
  auto expected = mLastIndex;
  for (const auto& record : aRecords) {
    if (record.mIndex != ++expected || record.mPayload.size() > kRecordBytes) {
      return Fail(error_code::InvalidArgument,
                  kStep,
                  "record " + std::to_string(record.mIndex) + " of " +
                    std::to_string(record.mPayload.size()) +
                    " bytes cannot follow record " +
                    std::to_string(expected - 1));
    }
  }
  for (const auto& record : aRecords) {
    mLastIndex = record.mIndex;
    if (auto buffered = Buffer(record); !buffered) {
      return buffered;
    }
  }
  return {};
}

result<void>
data_folder::TruncateFrom(std::uint64_t aIndex)
{
  if (mFailure) {
    return Fail(*mFailure);
  }
  if (aIndex > mLastIndex) {
    return {};
  }
  if (aIndex <= mSnapshotIndex) {
    return Fail(error_code::InvalidArgument,
                "truncate log",
                "record " + std::to_string(aIndex) +
                  " is covered by the snapshot");
  }
  mLastIndex = aIndex - 1;
  return Buffer(truncate_entry{ aIndex });
}

result<void>
data_folder::SaveVote(std::string_view aVote)
{
  if (mFailure) {
    return Fail(*mFailure);
  }
  return Buffer(vote_entry{ bytes(aVote) });
}

result<void>
data_folder::Buffer(entry aEntry)
{
  mBufferedBytes += SizeOf(aEntry);
  mBuffer.push_back(std::move(aEntry));
  if (mBufferedBytes < mOptions.mBlockBytes) {
    return {};
  }
  return WriteBlock();
}

result<void>
data_folder::Sync()
{
  if (mFailure) {
    return Fail(*mFailure);
  }
  if (mBuffer.empty()) {
    return {};
  }
  return WriteBlock();
}

// The only writer of the log. The next block is written only after this one is
// durable: see segment.h for why a crash then cannot look like damage.
result<void>
data_folder::WriteBlock()
{
  if (!mSegment.IsOpen() || mSegmentSize >= mOptions.mSegmentBytes) {
    if (auto started = StartSegment(); !started) {
      return Failed(started.error(), "start segment");
    }
  }
  const auto block =
    MakeBlock(mSegmentNumber, mSegmentSize, mNextBlock, Encode(mBuffer));
  auto written = mSegment.WriteAll(mSegmentSize, block).and_then([this] {
    return mSegment.Sync();
  });
  if (!written) {
    return Failed(written.error(), "write log");
  }
  mSegmentSize += block.size();
  ++mNextBlock;
  RememberWritten();
  return {};
}

void
data_folder::RememberWritten()
{
  for (auto& change : mBuffer) {
    if (const auto* record = std::get_if<log_record>(&change)) {
      mSegmentHighest = std::max(mSegmentHighest, record->mIndex);
    } else if (auto* vote = std::get_if<vote_entry>(&change)) {
      mWrittenVote = std::move(vote->mVote);
    }
  }
  mWritten = position_entry{ mSnapshotIndex, mLastIndex };
  mBuffer.clear();
  mBufferedBytes = 0;
}

result<void>
data_folder::StartSegment()
{
  if (mSegment.IsOpen()) {
    mSealed.push_back({ mSegmentNumber, mSegmentHighest });
  }
  const auto number = mSegmentNumber + 1;
  auto file = CreateFile(mFiles, mPath + "/" + SegmentName(number));
  if (!file) {
    return Fail(file.error());
  }
  const auto header = SegmentHeader(number);
  auto made = file->WriteAll(0, header)
                .and_then([&] { return file->Sync(); })
                .and_then([&] { return mFiles.SyncFolder(mPath); });
  if (!made) {
    return made;
  }
  mSegment = std::move(*file);
  mSegmentNumber = number;
  mSegmentSize = header.size();
  mSegmentHighest = 0;
  mNextBlock = 0;
  auto opened = Opening();
  std::ranges::move(mBuffer, std::back_inserter(opened));
  mBuffer = std::move(opened);
  return {};
}

// The vote may stand only in a segment that a snapshot lets go: without a copy
// here the voter would forget it and could vote twice in one term.
std::vector<entry>
data_folder::Opening() const
{
  std::vector<entry> opening;
  opening.emplace_back(mWritten);
  if (!mWrittenVote.empty()) {
    opening.emplace_back(vote_entry{ mWrittenVote });
  }
  return opening;
}

result<void>
data_folder::SaveSnapshot(const snapshot_record& aSnapshot)
{
  if (mFailure) {
    return Fail(*mFailure);
  }
  if (aSnapshot.mIndex <= mSnapshotIndex) {
    return {};
  }
  if (!mSegment.IsOpen()) {
    // A snapshot without any segment reads as a lost log: start one first.
    if (auto started = StartSegment(); !started) {
      return Failed(started.error(), "start segment");
    }
  }
  if (auto synced = Sync(); !synced) {
    return synced;
  }
  if (auto written = WriteSnapshotFile(aSnapshot); !written) {
    return Failed(written.error(), "write snapshot");
  }
  mSnapshotIndex = aSnapshot.mIndex;
  mLastIndex = std::max(mLastIndex, aSnapshot.mIndex);
  // Goes out with the next block; until then recovery works it out from the
  // snapshot. The open segment has its first block, and with it the vote, so
  // that the older ones may go.
  mBuffer.emplace_back(position_entry{ mSnapshotIndex, mLastIndex });
  if (auto removed = RemoveCovered(); !removed) {
    return Failed(removed.error(), "remove old segments");
  }
  return {};
}

result<void>
data_folder::InstallSnapshot(const snapshot_record& aSnapshot)
{
  // Durable before the snapshot is: a crash between the two leaves a shorter
  // log of the old branch, from which the leader sends the snapshot again.
  if (aSnapshot.mIndex > mSnapshotIndex) {
    if (auto cut = TruncateFrom(aSnapshot.mIndex + 1); !cut) {
      return cut;
    }
  }
  return SaveSnapshot(aSnapshot);
}

result<void>
data_folder::WriteSnapshotFile(const snapshot_record& aSnapshot)
{
  return ReplaceFile(mFiles,
                     mPath,
                     SnapshotName(aSnapshot.mIndex),
                     Seal(kSnapshotKind, Encode(aSnapshot)));
}

result<void>
data_folder::RemoveCovered()
{
  const auto listing = ListFolder(mFiles, mPath);
  if (!listing) {
    return Fail(listing.error());
  }
  for (const auto index : listing->mSnapshots) {
    if (index >= mSnapshotIndex) {
      continue;
    }
    if (auto done = RemoveDurably(mFiles, mPath, SnapshotName(index)); !done) {
      return done;
    }
  }
  // Oldest first and one at a time, so that a crash leaves no gap.
  while (!mSealed.empty() && mSealed.front().mHighestIndex <= mSnapshotIndex) {
    const auto name = SegmentName(mSealed.front().mNumber);
    if (auto done = RemoveDurably(mFiles, mPath, name); !done) {
      return done;
    }
    mSealed.pop_front();
  }
  return {};
}

result<void>
data_folder::Failed(const error& aError, std::string_view aStep)
{
  mFailure = aError.At(aStep);
  return Fail(*mFailure);
}

} // namespace oriolewalk::storage
