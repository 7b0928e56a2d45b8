#include "oriolewalk/flow/plan_timer.h"

#include <algorithm>
#include <chrono>

namespace oriolewalk::flow {

namespace {

// Pause between two plans, so that events in between are planned together. A
// commit takes five times as long.
constexpr milliseconds kPlanPause{ 3 };
// The cost of a plan grows with the workers and the waiting tasks, and so does
// the pause: at 350 workers it is 17 ms while little waits, and 47 ms with
// 2,000 tasks waiting. A backlog makes plans expensive when the leader has most
// other work: with a pause of 17 ms its processor was saturated in bursts and
// all answers were delayed.
constexpr microseconds kPlanPausePerWorker{ 40 };
constexpr microseconds kPlanPausePerWaiting{ 15 };
// Pause between two plans of only the top-priority steps, regardless of the
// backlog behind them. Each such step waits for two plans, one to query and one
// to start. With the pause for all steps, at 1,100 workers half of the
// top-priority first starts took 150 ms of the 250 ms that callers allow beside
// the work, and 0.81 of a burst's urgent jobs were in time; with this one 90 ms
// and 0.89. Such a plan takes a millisecond of a core.
constexpr microseconds kTopPriorityPausePerWorker{ 8 };
// The pauses assume a process that keeps up with its work. If its ticks come at
// twice their interval or later, the pauses are multiplied by that factor.
// Otherwise plans, which can wait, delay workers' answers and commits, which
// makes plans still more expensive.
constexpr milliseconds kTickInterval{ 10 };
constexpr std::int64_t kMaxLateness = 4;
// Maximum interval between two plans, since tickets expire.
constexpr milliseconds kMaxPlanInterval{ 100 };
// Window of the moving average of tick intervals, about a sixth of a second.
constexpr int kTickWindow = 16;

} // namespace

void
plan_timer::OnTick(time_point aNow)
{
  if (mTickedAt != time_point{}) {
    mMeanTickInterval += (aNow - mTickedAt - mMeanTickInterval) / kTickWindow;
  }
  mTickedAt = aNow;
}

std::optional<plan_scope>
plan_timer::DueScope(std::size_t aWorkers, time_point aNow) const
{
  const auto workers = static_cast<std::int64_t>(aWorkers);
  const auto lateness = std::clamp<std::int64_t>(
    mMeanTickInterval / kTickInterval, 1, kMaxLateness);
  const duration since = aNow - mPlannedAt;
  const duration pause =
    lateness * (kPlanPause + kPlanPausePerWorker * workers +
                kPlanPausePerWaiting * mWaitingTasks);
  if (since >= pause && (mChanged || since >= kMaxPlanInterval)) {
    return plan_scope::All;
  }
  const duration topPriorityPause =
    lateness * (kPlanPause + kTopPriorityPausePerWorker * workers);
  if (mTopPriorityChanged &&
      aNow - std::max(mPlannedAt, mTopPriorityPlannedAt) >= topPriorityPause) {
    return plan_scope::TopPriority;
  }
  return std::nullopt;
}

void
plan_timer::OnPlanned(plan_scope aScope, std::size_t aWaiting, time_point aNow)
{
  mTopPriorityChanged = false;
  mTopPriorityPlannedAt = aNow;
  if (aScope == plan_scope::All) {
    mChanged = false;
    mPlannedAt = aNow;
    mWaitingTasks = static_cast<std::int64_t>(aWaiting);
  }
}

} // namespace oriolewalk::flow
