#include "oriolewalk/flow/worker_health.h"

#include <algorithm>

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
// Weight of one sample in a moving average over about five ends.
constexpr double kSampleWeight = 0.2;
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 2;

} // namespace

void
worker_health::OnRunEnded(worker_number aWorker,
                          run_outcome aOutcome,
                          time_point aNow)
{
  record& worker = mWorkers[aWorker];
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
  const double seen = std::clamp(1 / aRatio, kMinSpeed, kMaxSpeed);
  worker.mSpeed += kSampleWeight * (seen - worker.mSpeed);
  worker.mIsSpeedKnown = true;
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
  const record& worker = found->second;
  return { worker.mSpeed,
           aNow < worker.mAvoidedUntil,
           worker.mAvoidedUntil,
           worker.mIsSpeedKnown };
}

} // namespace oriolewalk::flow
