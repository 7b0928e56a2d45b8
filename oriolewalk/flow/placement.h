#pragma once

// The second stage of a plan: at which worker a task of a step starts now.
//
//   step_places places(step, proposed, policy);
//   plan_worker* worker = places.Best(task, rack, candidates, FitsNow);
//   places.Take(*worker);
//
// The load it answers: tasks that need a worker's accelerators whole, beside
// many that need one. Spread over all workers, the small ones leave no worker
// whole: a task for eight waited 48 s while most accelerators were free.
//
// Pure; one step's places. Cost of Best: the candidates.

#include <cstdint>
#include <map>
#include <span>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

// Higher is better: near its data, fast, and leaving whole what is scarce.
double
PlacementScore(const open_step& aStep,
               const plan_worker& aWorker,
               const plan_policy& aPolicy);

class step_placement
{
public:
  using fits_predicate = bool (*)(const open_step&, const plan_worker&);

  // aProposed: starts under way, which count for the most per worker.
  step_placement(const open_step& aStep,
                 const std::map<task_ref, worker_number>& aProposed,
                 const plan_policy& aPolicy);

  // Null, if none of the candidates takes the task. An empty aRack: anywhere.
  [[nodiscard]] plan_worker* BestWorker(
    std::uint32_t aTask,
    const rack_id& aRack,
    std::span<plan_worker* const> aCandidates,
    fits_predicate aFits) const;
  // Whether the task may run there, room apart.
  [[nodiscard]] bool CanRun(std::uint32_t aTask,
                            const rack_id& aRack,
                            const plan_worker& aWorker) const;
  // Counts one more task there.
  void AddTask(const plan_worker& aWorker) { ++mCounts[aWorker.mNumber]; }
  void RemoveTask(const plan_worker& aWorker) { --mCounts[aWorker.mNumber]; }

private:
  const open_step& mStep;
  const plan_policy& mPolicy;
  std::map<worker_number, std::uint32_t> mCounts; // of the step, by worker
};

} // namespace oriolewalk::flow
