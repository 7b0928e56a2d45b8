#pragma once

// The figures of the workflow rooms, with their grounds. A deployment's
// adapter fills in the bounds that its platform states.

#include <cstddef>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/plan_policy.h"

namespace oriolewalk::flow {

struct flow_options
{
  // The longest lease that a worker grants (the platform's bound).
  milliseconds mMaxLease{ 6'000 };
  // The lease that is asked for. Long enough for a leader change (about 1 s)
  // with a second one right after it; short enough that work on a lost worker
  // starts again soon.
  milliseconds mLease{ 4'000 };
  // By how much a worker's clock may be slow (the platform's bound).
  double mMaxClockDrift = 0.02;
  // How long a worker holds a look open for an end. A third of the lease, so
  // that two looks may be lost.
  milliseconds mLongPollWait{ 1'000 };
  // Where filling work runs beside others, a look is needed as often as the
  // figures change: they are of the last half second.
  milliseconds mSharedLongPollWait{ 400 };
  // What is added to a worker's own waiting before an answer counts as lost:
  // about a hundred round trips, and far under the lease.
  milliseconds mAnswerMargin{ 600 };
  // After a look without an answer: the next one.
  milliseconds mPollRetryDelay{ 150 };
  // A start without an answer that no look has shown after this long is taken
  // back, so that it can go elsewhere.
  milliseconds mStartTimeout{ 250 };
  // A stop without an answer is sent again.
  milliseconds mStopRetryDelay{ 300 };
  // A worker that nothing was heard of for two and a half heartbeats gets no
  // new work.
  milliseconds mHeartbeatTimeout{ 3'750 };
  // A worker's room may shrink while it runs, and its heartbeat says so:
  // nothing starts where the last one is older (what the platform allows for
  // contact and a heartbeat, less what an order takes).
  milliseconds mMaxCapacityAge{ 4'000 };
  // The pause between a worker's heartbeats.
  milliseconds mHeartbeatInterval{ 1'500 };
  // A silent worker is taken out after this long, if nothing can run there any
  // more.
  milliseconds mWorkerRemovalDelay{ 20'000 };
  // Ended jobs are shown so long.
  milliseconds mEndedJobRetention{ 120'000 };
  // Added for wall clocks that jump by seconds.
  milliseconds mWallClockMargin{ 30'000 };
  // Up to so many workers the leader makes all calls itself and takes all
  // heartbeats: handing over costs each order two messages between our
  // processes and 2 to 4 ms, and half of a core has carried so many with room
  // to spare.
  std::size_t mMaxWorkersWithoutRelays = 400;
  plan_policy mPlan;
};

} // namespace oriolewalk::flow
