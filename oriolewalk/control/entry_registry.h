#pragma once

// The entries that the leader knows, and the owners that are lost.
//
// An owner (an incarnation of an entry) that is silent for kOwnerGrace is
// declared lost, and the requests that it owned are recorded as unknown. That
// is correct even if it was only paused, and its answers still replace
// "unknown" when it resumes. A shorter grace would record requests as unknown
// that a pause of a second only delays.
//
// Soft state of the leader. A new leader has heard from no owner yet, so it
// gives every owner that the ledger names a full grace from its own start.

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
constexpr seconds kOwnerGrace{ 5 };

struct known_entry
{
  protocol::heartbeat mLast;
  time_point mHeardAt;
};

class entry_registry
{
public:
  void Reset(const std::set<ledger::owning_entry>& aOwners, time_point aNow);
  // Also called for any other message that names its owner.
  void Heard(const protocol::heartbeat& aBeat, time_point aNow);
  // Returns those of aOwners that are silent, or whose instance runs
  // under another boot. Each is returned until the ledger no longer names it.
  [[nodiscard]] std::vector<ledger::owning_entry> Lost(
    const std::set<ledger::owning_entry>& aOwners,
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
