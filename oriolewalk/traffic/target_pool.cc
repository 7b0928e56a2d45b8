#include "oriolewalk/traffic/target_pool.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/traffic/target_health.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

void
target_pool::OnTargetUp(const target_state& aTarget)
{
  target& known = FindOrAdd(aTarget.mId);
  if (known.mPresence == target_phase::Leaving) {
    return;
  }
  known.mState = aTarget;
  SetPresence(known, target_phase::Up);
}

void
target_pool::OnTargetLeaving(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  if (found != mTargets.end()) {
    SetPresence(*found->second, target_phase::Leaving);
  }
}

void
target_pool::OnTargetGone(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  SetPresence(*found->second, target_phase::Gone);
  if (found->second->mHeld == 0) {
    Erase(aTarget);
  }
}

std::optional<target_id>
target_pool::Choose(const target_criteria& aCriteria,
                    random_source& aRandom,
                    time_point aNow) const
{
  if (mFree.empty()) {
    return std::nullopt;
  }
  const bool explore = mSlow > 0 && aRandom.Fraction() < mOptions.mExploreShare;
  if (explore) {
    const auto idle = std::ranges::find_if(mFree, [](const target* aTarget) {
      return aTarget->mHealth.IsSlow() && aTarget->mHeld == 0;
    });
    if (idle != mFree.end()) {
      return (*idle)->mState.mId;
    }
  }
  const std::size_t first = aRandom.Below(mFree.size());
  const bool all = mFree.size() <= mOptions.mFullScanLimit;
  const target* best = BestAmong(
    aCriteria, first, all ? mFree.size() : mOptions.mSampleSize, aNow);
  if (best == nullptr && !all) {
    best = BestAmong(aCriteria, first, mFree.size(), aNow);
  }
  return best == nullptr ? std::nullopt
                         : std::optional<target_id>(best->mState.mId);
}

void
target_pool::AcquireSlot(const target_id& aTarget)
{
  target& found = FindOrAdd(aTarget);
  ++found.mHeld;
  Refresh(found);
}

bool
target_pool::ReleaseSlot(const target_id& aTarget,
                         const finish& aFinish,
                         double aExpectedSeconds,
                         time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return false;
  }
  target& released = *found->second;
  --released.mHeld;
  const bool wasSlow = released.mHealth.IsSlow();
  const bool failing = released.mHealth.Record(aFinish, aExpectedSeconds, aNow);
  const bool eject =
    failing && released.mPresence == target_phase::Up &&
    (released.mHealth.Phase() == target_phase::Probing || MayEjectOneMore());
  if (eject) {
    released.mHealth.Eject(aNow);
    mEjected.emplace(aTarget, &released);
  } else if (released.mHealth.Phase() == target_phase::Up) {
    mEjected.erase(aTarget);
  }
  mSlow += static_cast<std::uint32_t>(released.mHealth.IsSlow());
  mSlow -= static_cast<std::uint32_t>(wasSlow);
  Refresh(released);
  if (released.mPresence == target_phase::Gone && released.mHeld == 0) {
    Erase(aTarget);
  }
  return eject;
}

bool
target_pool::Advance(time_point aNow)
{
  bool changed = false;
  for (const auto& [id, each] : mEjected) {
    const bool wasSlow = each->mHealth.IsSlow();
    if (each->mHealth.Advance(aNow)) {
      mSlow -= static_cast<std::uint32_t>(wasSlow);
      Refresh(*each);
      changed = true;
    }
    changed = changed || (each->mFreeIndex.has_value() &&
                          aNow >= each->mHealth.RepeatableOnlyUntil());
  }
  return changed;
}

