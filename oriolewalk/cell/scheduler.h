#pragma once

// Makes the leader's decisions about a cell: which task starts on which
// worker, which task is preempted and which workers are lost. It reads a
// cell_state and proposes commands. The caller appends them to the replicated
// log and reports their outcomes.
//
//   cell_scheduler scheduler(scheduler_options{}, seed);
//   scheduler.BecomeLeader(state, now);
//   for (auto& command : scheduler.Plan(state, policy, now)) { propose }
//   // when the log applies a command, on the leader:
//   auto outcome = state.Apply(command, wallMs);
//   scheduler.OnApplied(state, command, outcome, now);
//   // when a worker polls:
//   auto reply = scheduler.Poll(state, worker, poll, now);
//
// The caller runs Plan after each applied command and every 100 ms. OnDropped
// reports a command that cannot be applied as long as this node remains the
// leader. After a change of leader, call BecomeLeader instead, once every
// earlier entry of the log has been applied. The scheduler's own state may be
// lost at any time, because cell_state::Apply enforces the invariants.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/protocol.h"
#include "oriolewalk/cell/records.h"

namespace oriolewalk::cell {

// Workers for which the same reason explains a job's wait.
struct worker_group
{
  std::string mReason;
  std::uint32_t mCount = 0;
  worker_id mExample;
};

struct explanation
{
  job_number mJob;
  job_state mState = job_state::Waiting;
  std::string mReason;                // Why the job is in this state.
  std::vector<worker_group> mWorkers; // For a waiting job; largest first.
};

struct soft_state;

// Owned by a control process beside its cell_state; one thread.
class cell_scheduler
{
public:
  cell_scheduler(const scheduler_options& aOptions, std::uint64_t aSeed);
  ~cell_scheduler();
  cell_scheduler(const cell_scheduler&) = delete;
  cell_scheduler& operator=(const cell_scheduler&) = delete;
  cell_scheduler(cell_scheduler&&) noexcept;
  cell_scheduler& operator=(cell_scheduler&&) noexcept;

  // Discards all soft state. No worker is declared lost before one lease and
  // the drift bound have passed, because an earlier leader may have renewed
  // the worker's lease until now. Cost: linear in workers.
  void BecomeLeader(const cell_state& aState, const instant& aNow);
  // Stops planning and granting leases until BecomeLeader is called.
  void StepDown();
  [[nodiscard]] bool IsLeading() const;

  // aNow: when the poll was received. The reply may be sent only while this
  // node is known to be the leader. Cost: O(log n) per task on the worker.
  worker_reply Poll(const cell_state& aState,
                    const worker_id& aWorker,
                    const worker_poll& aPoll,
                    const instant& aNow);

  // Returns the commands to propose next, without those that are already in
  // flight. Cost: bounded by scheduler_options::mMostStarts and mMostLooks.
  std::vector<cell_command> Plan(const cell_state& aState,
                                 const cell_policy& aPolicy,
                                 const instant& aNow);

  // Must be called for every applied command, whichever node proposed it.
  void OnApplied(const cell_state& aState,
                 const cell_command& aCommand,
                 const apply_outcome& aOutcome,
                 const instant& aNow);
  void OnDropped(const cell_state& aState,
                 const cell_command& aCommand,
                 const instant& aNow);

  // Explains why the job waits, was refused or was moved. Cost: linear in
  // workers.
  [[nodiscard]] explanation Explain(const cell_state& aState,
                                    job_number aJob,
                                    const instant& aNow) const;

private:
  std::unique_ptr<soft_state> mSoft;
};

} // namespace oriolewalk::cell
