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
    aStep.mSpec->Booked() - (aWorker.mFree + aWorker.mLeaving - aWorker.mHeld);
  const auto amounts = missing.Amounts();
  const auto capacity = aWorker.mFacts->mCapacity.Amounts();
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
  return !aStep.mSpec->Booked().FitsIn(aWorker.mFacts->mCapacity -
                                       aWorker.mHeld);
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

hold_finder::hold_finder(const flow_state& aState,
                         yield_records aYields,
                         const plan_policy& aPolicy)
  : mYields(aState, std::move(aYields))
  , mPolicy(aPolicy)
{
}

hold
hold_finder::Find(const open_step& aStep,
                  std::span<const std::uint32_t> aTasks,
                  std::span<plan_worker* const> aCandidates,
                  step_places& aPlaces)
{
  hold found;
  for (const std::uint32_t task : aTasks) {
    if (!FindOne(aStep, task, aCandidates, aPlaces, found)) {
      if (aStep.mSpec->mGang) {
        Drop(aStep, found);
        return {};
      }
      break; // the tasks of a step are alike
    }
  }
  return found;
}

bool
hold_finder::FindOne(const open_step& aStep,
                     std::uint32_t aTask,
                     std::span<plan_worker* const> aCandidates,
                     step_places& aPlaces,
                     hold& aFound)
{
  plan_worker* worker = aPlaces.Best(aTask, {}, aCandidates, FitsSoon);
  if (worker == nullptr && mPolicy.mPreempts) {
    worker = Preempt(aStep, aTask, aCandidates, aPlaces, aFound);
  }
  if (worker == nullptr) {
    worker = Drain(aStep, aTask, aCandidates, aPlaces);
    aFound.mDraining += worker == nullptr ? 0 : 1;
  }
  if (worker == nullptr) {
    return false;
  }
  worker->mHeld += aStep.mSpec->Booked();
  aPlaces.Take(*worker);
  aFound.mWorkers.push_back(worker);
  return true;
}

plan_worker*
hold_finder::Preempt(const open_step& aStep,
                     std::uint32_t aTask,
                     std::span<plan_worker* const> aCandidates,
                     const step_places& aPlaces,
                     hold& aFound)
{
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!CanHold(aStep, aWorker) || aWorker.mAvoided ||
          !aPlaces.MayRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      const auto runs = mYields.RunsToStop(aStep, aWorker);
      return runs ? std::optional<double>(static_cast<double>(runs->size()))
                  : std::nullopt;
    });
  if (worker == nullptr) {
    return nullptr;
  }
  const auto runs = mYields.RunsToStop(aStep, *worker);
  mYields.Stop(*runs, *worker);
  for (const run_ref& run : *runs) {
    aFound.mStops.push_back({ run, worker });
  }
  return worker;
}

plan_worker*
hold_finder::Drain(const open_step& aStep,
                   std::uint32_t aTask,
                   std::span<plan_worker* const> aCandidates,
                   const step_places& aPlaces)
{
  std::size_t& draining = mDraining[aStep.mQueue->mService];
  if (!mPolicy.mHolds || draining >= kMostDraining) {
    return nullptr;
  }
  plan_worker* worker =
    Cheapest(aCandidates, [&](plan_worker& aWorker) -> std::optional<double> {
      if (!CanHold(aStep, aWorker) || IsPromised(aStep, aWorker) ||
          aWorker.mAvoided || !aPlaces.MayRun(aTask, {}, aWorker)) {
        return std::nullopt;
      }
      return MissingShare(aStep, aWorker);
    });
  draining += worker == nullptr ? 0 : 1;
  return worker;
}

void
hold_finder::Drop(const open_step& aStep, const hold& aHold)
{
  for (plan_worker* worker : aHold.mWorkers) {
    worker->mHeld -= aStep.mSpec->Booked();
  }
  for (const auto& [run, worker] : aHold.mStops) {
    mYields.Spare(run, *worker);
  }
  mDraining[aStep.mQueue->mService] -= aHold.mDraining;
}

} // namespace oriolewalk::flow
