#pragma once

// The records inside a cell_state. Other components only read them; cell_state
// alone changes them.

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

// Index of a worker in cell_state::Workers(), stable until it is removed.
using worker_slot = std::uint32_t;
constexpr worker_slot kNoWorker = std::numeric_limits<worker_slot>::max();
using organisation_slot = std::uint32_t;

struct task_record
{
  task_state mState = task_state::Waiting;
  stop_mode mStop = stop_mode::None; // Requested from the worker.
  stop_reason mStopReason = stop_reason::None;
  bool mThrottled = false; // Confirmed; a tenth of the processors is booked.
  // An attempt is throttled at most once.
  bool mThrottledOnce = false;
  std::uint32_t mAttempt = 0;      // Current or latest; 0: never started.
  std::uint32_t mFailures = 0;     // Consecutive.
  worker_slot mWorker = kNoWorker; // Set while placed.
  std::int64_t mPlacedMs = 0;
  std::int64_t mNotBeforeMs = 0; // End of the backoff (wall clock).

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
  // A member ended early. The members that are still placed are stopped; then
  // all unfinished members wait again or the gang ends.
  bool mGangBroken = false;
  std::optional<refusal> mRefusal;
  std::int64_t mSubmittedMs = 0;
  std::int64_t mFinishedMs = 0; // 0: not finished.
  std::int64_t mLatestStartMs = 0;
  std::vector<task_record> mTasks;
  std::uint32_t mMoves = 0; // Attempts stopped on request or lost.
  stop_reason mLatestMove = stop_reason::None; // None: the worker was lost.

  // Derived from mTasks; not serialized.
  std::uint32_t mWaiting = 0;
  std::uint32_t mPlaced = 0;
  std::uint32_t mFirstWaiting = 0; // No task below this index waits.
  organisation_slot mOrganisation = 0;

  [[nodiscard]] job_state State() const;
  // What the job takes in the memory, in task records.
  [[nodiscard]] std::size_t Records() const
  {
    constexpr std::size_t kOfTheJob = 8;
    return kOfTheJob + mTasks.size();
  }

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

// Returns the resources booked for a placed task: the declared size, with a
// tenth of the processors once the worker has confirmed the throttle.
resources
Booking(const job_spec& aSpec, const task_record& aTask);

// Returns the thousandths of a processor that a throttled task keeps, at
// least 1.
std::int64_t
ThrottledMilliProcessors(const job_spec& aSpec);

struct worker_record
{
  worker_id mId;
  boot_id mBoot;
  data_centre_id mDataCentre;
  rack_id mRack;
  resources mCapacity;
  bool mKnown = true;   // False: removed, and the slot is free.
  bool mPresent = true; // False: its lease expired; it has no tasks.
  bool mDraining = false;
  std::int64_t mDrainDeadlineMs = 0;
  // The most recent earlier boot ids, whose late registrations are refused.
  std::vector<boot_id> mFormerBoots;

  // Derived from the jobs; not serialized.
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

// An attempt that a command ended.
struct ended_attempt
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  worker_slot mWorker = kNoWorker;
  std::optional<attempt_result> mResult; // Nullopt: the worker was lost.
  std::int64_t mRanMs = 0;
};

// The outcome of a command. A refusal means that nothing changed, except for
// start_tasks, where it is the refusal of the first refused placement and the
// other placements may have been accepted.
struct apply_outcome
{
  std::optional<error> mRefusal;
  bool mChanged = false;
  std::optional<job_number> mJob; // Set by submit_job and cancel_job.
  bool mReplayed = false;         // The key of the submit was known.
  std::vector<task_id> mRefusedPlacements;
  std::vector<worker_slot> mWorkers; // Their booking or state changed.
  std::vector<job_number> mJobs;     // The changed jobs.
  std::vector<ended_attempt> mEnded;
};

} // namespace oriolewalk::cell
