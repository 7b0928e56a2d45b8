#pragma once

// The records of jobs and workers in the replicated state.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

enum class task_phase : std::uint8_t
{
  Waiting,
  Placed, // its run may be in progress at mWorker
  Done,
};

struct task_record
{
  task_phase mPhase = task_phase::Waiting;
  attempt_t mAttempt = 0; // the last one that was assigned
  worker_number mWorker = 0;
  std::uint32_t mFailures = 0;
  std::string mCheckpoint; // empty: start from the beginning

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPhase, mAttempt, mWorker, mFailures, mCheckpoint);
  }
};

// The copies of a task. The record is kept from the task's first copy until the
// task has ended.
struct copy_record
{
  attempt_t mLastAttempt = 0; // the highest that was given to a copy
  // The run that may be in progress beside the one in the task's record: a copy
  // or, once a copy has ended as done, the run that it overtook.
  attempt_t mAttempt = 0;
  worker_number mWorker = 0; // 0: there is no such run

  [[nodiscard]] bool IsPlaced() const { return mWorker != 0; }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLastAttempt, mAttempt, mWorker);
  }
};

struct step_record
{
  std::vector<task_record> mTasks;
  std::uint32_t mDoneTasks = 0;
  // The failures of a gang's members count once per attempt of the whole gang.
  std::uint32_t mGangFailures = 0;
  attempt_t mLastFailedAttempt = 0;

  [[nodiscard]] bool IsDone() const { return mDoneTasks == mTasks.size(); }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTasks, mDoneTasks, mGangFailures, mLastFailedAttempt);
  }
};

struct occurrence_record
{
  std::vector<step_record> mSteps;
  std::int64_t mOpenedWallMs = 0;
  bool mHasStarted = false; // a task has been placed
  bool mDone = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mSteps, mOpenedWallMs, mHasStarted, mDone);
  }
};

enum class job_state : std::uint8_t
{
  Active,
  Done,
  Failed,
  Cancelled,
};

struct job_record
{
  job_spec mSpec;
  queue_row mQueue; // as it was when the job was submitted
  job_state mState = job_state::Active;
  std::int64_t mSubmittedWallMs = 0;
  std::int64_t mEndedWallMs = 0;
  std::uint32_t mNextOccurrence = 0;
  bool mHasStarted = false;
  std::map<std::uint32_t, occurrence_record> mOccurrences;
  std::uint32_t mPlacedRuns = 0; // runs that may be in progress
  // The organisation that submitted it; empty: it came through a public queue.
  // A snapshot keeps the owners apart from the records.
  organisation_id mOwner;

  [[nodiscard]] bool IsActive() const { return mState == job_state::Active; }
  // What the job takes in the memory.
  [[nodiscard]] std::size_t Bytes() const
  {
    return SpecBytes(mSpec) + mOccurrences.size() * OccurrenceBytes(mSpec);
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mSpec,
             mQueue,
             mState,
             mSubmittedWallMs,
             mEndedWallMs,
             mNextOccurrence,
             mHasStarted,
             mOccurrences,
             mPlacedRuns);
  }
};

struct worker_record
{
  worker_description mDescription;
  bool mDraining = false;
  // The worker's ends of runs up to this number are in the state, so the worker
  // may forget them.
  std::uint64_t mCursor = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDescription, mDraining, mCursor);
  }
};

} // namespace oriolewalk::flow
