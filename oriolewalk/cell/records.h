#pragma once

// The records inside a cell_state, to be read by schedulers and shells. Only
// cell_state changes them.

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Place of a worker in cell_state::Workers(); stable until it is removed.
using worker_slot = std::uint32_t;
constexpr worker_slot kNoWorker = std::numeric_limits<worker_slot>::max();
using organisation_slot = std::uint32_t;

struct task_record
{
  task_state mState = task_state::Waiting;
  stop_mode mStop = stop_mode::None; // What the worker is asked for.
  stop_reason mStopReason = stop_reason::None;
  bool mThrottled = false; // Confirmed: a tenth of the processors is booked.
  bool mThrottledOnce = false; // In this attempt; it isn't done a second time.
  std::uint32_t mAttempt = 0;  // The current or latest; 0: never started.
  std::uint32_t mFailures = 0; // In a row.
  worker_slot mWorker = kNoWorker; // While placed.
  std::int64_t mPlacedMs = 0;
  std::int64_t mNotBeforeMs = 0; // Backoff, by the wall clock.

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mState,
             mStop,
             mStopReason,
             mThrottled,
             mThrottledOnce,
             mAttempt,
             mFailures,
             mWorker,
             mPlacedMs,
             mNotBeforeMs);
  }
};

struct job_record
{
  job_number mNumber;
  request_key mKey;
  job_spec mSpec;
  bool mCancelled = false;
  // A member ended early: those still placed are stopped, then all wait again
  // or the gang ends.
  bool mGangBroken = false;
  std::optional<refusal> mRefusal;
  std::int64_t mSubmittedMs = 0;
  std::int64_t mFinishedMs = 0; // 0: not yet.
  std::int64_t mLatestStartMs = 0;
  std::vector<task_record> mTasks;
  std::uint32_t mMoves = 0; // Attempts that ended on request or by a loss.
  stop_reason mLatestMove = stop_reason::None; // None: its worker was lost.

  // Kept from mTasks, never stored.
  std::uint32_t mWaiting = 0;
  std::uint32_t mPlaced = 0;
  std::uint32_t mFirstWaiting = 0; // No task before it waits.
  organisation_slot mOrganisation = 0;

  [[nodiscard]] job_state State() const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNumber,
             mKey,
             mSpec,
             mCancelled,
             mGangBroken,
             mRefusal,
             mSubmittedMs,
             mFinishedMs,
             mLatestStartMs,
             mTasks,
             mMoves,
             mLatestMove);
  }
};

// What is booked for a placed task: the declared size, with a tenth of the
// processors once its worker confirmed the throttle.
resources
Booking(const job_spec& aSpec, const task_record& aTask);

// The processors that a throttled task keeps; at least 1.
std::int64_t
ThrottledMilliProcessors(const job_spec& aSpec);

struct worker_record
{
  worker_id mId;
  boot_id mBoot;
  data_centre_id mDataCentre;
  rack_id mRack;
  resources mCapacity;
  bool mKnown = true;   // False: removed; the slot is free.
  bool mPresent = true; // False: its lease lapsed; it holds nothing.
  bool mDraining = false;
  std::int64_t mDrainDeadlineMs = 0;
  std::vector<boot_id> mFormerBoots; // The latest few, to refuse late copies.

  // Kept from the jobs, never stored.
  resources mBooked;
  std::set<task_id> mTasks;

  [[nodiscard]] resources Free() const { return mCapacity - mBooked; }
  [[nodiscard]] bool TakesWork() const
  {
    return mKnown && mPresent && !mDraining;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId,
             mBoot,
             mDataCentre,
             mRack,
             mCapacity,
             mKnown,
             mPresent,
             mDraining,
             mDrainDeadlineMs,
             mFormerBoots);
  }
};

struct organisation_record
{
  organisation_id mId;
  resources mBooked;
  std::optional<resources> mQuota;
  // Jobs with a waiting task, oldest first.
  std::array<std::set<job_number>, kClassCount> mWaiting;

  [[nodiscard]] bool Allows(const resources& aMore) const
  {
    return !mQuota || (mBooked + aMore).FitsIn(*mQuota);
  }
};

// An attempt that a command brought to its end.
struct ended_attempt
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  worker_slot mWorker = kNoWorker;
  std::optional<attempt_result> mResult; // None: its worker was lost.
  std::int64_t mRanMs = 0;
};

// What became of a command. A refusal means that nothing changed, except for
// start_tasks, where it is that of the first refused placement.
struct apply_outcome
{
  std::optional<error> mRefusal;
  bool mChanged = false;
  std::optional<job_number> mJob; // Of a submit or cancel.
  bool mReplayed = false;         // The submit's key was known.
  std::vector<task_id> mRefusedPlacements;
  std::vector<worker_slot> mWorkers; // Whose booking or state changed.
  std::vector<job_number> mJobs;     // That changed.
  std::vector<ended_attempt> mEnded;
};

} // namespace oriolewalk::cell
