#pragma once

// The replicated aggregate of a cell: jobs, tasks, workers and bookings.
//
//   cell_state state;
//   auto outcome = state.Apply(submit_job{ key, spec }, wallMs);
//   outcome.mJob;                      // job-1, also when sent again
//   state.Apply(start_tasks{ { { task, 1, worker, boot } } }, wallMs);
//   state.FindJob(*outcome.mJob)->State() == job_state::Running
//
// Every node applies the same commands in the order of the log and so has the
// same state. Each rule is kept here and nowhere else, so that a proposal from
// a stale leader, or one that lost a race, is refused and can do no harm:
//
// - bookings stay within a worker's capacity in every dimension;
// - a task is on one worker at most, and leaves it only when the worker
//   confirms the end or surely holds no lease any more;
// - a task that is not repeatable starts again only from its checkpoint;
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

// A finished job, and with it its key, is kept for at least a day: a resend
// within that time still gets the recorded outcome.
constexpr std::int64_t kLeastRetentionMs = 24LL * 3600 * 1000;
// A repeatable task that failed this often in a row ends as failed.
constexpr std::uint32_t kMostFailures = 5;
// Backoff after a failure: 1 s, doubled up to a minute; a run of a minute
// starts anew. Without it a broken service takes every worker's start path.
constexpr std::int64_t kLeastBackoffMs = 1000;
constexpr std::int64_t kMostBackoffMs = 60'000;

// The root of the aggregate. Owned by one control process; one thread.
class cell_state
{
public:
  // Cost: O(log n) per task that the command names or that it moves. The wall
  // time comes from the log entry and so is the same on every node.
  apply_outcome Apply(const cell_command& aCommand,
                      std::int64_t aCommittedWallMs);

  // Null, if it is not known. Valid until the next Apply.
  [[nodiscard]] const job_record* FindJob(job_number aJob) const;
  [[nodiscard]] const task_record* FindTask(const task_id& aTask) const;
  [[nodiscard]] const worker_record* FindWorker(const worker_id& aWorker) const;
  [[nodiscard]] std::optional<worker_slot> FindSlot(
    const worker_id& aWorker) const;
  [[nodiscard]] std::optional<job_number> FindKey(
    const organisation_id& aOrganisation,
    const request_key& aKey) const;

  // By number.
  [[nodiscard]] const std::map<job_number, job_record>& Jobs() const
  {
    return mJobs;
  }
  // By slot; removed workers leave a record with mKnown false.
  [[nodiscard]] std::span<const worker_record> Workers() const
  {
    return mWorkers;
  }
  [[nodiscard]] std::span<const organisation_record> Organisations() const
  {
    return mOrganisations;
  }
  // Organisations with waiting work of a class.
  [[nodiscard]] const std::set<organisation_slot>& Waiting(
    job_class aClass) const
  {
    return mWaiting.at(static_cast<std::size_t>(aClass));
  }
  // Of the workers that are present.
  [[nodiscard]] const resources& TotalCapacity() const { return mCapacity; }
  [[nodiscard]] const quota_map& Quotas() const { return mQuotas; }
  // The latest committed wall time; never goes back.
  [[nodiscard]] std::int64_t ClockMs() const { return mClockMs; }

  // Why one more task of the job could not start on the worker now; none, if
  // it could. The same rules as Apply's.
  [[nodiscard]] std::optional<error> CheckPlacement(
    const placement& aPlacement) const;

  // The first broken rule, for tests and fuzzers; empty, if all hold. Cost:
  // linear in the whole state.
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
  organisation_slot OrganisationOf(const organisation_id& aOrganisation);
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
  void SettleGang(job_record& aJob);
  void Book(job_record& aJob, task_record& aTask, std::int64_t aSign);
  // The placed task, if the confirmation names its current attempt.
  job_record* CurrentAttempt(const task_id& aTask,
                             std::uint32_t aAttempt,
                             const worker_life* aLife,
                             apply_outcome& aOutcome);

  // Parts of the audit.
  [[nodiscard]] std::string AuditJob(const job_record& aJob) const;
  [[nodiscard]] std::string AuditWorker(const worker_record& aWorker) const;

  // Workers.
  void EndAll(worker_record& aWorker, apply_outcome& aOutcome);
  worker_slot FreeSlot();

  void Rebuild();
  void Recount(job_record& aJob);
  job_record* Job(job_number aJob);

  std::int64_t mClockMs = 0;
  std::uint64_t mNextJob = 1;
  std::map<job_number, job_record> mJobs;
  std::vector<worker_record> mWorkers;
  quota_map mQuotas;

  // Kept from the above, never stored.
  std::unordered_map<worker_id, worker_slot> mSlots;
  std::map<std::pair<organisation_id, request_key>, job_number> mKeys;
  std::vector<organisation_record> mOrganisations;
  std::unordered_map<organisation_id, organisation_slot> mOrganisationSlots;
  std::array<std::set<organisation_slot>, kClassCount> mWaiting;
  std::set<std::pair<std::int64_t, job_number>> mFinished;
  resources mCapacity;
};

} // namespace oriolewalk::cell
