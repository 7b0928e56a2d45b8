#pragma once

// The replicated state of a cell: jobs, tasks, workers and bookings.
//
//   cell_state state;
//   auto outcome = state.Apply(submit_job{ key, spec }, wallMs);
//   outcome.mJob;                      // job-1, also for a resend
//   state.Apply(start_tasks{ { { task, 1, worker, boot } } }, wallMs);
//   state.FindJob(*outcome.mJob)->State() == job_state::Running
//
// Every node applies the same commands in log order and therefore has the same
// state. This class alone enforces the following invariants when it applies a
// command, so a proposal from a stale leader, or one that lost a race, is
// refused and has no effect:
//
// - bookings stay within a worker's capacity in every dimension;
// - a task is placed on at most one worker, and leaves it only when the worker
//   confirms the end or its lease has expired;
// - a task that is not repeatable restarts only from its checkpoint;
// - the unfinished tasks of a gang start in one step or not at all;
// - a cancelled task either never started or has a confirmed end;
// - a final state never changes.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// A finished job and its key are retained for at least a day, so that a resend
// within that time still gets the recorded outcome.
constexpr std::int64_t kMinRetentionMs = 24LL * 3600 * 1000;
// A repeatable task ends as failed after this many consecutive failures.
constexpr std::uint32_t kMaxFailures = 5;
// The backoff after a failure starts at 1 s and doubles up to a minute. An
// attempt that ran for a minute resets it. Without the backoff, the restarts of
// a broken service would occupy the start path of every worker.
constexpr std::int64_t kMinBackoffMs = 1000;
constexpr std::int64_t kMaxBackoffMs = 60'000;

// Owned by one control process. Not thread-safe.
class cell_state
{
public:
  // Cost: O(log n) per task that the command names or changes. The wall time
  // comes from the log entry, so it is the same on every node.
  apply_outcome Apply(const cell_command& aCommand,
                      std::int64_t aCommittedWallMs);

  // These return null if the record is not known. Pointers are valid until the
  // next Apply.
  [[nodiscard]] const job_record* FindJob(job_number aJob) const;
  [[nodiscard]] const task_record* FindTask(const task_id& aTask) const;
  [[nodiscard]] const worker_record* FindWorker(const worker_id& aWorker) const;
  [[nodiscard]] std::optional<worker_slot> FindSlot(
    const worker_id& aWorker) const;
  [[nodiscard]] std::optional<job_number> FindKey(
    const organisation_id& aOrganisation,
    const request_key& aKey) const;

  // Ordered by job number.
  [[nodiscard]] const std::map<job_number, job_record>& Jobs() const
  {
    return mJobs;
  }
  // What all jobs take in the memory, in task records of about 50 bytes.
  [[nodiscard]] std::size_t Records() const { return mRecords; }
  // Indexed by slot. A removed worker leaves a record with mKnown == false.
  [[nodiscard]] std::span<const worker_record> Workers() const
  {
    return mWorkers;
  }
  [[nodiscard]] std::span<const organisation_record> Organisations() const
  {
    return mOrganisations;
  }
  // Returns the organisations that have waiting jobs of the class.
  [[nodiscard]] const std::set<organisation_slot>& Waiting(
    job_class aClass) const
  {
    return mWaiting.at(static_cast<std::size_t>(aClass));
  }
  // Returns the summed capacity of the workers that are present.
  [[nodiscard]] const resources& TotalCapacity() const { return mCapacity; }
  [[nodiscard]] const quota_map& Quotas() const { return mQuotas; }
  // Returns the latest committed wall time. It never decreases.
  [[nodiscard]] std::int64_t ClockMs() const { return mClockMs; }

  // Returns why Apply would refuse the placement now, or nullopt if it would
  // accept it.
  [[nodiscard]] std::optional<error> CheckPlacement(
    const placement& aPlacement) const;

  // Returns the first violated invariant, or an empty string if all hold. For
  // tests and fuzzers. Cost: linear in the size of the state.
  [[nodiscard]] std::string Audit() const;

  template<class Archive>
  void save(Archive& aArchive) const // NOLINT(readability-identifier-naming)
  {
    aArchive(mClockMs, mNextJob, mJobs, mWorkers, mQuotas);
  }
  template<class Archive>
  void load(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mClockMs, mNextJob, mJobs, mWorkers, mQuotas);
    Rebuild();
  }

