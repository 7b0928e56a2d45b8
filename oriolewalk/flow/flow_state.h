#pragma once

// The replicated state of the workflow scheduler: the table of queues, jobs
// with their tasks, and workers. Only commands change it, in log order.
//
//   flow_state state;
//   apply_outcome outcome = state.Apply(command{ wallMs, submit_job{...} });
//
// It maintains these invariants whatever is proposed:
// - a task has at most one attempt that may be in progress, or two on different
//   workers if its step allows copies; the attempts of a gang's members are
//   assigned together;
// - the attempts of a task increase;
// - no task of a step is placed before all steps that it depends on are done;
// - the runs of an organisation that may be in progress take no more than its
//   maximum, but for a single task that is larger by itself;
// - no task is placed after its job has ended, or on a worker that is draining
//   or has been removed;
// - an end counts only for the attempt that is in progress, and only once;
// - a task that crashes its workers is abandoned, and its job ends as failed;
// - a worker_number identifies one incarnation of a worker: a worker that
//   restarts under its id gets another number, and runs that are still placed
//   there move along until a poll shows whether they still run;
// - a wave's order never changes, and what was recorded of its machines stays.
//
// Owned by flow_core; used by the control thread only. No clock, no I/O.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/crash_tracker.h"
#include "oriolewalk/flow/records.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/machines/wave.h"
#include "oriolewalk/organisations/key_index.h"
#include "oriolewalk/organisations/quota.h"
#include "oriolewalk/organisations/usage_report.h"

namespace oriolewalk::flow {

// The result of a command. If mError is set, nothing was changed.
struct apply_outcome
{
  std::optional<error> mError{};
  std::vector<run_start> mStarted{};       // accepted starts of start_runs
  std::vector<job_id> mEndedJobs{};        // jobs that this command ended
  std::vector<task_ref> mAbandonedTasks{}; // tasks whose jobs failed
  worker_number mPreviousIncarnation = 0;  // ended by register_worker; 0: none
};

struct placed_totals
{
  cell::resources mBooked;
  std::uint32_t mLatencySensitive = 0; // runs with a tail latency target
  std::uint32_t mBestEffort = 0;
  std::uint32_t mLongRunning = 0; // including gang members
};

class flow_state
{
public:
  // aKeySeed: for the hashes of callers' keys; unknown to callers. It isn't
  // part of the replicated state.
  explicit flow_state(std::uint64_t aKeySeed = 0);

  apply_outcome Apply(const command& aCommand);

