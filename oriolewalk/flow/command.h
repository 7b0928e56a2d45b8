#pragma once

// The commands of the workflow scheduler. The leader proposes them, and every
// replica applies them in log order.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/machines/wave.h"

namespace oriolewalk::flow {

// A table of queues, parsed and as the operator sent it.
struct put_table
{
  queue_table mTable;
  bytes mSource; // returned unchanged by a read

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

// Committed before any start order is sent, so that every later leader knows
// all workers at which a task may run.
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

// The runs that a worker reported as ended. Committed before the worker may
// forget them.
struct end_runs
{
  worker_number mWorker = 0;
  std::vector<run_end> mEnds;
  std::uint64_t mCursor = 0; // the last end's number in the worker's own count

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mEnds, mCursor);
  }
};

// Runs that certainly don't run and never will, although the worker reported no
// end: they were refused, they were stopped before they began, or their lease
// expired.
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

// This incarnation of the worker has certainly ended, and with it all its runs.
struct remove_worker
{
  worker_number mWorker = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker);
  }
};

// Ended jobs whose retention time is over.
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

// The last checkpoints that were reported for runs. Proposed just before the
// runs are withdrawn from their lost worker, so that their tasks resume from
// there.
struct save_checkpoints
{
  std::vector<run_checkpoint> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRuns);
  }
};

// Runs at an unreachable worker whose leases have certainly expired. The worker
// may have crashed while it ran them; the crash is counted once it is known.
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

// The unreachable worker answers again, in the same incarnation.
struct record_worker_return
{
  worker_number mWorker = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker);
  }
};

// This incarnation of the worker has ended without a deregistration.
struct record_worker_crash
{
  worker_number mWorker = 0;
  std::vector<run_ref> mSuspects; // runs there that had just started
  std::vector<run_ref> mCleared;  // ran for too long to be the cause

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mSuspects, mCleared);
  }
};

// A table that says who may use its queues.
struct put_table_with_access
{
  put_table mPut;
  access_rules mAccess;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPut, mAccess);
  }
};

// A job that belongs to an organisation.
struct submit_owned_job
{
  submit_job mSubmit;
  organisation_id mOwner;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mSubmit, mOwner);
  }
};

// The ends of several workers in one entry of the log. A leader that falls
// behind proposes it instead of one end_runs for each worker.
struct end_runs_on_workers
{
  std::vector<end_runs> mWorkers;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorkers);
  }
};

// Second runs of tasks that are in progress; see flow_state_copies.cc.
// Committed before any start order is sent, like start_runs. Proposed only for
// steps that allow copies.
struct start_copies
{
  std::vector<run_start> mRuns;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRuns);
  }
};

// An operator's order of an upkeep. Acknowledged once it is committed.
struct put_wave
{
  machines::wave_record mWave;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWave);
  }
};

// The machine has begun its upkeep for the wave, or has left for good.
struct record_upkeep
{
  std::uint64_t mWave = 0;
  machine_id mMachine;
  bool mHasLeft = false; // it left the list of machines before its upkeep

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWave, mMachine, mHasLeft);
  }
};

// A process of an earlier version can't read commands that were added later and
// stops. They are proposed only where a table with organisations, a step that
// allows copies or an operator's wave needs them, or where a leader falls
// behind.
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
                                  record_worker_crash,
                                  put_table_with_access,
                                  submit_owned_job,
                                  end_runs_on_workers,
                                  start_copies,
                                  put_wave,
                                  record_upkeep>;

// An entry of the log. All replicas use the proposer's wall time.
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
