#pragma once

// The replicated state of the workflow rooms: the table of queues, jobs with
// their tasks, and workers. Changed only by commands in the order of the log.
//
//   flow_state state;
//   apply_outcome outcome = state.Apply(command{ wallMs, submit_job{...} });
//
// It keeps these rules whatever is proposed:
// - a task has at most one attempt that may be under way, but a gang's are
//   given out together;
// - no task of a step is placed before all steps that it depends on are done;
// - no task is placed once its job has ended, or on a worker that drains or has
//   gone;
// - an end counts only for the attempt that is under way, and only once;
// - a task that crashes its workers is given up, and its job ends as failed;
// - a number names one life of a worker: one that starts again under its id
//   gets another, and what was placed there goes along until a look tells.
//
// Owned by the flow core; the control thread only. No clock, no I/O.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/crash_tracker.h"
#include "oriolewalk/flow/records.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// What a command came to. mError says why nothing was changed.
struct apply_outcome
{
  std::optional<error> mError{};
  std::vector<run_start> mStarted{}; // of start_runs: those that were accepted
  std::vector<job_id> mEndedJobs{};  // jobs that ended by this command
  std::vector<task_ref> mAbandonedTasks{}; // they ended their jobs
  worker_number mPreviousIncarnation =
    0; // by register_worker: now over; 0: none
};

struct placed_totals
{
  cell::resources mBooked;
  std::uint32_t mLatencySensitive = 0; // with a target for their tail
  std::uint32_t mBestEffort = 0;
  std::uint32_t mLongRunning = 0; // or members of gangs
};

class flow_state
{
public:
  apply_outcome Apply(const command& aCommand);

  [[nodiscard]] const queue_table& Table() const { return mTable; }
  [[nodiscard]] const bytes& TableSource() const { return mTableSource; }
  [[nodiscard]] const std::map<job_id, job_record>& Jobs() const
  {
    return mJobs;
  }
  // Jobs that have not ended, or of which a run may still be under way.
  [[nodiscard]] const std::map<job_id, const job_record*>& LiveJobs() const
  {
    return mLive;
  }
  [[nodiscard]] const std::map<worker_number, worker_record>& Workers() const
  {
    return mWorkers;
  }
  [[nodiscard]] const job_record* FindJob(const job_id& aId) const;
  [[nodiscard]] const worker_record* FindWorker(worker_number aWorker) const;
  // Of the worker's newest life that is known; 0, if none is (any more).
  [[nodiscard]] worker_number NumberOf(const worker_id& aId) const;
  [[nodiscard]] const task_record* FindTask(const task_ref& aTask) const;
  // The step's size and wishes; null for an unknown one.
  [[nodiscard]] const step_spec* FindStep(const task_ref& aTask) const;
  // How far the task's step has come; null for an unknown one.
  [[nodiscard]] const step_record* FindStepRecord(const task_ref& aTask) const;
  // Whether the attempt may be under way at aWorker.
  [[nodiscard]] bool IsPlaced(const run_ref& aRun, worker_number aWorker) const;
  // The runs that may be under way there; empty for none.
  [[nodiscard]] const std::set<run_ref>& RunsAt(worker_number aWorker) const;
  // What they take of its capacity, and how many of them have a target for
  // their tail or fill. One look-up: plans ask it of every worker.
  [[nodiscard]] placed_totals TotalsAt(worker_number aWorker) const;
  // Whether every step that aStep depends on is done.
  [[nodiscard]] static bool AreDependenciesDone(
    const job_record& aJob,
    const occurrence_record& aOccurrence,
    std::uint32_t aStep);
  // The queue's row in force, or the one that the job came in by if the queue
  // has been taken out since.
  [[nodiscard]] const queue_row& QueueOf(const job_record& aJob) const;
  [[nodiscard]] const crash_tracker& Crashes() const { return mCrashes; }
  // Accepted jobs of the queue of which no task was placed yet.
  [[nodiscard]] std::uint64_t PendingJobs(std::string_view aQueue) const;

  [[nodiscard]] bytes Save() const;
  // Errors: Corrupt; the state is then unchanged.
  result<void> Restore(std::string_view aBytes);

private:
  struct placed_book
  {
    std::set<run_ref> mRuns;
    // Counted here, since plans ask for every worker many times a second.
    placed_totals mAmounts;

