#include "oriolewalk/flow/placement.h"

#include <algorithm>

#include "oriolewalk/flow/speed_preference.h"

namespace oriolewalk::flow {

namespace {

// A worker that is a quarter faster scores as much as one with a quarter more
// of its capacity free, because a step is as slow as its slowest task.
constexpr double kSpeedWeight = 1;
constexpr double kNearDataBonus = 10;
constexpr double kAvoidedPenalty = 100;
// Separates best-effort tasks from latency-sensitive tasks.
constexpr double kInterferencePenalty = 5;
// Exceeds any speed difference: keeping a worker's accelerators together is
// worth more than a faster start.
constexpr double kPackWeight = 2;
// Separates suspects from each other, and from the tasks that lose the most in
// a crash.
constexpr double kCrashRiskPenalty = 50;

double
ShareOf(std::int64_t aPart, std::int64_t aWhole)
{
  return static_cast<double>(aPart) /
         std::max<double>(1, static_cast<double>(aWhole));
}

// A task that has failed avoids workers on which others fail, since its next
// failure may exhaust its attempts.
bool
HasFailed(const open_step& aStep, std::uint32_t aTask)
{
  return aStep.mRecord->mGangFailures > 0 ||
         aStep.mRecord->mTasks[aTask].mFailures > 0;
}

} // namespace

double
BaseScore(const plan_worker& aWorker, placement_rule aPlacement)
{
  if (aPlacement == placement_rule::FirstFit) {
    return -static_cast<double>(aWorker.mNumber);
  }
  const cell::resources& capacity = aWorker.mDescription->mCapacity;
  const cell::resources left = aWorker.mFree - aWorker.mReserved;
  const double processors =
    ShareOf(left.mMilliProcessors, capacity.mMilliProcessors);
  const double accelerators =
    ShareOf(left.mAccelerators, capacity.mAccelerators);
  const bool packs =
    aPlacement == placement_rule::Packing && capacity.mAccelerators > 0;
  return (packs ? -kPackWeight * accelerators : processors) +
         kSpeedWeight * aWorker.mSpeed -
         (aWorker.mAvoided ? kAvoidedPenalty : 0);
}

bool
Interferes(const open_step& aStep, const plan_worker& aWorker)
{
  return (aStep.mSpec->mBestEffort && aWorker.mRunsLatencySensitive) ||
         (aStep.mSpec->mTailLatencyTargetMs > 0 && aWorker.mRunsBestEffort);
}

double
PlacementScore(const open_step& aStep,
               const plan_worker& aWorker,
               const plan_policy& aPolicy)
{
  const double base = BaseScore(aWorker, aPolicy.mPlacement);
  if (aPolicy.mPlacement == placement_rule::FirstFit) {
    return base;
  }
  const std::string& rack = aStep.mSpec->mDataRack;
  const bool isNear =
    rack.empty() || aWorker.mDescription->mRack.Value() == rack;
  return base + SpeedScore(aStep.mSpeed, aWorker.mSpeed) +
         (isNear ? kNearDataBonus : 0) -
         (Interferes(aStep, aWorker) ? kInterferencePenalty : 0);
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
  for (const worker_number worker : aStep.mCopyWorkers) {
    ++mCounts[worker];
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
    const bool risksOthers =
      (worker->mRunsGangOrLongRunning || worker->mSuspects.mCount > 0) &&
      SuspicionOf(mStep, aTask) != suspicion::None;
    const double score = PlacementScore(mStep, *worker, mPolicy) -
                         (risksOthers ? kCrashRiskPenalty : 0);
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
  const bool isOtherRack =
    !aRack.Value().empty() && aWorker.mDescription->mRack != aRack;
  if (isOtherRack || (aWorker.mAvoided && HasFailed(mStep, aTask))) {
    return false;
  }
  // A task of high suspicion runs apart from other suspects. If the worker then
  // crashes, the cause is evident and few tasks are lost.
  const worker_suspects& suspects = aWorker.mSuspects;
  if (suspects.mHighSuspicion > 0 ||
      (suspects.mCount > 0 && SuspicionOf(mStep, aTask) == suspicion::High)) {
    return false;
  }
  const std::uint32_t max = mStep.mSpec->mMaxPerWorker;
  const auto count = mCounts.find(aWorker.mNumber);
  return max == 0 || count == mCounts.end() || count->second < max;
}

} // namespace oriolewalk::flow
