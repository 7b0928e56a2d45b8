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
target_pool::Up(const target_state& aTarget)
{
  target& known = Find(aTarget.mId);
  if (known.mPresence == target_phase::Leaving) {
    return;
  }
  known.mState = aTarget;
  SetPresence(known, target_phase::Up);
}

void
target_pool::Leaving(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  if (found != mTargets.end()) {
    SetPresence(*found->second, target_phase::Leaving);
  }
}

void
target_pool::Gone(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  SetPresence(*found->second, target_phase::Gone);
  if (found->second->mHeld == 0) {
    Forget(aTarget);
  }
}

std::optional<target_id>
target_pool::Choose(const target_wish& aWish,
                    random_source& aRandom,
                    time_point aNow) const
{
  if (mFree.empty()) {
    return std::nullopt;
  }
  const bool explore = mSlow > 0 && aRandom.Fraction() < mOptions.mExplore;
  if (explore) {
    const auto idle = std::ranges::find_if(mFree, [](const target* aTarget) {
      return aTarget->mHealth.Slow() && aTarget->mHeld == 0;
    });
    if (idle != mFree.end()) {
      return (*idle)->mState.mId;
    }
  }
  const std::size_t first = aRandom.Below(mFree.size());
  const bool all = mFree.size() <= mOptions.mScan;
  const target* best =
    BestOfAll(aWish, first, all ? mFree.size() : mOptions.mSample, aNow);
  if (best == nullptr && !all) {
    best = BestOfAll(aWish, first, mFree.size(), aNow);
  }
  return best == nullptr ? std::nullopt
                         : std::optional<target_id>(best->mState.mId);
}

void
target_pool::Hold(const target_id& aTarget)
{
  target& found = Find(aTarget);
  ++found.mHeld;
  Refresh(found);
}

bool
target_pool::Release(const target_id& aTarget,
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
  const bool wasSlow = released.mHealth.Slow();
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
  mSlow += static_cast<std::uint32_t>(released.mHealth.Slow());
  mSlow -= static_cast<std::uint32_t>(wasSlow);
  Refresh(released);
  if (released.mPresence == target_phase::Gone && released.mHeld == 0) {
    Forget(aTarget);
  }
  return eject;
}

bool
target_pool::Advance(time_point aNow)
{
  bool changed = false;
  for (const auto& [id, each] : mEjected) {
    const bool wasSlow = each->mHealth.Slow();
    if (each->mHealth.Advance(aNow)) {
      mSlow -= static_cast<std::uint32_t>(wasSlow);
      Refresh(*each);
      changed = true;
    }
    changed = changed || (each->mAtFree.has_value() &&
                          aNow >= each->mHealth.PatientUntil());
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
                             : health.PatientUntil();
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
        phase(each),  each.mState.mSlots,      each.mCounted,
        each.mHeld,   each.mHealth.Slowness(), each.mHealth.FailureRate()
      };
    });
  std::ranges::sort(aStats.mTargets, {}, &target_stats::mId);
  aStats.mSlots = mSlots;
}

target_pool::target&
target_pool::Find(const target_id& aTarget)
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
  mServing -= aTarget.mPresence == target_phase::Up ? 1 : 0;
  mServing += aPresence == target_phase::Up ? 1 : 0;
  aTarget.mPresence = aPresence;
  Refresh(aTarget);
}

// Keeps the sum of slots and the list of free targets true after any change.
void
target_pool::Refresh(target& aTarget)
{
  const std::uint32_t slots =
    std::min(aTarget.mState.mSlots, aTarget.mState.mConnections);
  const std::uint32_t allowed =
    aTarget.mPresence == target_phase::Up ? aTarget.mHealth.Allowed(slots) : 0;
  mSlots = mSlots - aTarget.mCounted + allowed;
  aTarget.mCounted = allowed;
  const bool isFree = aTarget.mHeld < allowed;
  if (isFree && !aTarget.mAtFree) {
    aTarget.mAtFree = mFree.size();
    mFree.push_back(&aTarget);
  } else if (!isFree && aTarget.mAtFree) {
    mFree.back()->mAtFree = aTarget.mAtFree;
    mFree.at(*aTarget.mAtFree) = mFree.back();
    mFree.pop_back();
    aTarget.mAtFree.reset();
  }
}

void
target_pool::Forget(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  mSlow -= static_cast<std::uint32_t>(found->second->mHealth.Slow());
  mEjected.erase(aTarget);
  mTargets.erase(found);
}

bool
target_pool::Suits(const target& aTarget,
                   const target_wish& aWish,
                   time_point aNow) const
{
  const target_health& health = aTarget.mHealth;
  const bool urgent = aWish.mClass == work_class::Urgent;
  if (health.Phase() == target_phase::Probing && aTarget.mCounted <= 1 &&
      aNow < health.PatientUntil()) {
    return aWish.mRepeatable && !urgent;
  }
  // Where most are slow, slowness tells nothing.
  const bool slow = health.Slow() && mSlow * 2 < mServing;
  return !(urgent && slow);
}

double
target_pool::Score(const target& aTarget, const target_wish& aWish) const
{
  const double load = (aTarget.mHeld + 1.0) / aTarget.mCounted;
  const double near = aTarget.mState.mDataCentre == aWish.mOrigin
                        ? 0
                        : ToSeconds(mOptions.mCrossDataCentre);
  return (load * aWish.mExpectedSeconds * aTarget.mHealth.Slowness()) + near;
}

const target_pool::target*
target_pool::BestOfAll(const target_wish& aWish,
                       std::size_t aFirst,
                       std::size_t aCount,
                       time_point aNow) const
{
  const target* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t step = 0; step < aCount; ++step) {
    const target& each = *mFree[(aFirst + step) % mFree.size()];
    if (!Suits(each, aWish, aNow)) {
      continue;
    }
    const double score = Score(each, aWish);
    if (score < least) {
      least = score;
      best = &each;
    }
  }
  return best;
}

// Bounded, since failures of all targets are rather the work's fault or the
// network's: ejecting them all would turn a partial failure into a whole one.
bool
target_pool::MayEjectOneMore() const
{
  const auto out =
    static_cast<double>(std::ranges::count_if(mEjected, [](const auto& aEntry) {
      return aEntry.second->mPresence == target_phase::Up &&
             aEntry.second->mHealth.Phase() == target_phase::Ejected;
    }));
  const double most = std::max(mServing >= 2 ? 1.0 : 0.0,
                               std::floor(mServing * mOptions.mMaxEjected));
  return out + 1 <= most;
}

} // namespace oriolewalk::traffic
