#pragma once

// The targets of one service, their slots, and the choice among free targets.
//
// A slot is held from dispatch until the attempt is known to have ended. A
// target never has more attempts than slots or connections, even across leaving
// and returning. Among free targets the smallest (outstanding + 1) / slots *
// latency wins, where another data centre adds its round trip: near targets are
// preferred until the difference in load costs more than the round trip.
//
// This handles unequal and changing targets. Without it, random choice sends
// requests to full targets while others are idle, and least outstanding alone
// prefers the target that fails fast.
//
// Owns its targets. Owned by a service_pool; used by one thread. Choose costs
// O(min(free targets, scan limit)), Advance is linear in the ejected targets,
// and all else is O(1).

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

  // Returns a free target that meets the criteria, or nothing.
  [[nodiscard]] std::optional<target_id> Choose(
    const target_criteria& aCriteria,
    random_source& aRandom,
    time_point aNow) const;
  void AcquireSlot(const target_id& aTarget);
  // Returns true if the result ejected the target, and false if it did not or
  // if the id is unknown.
  bool ReleaseSlot(const target_id& aTarget,
                   const finish& aFinish,
                   double aExpectedSeconds,
                   time_point aNow);

  // Starts the probes that are due. Returns true if a target became free.
  bool Advance(time_point aNow);
  [[nodiscard]] std::optional<time_point> NextWake(time_point aNow) const;

  [[nodiscard]] bool HasFree() const { return !mFree.empty(); }
  // The slots of all targets that take new work.
  [[nodiscard]] std::uint32_t Slots() const { return mSlots; }
  // Whether any target takes new work, now or after an ejection.
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
    std::uint32_t mUsableSlots = 0;        // its part of the pool's mSlots
    std::optional<std::size_t> mFreeIndex; // index in mFree
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
  std::vector<target*> mFree;            // targets with a usable slot
  std::map<target_id, target*> mEjected; // ejected and probing targets
  std::uint32_t mSlots = 0;
  std::uint32_t mAvailable = 0; // targets that are present and not leaving
  std::uint32_t mSlow = 0;
};

} // namespace oriolewalk::traffic
