#pragma once

// The entry process: HTTP towards callers, targets, workers and operators, RPC
// towards the control processes.
//
// Threads: traffic threads run HTTP and request flows; the control thread owns
// the serving lease and the heartbeat; the RPC node has its own. The two meet
// in serving_state (atomics) only.

#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::entry {

struct entry_settings
{
  std::string mInstance;
  settings::address mListen;
  std::string mDataCentre;
  std::vector<settings::address> mControls;
  std::string mEventFile;
  std::uint64_t mThreads = 2;
  // To one target, busy and idle: seven entries together stay under the 60
  // that a target takes, and one can still fill its 8 slots.
  std::uint64_t mTargetConnections = 8;
  // A planned stop: how long the balancer has to see that /healthz fails
  // before new connections are refused.
  milliseconds mBalancerNotice{ 2000 };
  // And how long requests in progress may take after that.
  milliseconds mStopBound{ 30'000 };
};

// Runs until SIGTERM or SIGINT. Returns the exit code.
int
RunEntry(const entry_settings& aSettings);

} // namespace oriolewalk::entry
