#include "oriolewalk/control/target_registry.h"

#include <algorithm>

namespace oriolewalk::control {

bool
target_registry::Announce(const protocol::target_announcement& aAnnounced,
                          time_point aNow)
{
  known_target& target = mTargets[aAnnounced.mTarget];
  if (target.mLeaving) {
    // A renewal that was under way when the target said that it leaves, or its
    // next life. Neither keeps the leaving one alive: it lapses 2 s after it
    // was last heard to leave, and the next life is then let in. Before, a
    // target that came back at once stayed out for as long as it renewed.
    return false;
  }
  target.mAnnounced = aAnnounced;
  target.mHeardAt = aNow;
  return true;
}

void
target_registry::Leave(const target_id& aTarget, time_point aNow)
{
  if (const auto found = mTargets.find(aTarget); found != mTargets.end()) {
    found->second.mLeaving = true;
    found->second.mHeardAt = aNow;
  }
}

std::vector<target_id>
target_registry::TakeLapsed(time_point aNow)
{
  std::vector<target_id> lapsed;
  std::erase_if(mTargets, [&](const auto& aEntry) {
    const bool silent =
      aNow - aEntry.second.mHeardAt >= milliseconds(protocol::kTargetLeaseMs);
    if (silent) {
      lapsed.push_back(aEntry.first);
    }
    return silent;
  });
  return lapsed;
}

const known_target*
target_registry::Find(const target_id& aTarget) const
{
  const auto found = mTargets.find(aTarget);
  return found == mTargets.end() ? nullptr : &found->second;
}

} // namespace oriolewalk::control
