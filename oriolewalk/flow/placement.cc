#include "oriolewalk/flow/placement.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// A worker that is a quarter faster is worth a quarter of its room: a step is
// as slow as its slowest task.
constexpr double kSpeedWeight = 1;
constexpr double kNear = 10;
constexpr double kAvoided = 100;
// Filling work and serving work keep away from each other.
constexpr double kDisturbs = 5;
// Above any speed: a worker that stays whole is worth more than a faster start.
constexpr double kPackWeight = 2;
// A suspect keeps away from other suspects, and from what loses most by a
// crash.
constexpr double kEndangers = 50;

double
ShareOf(std::int64_t aPart, std::int64_t aWhole)
{
  return static_cast<double>(aPart) /
         std::max<double>(1, static_cast<double>(aWhole));
}

// Its next failure may be the last one: it waits rather than go where others
// fail.
bool
HasFailed(const open_step& aStep, std::uint32_t aTask)
{
  return aStep.mRecord->mGangFailures > 0 ||
         aStep.mRecord->mTasks[aTask].mFailures > 0;
}

} // namespace

double
PlacementScore(const open_step& aStep,
               const plan_worker& aWorker,
               const plan_policy& aPolicy)
{
  const std::string& rack = aStep.mSpec->mDataRack;
  const bool near = rack.empty() || aWorker.mDescription->mRack.Value() == rack;
  const cell::resources& capacity = aWorker.mDescription->mCapacity;
  const cell::resources left = aWorker.mFree - aWorker.mReserved;
  const double processors =
    ShareOf(left.mMilliProcessors, capacity.mMilliProcessors);
  const double accelerators =
    ShareOf(left.mAccelerators, capacity.mAccelerators);
  const bool disturbed =
    (aStep.mSpec->mBestEffort && aWorker.mRunsLatencySensitive) ||
    (aStep.mSpec->mTailLatencyTargetMs > 0 && aWorker.mRunsBestEffort);
  if (aPolicy.mPlacement == placement_rule::FirstFit) {
    return -static_cast<double>(aWorker.mNumber);
  }
  const bool packs =
    aPolicy.mPlacement == placement_rule::Packing && capacity.mAccelerators > 0;
  return (near ? kNear : 0) - (disturbed ? kDisturbs : 0) +
         (packs ? -kPackWeight * accelerators : processors) +
         kSpeedWeight * aWorker.mSpeed - (aWorker.mAvoided ? kAvoided : 0);
}

step_placement::step_placement(
  const open_step& aStep,
  const std::map<task_ref, worker_number>& aProposed,
  const plan_policy& aPolicy)
  : mStep(aStep)
  , mPolicy(aPolicy)
{
  for (const task_record& task : aStep.mRecord->mTasks) {
    if (task.mPhase == task_phase::Placed) {
      ++mCounts[task.mWorker];
    }
  }
  const step_ref& ref = aStep.mRef;
  const task_ref first{ ref.mJob, ref.mOccurrence, ref.mStep, 0 };
  for (auto next = aProposed.lower_bound(first);
       next != aProposed.end() && next->first.mJob == ref.mJob &&
       next->first.mOccurrence == ref.mOccurrence &&
       next->first.mStep == ref.mStep;
       ++next) {
    ++mCounts[next->second];
  }
}

plan_worker*
step_placement::BestWorker(std::uint32_t aTask,
                           const rack_id& aRack,
                           std::span<plan_worker* const> aCandidates,
                           fits_predicate aFits) const
{
  plan_worker* best = nullptr;
  double bestScore = 0;
  for (plan_worker* worker : aCandidates) {
    if (!aFits(mStep, *worker) || !CanRun(aTask, aRack, *worker)) {
      continue;
    }
    const bool endangers =
      (worker->mRunsGangOrLongRunning || worker->mSuspects.mCount > 0) &&
      SuspicionOf(mStep, aTask) != suspicion::None;
    const double score =
      PlacementScore(mStep, *worker, mPolicy) - (endangers ? kEndangers : 0);
    if (best == nullptr || score > bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

bool
step_placement::CanRun(std::uint32_t aTask,
                       const rack_id& aRack,
                       const plan_worker& aWorker) const
{
  const bool elsewhere =
    !aRack.Value().empty() && aWorker.mDescription->mRack != aRack;
  if (elsewhere || (aWorker.mAvoided && HasFailed(mStep, aTask))) {
    return false;
  }
  // A prime suspect's crash is to tell as much as it can, and to cost as
  // little.
  const worker_suspects& suspects = aWorker.mSuspects;
  if (suspects.mHighSuspicion > 0 ||
      (suspects.mCount > 0 && SuspicionOf(mStep, aTask) == suspicion::High)) {
    return false;
  }
  const std::uint32_t most = mStep.mSpec->mMaxPerWorker;
  const auto here = mCounts.find(aWorker.mNumber);
  return most == 0 || here == mCounts.end() || here->second < most;
}

} // namespace oriolewalk::flow
