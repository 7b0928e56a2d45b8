#include "oriolewalk/flow/reservations.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace oriolewalk::flow {

namespace {

// How many tasks of a service may wait for a worker to drain at a time. Each
// leaves capacity idle for seconds.
constexpr std::size_t kMaxDrainingTasks = 2;
// Speeds are at most 2, so they decide only between workers on which as many
// runs would be preempted.
constexpr double kPreemptionSpeedWeight = 0.4;

// The missing capacity as a fraction of the worker's capacity, for the resource
// with the largest such fraction.
double
MissingShare(const open_step& aStep, const plan_worker& aWorker)
{
  const cell::resources missing =
    aStep.mSpec->Booked() -
    (aWorker.mFree + aWorker.mBeingFreed - aWorker.mReserved);
  const auto amounts = missing.Amounts();
  const auto capacity = aWorker.mDescription->mCapacity.Amounts();
  double max = 0;
  for (std::size_t index = 0; index < amounts.size(); ++index) {
    if (capacity[index] > 0) {
      max = std::max(max,
                     static_cast<double>(amounts[index]) /
                       static_cast<double>(capacity[index]));
    }
  }
  return max;
}

// Whether so much of the worker is reserved for other tasks that one of the
// step's wouldn't fit even if the worker drained.
bool
IsFullyReserved(const open_step& aStep, const plan_worker& aWorker)
{
  return !aStep.mSpec->Booked().FitsIn(aWorker.mDescription->mCapacity -
                                       aWorker.mReserved);
}

// The candidate with the lowest aCost(worker). Candidates without a cost are
// skipped.
template<class Cost>
plan_worker*
Cheapest(std::span<plan_worker* const> aCandidates, Cost aCost)
{
  plan_worker* best = nullptr;
  double lowest = 0;
  for (plan_worker* worker : aCandidates) {
    const std::optional<double> cost = aCost(*worker);
    if (cost && (best == nullptr || *cost < lowest)) {
      best = worker;
      lowest = *cost;
    }
  }
  return best;
}

} // namespace

reservation_planner::reservation_planner(const flow_state& aState,
                                         const preemption_records& aRecords,
                                         const plan_policy& aPolicy)
  : mPreemptionPlanner(aState, aRecords)
  , mPolicy(aPolicy)
{
}

capacity_reservation
reservation_planner::Reserve(const open_step& aStep,
                             std::span<const std::uint32_t> aTasks,
                             std::span<plan_worker* const> aCandidates,
                             step_placement& aPlacement)
{
  capacity_reservation found;
  for (const std::uint32_t task : aTasks) {
    if (!FindOne(aStep, task, aCandidates, aPlacement, found)) {
      if (aStep.mSpec->mGang) {
        Release(aStep, found);
        return {};
      }
      break; // all tasks of a step have the same requirements
    }
  }
  return found;
}

bool
reservation_planner::FindOne(const open_step& aStep,
                             std::uint32_t aTask,
                             std::span<plan_worker* const> aCandidates,
                             step_placement& aPlacement,
                             capacity_reservation& aFound)
{
  mComparisons += aCandidates.size();
  plan_worker* worker = aPlacement.BestWorker(aTask, {}, aCandidates, FitsSoon);
  if (worker == nullptr && mPolicy.mPreempts) {
    worker = Preempt(aStep, aTask, aCandidates, aPlacement, aFound);
  }
  if (worker == nullptr) {
    worker = Drain(aStep, aTask, aCandidates, aPlacement);
    aFound.mDrainingTasks += worker == nullptr ? 0 : 1;
  }
  if (worker == nullptr) {
    return false;
  }
  worker->mReserved += aStep.mSpec->Booked();
  aPlacement.AddTask(*worker);
  aFound.mWorkers.push_back(worker);
  return true;
}

plan_worker*
reservation_planner::Preempt(const open_step& aStep,
                             std::uint32_t aTask,
                             std::span<plan_worker* const> aCandidates,
                             const step_placement& aPlacement,
                             capacity_reservation& aFound)
{
  mComparisons += aCandidates.size();
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!FitsWhenEmpty(aStep, aWorker) || aWorker.mAvoided ||
          !aPlacement.CanRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      const auto runs = mPreemptionPlanner.RunsToPreempt(aStep, aWorker);
      const double speed =
        aStep.mSpeed.mUse == speed_use::Fast ? aWorker.mSpeed : 0;
      return runs ? std::optional<double>(static_cast<double>(runs->size()) -
                                          kPreemptionSpeedWeight * speed)
                  : std::nullopt;
    });
  if (worker == nullptr) {
    return nullptr;
  }
  const auto runs = mPreemptionPlanner.RunsToPreempt(aStep, *worker);
  mPreemptionPlanner.Preempt(*runs, *worker);
  for (const run_ref& run : *runs) {
    aFound.mPreemptions.push_back({ run, worker });
  }
  return worker;
}

plan_worker*
reservation_planner::Drain(const open_step& aStep,
                           std::uint32_t aTask,
                           std::span<plan_worker* const> aCandidates,
                           const step_placement& aPlacement)
{
  std::size_t& draining = mDrainingTasks[aStep.mQueue->mService];
  if (!mPolicy.mReservesCapacity || draining >= kMaxDrainingTasks) {
    return nullptr;
  }
  mComparisons += aCandidates.size();
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!FitsWhenEmpty(aStep, aWorker) || IsFullyReserved(aStep, aWorker) ||
          aWorker.mAvoided || !aPlacement.CanRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      return MissingShare(aStep, aWorker);
    });
  draining += worker == nullptr ? 0 : 1;
  return worker;
}

void
reservation_planner::Release(const open_step& aStep,
                             const capacity_reservation& aReservation)
{
  for (plan_worker* worker : aReservation.mWorkers) {
    worker->mReserved -= aStep.mSpec->Booked();
  }
  for (const auto& [run, worker] : aReservation.mPreemptions) {
    mPreemptionPlanner.CancelPreemption(run, *worker);
  }
  mDrainingTasks[aStep.mQueue->mService] -= aReservation.mDrainingTasks;
}

} // namespace oriolewalk::flow
