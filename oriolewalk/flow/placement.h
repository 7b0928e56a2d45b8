#pragma once

// The second stage of a plan: selects the worker on which a task of a step
// starts now.
//
//   step_placement placement(step, proposed, policy);
//   if (auto* worker = placement.BestWorker(task, rack, candidates, FitsNow)) {
//     placement.AddTask(*worker);
//   }
//
// Some tasks need all accelerators of a worker, and many need only one. Small
// tasks that are spread over all workers leave no worker with all of its
// accelerators free: a task for eight accelerators waited 48 s while most
// accelerators were free.
//
// Pure; one object per step of a plan. Selecting a worker is linear in the
// candidates.

#include <cstdint>
#include <map>
#include <span>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// The part of the score that doesn't depend on the task.
double
BaseScore(const plan_worker& aWorker, placement_rule aPlacement);

// Higher is better. Prefers workers that are near the step's data, fast, and
// whose use fragments scarce accelerators the least.
double
PlacementScore(const open_step& aStep,
               const plan_worker& aWorker,
               const plan_policy& aPolicy);

// Whether the task would disturb what runs there, or be disturbed by it.
bool
Interferes(const open_step& aStep, const plan_worker& aWorker);

class step_placement
{
public:
  using fits_predicate = bool (*)(const open_step&, const plan_worker&);

  // aProposed: starts that are not yet applied. They count towards the maximum
  // of tasks per worker.
  step_placement(const open_step& aStep,
                 const std::map<task_ref, worker_number>& aProposed,
                 const plan_policy& aPolicy);

  // Null if the task can start on none of the candidates. An empty aRack allows
  // every rack.
  [[nodiscard]] plan_worker* BestWorker(
    std::uint32_t aTask,
    const rack_id& aRack,
    std::span<plan_worker* const> aCandidates,
    fits_predicate aFits) const;
  // Whether the task may run on the worker, regardless of free capacity.
  [[nodiscard]] bool CanRun(std::uint32_t aTask,
                            const rack_id& aRack,
                            const plan_worker& aWorker) const;
  // Counts one more task on the worker.
  void AddTask(const plan_worker& aWorker) { ++mCounts[aWorker.mNumber]; }
  void RemoveTask(const plan_worker& aWorker) { --mCounts[aWorker.mNumber]; }

private:
  const open_step& mStep;
  const plan_policy& mPolicy;
  std::map<worker_number, std::uint32_t> mCounts; // the step's tasks, by worker
};

} // namespace oriolewalk::flow
