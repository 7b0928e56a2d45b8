#include "oriolewalk/storage/recovery.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/owned_file.h"
#include "oriolewalk/storage/records.h"
#include "oriolewalk/storage/replay.h"
#include "oriolewalk/storage/sealed_file.h"
#include "oriolewalk/storage/segment.h"

namespace oriolewalk::storage {
namespace {

constexpr std::string_view kStep = "read data folder";

std::string
Place(std::string_view aFile, std::uint64_t aOffset)
{
  return std::string(aFile) + " at offset " + std::to_string(aOffset);
}

tl::unexpected<error>
Damage(std::string_view aFile, std::uint64_t aOffset, std::string_view aReason)
{
  return Fail(error_code::Corrupt,
              kStep,
              Place(aFile, aOffset) + ": " + std::string(aReason));
}

result<void>
ReplayBlock(const block_view& aBlock,
            std::string_view aFile,
            log_replay& aReplay,
            recovered_segment& aSegment)
{
  auto entries = Decode<std::vector<entry>>(aBlock.mBody, kStep);
  if (!entries) {
    return Damage(aFile, aBlock.mOffset, entries.error().mMessage);
  }
  for (auto& change : *entries) {
    if (const auto* record = std::get_if<log_record>(&change)) {
      aSegment.mHighestIndex = std::max(aSegment.mHighestIndex, record->mIndex);
    }
    if (auto applied = aReplay.Apply(std::move(change)); !applied) {
      return Damage(aFile, aBlock.mOffset, applied.error().mMessage);
    }
  }
  return {};
}

// aIsLast: only there may a torn tail be.
result<recovered_segment>
ReadSegment(file_system& aFiles,
            const std::string& aPath,
            std::uint64_t aNumber,
            bool aIsLast,
            log_replay& aReplay)
{
  const auto name = SegmentName(aNumber);
  const auto content = aFiles.ReadAll(aPath + "/" + name);
  if (!content) {
    return Fail(content.error().At(kStep));
  }
  const auto scan = ScanSegment(*content, aNumber);
  if (scan.mNewerFormat && scan.mBad) {
    return Fail(
      error_code::InvalidArgument, kStep, name + ": " + scan.mBad->mReason);
  }
  if (scan.mBad && !(aIsLast && scan.mBad->mTorn)) {
    return Damage(name, scan.mBad->mOffset, scan.mBad->mReason);
  }
  recovered_segment segment;
  segment.mNumber = aNumber;
  segment.mFileSize = content->size();
  segment.mGoodEnd = scan.mGoodEnd;
  segment.mBlocks = scan.mBlocks.size();
  for (const auto& block : scan.mBlocks) {
    if (auto done = ReplayBlock(block, name, aReplay, segment); !done) {
      return Fail(done.error());
    }
  }
  if (!scan.mBlocks.empty()) {
    const auto& last = scan.mBlocks.back();
    segment.mLastBlockAt = last.mOffset;
    segment.mLastBlock = content->substr(last.mOffset, last.mSize);
  }
  return segment;
}

result<void>
CheckNames(const folder_listing& aListing)
{
  const auto& numbers = aListing.mSegments;
  const auto gap = std::ranges::adjacent_find(
    numbers, [](auto aLeft, auto aRight) { return aLeft + 1 != aRight; });
  if (gap != numbers.end()) {
    return Damage(SegmentName(*gap + 1), 0, "the segment is missing");
  }
  if (numbers.empty() && !aListing.mSnapshots.empty()) {
    return Damage(SegmentName(1), 0, "a snapshot is there, but no segment");
  }
  if (!aListing.mHasIdentity &&
      (!numbers.empty() || !aListing.mSnapshots.empty())) {
    return Damage(kIdentityName, 0, "the file is missing beside a log");
  }
  return {};
}

result<void>
ReadNewestSnapshot(file_system& aFiles,
                   const std::string& aPath,
                   const folder_listing& aListing,
                   folder_contents& aContents)
{
  if (aListing.mSnapshots.empty()) {
    return {};
  }
  const auto newest = aListing.mSnapshots.back();
  auto snapshot = ReadSnapshot(aFiles, aPath, newest);
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  aContents.mState.mSnapshot = std::move(*snapshot);
  for (const auto index : aListing.mSnapshots) {
    if (index != newest) {
      aContents.mLeftovers.push_back(SnapshotName(index));
    }
  }
  return {};
}

result<void>
ReadLog(file_system& aFiles,
        const std::string& aPath,
        const folder_listing& aListing,
        folder_contents& aContents)
{
  log_replay replay;
  for (const auto number : aListing.mSegments) {
    const bool isLast = number == aListing.mSegments.back();
    auto segment = ReadSegment(aFiles, aPath, number, isLast, replay);
    if (!segment) {
      return Fail(segment.error());
    }
    if (segment->mGoodEnd < segment->mFileSize || segment->mGoodEnd == 0) {
      const auto lost = segment->mFileSize - segment->mGoodEnd;
      aContents.mState.mNotes.push_back(
        Place(SegmentName(number), segment->mGoodEnd) + ": a torn tail of " +
        std::to_string(lost) + " bytes, never acknowledged");
    }
    aContents.mSegments.push_back(std::move(*segment));
  }
  auto& state = aContents.mState;
  const auto covered = state.mSnapshot ? state.mSnapshot->mIndex : 0;
  if (auto finished = replay.Finish(covered); !finished) {
    const auto first =
      aListing.mSegments.empty() ? 1 : aListing.mSegments.front();
    return Damage(SegmentName(first), 0, finished.error().mMessage);
  }
  aContents.mLastIndex = replay.LastIndex();
  state.mVote = std::move(replay.Vote());
  state.mRecords = std::move(replay.Records());
  return {};
}

} // namespace

result<folder_listing>
ListFolder(file_system& aFiles, const std::string& aPath)
{
  auto names = aFiles.List(aPath);
  if (!names) {
    return Fail(names.error().At(kStep));
  }
  folder_listing listing;
  for (auto& name : *names) {
    if (const auto number = SegmentNumber(name)) {
      listing.mSegments.push_back(*number);
    } else if (const auto index = SnapshotIndex(name)) {
      listing.mSnapshots.push_back(*index);
    } else if (name == kIdentityName) {
      listing.mHasIdentity = true;
    } else if (name.ends_with(kTemporarySuffix)) {
      listing.mTemporary.push_back(std::move(name));
    }
  }
  std::ranges::sort(listing.mSegments);
  std::ranges::sort(listing.mSnapshots);
  return listing;
}

result<folder_identity>
ReadIdentity(file_system& aFiles, const std::string& aPath)
{
  const auto content = aFiles.ReadAll(aPath + "/" + std::string(kIdentityName));
  if (!content) {
    return Fail(content.error().At(kStep));
  }
  const auto body = Unseal(kIdentityKind, *content, std::string(kIdentityName));
  if (!body) {
    return Fail(body.error().At(kStep));
  }
  return Decode<folder_identity>(*body, kStep);
}

result<snapshot_record>
ReadSnapshot(file_system& aFiles,
             const std::string& aPath,
             std::uint64_t aIndex)
{
  const auto name = SnapshotName(aIndex);
  const auto content = aFiles.ReadAll(aPath + "/" + name);
  if (!content) {
    return Fail(content.error().At(kStep));
  }
  const auto body = Unseal(kSnapshotKind, *content, name);
  if (!body) {
    return Fail(body.error().At(kStep));
  }
  auto snapshot = Decode<snapshot_record>(*body, kStep);
  if (!snapshot || snapshot->mIndex != aIndex) {
    return Damage(name, 0, "the snapshot is not the one that it is named for");
  }
  return snapshot;
}

result<folder_contents>
ReadFolder(file_system& aFiles, const std::string& aPath)
{
  const auto listing = ListFolder(aFiles, aPath);
  if (!listing) {
    return Fail(listing.error());
  }
  folder_contents contents;
  contents.mLeftovers = listing->mTemporary;
  if (listing->mHasIdentity) {
    auto identity = ReadIdentity(aFiles, aPath);
    if (!identity) {
      return Fail(identity.error());
    }
    contents.mIdentity = std::move(*identity);
  }
  auto read =
    CheckNames(*listing)
      .and_then(
        [&] { return ReadNewestSnapshot(aFiles, aPath, *listing, contents); })
      .and_then([&] { return ReadLog(aFiles, aPath, *listing, contents); });
  if (!read) {
    return Fail(read.error());
  }
  auto& state = contents.mState;
  state.mFresh =
    state.mVote.empty() && !state.mSnapshot && state.mRecords.empty();
  return contents;
}

} // namespace oriolewalk::storage
