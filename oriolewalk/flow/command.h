#pragma once

// The commands of the workflow rooms: what the leader proposes and every
// replica applies in the order of the log.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A table of queues, as its operator sent it and as it was read.
struct put_table
{
  queue_table mTable;
  bytes mSource; // what a read gives back, to the letter

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTable, mSource);
  }
};

struct submit_job
{
  job_id mId;
  queue_row mQueue;
  job_spec mSpec;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mQueue, mSpec);
  }
};

struct cancel_job
{
  job_id mId;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId);
  }
};

// An occurrence of a recurring job is due.
struct open_occurrence
{
  job_id mId;
  std::uint32_t mOccurrence = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mOccurrence);
  }
};

struct run_start
{
  run_ref mRun;
  worker_number mWorker = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mWorker);
  }
};

// Committed before any worker is told, so that every later leader knows all
// places where a task may run.
struct start_runs
{
  std::vector<run_start> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRuns);
  }
};

struct run_end
{
  run_ref mRun;
  run_outcome mOutcome = run_outcome::Done;
  std::string mCheckpoint;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mOutcome, mCheckpoint);
  }
};

// What a worker listed as ended. Committed before the worker may forget it.
struct end_runs
{
  worker_number mWorker = 0;
  std::vector<run_end> mEnds;
  std::uint64_t mCursor = 0; // the last of them in the worker's own count

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mEnds, mCursor);
  }
};

// Runs that surely don't run and never will, though the worker listed no end:
// refused, stopped before they began, or outlived by their lease.
struct drop_runs
{
  worker_number mWorker = 0;
  std::vector<run_ref> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mRuns);
  }
};

struct register_worker
{
  worker_description mDescription;
  bool mDraining = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDescription, mDraining);
  }
};

// This life of the worker is over for sure: everything on it is.
struct remove_worker
{
  worker_number mWorker = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker);
  }
};

// Ended jobs that have been shown for long enough.
struct forget_jobs
{
  std::vector<job_id> mJobs;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mJobs);
  }
};

struct run_checkpoint
{
  run_ref mRun;
  std::string mCheckpoint;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mCheckpoint);
  }
};

// How far runs had come when they were last seen. Proposed just before they are
// given up with their worker, so that their tasks go on from there.
struct save_checkpoints
{
  std::vector<run_checkpoint> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRuns);
  }
};

// Runs that have surely lapsed at a worker that can't be reached. It may have
// crashed under them: that counts once it is known.
struct mark_runs_lost
{
  worker_number mWorker = 0;
  std::vector<run_ref> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mRuns);
  }
};

// The worker that couldn't be reached answers, in the same life.
struct record_worker_return
{
  worker_number mWorker = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker);
  }
};

// This life of the worker is over, and it had not said that it leaves.
struct record_worker_crash
{
  worker_number mWorker = 0;
  std::vector<run_ref> mSuspects; // of what ran there: had just started
  std::vector<run_ref> mCleared;  // has run for so long that it isn't the cause

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mSuspects, mCleared);
  }
};

using command_body = std::variant<put_table,
                                  submit_job,
                                  cancel_job,
                                  open_occurrence,
                                  start_runs,
                                  end_runs,
                                  drop_runs,
                                  register_worker,
                                  remove_worker,
                                  forget_jobs,
                                  save_checkpoints,
                                  mark_runs_lost,
                                  record_worker_return,
                                  record_worker_crash>;

// An entry of the log. The wall time is the proposer's; all replicas use it.
struct command
{
  std::int64_t mWallMs = 0;
  command_body mBody;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWallMs, mBody);
  }
};

} // namespace oriolewalk::flow
