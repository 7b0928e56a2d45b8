#include "oriolewalk/flow/reservations.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace oriolewalk::flow {

namespace {

// Tasks of a service for which workers are left to drain at a time. Each keeps
// room empty for seconds.
constexpr std::size_t kMostDraining = 2;

// The largest share of the worker's capacity that is still missing.
double
MissingShare(const open_step& aStep, const plan_worker& aWorker)
{
  const cell::resources missing =
    aStep.mSpec->Booked() -
    (aWorker.mFree + aWorker.mBeingFreed - aWorker.mReserved);
  const auto amounts = missing.Amounts();
  const auto capacity = aWorker.mDescription->mCapacity.Amounts();
  double most = 0;
  for (std::size_t place = 0; place < amounts.size(); ++place) {
    if (capacity[place] > 0) {
      most = std::max(most,
                      static_cast<double>(amounts[place]) /
                        static_cast<double>(capacity[place]));
    }
  }
  return most;
}

// Whether the worker's whole capacity is kept for others: the room for one more
// task would never come.
bool
IsPromised(const open_step& aStep, const plan_worker& aWorker)
{
  return !aStep.mSpec->Booked().FitsIn(aWorker.mDescription->mCapacity -
                                       aWorker.mReserved);
}

// The candidate of least aCost(worker); those for which it gives none are left
// out.
template<class Cost>
plan_worker*
Cheapest(std::span<plan_worker* const> aCandidates, Cost aCost)
{
  plan_worker* best = nullptr;
  double least = 0;
  for (plan_worker* worker : aCandidates) {
    const std::optional<double> cost = aCost(*worker);
    if (cost && (best == nullptr || *cost < least)) {
      best = worker;
      least = *cost;
    }
  }
  return best;
}

} // namespace

reservation_planner::reservation_planner(const flow_state& aState,
                                         preemption_records aYields,
                                         const plan_policy& aPolicy)
  : mYields(aState, std::move(aYields))
  , mPolicy(aPolicy)
{
}

capacity_reservation
reservation_planner::Reserve(const open_step& aStep,
                             std::span<const std::uint32_t> aTasks,
                             std::span<plan_worker* const> aCandidates,
                             step_placement& aPlaces)
{
  capacity_reservation found;
  for (const std::uint32_t task : aTasks) {
    if (!FindOne(aStep, task, aCandidates, aPlaces, found)) {
      if (aStep.mSpec->mGang) {
        Release(aStep, found);
        return {};
      }
      break; // the tasks of a step are alike
    }
  }
  return found;
}

bool
reservation_planner::FindOne(const open_step& aStep,
                             std::uint32_t aTask,
                             std::span<plan_worker* const> aCandidates,
                             step_placement& aPlaces,
                             capacity_reservation& aFound)
{
  plan_worker* worker = aPlaces.BestWorker(aTask, {}, aCandidates, FitsSoon);
  if (worker == nullptr && mPolicy.mPreempts) {
    worker = Preempt(aStep, aTask, aCandidates, aPlaces, aFound);
  }
  if (worker == nullptr) {
    worker = Drain(aStep, aTask, aCandidates, aPlaces);
    aFound.mDrainingTasks += worker == nullptr ? 0 : 1;
  }
  if (worker == nullptr) {
    return false;
  }
  worker->mReserved += aStep.mSpec->Booked();
  aPlaces.AddTask(*worker);
  aFound.mWorkers.push_back(worker);
  return true;
}

plan_worker*
reservation_planner::Preempt(const open_step& aStep,
                             std::uint32_t aTask,
                             std::span<plan_worker* const> aCandidates,
                             const step_placement& aPlaces,
                             capacity_reservation& aFound)
{
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!FitsWhenEmpty(aStep, aWorker) || aWorker.mAvoided ||
          !aPlaces.CanRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      const auto runs = mYields.RunsToPreempt(aStep, aWorker);
      return runs ? std::optional<double>(static_cast<double>(runs->size()))
                  : std::nullopt;
    });
  if (worker == nullptr) {
    return nullptr;
  }
  const auto runs = mYields.RunsToPreempt(aStep, *worker);
  mYields.Preempt(*runs, *worker);
  for (const run_ref& run : *runs) {
    aFound.mPreemptions.push_back({ run, worker });
  }
  return worker;
}

plan_worker*
reservation_planner::Drain(const open_step& aStep,
                           std::uint32_t aTask,
                           std::span<plan_worker* const> aCandidates,
                           const step_placement& aPlaces)
{
  std::size_t& draining = mDraining[aStep.mQueue->mService];
  if (!mPolicy.mReservesCapacity || draining >= kMostDraining) {
    return nullptr;
  }
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!FitsWhenEmpty(aStep, aWorker) || IsPromised(aStep, aWorker) ||
          aWorker.mAvoided || !aPlaces.CanRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      return MissingShare(aStep, aWorker);
    });
  draining += worker == nullptr ? 0 : 1;
  return worker;
}

void
reservation_planner::Release(const open_step& aStep,
                             const capacity_reservation& aHold)
{
  for (plan_worker* worker : aHold.mWorkers) {
    worker->mReserved -= aStep.mSpec->Booked();
  }
  for (const auto& [run, worker] : aHold.mPreemptions) {
    mYields.CancelPreemption(run, *worker);
  }
  mDraining[aStep.mQueue->mService] -= aHold.mDrainingTasks;
}

} // namespace oriolewalk::flow
