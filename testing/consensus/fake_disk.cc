#include "testing/consensus/fake_disk.h"

#include <algorithm>
#include <optional>

namespace oriolewalk::consensus {

void
fake_disk::Write(const effects& aEffects, time_point aDue)
{
  mPending.push_back({ aEffects.mTicket,
                       aDue,
                       aEffects.mHardState,
                       aEffects.mSnapshot,
                       aEffects.mTruncateFrom,
                       aEffects.mAppend });
}

std::optional<ticket_t>
fake_disk::SyncUntil(time_point aNow)
{
  std::optional<ticket_t> done;
  while (!mPending.empty() && mPending.front().mDue <= aNow) {
    done = mPending.front().mTicket;
    Apply(mPending.front());
    mPending.pop_front();
  }
  return done;
}

void
fake_disk::Crash(std::size_t aKept)
{
  for (std::size_t kept = 0; kept < aKept && !mPending.empty(); ++kept) {
    Apply(mPending.front());
    mPending.pop_front();
  }
  mPending.clear();
}

void
fake_disk::Wipe()
{
  mPending.clear();
  mContent = {};
  mIsWiped = true;
}

void
fake_disk::Store(const snapshot& aSnapshot)
{
  mContent.mSnapshot = aSnapshot;
  std::erase_if(mContent.mEntries, [&](const log_entry& aEntry) {
    return aEntry.mIndex <= aSnapshot.mIndex;
  });
}

void
fake_disk::Apply(const write& aWrite)
{
  if (aWrite.mHardState) {
    mContent.mHardState = *aWrite.mHardState;
    mIsWiped = false;
  }
  std::vector<log_entry>& entries = mContent.mEntries;
  if (aWrite.mSnapshot) {
    mContent.mSnapshot = aWrite.mSnapshot;
    entries.clear();
  }
  if (aWrite.mTruncateFrom) {
    std::erase_if(entries, [&](const log_entry& aEntry) {
      return aEntry.mIndex >= *aWrite.mTruncateFrom;
    });
  }
  const log_index covered = mContent.mSnapshot ? mContent.mSnapshot->mIndex : 0;
  std::ranges::copy_if(
    aWrite.mAppend, std::back_inserter(entries), [&](const log_entry& aEntry) {
      return aEntry.mIndex > covered;
    });
}

} // namespace oriolewalk::consensus
