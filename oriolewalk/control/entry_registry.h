#pragma once

// The entries as the leader hears of them, and which carriers are lost.
//
// A carrier (one life of an entry) that is silent for kCarrierGrace is taken
// for lost: what it carried is recorded as unknown. That states nothing false
// if it was only paused, and its answers still replace "unknown" when it
// wakes; a shorter grace would make "unknown" of requests that a pause of a
// second only delays.
//
// Soft state of the leader. A new leader gives every carrier that the ledger
// names a full grace from its own start: it has heard of none yet.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/ledger/records.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::control {

// Twice the serving lease and half as much again: an entry that still admits
// work has been heard of within its lease.
constexpr seconds kCarrierGrace{ 5 };

struct known_entry
{
  protocol::heartbeat mLast;
  time_point mHeardAt;
};

class entry_registry
{
public:
  void Reset(const std::set<ledger::owning_entry>& aCarrying, time_point aNow);
  // Also for any other message that names its carrier.
  void Heard(const protocol::heartbeat& aBeat, time_point aNow);
  // Carriers of aCarrying that are silent, or whose instance lives on under
  // another boot. Each is returned until the ledger no longer names it.
  [[nodiscard]] std::vector<ledger::owning_entry> Lost(
    const std::set<ledger::owning_entry>& aCarrying,
    time_point aNow);
  [[nodiscard]] const std::map<instance_id, known_entry>& All() const
  {
    return mEntries;
  }

private:
  std::map<instance_id, known_entry> mEntries;
  std::map<ledger::owning_entry, time_point> mHeardAt;
};

} // namespace oriolewalk::control
