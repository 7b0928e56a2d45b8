#include "oriolewalk/storage/replay.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {
namespace {

tl::unexpected<error>
Gap(std::uint64_t aExpected, std::uint64_t aFound)
{
  return Fail(error_code::Corrupt,
              "replay log",
              "expected record " + std::to_string(aExpected) + ", found " +
                std::to_string(aFound));
}

} // namespace

result<void>
log_replay::Apply(entry aEntry)
{
  return std::visit(
    [this](auto&& aKind) { return Take(std::forward<decltype(aKind)>(aKind)); },
    std::move(aEntry));
}

result<void>
log_replay::Take(log_record aRecord)
{
  const auto expected = LastIndex() + 1;
  if (aRecord.mIndex != expected) {
    return Gap(expected, aRecord.mIndex);
  }
  mLast = aRecord.mIndex;
  mRecords.push_back(std::move(aRecord));
  return {};
}

result<void>
log_replay::Take(const truncate_entry& aTruncate)
{
  if (aTruncate.mFrom == 0 || aTruncate.mFrom > LastIndex()) {
    return Gap(LastIndex(), aTruncate.mFrom);
  }
  const auto kept = std::ranges::lower_bound(
    mRecords, aTruncate.mFrom, {}, &log_record::mIndex);
  mRecords.erase(kept, mRecords.end());
  mLast = aTruncate.mFrom - 1;
  return {};
}

result<void>
log_replay::Take(vote_entry aVote)
{
  mVote = std::move(aVote.mVote);
  return {};
}

result<void>
log_replay::Take(const position_entry& aPosition)
{
  if (mLast && std::max(*mLast, aPosition.mIndex) != aPosition.mLast) {
    return Gap(*mLast + 1, aPosition.mLast + 1);
  }
  DropThrough(aPosition.mIndex);
  mLast = aPosition.mLast;
  return {};
}

result<void>
log_replay::Finish(std::uint64_t aSnapshotIndex)
{
  DropThrough(aSnapshotIndex);
  const auto next = mRecords.empty() ? LastIndex() + 1 : mRecords[0].mIndex;
  if (next > aSnapshotIndex + 1) {
    return Gap(aSnapshotIndex + 1, next);
  }
  mLast = std::max(LastIndex(), aSnapshotIndex);
  return {};
}

void
log_replay::DropThrough(std::uint64_t aIndex)
{
  const auto kept =
    std::ranges::upper_bound(mRecords, aIndex, {}, &log_record::mIndex);
  mRecords.erase(mRecords.begin(), kept);
}

} // namespace oriolewalk::storage
