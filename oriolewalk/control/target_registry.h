#pragma once

// The targets as the leader hears of them: who renews, who leaves, who is
// silent.
//
// Soft state: a new leader starts empty and hears of every target within one
// renewal (500 ms). Weighed against registrations in the log: those would cost
// a commit for each flapping target and still need renewals to tell the silent
// ones, and what must survive (which attempt holds which target's slot) stands
// in the ledger already.
//
// Owned by the control core. O(log targets) a call; Lapsed is linear.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::control {

struct known_target
{
  protocol::target_announcement mAnnounced;
  time_point mHeardAt;
  bool mLeaving = false;
};

class target_registry
{
public:
  // Returns false if nothing new is to go there: the target said that it
  // leaves, or an operator drains it, and it has not been gone since.
  bool Announce(const protocol::target_announcement& aAnnounced,
                time_point aNow);
  // Leaving targets are kept until they fall silent. Unknown ones are ignored:
  // this leader never sent them anything.
  void Leave(const target_id& aTarget, time_point aNow);
  // Takes out and returns the targets whose lease has lapsed.
  std::vector<target_id> TakeLapsed(time_point aNow);

  [[nodiscard]] const known_target* Find(const target_id& aTarget) const;
  [[nodiscard]] const std::map<target_id, known_target>& All() const
  {
    return mTargets;
  }
  void Clear() { mTargets.clear(); }

private:
  std::map<target_id, known_target> mTargets;
};

} // namespace oriolewalk::control
