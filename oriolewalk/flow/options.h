#pragma once

// The options of the workflow scheduler, with their reasons. A deployment's
// adapter sets the bounds that its platform states.

#include <cstddef>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/plan_policy.h"
#include "oriolewalk/machines/upkeep_planner.h"

namespace oriolewalk::flow {

struct flow_options
{
  // The longest lease that a worker grants (the platform's bound).
  milliseconds mMaxLease{ 6'000 };
  // The lease that is requested. Long enough for a leader change (about 1 s)
  // with a second one right after it; short enough that work on a lost worker
  // soon starts elsewhere.
  milliseconds mLease{ 4'000 };
  // The lease on a worker that drains. It may end at any time, and its tasks
  // start elsewhere only once the lease has expired, unless it has shown that
  // they ended. Long enough for one lost poll.
  milliseconds mDrainingLease{ 2'000 };
  // The share by which a worker's clock may be slow (the platform's bound).
  double mMaxClockDrift = 0.02;
  // How long a worker holds a poll open until a run ends. Short enough that two
  // polls may be lost within a lease.
  milliseconds mLongPollWait{ 1'000 };
  // The same where best-effort work shares a worker: polls are needed as often
  // as the figures change, which cover the last half second.
  milliseconds mSharedLongPollWait{ 400 };
  // Added to the worker's own waiting time before an answer counts as lost:
  // about a hundred round trips, and far less than the lease.
  milliseconds mAnswerMargin{ 600 };
  // Delay of the next poll after one without an answer.
  milliseconds mPollRetryDelay{ 150 };
  // A start without an answer that no poll has shown after this time is
  // withdrawn, so that the task can start elsewhere.
  milliseconds mStartTimeout{ 250 };
  // A stop without an answer is sent again after this time.
  milliseconds mStopRetryDelay{ 300 };
  // A worker that was silent for two and a half heartbeats gets no new work.
  milliseconds mHeartbeatTimeout{ 3'750 };
  // A worker's capacity may shrink while it runs, which its heartbeat reports.
  // Nothing starts on a worker whose last heartbeat is older than this: the
  // platform's limit for contact and a heartbeat, less the duration of an
  // order.
  milliseconds mMaxCapacityAge{ 4'000 };
  // How much older the last heartbeat may be when the order to start is sent to
  // the worker than when the start was planned. The rest of the duration of an
  // order is for its transit.
  milliseconds mMaxStartDelay{ 400 };
  // The order to start an organisation's task is sent within this time of the
  // commit of the start: a table that lowers its maximum may be in force
  // everywhere soon afterwards.
  milliseconds mMaxQuotaAge{ 2'000 };
  // A copy that starts later than this after its commit is refused by its
  // worker. No run may start later than 1 s after its task's end as done was
  // acknowledged; the rest is for the drift and the rounding of clocks.
  milliseconds mMaxCopyStartDelay{ 800 };
  // A silent worker is removed after this time, if nothing can still run there.
  milliseconds mWorkerRemovalDelay{ 20'000 };
  // How long ended jobs stay visible.
  milliseconds mEndedJobRetention{ 120'000 };
  // Added to the retention for wall clocks that jump by seconds.
  milliseconds mWallClockMargin{ 30'000 };
  // Up to this many workers the leader makes all calls itself and takes all
  // heartbeats. A relay costs each order two messages between processes and 2
  // to 4 ms, and half of a core handles this many workers with capacity to
  // spare.
  std::size_t mMaxWorkersWithoutRelays = 400;
  // What jobs may take in the memory, ended ones too; beyond, new ones are
  // refused. Their callers come back after mFullRetryDelay: ended jobs are
  // forgotten only after mEndedJobRetention.
  std::size_t mMaxJobBytes = 64UL * 1024 * 1024;
  milliseconds mFullRetryDelay{ 5'000 };
  // The same for the operators' waves.
  std::size_t mMaxWaveBytes = 16UL * 1024 * 1024;
  // Beyond, a worker that isn't known is not registered: each takes a few KiB.
  std::size_t mMaxWorkers = 10'000;
  // How long a task of a long-running step may be away from work before it
  // counts as unavailable.
  milliseconds mAvailabilityNotice{ 1'000 };
  // Rates of calls to the machine service, and how long a machine is down.
  machines::upkeep_options mUpkeep;
  plan_policy mPlan;
};

// The options of a process with so many bytes of memory.
inline flow_options
WithinMemory(flow_options aOptions, std::size_t aMemoryBytes)
{
  constexpr std::size_t kJobsPart = 4;
  constexpr std::size_t kWavesPart = 16;
  constexpr std::size_t kWorkersPart = 16;
  constexpr std::size_t kWorkerBytes = 4'096;
  aOptions.mMaxJobBytes = aMemoryBytes / kJobsPart;
  aOptions.mMaxWaveBytes = aMemoryBytes / kWavesPart;
  aOptions.mMaxWorkers = aMemoryBytes / kWorkersPart / kWorkerBytes;
  return aOptions;
}

} // namespace oriolewalk::flow
