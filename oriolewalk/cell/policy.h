#pragma once

// What operators set for the cell, and the scheduler's options.

#include <cstdint>
#include <map>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/packing.h"

namespace oriolewalk::cell {

// The instant at which a decision is made: steady time for leases, wall time
// for what is compared with committed times.
struct instant
{
  time_point mNow;
  std::int64_t mWallMs = 0;
};

// From the weights table. mVersion tells the scheduler when to read it again.
struct cell_policy
{
  std::uint64_t mVersion = 0;
  // The paid place; an organisation that isn't listed has 1.
  std::map<organisation_id, double> mWeights;
  quota_map mQuotas;
};

struct scheduler_options
{
  // From docs/PROTOCOLS.md; counted by the worker from when it sent the poll.
  milliseconds mLease{ 8000 };
  // How much slower a worker's clock may run over one lease, with the time for
  // it to stop what it runs: 5 percent.
  milliseconds mDriftBound{ 400 };
  // No new work for a worker that was silent for three polls.
  milliseconds mQuiet{ 3000 };
  // How often silence, drains and overruns are looked for.
  milliseconds mHousekeeping{ 200 };
  // A Plan's most starts and most jobs looked at: bounds one decision.
  std::uint32_t mMostStarts = 128;
  std::uint32_t mMostLooks = 4096;
  // Jobs of one organisation and class that are tried behind one that waits
  // for room.
  std::uint32_t mBackfillDepth = 16;
  // Waiting longer than this, a normal or heavy job goes ahead of all younger
  // work, one of each class every mHousekeeping: urgent work hardly feels it,
  // and nothing starves under a flood of it.
  milliseconds mNormalBound{ 10 * 60 * 1000 };
  milliseconds mHeavyBound{ 60 * 60 * 1000 };
  // Places held for work that doesn't fit yet.
  std::uint32_t mMostReservations = 8192;
  std::uint32_t mMostQuietReservations = 8; // For other than urgent work.
  // Preempted work that hasn't ended by then is asked for more: half of what
  // remains of 4.2 s after two polls.
  milliseconds mEscalateAfter{ 1200 };
  // A normal job may preempt heavy ones after this wait.
  milliseconds mNormalPatience{ 30'000 };
  // A search for victims or a place to hold that found none is made again
  // after this; and the searches of a Plan look at this many workers at most,
  // each counted as at least eight. Bounds what a full cell costs.
  milliseconds mSeekAgain{ 500 };
  std::uint32_t mMostPlanScans = 1024;
  // Most workers that a search for victims or for a reservation looks at.
  std::uint32_t mMostScanned = 128;
  // Restarts of work that lost its worker, a second: a lost data centre must
  // not hold up new urgent work nor start everything on the same few workers.
  std::uint32_t mRecoveryPerSecond = 400;
  std::uint32_t mRecoveryBurst = 100;
  packing_policy mPacking = shaped_fit{};
};

} // namespace oriolewalk::cell