  [[nodiscard]] const queue_table& Table() const { return mTable; }
  [[nodiscard]] const bytes& TableSource() const { return mTableSource; }
  [[nodiscard]] const std::map<job_id, job_record>& Jobs() const
  {
    return mJobs;
  }
  // Jobs that have not ended, or that have a run that may still be in progress.
  [[nodiscard]] const std::map<job_id, const job_record*>& LiveJobs() const
  {
    return mLive;
  }
  [[nodiscard]] const std::map<worker_number, worker_record>& Workers() const
  {
    return mWorkers;
  }
  // What all jobs take in the memory, ended ones too.
  [[nodiscard]] std::size_t JobBytes() const { return mJobBytes; }
  [[nodiscard]] const job_record* FindJob(const job_id& aId) const;
  [[nodiscard]] const worker_record* FindWorker(worker_number aWorker) const;
  // The number of the worker's latest known incarnation; 0 if there is none.
  [[nodiscard]] worker_number NumberOf(const worker_id& aId) const;
  [[nodiscard]] const task_record* FindTask(const task_ref& aTask) const;
  // The specification of the task's step; null for an unknown one.
  [[nodiscard]] const step_spec* FindStep(const task_ref& aTask) const;
  // The progress of the task's step; null for an unknown one.
  [[nodiscard]] const step_record* FindStepRecord(const task_ref& aTask) const;
  // The highest attempt that was given to the task, or 0.
  [[nodiscard]] attempt_t LastAttempt(const task_ref& aTask) const;
  // The task's second run that may be in progress; null if there is none.
  [[nodiscard]] const copy_record* FindPlacedCopy(const task_ref& aTask) const;
  // The copies of tasks that have not ended, and the runs that they overtook.
  [[nodiscard]] const std::map<task_ref, copy_record>& Copies() const
  {
    return mCopies;
  }
  // Whether the attempt may be in progress at aWorker.
  [[nodiscard]] bool IsPlaced(const run_ref& aRun, worker_number aWorker) const;
  // The runs that may be in progress at aWorker.
  [[nodiscard]] const std::set<run_ref>& RunsAt(worker_number aWorker) const;
  // The capacity that those runs book, and how many of them are of each kind.
  // It takes one lookup, since plans need it for every worker.
  [[nodiscard]] placed_totals TotalsAt(worker_number aWorker) const;
  // The workers with runs that use what the others leave.
  [[nodiscard]] const std::set<worker_number>& WorkersWithBestEffort() const
  {
    return mBestEffort;
  }
  // Whether every step that aStep depends on is done.
  [[nodiscard]] static bool AreDependenciesDone(
    const job_record& aJob,
    const occurrence_record& aOccurrence,
    std::uint32_t aStep);
  // The queue's row in force, or the row at the job's submission if the queue
  // has been removed since.
  [[nodiscard]] const queue_row& QueueOf(const job_record& aJob) const;
  [[nodiscard]] const crash_tracker& Crashes() const { return mCrashes; }
  // The operators' waves by number, ended ones too.
  [[nodiscard]] const std::map<std::uint64_t, machines::wave_record>& Waves()
    const
  {
    return mWaves;
  }

  // None: everybody may use every queue.
  [[nodiscard]] const std::optional<access_rules>& Access() const
  {
    return mAccess;
  }
  [[nodiscard]] bool IsPublic(const queue_row& aQueue) const;
  // The organisation that the key belongs to in the table in force; null if
  // there is none.
  [[nodiscard]] const organisation_id* OwnerOfKey(std::string_view aKey) const
  {
    return mKeys.OwnerOf(aKey);
  }
  // The organisation's row in force, or its last one if it has been removed;
  // null for an unknown one.
  [[nodiscard]] const organisations::organisation_row* FindOrganisation(
    const organisation_id& aName) const;
  // What the organisations' runs take that may be in progress. An organisation
  // without a row or a run has no account.
  [[nodiscard]] const organisations::quota_accounts& Accounts() const
  {
    return mAccounts;
  }
  // The number of accepted jobs of the queue without a placed task so far.
  [[nodiscard]] std::uint64_t PendingJobs(std::string_view aQueue) const;

  [[nodiscard]] bytes Save() const;
  // Errors: Corrupt, which leaves the state unchanged.
  result<void> Restore(std::string_view aBytes);

private:
  struct placed_runs
  {
    std::set<run_ref> mRuns;
    // Kept up to date, since plans need them for every worker many times a
    // second.
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
  apply_outcome On(const save_checkpoints& aSave, std::int64_t aWallMs);
  apply_outcome On(const mark_runs_lost& aLost, std::int64_t aWallMs);
  apply_outcome On(const record_worker_return& aReturn, std::int64_t aWallMs);
  apply_outcome On(const record_worker_crash& aCrash, std::int64_t aWallMs);
  apply_outcome On(const put_table_with_access& aPut, std::int64_t aWallMs);
  apply_outcome On(const submit_owned_job& aSubmit, std::int64_t aWallMs);
  apply_outcome On(const end_runs_on_workers& aEnds, std::int64_t aWallMs);
  apply_outcome On(const start_copies& aStart, std::int64_t aWallMs);
  apply_outcome On(const put_wave& aPut, std::int64_t aWallMs);
  apply_outcome On(const record_upkeep& aRecord, std::int64_t aWallMs);

