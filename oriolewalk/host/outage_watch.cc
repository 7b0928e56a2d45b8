#include "oriolewalk/host/outage_watch.h"

#include <algorithm>
#include <chrono>

namespace oriolewalk::host {

namespace {

// An election takes 0.4 to 0.9 s.
constexpr milliseconds kElection{ 1'000 };
// While one may be under way a caller is kept for this long, and later hardly
// at all: one who comes back in a second is better off than one who waits for
// his deadline.
constexpr milliseconds kKeepInElection{ 350 };
constexpr milliseconds kKeepLater{ 40 };
// Callers wait whole seconds; a part of one is cut off, since a leader that
// comes back a moment after the question would else be kept waiting for.
constexpr milliseconds kLeastComeBack{ 1'000 };
constexpr milliseconds kMostComeBack{ 3'000 };

} // namespace

bool
outage_watch::MayBeElection(time_point aNow) const
{
  return LastedFor(aNow) < kElection;
}

milliseconds
outage_watch::KeepFor(time_point aNow) const
{
  return MayBeElection(aNow) ? kKeepInElection : kKeepLater;
}

milliseconds
outage_watch::ComeBackAfter(time_point aNow) const
{
  const milliseconds lasted = std::chrono::floor<seconds>(LastedFor(aNow));
  return std::clamp(lasted, kLeastComeBack, kMostComeBack);
}

} // namespace oriolewalk::host
