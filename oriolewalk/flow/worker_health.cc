#include "oriolewalk/flow/worker_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oriolewalk::flow {

namespace {

// One in twenty tasks fails by its own fault; two in a row on one worker happen
// by chance once in four hundred times.
constexpr int kMinFailuresInRow = 2;
// How long a failing worker is avoided. Each further failure in a row doubles
// the time, up to kMaxDoublings times. Faults of workers last for several
// seconds.
constexpr milliseconds kFailureAvoidance{ 1'500 };
constexpr int kMaxDoublings = 2;
// A stalled task indicates that its worker has stalled.
constexpr milliseconds kStallAvoidance{ 4'000 };
// Weight of one sample in a moving average over about five ends. Until then all
// samples weigh the same, and so does the assumption that workers are alike.
constexpr double kSampleWeight = 0.2;
constexpr int kMinSamples = 5;
// Once no run has ended for kSpeedKept, which is longer than most tasks, the
// logarithm of the speed halves in each kSpeedHalfLife.
constexpr std::chrono::duration<double> kSpeedKept{ 5 };
constexpr std::chrono::duration<double> kSpeedHalfLife{ 10 };
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 2;

} // namespace

void
worker_health::OnRunEnded(worker_number aWorker,
                          run_outcome aOutcome,
                          time_point aNow)
{
  record& worker = mWorkers[aWorker];
  mLogSpeedSum -= worker.mLogSpeed;
  FadeSpeed(worker, aNow);
  mLogSpeedSum += worker.mLogSpeed;
  worker.mLastEndAt = aNow;
  if (aOutcome == run_outcome::Done) {
    worker.mFailuresInRow = 0;
    return;
  }
  if (aOutcome != run_outcome::Failed) {
    return;
  }
  ++worker.mFailuresInRow;
  if (worker.mFailuresInRow >= kMinFailuresInRow) {
    const int doublings =
      std::min(worker.mFailuresInRow - kMinFailuresInRow, kMaxDoublings);
    worker.mAvoidedUntil = aNow + kFailureAvoidance * (1 << doublings);
  }
}

void
worker_health::OnTaskTime(worker_number aWorker, double aRatio)
{
  if (aRatio <= 0) {
    return;
  }
  record& worker = mWorkers[aWorker];
  const double seen = std::log(std::clamp(1 / aRatio, kMinSpeed, kMaxSpeed));
  mLearnedSpeeds += worker.mSpeedSamples == 0 ? 1 : 0;
  ++worker.mSpeedSamples;
  // The logarithm, since slow and fast samples are equally likely in it.
  const double change =
    std::max(kSampleWeight, 1.0 / (worker.mSpeedSamples + 1)) *
    (seen - worker.mLogSpeed);
  worker.mLogSpeed += change;
  mLogSpeedSum += change;
}

void
worker_health::FadeSpeed(record& aWorker, time_point aNow)
{
  if (aWorker.mLastEndAt) {
    const std::chrono::duration<double> since = aNow - *aWorker.mLastEndAt;
    const auto faded = std::max(since - kSpeedKept, since.zero());
    aWorker.mLogSpeed *= std::exp2(-(faded / kSpeedHalfLife));
  }
}

double
worker_health::MeanSpeed() const
{
  return mLearnedSpeeds == 0
           ? 1
           : std::exp(mLogSpeedSum / static_cast<double>(mLearnedSpeeds));
}

void
worker_health::Forget(worker_number aWorker)
{
  const auto forgotten = mWorkers.extract(aWorker);
  if (!forgotten.empty() && forgotten.mapped().mSpeedSamples > 0) {
    mLogSpeedSum -= forgotten.mapped().mLogSpeed;
    --mLearnedSpeeds;
  }
}

void
worker_health::OnStall(worker_number aWorker, time_point aNow)
{
  record& worker = mWorkers[aWorker];
  worker.mAvoidedUntil = std::max(worker.mAvoidedUntil, aNow + kStallAvoidance);
}

worker_standing
worker_health::Standing(worker_number aWorker, time_point aNow) const
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return {};
  }
  record worker = found->second;
  FadeSpeed(worker, aNow);
  return { std::exp(worker.mLogSpeed),
           worker.mSpeedSamples >= kMinSamples,
           aNow < worker.mAvoidedUntil,
           worker.mAvoidedUntil };
}

} // namespace oriolewalk::flow
