#include "oriolewalk/consensus/types.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/error.h"

namespace oriolewalk::consensus {

namespace {

const member*
FindIn(const std::vector<member>& aMembers, node_id aId)
{
  const auto found = std::ranges::lower_bound(aMembers, aId, {}, &member::mId);
  return found != aMembers.end() && found->mId == aId ? &*found : nullptr;
}

void
InsertSorted(std::vector<member>& aMembers, member aMember)
{
  const auto place =
    std::ranges::lower_bound(aMembers, aMember.mId, {}, &member::mId);
  aMembers.insert(place, std::move(aMember));
}

} // namespace

const member*
membership::FindVoter(node_id aId) const
{
  return FindIn(mVoters, aId);
}

const member*
membership::FindLearner(node_id aId) const
{
  return FindIn(mLearners, aId);
}

const member*
membership::Find(node_id aId) const
{
  const member* voter = FindVoter(aId);
  return voter != nullptr ? voter : FindLearner(aId);
}

void
membership::PutVoter(member aMember)
{
  Remove(aMember.mId);
  InsertSorted(mVoters, std::move(aMember));
}

void
membership::PutLearner(member aMember)
{
  Remove(aMember.mId);
  InsertSorted(mLearners, std::move(aMember));
}

void
membership::Remove(node_id aId)
{
  const auto isIt = [aId](const member& aMember) { return aMember.mId == aId; };
  std::erase_if(mVoters, isIt);
  std::erase_if(mLearners, isIt);
}

result<void>
CheckRestored(const restored_state& aRestored)
{
  const log_index covered =
    aRestored.mSnapshot ? aRestored.mSnapshot->mIndex : 0;
  const std::vector<log_entry>& entries = aRestored.mEntries;
  if (!entries.empty() && entries.front().mIndex > covered + 1) {
    return Fail(error_code::Corrupt,
                "restoring the log",
                "entries start at " + std::to_string(entries.front().mIndex) +
                  " but the snapshot ends at " + std::to_string(covered));
  }
  const auto gap = std::ranges::adjacent_find(
    entries, [](const auto& aLeft, const auto& aRight) {
      return aRight.mIndex != aLeft.mIndex + 1 || aRight.mTerm < aLeft.mTerm;
    });
  if (gap != entries.end()) {
    return Fail(error_code::Corrupt,
                "restoring the log",
                "entry " + std::to_string(gap->mIndex) +
                  " is not followed by the next one");
  }
  return {};
}

} // namespace oriolewalk::consensus
