#include "oriolewalk/consensus/raft_log.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::consensus {

raft_log::raft_log(membership aInitial)
{
  mMemberships.emplace_back(0, std::move(aInitial));
}

log_position
raft_log::Last() const
{
  return mEntries.empty()
           ? mBase
           : log_position{ mEntries.back().mIndex, mEntries.back().mTerm };
}

std::size_t
raft_log::Offset(log_index aIndex) const
{
  return static_cast<std::size_t>(aIndex - mBase.mIndex - 1);
}

std::optional<term_t>
raft_log::TermAt(log_index aIndex) const
{
  if (aIndex == mBase.mIndex) {
    return mBase.mTerm;
  }
  if (aIndex < mBase.mIndex || aIndex > Last().mIndex) {
    return std::nullopt;
  }
  return mEntries[Offset(aIndex)].mTerm;
}

bool
raft_log::Has(log_position aPosition) const
{
  return TermAt(aPosition.mIndex) == aPosition.mTerm;
}

// Binary search: terms never fall along a log.
log_index
raft_log::FirstOfTerm(log_index aIndex) const
{
  const term_t term = mEntries[Offset(aIndex)].mTerm;
  return std::ranges::lower_bound(mEntries, term, {}, &log_entry::mTerm)
    ->mIndex;
}

log_index
raft_log::LastUpToTerm(term_t aTerm, log_index aLimit) const
{
  const auto past =
    std::ranges::upper_bound(mEntries, aTerm, {}, &log_entry::mTerm);
  const log_index last =
    past == mEntries.begin() ? mBase.mIndex : std::prev(past)->mIndex;
  return std::min(last, aLimit);
}

std::span<const log_entry>
raft_log::Slice(log_index aFirst, log_index aLast) const
{
  if (aLast < aFirst) {
    return {};
  }
  return std::span(mEntries).subspan(
    Offset(aFirst), static_cast<std::size_t>(aLast - aFirst + 1));
}

std::span<const log_entry>
raft_log::Batch(log_index aFirst,
                std::size_t aMaxEntries,
                std::size_t aMaxBytes) const
{
  std::span<const log_entry> rest = Slice(aFirst, Last().mIndex);
  rest = rest.first(std::min(rest.size(), aMaxEntries));
  std::size_t size = 0;
  const auto end = std::ranges::find_if(rest, [&](const log_entry& aEntry) {
    size += aEntry.mPayload.size();
    return size > aMaxBytes;
  });
  const auto count = static_cast<std::size_t>(end - rest.begin());
  return rest.first(std::min(rest.size(), std::max<std::size_t>(count, 1)));
}

void
raft_log::Push(log_entry aEntry)
{
  if (aEntry.mKind == entry_kind::Configuration) {
    // The core itself encoded it, and storage and wire check their bytes. One
    // that cannot be read is passed over by every node alike.
    auto members = Decode<membership>(aEntry.mPayload, "reading a membership");
    if (members) {
      mMemberships.emplace_back(aEntry.mIndex, std::move(*members));
    }
  }
  mEntries.push_back(std::move(aEntry));
}

void
raft_log::Append(log_entry aEntry)
{
  Push(std::move(aEntry));
}

void
raft_log::Restore(log_entry aEntry)
{
  mUnsavedFrom = aEntry.mIndex + 1;
  Push(std::move(aEntry));
}

void
raft_log::Truncate(log_index aFrom)
{
  if (aFrom > Last().mIndex) {
    return;
  }
  mEntries.resize(Offset(aFrom));
  while (mMemberships.size() > 1 && mMemberships.back().first >= aFrom) {
    mMemberships.pop_back();
  }
  if (aFrom < mUnsavedFrom) {
    mUnsavedFrom = aFrom;
    mTruncateFrom = std::min(aFrom, mTruncateFrom.value_or(aFrom));
  }
}

void
raft_log::Reset(log_position aBase, membership aMembers)
{
  mBase = aBase;
  mEntries.clear();
  mMemberships.clear();
  mMemberships.emplace_back(aBase.mIndex, std::move(aMembers));
  mUnsavedFrom = aBase.mIndex + 1;
  mTruncateFrom.reset();
}

void
raft_log::CompactTo(log_index aIndex)
{
  if (aIndex <= mBase.mIndex) {
    return;
  }
  const auto term = TermAt(aIndex);
  if (!term) {
    return;
  }
  mEntries.erase(mEntries.begin(),
                 mEntries.begin() +
                   static_cast<std::ptrdiff_t>(Offset(aIndex)) + 1);
  mBase = { aIndex, *term };
  mUnsavedFrom = std::max(mUnsavedFrom, aIndex + 1);
  while (mMemberships.size() > 1 && mMemberships[1].first <= aIndex) {
    mMemberships.erase(mMemberships.begin());
  }
}

bool
raft_log::HasChanges() const
{
  return mTruncateFrom.has_value() || mUnsavedFrom <= Last().mIndex;
}

log_changes
raft_log::TakeChanges()
{
  log_changes changes;
  changes.mTruncateFrom = std::exchange(mTruncateFrom, std::nullopt);
  const auto unsaved = Slice(mUnsavedFrom, Last().mIndex);
  changes.mAppend.assign(unsaved.begin(), unsaved.end());
  mUnsavedFrom = Last().mIndex + 1;
  return changes;
}

const membership&
raft_log::Members() const
{
  return mMemberships.back().second;
}

log_index
raft_log::MembersIndex() const
{
  return mMemberships.back().first;
}

const membership&
raft_log::MembersAt(log_index aIndex) const
{
  const auto past = std::ranges::upper_bound(
    mMemberships, aIndex, {}, &std::pair<log_index, membership>::first);
  return past == mMemberships.begin() ? past->second : std::prev(past)->second;
}

} // namespace oriolewalk::consensus
