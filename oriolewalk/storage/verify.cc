#include "oriolewalk/storage/verify.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/recovery.h"
#include "oriolewalk/storage/segment.h"

namespace oriolewalk::storage {
namespace {

// An error that says what is wrong with the bytes, not with reading them.
bool
IsFinding(const error& aError)
{
  return aError.mCode == error_code::Corrupt ||
         aError.mCode == error_code::InvalidArgument;
}

result<void>
CheckSegment(file_system& aFiles,
             const std::string& aPath,
             std::uint64_t aNumber,
             bool aIsLast,
             verify_report& aReport)
{
  const auto name = SegmentName(aNumber);
  const auto content = aFiles.ReadAll(aPath + "/" + name);
  if (!content) {
    return Fail(content.error());
  }
  const auto scan = ScanSegment(*content, aNumber);
  ++aReport.mSegments;
  aReport.mBlocks += scan.mBlocks.size();
  aReport.mBytes += content->size();
  if (scan.mBad) {
    const bool damage = !(aIsLast && scan.mBad->mTorn);
    aReport.mFindings.push_back(
      { name, scan.mBad->mOffset, scan.mBad->mReason, damage });
  }
  return {};
}

result<void>
CheckSnapshot(file_system& aFiles,
              const std::string& aPath,
              std::uint64_t aIndex,
              verify_report& aReport)
{
  const auto snapshot = ReadSnapshot(aFiles, aPath, aIndex);
  if (!snapshot && !IsFinding(snapshot.error())) {
    return Fail(snapshot.error());
  }
  if (!snapshot) {
    aReport.mFindings.push_back(
      { SnapshotName(aIndex), 0, snapshot.error().mMessage, true });
    return {};
  }
  aReport.mBytes += snapshot->mBody.size();
  return {};
}

// What only the files together show: a gap, another format, a bad identity.
result<void>
CheckTogether(file_system& aFiles,
              const std::string& aPath,
              verify_report& aReport)
{
  const auto contents = ReadFolder(aFiles, aPath);
  if (!contents && !IsFinding(contents.error())) {
    return Fail(contents.error());
  }
  if (!contents) {
    const bool known = !aReport.Sound();
    if (!known) {
      aReport.mFindings.push_back(
        { aPath, 0, contents.error().mMessage, true });
    }
    return {};
  }
  const auto& state = contents->mState;
  aReport.mIdentity = contents->mIdentity;
  aReport.mLastIndex = contents->mLastIndex;
  aReport.mVoteBytes = state.mVote.size();
  if (!state.mRecords.empty()) {
    aReport.mFirstIndex = state.mRecords.front().mIndex;
  }
  if (state.mSnapshot) {
    aReport.mSnapshotIndex = state.mSnapshot->mIndex;
  }
  return {};
}

} // namespace

bool
verify_report::Sound() const
{
  return std::ranges::none_of(mFindings, &verify_finding::mDamage);
}

std::string
verify_report::ToText() const
{
  std::string text;
  const auto line = [&text](std::string aName, const std::string& aValue) {
    text += std::move(aName) + ": " + aValue + "\n";
  };
  if (mIdentity) {
    line("cluster", mIdentity->mCluster);
    line("node", std::to_string(mIdentity->mNode));
  }
  line("segments", std::to_string(mSegments));
  line("blocks", std::to_string(mBlocks));
  line("bytes", std::to_string(mBytes));
  line("snapshot",
       mSnapshotIndex ? "up to " + std::to_string(*mSnapshotIndex) : "none");
  if (Sound()) {
    line("last index", std::to_string(mLastIndex));
    line("vote bytes", std::to_string(mVoteBytes));
  }
  for (const auto& finding : mFindings) {
    line(finding.mDamage ? "damage" : "torn tail",
         finding.mFile + " at offset " + std::to_string(finding.mOffset) +
           ": " + finding.mMessage);
  }
  line("result", Sound() ? "sound" : "damaged");
  return text;
}

result<verify_report>
Verify(file_system& aFiles, const std::string& aPath)
{
  const auto listing = ListFolder(aFiles, aPath);
  if (!listing) {
    return Fail(listing.error());
  }
  verify_report report;
  for (const auto number : listing->mSegments) {
    const bool isLast = number == listing->mSegments.back();
    auto checked = CheckSegment(aFiles, aPath, number, isLast, report);
    if (!checked) {
      return Fail(checked.error());
    }
  }
  for (const auto index : listing->mSnapshots) {
    auto checked = CheckSnapshot(aFiles, aPath, index, report);
    if (!checked) {
      return Fail(checked.error());
    }
  }
  if (auto checked = CheckTogether(aFiles, aPath, report); !checked) {
    return Fail(checked.error());
  }
  return report;
}

} // namespace oriolewalk::storage
