#pragma once

// The entry process serves HTTP to callers, targets, workers and operators, and
// calls the control processes by RPC.
//
// Threads: the traffic threads run HTTP and the request flows; the control
// thread owns the serving lease and the heartbeat; the RPC node has its own
// threads. Traffic and control threads share only serving_state (atomics).

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
  // Connections to one target, busy and idle. With 8, seven entries together
  // stay below the 60 connections that a target accepts, and a single entry can
  // still fill a target's 8 slots.
  std::uint64_t mTargetConnections = 8;
  // Connections and their messages get a part of it, and the machine's memory
  // where that is less.
  std::uint64_t mMemoryMb = 256;
  // In a planned stop, the time for the balancer to notice that /healthz fails
  // before new connections are refused.
  milliseconds mBalancerNotice{ 2000 };
  // Maximum time after that for requests in progress to end.
  milliseconds mStopBound{ 30'000 };
};

// Runs until SIGTERM or SIGINT. Returns the exit code.
int
RunEntry(const entry_settings& aSettings);

} // namespace oriolewalk::entry
