#include "oriolewalk/flow/interference_control.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// The figures show a change only once the new pace has taken effect and half a
// second has been measured.
constexpr milliseconds kSettleTime{ 700 };
// Ratios of the tail latency to its target: from kHalveRatio on the pace of
// best-effort work is halved, from kStopRatio on the work stops, up to
// kRaiseRatio its pace is raised.
constexpr double kHalveRatio = 0.85;
constexpr double kStopRatio = 1.2;
constexpr double kRaiseRatio = 0.6;
constexpr int kRaisePercent = 20;
constexpr int kFullPercent = 100;
// A lower pace becomes a stop: so little work isn't worth the risk.
constexpr int kMinPercent = 10;

double
WorstTailRatio(std::span<const colocated_run> aRuns)
{
  double worst = 0;
  for (const colocated_run& run : aRuns) {
    if (run.mTailLatencyTargetMs > 0) {
      worst = std::max(worst,
                       static_cast<double>(run.mTailLatencyMs) /
                         static_cast<double>(run.mTailLatencyTargetMs));
    }
  }
  return worst;
}

int
NextPercent(int aPercent, double aWorst)
{
  if (aWorst >= kStopRatio) {
    return 0;
  }
  if (aWorst >= kHalveRatio) {
    return aPercent / 2 < kMinPercent ? 0 : aPercent / 2;
  }
  if (aWorst <= kRaiseRatio) {
    return std::min(kFullPercent, aPercent + kRaisePercent);
  }
  return aPercent;
}

} // namespace

std::vector<pace_change>
interference_control::Decide(worker_number aWorker,
                             std::span<const colocated_run> aRuns,
                             time_point aNow)
{
  std::vector<pace_change> changes;
  const bool hasBestEffort =
    std::ranges::any_of(aRuns, &colocated_run::mBestEffort);
  const double worst = WorstTailRatio(aRuns);
  const auto changed = mChangedAt.find(aWorker);
  // A stop is never delayed.
  const bool settled =
    changed == mChangedAt.end() || aNow >= changed->second + kSettleTime;
  if (!hasBestEffort || (!settled && worst < kStopRatio)) {
    return changes;
  }
  for (const colocated_run& run : aRuns) {
    const int next = NextPercent(run.mPercent, worst);
    if (run.mBestEffort && next != run.mPercent) {
      changes.push_back({ run.mRun, next });
    }
  }
  if (!changes.empty()) {
    mChangedAt[aWorker] = aNow;
  }
  return changes;
}

} // namespace oriolewalk::flow
