#pragma once

// The leader's decisions about a cell: who starts where, who is preempted,
// which workers are lost. It looks at a cell_state and proposes commands; the
// shell takes them to the replicated log and reports what became of them.
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
// The shell calls Plan after a command was applied and every 100 ms.
// OnDropped is for a command that surely won't be applied while this node
// goes on leading; after a change of leader, call BecomeLeader instead, once
// every earlier entry of the log has been applied. All of the scheduler's own
// state may be lost at any moment: the rules are kept by cell_state::Apply.

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

// Workers that have the same to say about a job.
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
  std::string mReason;                // Why it stands where it stands.
  std::vector<worker_group> mWorkers; // For a waiting job; most first.
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

  // Forgets all soft state. No worker is declared lost before one lease and
  // the drift bound have passed: an earlier leader may have renewed it up to
  // now. Cost: linear in workers.
  void BecomeLeader(const cell_state& aState, const instant& aNow);
  // Plans and leases nothing until BecomeLeader.
  void StepDown();
  [[nodiscard]] bool IsLeading() const;

  // aNow: when the poll was received. The reply may be sent only while this
  // node surely leads. Cost: O(log n) per task on the worker.
  worker_reply Poll(const cell_state& aState,
                    const worker_id& aWorker,
                    const worker_poll& aPoll,
                    const instant& aNow);

  // What to propose next; proposes nothing twice that is in flight. Cost:
  // bounded by scheduler_options::mMostStarts and mMostLooks.
  std::vector<cell_command> Plan(const cell_state& aState,
                                 const cell_policy& aPolicy,
                                 const instant& aNow);

  // For every command that was applied, whoever proposed it.
  void OnApplied(const cell_state& aState,
                 const cell_command& aCommand,
                 const apply_outcome& aOutcome,
                 const instant& aNow);
  void OnDropped(const cell_state& aState,
                 const cell_command& aCommand,
                 const instant& aNow);

  // Why the job waits, was refused or was moved. Cost: linear in workers.
  [[nodiscard]] explanation Explain(const cell_state& aState,
                                    job_number aJob,
                                    const instant& aNow) const;

private:
  std::unique_ptr<soft_state> mSoft;
};

} // namespace oriolewalk::cell
