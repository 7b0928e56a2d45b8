#pragma once

// The targets of one service, their slots, and the choice among free ones.
//
// A slot is held from dispatch until the attempt is known to have ended; a
// target never holds more attempts than slots or connections, also over
// leaving and coming back. Among free targets the one with the least
// (outstanding + 1) / slots * latency wins, with the way to another data
// centre added: near targets are preferred until the difference in load costs
// more than the way.
//
// Load pattern: unlike and changing targets. Without it, random choice sends
// to full targets while others idle, and least outstanding alone prefers the
// quickly failing one.
//
// The root of its targets. Owned by a service_pool; one thread. Cost of
// Choose: O(min(free targets, scan limit)); of the rest O(1), but Advance is
// linear in the targets that are ejected.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/target_health.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct target_criteria
{
  work_class mClass = work_class::Normal;
  bool mRepeatable = false;
  data_centre_id mOrigin;
  double mExpectedSeconds = 0;
};

class target_pool
{
public:
  explicit target_pool(const target_options& aOptions)
    : mOptions(aOptions)
  {
  }

  void OnTargetUp(const target_state& aTarget);
  void OnTargetLeaving(const target_id& aTarget);
  void OnTargetGone(const target_id& aTarget);

  // A free target that suits the wish; nothing if there is none now.
  [[nodiscard]] std::optional<target_id> Choose(
    const target_criteria& aCriteria,
    random_source& aRandom,
    time_point aNow) const;
  void AcquireSlot(const target_id& aTarget);
  // True if the target was ejected by it. False as well if the id isn't known.
  bool ReleaseSlot(const target_id& aTarget,
                   const finish& aFinish,
                   double aExpectedSeconds,
                   time_point aNow);

  // Starts probes that are due. True if a target has become free.
  bool Advance(time_point aNow);
  [[nodiscard]] std::optional<time_point> NextWake(time_point aNow) const;

  [[nodiscard]] bool HasFree() const { return !mFree.empty(); }
  // Slots of the targets that take new work.
  [[nodiscard]] std::uint32_t Slots() const { return mSlots; }
  // Whether any target takes new work, or will after an ejection.
  [[nodiscard]] bool HasTargets() const { return mAvailable > 0; }
  [[nodiscard]] bool Empty() const { return mTargets.empty(); }
  void AddStats(service_stats& aStats) const;

private:
  struct target
  {
    target_state mState;
    target_health mHealth;
    target_phase mPresence = target_phase::Gone; // Up, Leaving or Gone
    std::uint32_t mHeld = 0;
    std::uint32_t mUsableSlots = 0;        // what it adds to mSlots
    std::optional<std::size_t> mFreeIndex; // its place in mFree
  };

  target& FindOrAdd(const target_id& aTarget);
  void SetPresence(target& aTarget, target_phase aPresence);
  void Refresh(target& aTarget);
  void Erase(const target_id& aTarget);
  [[nodiscard]] bool IsSuitable(const target& aTarget,
                                const target_criteria& aCriteria,
                                time_point aNow) const;
  [[nodiscard]] double Score(const target& aTarget,
                             const target_criteria& aCriteria) const;
  [[nodiscard]] const target* BestAmong(const target_criteria& aCriteria,
                                        std::size_t aFirst,
                                        std::size_t aCount,
                                        time_point aNow) const;
  [[nodiscard]] bool MayEjectOneMore() const;

  target_options mOptions;
  std::unordered_map<target_id, std::unique_ptr<target>> mTargets;
  std::vector<target*> mFree;            // with a slot that may be used
  std::map<target_id, target*> mEjected; // and probing ones
  std::uint32_t mSlots = 0;
  std::uint32_t mAvailable = 0; // present and not leaving
  std::uint32_t mSlow = 0;
};

} // namespace oriolewalk::traffic
