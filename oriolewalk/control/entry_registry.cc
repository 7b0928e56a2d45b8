#include "oriolewalk/control/entry_registry.h"

#include <algorithm>
#include <iterator>

namespace oriolewalk::control {

void
entry_registry::Reset(const std::set<ledger::owning_entry>& aCarrying,
                      time_point aNow)
{
  mEntries.clear();
  mHeardAt.clear();
  std::ranges::for_each(aCarrying, [&](const ledger::owning_entry& aCarrier) {
    mHeardAt.emplace(aCarrier, aNow);
  });
}

void
entry_registry::Heard(const protocol::heartbeat& aBeat, time_point aNow)
{
  known_entry& entry = mEntries[aBeat.mCarrier.mInstance];
  // A late heartbeat of an earlier life must not replace the present one's.
  if (aBeat.mCarrier.mBoot >= entry.mLast.mCarrier.mBoot) {
    entry = { aBeat, aNow };
  }
  mHeardAt[aBeat.mCarrier] = aNow;
}

std::vector<ledger::owning_entry>
entry_registry::Lost(const std::set<ledger::owning_entry>& aCarrying,
                     time_point aNow)
{
  std::vector<ledger::owning_entry> lost;
  std::ranges::copy_if(
    aCarrying,
    std::back_inserter(lost),
    [&](const ledger::owning_entry& aCarrier) {
      const auto entry = mEntries.find(aCarrier.mInstance);
      const bool replaced = entry != mEntries.end() &&
                            entry->second.mLast.mCarrier.mBoot > aCarrier.mBoot;
      // First seen in the ledger now: its grace starts.
      const auto heard = mHeardAt.emplace(aCarrier, aNow).first;
      return replaced || aNow - heard->second >= kCarrierGrace;
    });
  std::erase_if(mHeardAt, [&](const auto& aEntry) {
    return !aCarrying.contains(aEntry.first) &&
           aNow - aEntry.second >= kCarrierGrace;
  });
  return lost;
}

} // namespace oriolewalk::control
