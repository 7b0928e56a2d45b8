#include "oriolewalk/control/entry_registry.h"

#include <algorithm>
#include <iterator>

namespace oriolewalk::control {

void
entry_registry::Reset(const std::set<ledger::owning_entry>& aOwners,
                      time_point aNow)
{
  mEntries.clear();
  mHeardAt.clear();
  std::ranges::for_each(aOwners, [&](const ledger::owning_entry& aOwner) {
    mHeardAt.emplace(aOwner, aNow);
  });
}

void
entry_registry::Heard(const protocol::heartbeat& aBeat, time_point aNow)
{
  known_entry& entry = mEntries[aBeat.mOwner.mInstance];
  // A late heartbeat of an earlier life must not replace the present one's.
  if (aBeat.mOwner.mBoot >= entry.mLast.mOwner.mBoot) {
    entry = { aBeat, aNow };
  }
  mHeardAt[aBeat.mOwner] = aNow;
}

std::vector<ledger::owning_entry>
entry_registry::Lost(const std::set<ledger::owning_entry>& aOwners,
                     time_point aNow)
{
  std::vector<ledger::owning_entry> lost;
  std::ranges::copy_if(
    aOwners, std::back_inserter(lost), [&](const ledger::owning_entry& aOwner) {
      const auto entry = mEntries.find(aOwner.mInstance);
      const bool replaced = entry != mEntries.end() &&
                            entry->second.mLast.mOwner.mBoot > aOwner.mBoot;
      // First seen in the ledger now: its grace starts.
      const auto heard = mHeardAt.emplace(aOwner, aNow).first;
      return replaced || aNow - heard->second >= kOwnerGrace;
    });
  std::erase_if(mHeardAt, [&](const auto& aEntry) {
    return !aOwners.contains(aEntry.first) &&
           aNow - aEntry.second >= kOwnerGrace;
  });
  return lost;
}

} // namespace oriolewalk::control