  void PutTable(const put_table& aPut, std::optional<access_rules> aAccess);
  apply_outcome Submit(const submit_job& aSubmit,
                       const organisation_id& aOwner,
                       std::int64_t aWallMs);
  // Keeps the rows of organisations that the new rules no longer have, as long
  // as they have jobs.
  void KeepFormerOrganisations(const std::optional<access_rules>& aNext);
  void IndexAccess();
  // Gangs of which not all members in the command fit their owner's maximum.
  [[nodiscard]] std::set<task_ref> GangsBeyondQuota(
    const start_runs& aStart) const;
  // The account that the runs of the job count in; null if nobody owns it.
  organisations::quota_account* AccountOf(const job_record& aJob);

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
  // Releases the runs that are still placed at aWorker, and returns them.
  std::vector<run_ref> ReleaseAll(worker_number aWorker,
                                  const std::vector<run_ref>& aRuns);
  // Fails the task's job if the task has crashed too many workers.
  void FailJobIfCrashing(const task_ref& aTask,
                         std::int64_t aWallMs,
                         apply_outcome& aOutcome);
  // Moves the runs of a worker's incarnation aFrom to its next one, aTo.
  void MoveRuns(worker_number aFrom, worker_number aTo);
  // Indexes the placed run of a step with this specification.
  void AddPlaced(worker_number aWorker,
                 const run_ref& aRun,
                 const step_spec& aStep);
  // Frees the capacity that an ended run books. Its task waits again, unless it
  // has another run.
  void Release(const run_ref& aRun, worker_number aWorker);
  bool StartCopy(const run_start& aStart);
  // Removes the run from the task's two runs, if it has two. The other one is
  // then in the task's record.
  bool ReleaseOneOfTwo(const run_ref& aRun,
                       worker_number aWorker,
                       task_record& aTask);
  // The task has ended as done: a run that is still in its record is overtaken.
  void SetOvertaken(const task_ref& aTask, task_record& aRecord);
  // The copy of the task that moves with its worker; null if the run isn't one.
  copy_record* FindPlacedCopyRecord(const run_ref& aRun);
  // Forgets the records of copies that are of no use any more.
  void ForgetCopyIfOver(const task_ref& aTask);
  void ForgetCopies(const job_id& aJob);
  void IndexPlacedCopies();
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
  // Indexes the placed tasks of a step. aFirst: the step's first task.
  // aAccount: of the job's owner, or null.
  void IndexPlacedTasks(task_ref aFirst,
                        const job_record& aJob,
                        const step_record& aStep,
                        organisations::quota_account* aAccount);
  [[nodiscard]] std::uint32_t MaxAttempts(const job_record& aJob) const;
  // Null for an unknown one.
  [[nodiscard]] job_record* FindJobRecord(const job_id& aId) const;

  queue_table mTable;
  bytes mTableSource;
  std::map<job_id, job_record> mJobs;
  std::map<worker_number, worker_record> mWorkers;
  worker_number mLastWorker = 0;
  crash_tracker mCrashes;
  std::optional<access_rules> mAccess;
  // Without keys.
  std::map<organisation_id, organisations::organisation_row> mFormer;
  std::map<task_ref, copy_record> mCopies;
  std::map<std::uint64_t, machines::wave_record> mWaves;

  // Derived from the members above. Into mJobs' stable nodes, since several
  // lookups of a job belong to each run.
  std::unordered_map<job_id, job_record*> mJobIndex;
  std::map<job_id, const job_record*> mLive;
  std::size_t mJobBytes = 0;
  std::map<worker_id, worker_number> mNumbers;
  std::unordered_map<std::string, std::size_t> mQueueIndexes; // index by name
  std::unordered_map<worker_number, placed_runs> mPlaced;
  std::set<worker_number> mBestEffort;
  organisations::key_index mKeys;
  std::unordered_map<organisation_id, std::size_t> mOrganisationIndexes;
  std::unordered_set<std::string> mPublicQueues;
  organisations::quota_accounts mAccounts;
};

} // namespace oriolewalk::flow