    void Add(const run_ref& aRun, const step_spec& aStep);
    void Remove(const run_ref& aRun, const step_spec& aStep);
  };

  apply_outcome On(const put_table& aPut, std::int64_t aWallMs);
  apply_outcome On(const submit_job& aSubmit, std::int64_t aWallMs);
  apply_outcome On(const cancel_job& aCancel, std::int64_t aWallMs);
  apply_outcome On(const open_occurrence& aOpen, std::int64_t aWallMs);
  apply_outcome On(const start_runs& aStart, std::int64_t aWallMs);
  apply_outcome On(const end_runs& aEnd, std::int64_t aWallMs);
  apply_outcome On(const drop_runs& aDrop, std::int64_t aWallMs);
  apply_outcome On(const register_worker& aWorker, std::int64_t aWallMs);
  apply_outcome On(const remove_worker& aWorker, std::int64_t aWallMs);
  apply_outcome On(const forget_jobs& aForget, std::int64_t aWallMs);
  apply_outcome On(const save_checkpoints& aKeep, std::int64_t aWallMs);
  apply_outcome On(const mark_runs_lost& aLose, std::int64_t aWallMs);
  apply_outcome On(const record_worker_return& aReturn, std::int64_t aWallMs);
  apply_outcome On(const record_worker_crash& aCrash, std::int64_t aWallMs);

  void OpenOccurrence(job_record& aJob,
                      std::uint32_t aNumber,
                      std::int64_t aWallMs);
  bool Start(const run_start& aStart);
  void End(worker_number aWorker,
           const run_end& aEnd,
           std::int64_t aWallMs,
           apply_outcome& aOutcome);
  void CountEnd(const run_end& aEnd,
                job_record& aJob,
                step_record& aStep,
                const step_spec& aSpec,
                std::int64_t aWallMs,
                apply_outcome& aOutcome);
  void MarkDone(const run_ref& aRun,
                step_record& aStep,
                const step_spec& aSpec);
  void CountFailure(const run_ref& aRun,
                    job_record& aJob,
                    step_record& aStep,
                    const step_spec& aSpec,
                    std::int64_t aWallMs,
                    apply_outcome& aOutcome);
  // Releases those that are still placed there, and returns them.
  std::vector<run_ref> ReleaseAll(worker_number aWorker,
                                  const std::vector<run_ref>& aRuns);
  // Ends the task's job, if the task has crashed too many workers.
  void GiveUpIfCrashing(const task_ref& aTask,
                        std::int64_t aWallMs,
                        apply_outcome& aOutcome);
  // What is placed at one life of a worker is placed at its next from now on.
  void MovePlaced(worker_number aFrom, worker_number aTo);
  // The run is over: its task waits again, its room is free.
  void Release(const run_ref& aRun, worker_number aWorker);
  void FinishIfDone(const job_id& aId,
                    job_record& aJob,
                    std::int64_t aWallMs,
                    apply_outcome& aOutcome);
  void EndJob(const job_id& aId,
              job_record& aJob,
              job_state aState,
              std::int64_t aWallMs,
              apply_outcome& aOutcome);
  void UpdateLive(const job_id& aId, const job_record& aJob);
  void RebuildIndexes();
  void IndexQueues();
  // aFirst: the step's first task.
  void BookPlaced(task_ref aFirst,
                  const job_record& aJob,
                  const step_record& aStep);
  [[nodiscard]] std::uint32_t MostAttempts(const job_record& aJob) const;

  queue_table mTable;
  bytes mTableSource;
  std::map<job_id, job_record> mJobs;
  std::map<worker_number, worker_record> mWorkers;
  worker_number mLastWorker = 0;
  crash_tracker mCrashes;

  // Derived from the above.
  std::map<job_id, const job_record*> mLive; // of mJobs, whose nodes stay
  std::map<worker_id, worker_number> mNumbers;
  std::unordered_map<std::string, std::size_t> mQueuePlaces; // by name
  std::unordered_map<worker_number, placed_book> mPlaced;
};

} // namespace oriolewalk::flow
