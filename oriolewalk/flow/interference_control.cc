#include "oriolewalk/flow/interference_control.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// The figures show a change only once the new pace has taken effect and half a
// second has been measured.
constexpr milliseconds kSettle{ 700 };
// Ratios of the tail latency to its target: from kHalveRatio on the pace of
// best-effort work is halved, from kStopRatio on the work stops, up to
// kRaiseRatio its pace is raised.
constexpr double kHalve = 0.85;
constexpr double kStop = 1.2;
constexpr double kRaise = 0.6;
constexpr int kStep = 20;
constexpr int kFull = 100;
// A lower pace becomes a stop: so little work isn't worth the risk.
constexpr int kLeast = 10;

double
WorstTail(std::span<const colocated_run> aRuns)
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
  if (aWorst >= kStop) {
    return 0;
  }
  if (aWorst >= kHalve) {
    return aPercent / 2 < kLeast ? 0 : aPercent / 2;
  }
  if (aWorst <= kRaise) {
    return std::min(kFull, aPercent + kStep);
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
  const bool fills = std::ranges::any_of(aRuns, &colocated_run::mBestEffort);
  const double worst = WorstTail(aRuns);
  const auto changed = mChangedAt.find(aWorker);
  // A stop is never delayed.
  const bool settled =
    changed == mChangedAt.end() || aNow >= changed->second + kSettle;
  if (!fills || (!settled && worst < kStop)) {
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
