#pragma once

// Selects the slow tasks that get a copy on a second worker, and how many.
//
//   copy_budget budget(state, proposed, capacity, free);
//   for (const copy_candidate& one : SelectCopies(input)) {
//     if (budget.MayAdd(step)) { /* place it */ budget.Add(step); }
//   }
//
// A worker may slow down, stall or be cut off, and a step waits for its slowest
// task. A copy needs a second task's capacity, so only tasks get one that are
// clearly slower than their siblings and hold up their step, and only from
// capacity that nothing waits for.
//
// Pure; no clock. Linear in the running tasks.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/duration_model.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A run that is known to have started at its worker.
struct running_task
{
  run_ref mRun;
  worker_number mWorker = 0;
  double mElapsedMs = 0; // at least, since its start
  double mSpeed = 1;     // of its worker, relative to the worker's peers
};

// How long the tasks of a step took that ended as done.
struct finished_tasks
{
  int mCount = 0;
  double mMeanMs = 0;
};

struct copy_input
{
  const flow_state* mState = nullptr;
  std::span<const running_task> mRunning;
  // Steps without an entry have no finished tasks.
  const std::map<step_ref, finished_tasks>* mFinished = nullptr;
  // Null: only finished siblings say what a task is expected to take.
  const duration_model* mDurations = nullptr;
  // How many copies the tasks have had.
  const std::map<task_ref, std::uint32_t>* mCopyCounts = nullptr;
  // The first priority of which tasks wait for room. 0 is the top priority.
  std::optional<int> mWaitingPriority;
  time_point mNow{};
};

struct copy_candidate
{
  run_ref mRun; // the present run
  double mExpectedGainMs = 0;
  worker_number mWorker = 0; // of the present run
  double mElapsedMs = 0;
  double mExpectedMs = 0; // what the task was expected to take
};

// The running tasks that should get a copy, the most worthwhile first.
std::vector<copy_candidate>
SelectCopies(const copy_input& aInput);

// How many copies there may be at a time.
class copy_budget
{
public:
  // aProposed: starts that are not yet applied, of copies or not.
  // aCapacity, aFree: of all usable workers; aFree after the plan's starts.
  copy_budget(const flow_state& aState,
              const std::map<task_ref, worker_number>& aProposed,
              const cell::resources& aCapacity,
              const cell::resources& aFree);

  [[nodiscard]] bool MayAdd(const step_spec& aStep) const;
  void Add(const step_spec& aStep);

private:
  std::int64_t mCapacityMilli;
  std::int64_t mFreeMilli;
  std::int64_t mCopiesMilli = 0;
};

} // namespace oriolewalk::flow