private:
  enum class ending : std::uint8_t
  {
    Succeeded,
    Failed,
    Checkpointed,
    Stopped,
    Lost,
  };

  void Do(const submit_job& aCommand, apply_outcome& aOutcome);
  void Do(const cancel_job& aCommand, apply_outcome& aOutcome);
  void Do(const register_worker& aCommand, apply_outcome& aOutcome);
  void Do(const start_tasks& aCommand, apply_outcome& aOutcome);
  void Do(const stop_task& aCommand, apply_outcome& aOutcome);
  void Do(const task_throttled& aCommand, apply_outcome& aOutcome);
  void Do(const resume_task& aCommand, apply_outcome& aOutcome);
  void Do(const task_ended& aCommand, apply_outcome& aOutcome);
  void Do(const workers_lost& aCommand, apply_outcome& aOutcome);
  void Do(const drain_worker& aCommand, apply_outcome& aOutcome);
  void Do(const remove_worker& aCommand, apply_outcome& aOutcome);
  void Do(const quotas_changed& aCommand, apply_outcome& aOutcome);
  void Do(const forget_jobs& aCommand, apply_outcome& aOutcome);

  // Jobs.
  [[nodiscard]] std::optional<refusal> NeverFits(const job_spec& aSpec) const;
  void CancelTask(job_record& aJob, std::uint32_t aIndex);
  void FinishIfDone(job_record& aJob);
  organisation_slot FindOrAddOrganisation(const organisation_id& aOrganisation);
  void UpdateWaiting(job_record& aJob);

  // Tasks.
  void SetState(job_record& aJob, std::uint32_t aIndex, task_state aState);
  void Place(const placement& aPlacement, apply_outcome& aOutcome);
  void Unplace(const placement& aPlacement);
  void StartGang(std::span<const placement> aMembers, apply_outcome& aOutcome);
  void EndAttempt(const task_id& aTask,
                  ending aEnding,
                  apply_outcome& aOutcome);
  [[nodiscard]] task_state StateAfter(job_record& aJob,
                                      task_record& aTask,
                                      ending aEnding) const;
  static task_state StateAfterCancel(const job_spec& aSpec, ending aEnding);
  [[nodiscard]] task_state StateAfterFailure(const job_record& aJob,
                                             task_record& aTask) const;
  void BreakGang(job_record& aJob,
                 stop_mode aMode,
                 stop_reason aReason,
                 apply_outcome& aOutcome);
  void ResolveBrokenGang(job_record& aJob);
  void Book(job_record& aJob, task_record& aTask, std::int64_t aSign);
  // Returns the job if aAttempt is the current attempt of the placed task and,
  // unless aIncarnation is null, runs on that worker incarnation. Otherwise
  // returns null and sets the refusal.
  job_record* CurrentAttempt(const task_id& aTask,
                             std::uint32_t aAttempt,
                             const worker_life* aIncarnation,
                             apply_outcome& aOutcome);

  // Helpers of Audit().
  [[nodiscard]] std::string AuditJob(const job_record& aJob) const;
  [[nodiscard]] std::string AuditWorker(const worker_record& aWorker) const;

  // Workers.
  void EndAllAttempts(worker_record& aWorker, apply_outcome& aOutcome);
  worker_slot FreeSlot();

  void Rebuild();
  void Recount(job_record& aJob);
  job_record* Job(job_number aJob);

  std::int64_t mClockMs = 0;
  std::uint64_t mNextJob = 1;
  std::map<job_number, job_record> mJobs;
  std::vector<worker_record> mWorkers;
  quota_map mQuotas;

  // Derived from the members above; not serialized.
  std::unordered_map<worker_id, worker_slot> mSlots;
  std::map<std::pair<organisation_id, request_key>, job_number> mKeys;
  std::vector<organisation_record> mOrganisations;
  std::unordered_map<organisation_id, organisation_slot> mOrganisationSlots;
  std::array<std::set<organisation_slot>, kClassCount> mWaiting;
  std::size_t mRecords = 0;
  std::set<std::pair<std::int64_t, job_number>> mFinished;
  resources mCapacity;
};

} // namespace oriolewalk::cell
