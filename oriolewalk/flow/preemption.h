#pragma once

// Which runs give way at a worker so that a task of an earlier queue fits.
//
//   yield_book book(state, yields);
//   if (auto runs = book.RunsToStop(step, worker)) { book.Stop(*runs, worker);
//   }
//
// The load it answers: an urgent burst, or a task that needs a worker whole,
// while later queues hold all room. Without it the earlier queue waits for as
// long as the later one's tasks run.
//
// What gives way: runs of a later queue that save checkpoints (a stop saves
// one, so only the restart is lost), no gang's, nothing that lasts, and no task
// more than kMostYields times, so that nothing is put off for ever.
//
// Pure; one plan's. Cost: the runs at each worker once, then what may give way
// there: to look up each run anew for each step and worker took most of a plan
// at 350 workers.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// How often a task has given way, and whether it is doing so now.
struct preemption_record
{
  int mCount = 0;
  bool mInProgress = false;
};
using preemption_records = std::map<task_ref, preemption_record>;

class preemption_planner
{
public:
  preemption_planner(const flow_state& aState, preemption_records aYields);

  // None, if enough may not be stopped there; empty, if nothing need be.
  std::optional<std::vector<run_ref>> RunsToPreempt(const open_step& aStep,
                                                    const plan_worker& aWorker);
  // They give way: their room counts as leaving, and nobody else gets it.
  void Preempt(const std::vector<run_ref>& aRuns, plan_worker& aWorker);
  // Takes that back.
  void CancelPreemption(const run_ref& aRun, plan_worker& aWorker);

private:
  struct candidate
  {
    run_ref mRun;
    int mPriority = 0;
    cell::resources mSize;
  };

  // Those at the worker that may give way to anybody, the last queue's first,
  // then the largest: fewest restarts.
  const std::vector<candidate>& CandidatesAt(worker_number aWorker);
  // Whether any queue of the step's service comes after its own.
  bool HasLaterQueue(const queue_row& aQueue);
  [[nodiscard]] bool MayYield(const task_ref& aTask) const;

  const flow_state& mState;
  preemption_records mYields;
  std::map<worker_number, std::vector<candidate>> mCandidates;
  std::map<service_id, int> mLastPriority;
};

} // namespace oriolewalk::flow
