#include "oriolewalk/flow/kept_capacity.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// A shorter task ends before a wave of 11 s has risen far.
constexpr milliseconds kMinLong{ 2'000 };
// A forecast reaches half a wave of 20 s ahead.
constexpr milliseconds kMaxHorizon{ 10'000 };
// With more than this fraction of its processors free, a service has room for
// the growth of its urgent work.
constexpr std::int64_t kNearlyFullFraction = 4;
constexpr double kMilli = 1'000;

// The milliprocessors of the job's runs that save checkpoints.
std::int64_t
PreemptibleOf(const job_record& aJob)
{
  std::int64_t sum = 0;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      const step_spec& spec = aJob.mSpec.mSteps[step];
      if (spec.mCheckpoints && !spec.mGang && !spec.mLongRunning) {
        sum += spec.Booked().mMilliProcessors *
               std::ranges::count(occurrence.mSteps[step].mTasks,
                                  task_phase::Placed,
                                  &task_record::mPhase);
      }
    }
  }
  return sum;
}

} // namespace

kept_capacity::kept_capacity(const flow_state& aState,
                             const plan_workers& aWorkers,
                             const demand_forecast* aForecast,
                             const plan_policy& aPolicy,
                             time_point aNow)
  : mState(aState)
  , mWorkers(aWorkers)
  , mForecast(aForecast)
  , mPolicy(aPolicy)
  , mNow(aNow)
{
}

bool
kept_capacity::IsLongAndStays(const open_step& aStep) const
{
  return !IsTopPriority(*aStep.mQueue, *aStep.mSpec) &&
         !(aStep.mSpec->mCheckpoints && mPolicy.mPreempts) &&
         milliseconds(aStep.mSpec->mEstimateMs) >= kMinLong &&
         aStep.mSpec->Booked().mMilliProcessors > 0;
}

double
kept_capacity::ExpectedGrowth(const service_id& aService,
                              duration aHorizon) const
{
  double growth = 0;
  for (const queue_row& queue : mState.Table().mQueues) {
    if (queue.mPriority == 0 && queue.mService == aService) {
      growth += mForecast->ExpectedGrowth(queue.mName, mNow, aHorizon);
    }
  }
  return growth;
}

std::size_t
kept_capacity::Startable(const open_step& aStep)
{
  const std::size_t waiting = aStep.mWaiting.size();
  if (mForecast == nullptr || !mPolicy.mForecastsDemand || waiting == 0 ||
      !IsLongAndStays(aStep)) {
    return waiting;
  }
  const service_id& service = aStep.mQueue->mService;
  const std::int64_t free =
    mWorkers.Free(service).mMilliProcessors - mBooked[service];
  if (free * kNearlyFullFraction >
      mWorkers.Capacity(service).mMilliProcessors) {
    return waiting;
  }
  const double growth = ExpectedGrowth(
    service, std::min(milliseconds(aStep.mSpec->mEstimateMs), kMaxHorizon));
  if (growth <= 0) {
    return waiting;
  }
  const std::int64_t room =
    free + Preemptible(service) - static_cast<std::int64_t>(kMilli * growth);
  const auto fit = static_cast<std::size_t>(
    std::max<std::int64_t>(0, room) / aStep.mSpec->Booked().mMilliProcessors);
  const bool isPartOfGang = aStep.mSpec->mGang && fit < waiting;
  const std::size_t startable = isPartOfGang ? 0 : std::min(fit, waiting);
  mHeld += waiting - startable;
  return startable;
}

// The processors of runs that urgent work may preempt.
std::int64_t
kept_capacity::Preemptible(const service_id& aService)
{
  const auto [found, isNew] = mPreemptible.try_emplace(aService);
  if (!isNew || !mPolicy.mPreempts) {
    return found->second;
  }
  for (const auto& [id, job] : mState.LiveJobs()) {
    const queue_row& queue = mState.QueueOf(*job);
    if (job->mPlacedRuns == 0 || queue.mPriority == 0 ||
        queue.mService != aService) {
      continue;
    }
    found->second += PreemptibleOf(*job);
  }
  return found->second;
}

} // namespace oriolewalk::flow
