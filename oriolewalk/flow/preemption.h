#pragma once

// Chooses the runs that are preempted at a worker so that a task of a
// higher-priority queue fits.
//
//   preemption_planner planner(state, records);
//   if (auto runs = planner.RunsToPreempt(step, worker)) {
//     planner.Preempt(*runs, worker);
//   }
//
// Lower-priority queues may hold all capacity when an urgent burst arrives, or
// a task that needs a whole worker. Without preemption the higher-priority
// queue waits for as long as the other queues' tasks run.
//
// Only runs of a lower-priority queue that save checkpoints are preempted: a
// stop saves a checkpoint, so only the restart is lost. Gang members and
// long-running tasks are never preempted, and no task is preempted more than
// kMaxPreemptions times, so that none starves.
//
// Pure; one object per plan. Cost: the runs at each worker once, then the
// candidates there. Looking up each run anew for each step and worker took most
// of a plan at 350 workers.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// How often a task was preempted, and whether a preemption is in progress.
struct preemption_record
{
  int mCount = 0;
  bool mInProgress = false;
};
using preemption_records = std::map<task_ref, preemption_record>;

class preemption_planner
{
public:
  // aRecords: of the plans before; it must outlive the planner.
  preemption_planner(const flow_state& aState,
                     const preemption_records& aRecords);

  // Returns nullopt if not enough runs may be preempted there, and an empty
  // list if none needs to be.
  std::optional<std::vector<run_ref>> RunsToPreempt(const open_step& aStep,
                                                    const plan_worker& aWorker);
  // Marks the runs as preempted: their resources count as being freed, and no
  // other step gets them.
  void Preempt(const std::vector<run_ref>& aRuns, plan_worker& aWorker);
  // Undoes Preempt for one run.
  void CancelPreemption(const run_ref& aRun, plan_worker& aWorker);

private:
  struct candidate
  {
    run_ref mRun;
    int mPriority = 0;
    cell::resources mSize;
  };

  // The runs at the worker that may be preempted: those of the lowest priority
  // first, then the largest ones, which means fewest restarts.
  const std::vector<candidate>& CandidatesAt(worker_number aWorker);
  // Whether the queue's service has a queue of lower priority.
  bool HasLowerPriorityQueue(const queue_row& aQueue);
  [[nodiscard]] bool MayPreempt(const task_ref& aTask) const;

  const flow_state& mState;
  const preemption_records& mRecords;
  std::set<task_ref> mPreempted; // by this plan
  std::map<worker_number, std::vector<candidate>> mCandidates;
  std::map<service_id, int> mLowestPriority;
};

} // namespace oriolewalk::flow
