#pragma once

// The stage of a plan that keeps room for what can't start now: at a worker
// that has room but whose ticket is being renewed, at one where later queues'
// runs give way, or at one that is left to drain.
//
//   hold_finder finder(state, yields, policy);
//   hold found = finder.Find(step, tasks, candidates, places);
//   finder.Keep(found);   // or leave it
//
// The load it answers: small tasks of a later queue take each piece of room as
// it falls free, so that a large task in front of them never finds its room
// whole: it waited 48 s while they ran.
//
// The room is kept for one plan only; the next one decides anew, so nothing
// that doesn't start holds it for ever. Pure; owned by one plan.

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "oriolewalk/flow/placement.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/preemption.h"

namespace oriolewalk::flow {

struct capacity_reservation
{
  struct preempted_run
  {
    run_ref mRun;
    plan_worker* mWorker = nullptr;
  };

  std::vector<plan_worker*> mWorkers; // one for each task
  std::vector<preempted_run> mPreemptions;
  std::size_t mDrainingTasks =
    0; // tasks that wait for runs to end by themselves
};

class reservation_planner
{
public:
  reservation_planner(const flow_state& aState,
                      preemption_records aYields,
                      const plan_policy& aPolicy);

  // Room for as many of aTasks as possible, or for all of a gang's; books it
  // with the candidates until Drop.
  capacity_reservation Reserve(const open_step& aStep,
                               std::span<const std::uint32_t> aTasks,
                               std::span<plan_worker* const> aCandidates,
                               step_placement& aPlaces);
  // Takes back what Find booked.
  void Release(const open_step& aStep, const capacity_reservation& aHold);

private:
  bool FindOne(const open_step& aStep,
               std::uint32_t aTask,
               std::span<plan_worker* const> aCandidates,
               step_placement& aPlaces,
               capacity_reservation& aFound);
  plan_worker* Preempt(const open_step& aStep,
                       std::uint32_t aTask,
                       std::span<plan_worker* const> aCandidates,
                       const step_placement& aPlaces,
                       capacity_reservation& aFound);
  [[nodiscard]] plan_worker* Drain(const open_step& aStep,
                                   std::uint32_t aTask,
                                   std::span<plan_worker* const> aCandidates,
                                   const step_placement& aPlaces);

  preemption_planner mYields;
  const plan_policy& mPolicy;
  std::map<service_id, std::size_t> mDraining; // tasks, by service
};

} // namespace oriolewalk::flow
