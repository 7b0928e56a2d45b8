#pragma once

// How callers are treated while nobody leads: how long one is kept, and when
// one who is refused should come back.
//
//   outage_watch outage(now);
//   outage.Answered(now);              // by a leader
//   refuseAt = now + outage.KeepFor(now);
//
// The load it answers: all processes lose power for a second, and every caller
// asks again at an entry that has just started. An entry that takes its own
// start for the end of a long outage turns them away for three seconds, though
// the next leader is there in one.
//
// Pure; one thread.

#include "oriolewalk/base/clock.h"

namespace oriolewalk::host {

class outage_watch
{
public:
  // aNow: the process starts. What was before it doesn't know, so an outage
  // counts from here.
  explicit outage_watch(time_point aNow)
    : mAnsweredAt(aNow)
  {
  }

  void Answered(time_point aNow) { mAnsweredAt = aNow; }
  // Since a leader's last answer.
  [[nodiscard]] duration LastedFor(time_point aNow) const
  {
    return aNow - mAnsweredAt;
  }
  // For so long after a leader's last answer the next one may be there at any
  // moment.
  [[nodiscard]] bool MayBeElection(time_point aNow) const;
  // How long a caller whose question was not taken up is kept before he is
  // refused.
  [[nodiscard]] milliseconds KeepFor(time_point aNow) const;
  // In about as long again as it has lasted, in whole seconds, so that a short
  // election costs one second and a long outage doesn't use up the caller's
  // tries.
  [[nodiscard]] milliseconds ComeBackAfter(time_point aNow) const;

private:
  time_point mAnsweredAt;
};

} // namespace oriolewalk::host
