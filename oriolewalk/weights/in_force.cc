#include "oriolewalk/weights/in_force.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::weights {

// A new leader knows nothing of the leases that earlier ones granted. Without
// this wait it would report a version as in force while an instance that it
// has not heard of still admits work under the old table.
in_force_tracker::in_force_tracker(const in_force_options& aOptions,
                                   time_point aLeaderSince)
  : mOptions(aOptions)
  , mUnknownUntil(aLeaderSince + aOptions.mOldLeaderBound + aOptions.mLease +
                  aOptions.mDrift)
{
}

confirm_answer
in_force_tracker::Confirm(const instance_id& aInstance,
                          std::uint64_t aActsOn,
                          std::uint64_t aCurrent,
                          time_point aNow)
{
  const bool granted = aActsOn == aCurrent;
  auto [place, isNew] = mInstances.try_emplace(aInstance);
  auto& state = place->second;
  if (isNew) {
    state.mLapsesAt = mUnknownUntil;
  }
  state.mLastSeen = std::max(state.mLastSeen, aNow);
  // Messages overtake each other; what an instance acts on never falls.
  state.mActsOn = std::max(state.mActsOn, aActsOn);
  if (granted) {
    state.mLapsesAt =
      std::max(state.mLapsesAt, aNow + mOptions.mLease + mOptions.mDrift);
  }
  return { granted, aCurrent };
}

in_force_report
in_force_tracker::Report(std::uint64_t aVersion, time_point aNow) const
{
  in_force_report report;
  for (const auto& [instance, state] : mInstances) {
    const bool lapsed = aNow >= state.mLapsesAt;
    auto& list = lapsed                      ? report.mLapsed
                 : state.mActsOn >= aVersion ? report.mInForce
                                             : report.mPending;
    list.push_back(instance);
  }
  report.mEverywhere = report.mPending.empty() && aNow >= mUnknownUntil;
  return report;
}

std::optional<time_point>
in_force_tracker::NextLapse(std::uint64_t aVersion, time_point aNow) const
{
  std::optional<time_point> next;
  if (aNow < mUnknownUntil) {
    next = mUnknownUntil;
  }
  for (const auto& [instance, state] : mInstances) {
    if (state.mActsOn < aVersion && aNow < state.mLapsesAt) {
      next = std::min(next.value_or(state.mLapsesAt), state.mLapsesAt);
    }
  }
  return next;
}

void
in_force_tracker::Forget(time_point aNow)
{
  std::erase_if(mInstances, [&](const auto& aPlace) {
    const auto& state = aPlace.second;
    return aNow >= state.mLapsesAt &&
           aNow - state.mLastSeen >= mOptions.mForgetAfter;
  });
}

} // namespace oriolewalk::weights
