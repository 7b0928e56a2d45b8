#include "oriolewalk/flow/cell_load.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// A caller's estimate of a long task may be four times its actual duration.
constexpr double kEstimateSpread = 4;
// A learned mean is of many tasks; what remains is the change since.
constexpr double kLearnedSpread = 1.5;
constexpr std::int64_t kMsPerSecond = 1'000;

// Whether processors are what the step's tasks wait for. The figures tell
// nothing about workers with a certain label or about accelerators.
bool
CompetesForProcessors(const step_spec& aSpec)
{
  return aSpec.Booked().mMilliProcessors > 0 &&
         aSpec.mSize.mAccelerators == 0 && aSpec.mLabel.empty();
}

} // namespace

double
LowDurationMs(const duration_estimate& aEstimate)
{
  return aEstimate.mMeanMs /
         (aEstimate.mIsLearned ? kLearnedSpread : kEstimateSpread);
}

double
HighDurationMs(const duration_estimate& aEstimate)
{
  return aEstimate.mIsLearned ? aEstimate.mMeanMs
                              : kEstimateSpread * aEstimate.mMeanMs;
}

duration_estimate
ExpectedDuration(const queue_row& aQueue,
                 const step_spec& aSpec,
                 std::uint32_t aStep,
                 const duration_model* aDurations,
                 time_point aNow)
{
  const auto estimate = static_cast<double>(aSpec.mEstimateMs);
  return aDurations == nullptr
           ? duration_estimate{ estimate, estimate, false }
           : aDurations->Estimate(
               { aQueue.mName, aSpec.mImage, aStep }, estimate, aNow);
}

organisation_load&
load_collector::OrganisationOf(const job_record& aJob, cell_load& aLoad)
{
  const auto [found, isNew] = aLoad.mOrganisations.try_emplace(aJob.mOwner);
  const auto* row = isNew ? mState.FindOrganisation(aJob.mOwner) : nullptr;
  if (row != nullptr) {
    found->second.mWeight = row->mWeight;
  }
  return found->second;
}

void
load_collector::AddRunning(const job_record& aJob,
                           const queue_row& aQueue,
                           const step_spec& aSpec,
                           const step_record& aRecord)
{
  const auto running = std::ranges::count(
    aRecord.mTasks, task_phase::Placed, &task_record::mPhase);
  if (running == 0) {
    return;
  }
  const cell::resources booked = aSpec.Booked() * running;
  cell_load& load = mLoads[aQueue.mService];
  if (aSpec.mLongRunning) {
    load.mLongRunningMilliProcessors += booked.mMilliProcessors;
  }
  if (!aJob.mOwner.Value().empty()) {
    OrganisationOf(aJob, load).mRunning += booked;
  }
}

void
load_collector::AddWaiting(const open_step& aStep, const waiting_step& aWait)
{
  const step_spec& spec = *aStep.mSpec;
  // Steps past their value are served after those that can have some.
  if (aStep.mIsPastValue || aWait.mCause == wait_cause::Quota ||
      aWait.mCause == wait_cause::Nowhere || !CompetesForProcessors(spec)) {
    return;
  }
  const auto tasks = static_cast<std::int64_t>(aWait.mTasks);
  const cell::resources booked = spec.Booked() * tasks;
  cell_load& load = mLoads[aStep.mQueue->mService];
  priority_load& priority = load.mPriorities[aStep.mQueue->mPriority];
  // What a long-running task takes isn't returned, but counts no more than its
  // processors: its job may be cancelled at any time.
  const double durationMs =
    spec.mLongRunning
      ? 0
      : LowDurationMs(ExpectedDuration(
          *aStep.mQueue, spec, aStep.mRef.mStep, mDurations, mNow));
  const waiting_load waiting{ static_cast<double>(booked.mMilliProcessors) *
                                durationMs,
                              booked.mMilliProcessors };
  (aStep.mBeyondShare ? priority.mBeyondShare : priority.mWithinShare) +=
    waiting;
  (aStep.mBeyondShare
     ? priority.mBeyondShareBySlackS
     : priority.mWithinShareBySlackS)[aStep.mSlackMs / kMsPerSecond] += waiting;
  if (!aStep.mJob->mOwner.Value().empty()) {
    organisation_load& organisation = OrganisationOf(*aStep.mJob, load);
    if (organisation.mWaiting == cell::resources{}) {
      load.mWaitingWeights += organisation.mWeight;
    }
    organisation.mWaiting += booked;
  }
}

void
load_collector::AddBooked(const service_id& aService,
                          const cell::resources& aAmount)
{
  mLoads[aService].mFree -= aAmount;
}

cell_loads
load_collector::Take(const plan_workers& aWorkers)
{
  for (const auto& [service, totals] : aWorkers.Totals()) {
    cell_load& load = mLoads[service];
    load.mCapacity = totals.mCapacity;
    load.mFree += totals.mFree;
    for (const auto& [capacity, ranked] : aWorkers.Ranked(service)) {
      load.mWorkerSizes.push_back({ capacity[0], capacity[1], capacity[2] });
    }
  }
  for (auto& [service, load] : mLoads) {
    load.mMadeAt = mNow;
  }
  return std::move(mLoads);
}

} // namespace oriolewalk::flow
