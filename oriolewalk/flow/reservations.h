#pragma once

// The stage of a plan that reserves capacity for tasks that can't start now: on
// a worker that has free capacity but whose ticket is being renewed, on one
// where runs of lower-priority queues are preempted, or on one whose runs are
// left to end.
//
//   reservation_planner planner(state, preemptions, policy);
//   capacity_reservation reservation =
//     planner.Reserve(step, tasks, candidates, placement);
//   planner.Release(step, reservation); // unless the plan uses it
//
// Without reservations, small tasks of a lower-priority queue take each piece
// of capacity as soon as it is free, and a large task ahead of them never finds
// enough at once: it waited 48 s while they ran.
//
// A reservation lasts for one plan and the next plan decides again, so a task
// that doesn't start can't hold capacity indefinitely. Pure; owned by one plan.

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
  // Tasks that wait for runs to end on their own.
  std::size_t mDrainingTasks = 0;
};

class reservation_planner
{
public:
  reservation_planner(const flow_state& aState,
                      const preemption_records& aRecords,
                      const plan_policy& aPolicy);

  // Reserves capacity on the candidates for as many of aTasks as possible; for
  // a gang, for all or none of them. They stay booked until Release.
  capacity_reservation Reserve(const open_step& aStep,
                               std::span<const std::uint32_t> aTasks,
                               std::span<plan_worker* const> aCandidates,
                               step_placement& aPlacement);
  // Undoes a reservation.
  void Release(const open_step& aStep,
               const capacity_reservation& aReservation);
  // How often a worker was weighed for a task so far.
  [[nodiscard]] std::size_t Comparisons() const { return mComparisons; }

private:
  bool FindOne(const open_step& aStep,
               std::uint32_t aTask,
               std::span<plan_worker* const> aCandidates,
               step_placement& aPlacement,
               capacity_reservation& aFound);
  plan_worker* Preempt(const open_step& aStep,
                       std::uint32_t aTask,
                       std::span<plan_worker* const> aCandidates,
                       const step_placement& aPlacement,
                       capacity_reservation& aFound);
  [[nodiscard]] plan_worker* Drain(const open_step& aStep,
                                   std::uint32_t aTask,
                                   std::span<plan_worker* const> aCandidates,
                                   const step_placement& aPlacement);

  preemption_planner mPreemptionPlanner;
  const plan_policy& mPolicy;
  std::map<service_id, std::size_t>
    mDrainingTasks; // draining tasks, by service
  std::size_t mComparisons = 0;
};

} // namespace oriolewalk::flow
