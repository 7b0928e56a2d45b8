#pragma once

// The operators' settings for the cell, and the scheduler's options.

#include <cstdint>
#include <map>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/packing.h"

namespace oriolewalk::cell {

// The instant at which a decision is made: steady time for leases, wall time
// for comparisons with committed times.
struct instant
{
  time_point mNow;
  std::int64_t mWallMs = 0;
};

// Read from the weights table. The scheduler reads it again when mVersion
// changes.
struct cell_policy
{
  std::uint64_t mVersion = 0;
  // The weight that an organisation pays for; 1 if it isn't listed.
  std::map<organisation_id, double> mWeights;
  quota_map mQuotas;
};

struct scheduler_options
{
  // Defined in docs/PROTOCOLS.md. The worker counts it from the time at which
  // it sent the poll.
  milliseconds mLease{ 8000 };
  // Bounds how much slower a worker's clock may run over one lease, including
  // the time that the worker needs to stop its tasks: 5 percent.
  milliseconds mDriftBound{ 400 };
  // A worker that missed three polls gets no new work.
  milliseconds mQuiet{ 3000 };
  // Interval of the checks for silent workers, drains and overruns.
  milliseconds mHousekeeping{ 200 };
  // Max starts and max examined jobs per Plan; bounds the cost of one Plan.
  std::uint32_t mMostStarts = 128;
  std::uint32_t mMostLooks = 4096;
  // Max jobs of one organisation and class that are tried behind a job that
  // waits for capacity.
  std::uint32_t mBackfillDepth = 16;
  // A normal or heavy job that has waited longer than this goes ahead of all
  // younger work, one job of each class every mHousekeeping. This prevents
  // starvation under a flood of urgent work and hardly delays urgent work.
  milliseconds mNormalBound{ 10 * 60 * 1000 };
  milliseconds mHeavyBound{ 60 * 60 * 1000 };
  // Max reservations for work that doesn't fit yet.
  std::uint32_t mMostReservations = 8192;
  std::uint32_t mMostQuietReservations = 8; // For work that isn't urgent.
  // Preemption of work that hasn't ended by then escalates to a stronger stop
  // mode. The value is half of what remains of 4.2 s after two polls.
  milliseconds mEscalateAfter{ 1200 };
  // A normal job may preempt heavy ones after this wait.
  milliseconds mNormalPatience{ 30'000 };
  // A failed search for preemption victims or for a reservation is repeated
  // after this delay. The searches of one Plan examine at most mMostPlanScans
  // workers, and each search counts as at least eight. Both bound the cost of
  // a Plan on a full cell.
  milliseconds mSeekAgain{ 500 };
  std::uint32_t mMostPlanScans = 1024;
  // Max workers that one search for victims or for a reservation examines.
  std::uint32_t mMostScanned = 128;
  // Max restarts per second of tasks that lost their worker. The loss of a
  // data centre must neither delay new urgent work nor start all its tasks on
  // the same few workers.
  std::uint32_t mRecoveryPerSecond = 400;
  std::uint32_t mRecoveryBurst = 100;
  packing_policy mPacking = shaped_fit{};
};

} // namespace oriolewalk::cell