std::optional<time_point>
target_pool::NextWake(time_point aNow) const
{
  std::optional<time_point> next;
  for (const auto& [id, each] : mEjected) {
    const target_health& health = each->mHealth;
    const time_point due = health.Phase() == target_phase::Ejected
                             ? health.EjectedUntil()
                             : health.RepeatableOnlyUntil();
    if (due > aNow || health.Phase() == target_phase::Ejected) {
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

void
target_pool::AddStats(service_stats& aStats) const
{
  const auto phase = [](const target& aTarget) {
    return aTarget.mPresence == target_phase::Up ? aTarget.mHealth.Phase()
                                                 : aTarget.mPresence;
  };
  std::ranges::transform(
    mTargets, std::back_inserter(aStats.mTargets), [&](const auto& aEntry) {
      const target& each = *aEntry.second;
      return target_stats{
        aEntry.first, each.mState.mService,    each.mState.mDataCentre,
        phase(each),  each.mState.mSlots,      each.mUsableSlots,
        each.mHeld,   each.mHealth.Slowness(), each.mHealth.FailureRate()
      };
    });
  std::ranges::sort(aStats.mTargets, {}, &target_stats::mId);
  aStats.mSlots = mSlots;
}

target_pool::target&
target_pool::FindOrAdd(const target_id& aTarget)
{
  std::unique_ptr<target>& place = mTargets[aTarget];
  if (!place) {
    place = std::make_unique<target>(
      target{ {}, target_health(mOptions), target_phase::Gone, 0, 0, {} });
    place->mState.mId = aTarget;
  }
  return *place;
}

void
target_pool::SetPresence(target& aTarget, target_phase aPresence)
{
  mAvailable -= aTarget.mPresence == target_phase::Up ? 1 : 0;
  mAvailable += aPresence == target_phase::Up ? 1 : 0;
  aTarget.mPresence = aPresence;
  Refresh(aTarget);
}

// Updates the sum of slots and the list of free targets after any change.
void
target_pool::Refresh(target& aTarget)
{
  const std::uint32_t slots =
    std::min(aTarget.mState.mSlots, aTarget.mState.mConnections);
  const std::uint32_t allowed =
    aTarget.mPresence == target_phase::Up ? aTarget.mHealth.Allowed(slots) : 0;
  mSlots = mSlots - aTarget.mUsableSlots + allowed;
  aTarget.mUsableSlots = allowed;
  const bool isFree = aTarget.mHeld < allowed;
  if (isFree && !aTarget.mFreeIndex) {
    aTarget.mFreeIndex = mFree.size();
    mFree.push_back(&aTarget);
  } else if (!isFree && aTarget.mFreeIndex) {
    mFree.back()->mFreeIndex = aTarget.mFreeIndex;
    mFree.at(*aTarget.mFreeIndex) = mFree.back();
    mFree.pop_back();
    aTarget.mFreeIndex.reset();
  }
}

void
target_pool::Erase(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  mSlow -= static_cast<std::uint32_t>(found->second->mHealth.IsSlow());
  mEjected.erase(aTarget);
  mTargets.erase(found);
}

bool
target_pool::IsSuitable(const target& aTarget,
                        const target_criteria& aCriteria,
                        time_point aNow) const
{
  const target_health& health = aTarget.mHealth;
  const bool urgent = aCriteria.mClass == work_class::Urgent;
  if (health.Phase() == target_phase::Probing && aTarget.mUsableSlots <= 1 &&
      aNow < health.RepeatableOnlyUntil()) {
    return aCriteria.mRepeatable && !urgent;
  }
  // If most targets are slow, slowness is no reason to avoid one.
  const bool slow = health.IsSlow() && mSlow * 2 < mAvailable;
  return !(urgent && slow);
}

double
target_pool::Score(const target& aTarget,
                   const target_criteria& aCriteria) const
{
  const double load = (aTarget.mHeld + 1.0) / aTarget.mUsableSlots;
  const double near = aTarget.mState.mDataCentre == aCriteria.mOrigin
                        ? 0
                        : ToSeconds(mOptions.mCrossDataCentre);
  return (load * aCriteria.mExpectedSeconds * aTarget.mHealth.Slowness()) +
         near;
}

const target_pool::target*
target_pool::BestAmong(const target_criteria& aCriteria,
                       std::size_t aFirst,
                       std::size_t aCount,
                       time_point aNow) const
{
  const target* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t step = 0; step < aCount; ++step) {
    const target& each = *mFree[(aFirst + step) % mFree.size()];
    if (!IsSuitable(each, aCriteria, aNow)) {
      continue;
    }
    const double score = Score(each, aCriteria);
    if (score < least) {
      least = score;
      best = &each;
    }
  }
  return best;
}

// Bounded, because failures of all targets are more likely caused by the
// requests or the network, and ejecting all targets would turn a partial
// failure into a total one.
bool
target_pool::MayEjectOneMore() const
{
  const auto ejected =
    static_cast<double>(std::ranges::count_if(mEjected, [](const auto& aEntry) {
      return aEntry.second->mPresence == target_phase::Up &&
             aEntry.second->mHealth.Phase() == target_phase::Ejected;
    }));
  const double maxEjected = std::max(
    mAvailable >= 2 ? 1.0 : 0.0, std::floor(mAvailable * mOptions.mMaxEjected));
  return ejected + 1 <= maxEjected;
}

} // namespace oriolewalk::traffic
