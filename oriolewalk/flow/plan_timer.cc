#include "oriolewalk/flow/plan_timer.h"

#include <algorithm>
#include <chrono>

namespace oriolewalk::flow {

namespace {

// Pause between two plans, so that events in between are planned together; a
// fifth of a commit.
constexpr milliseconds kPlanPause{ 3 };
// A plan looks at each live job and waiting task, so the pause grows with them.
// Without it, a backlog makes plans expensive when the leader has most other
// work, and delays all answers.
constexpr microseconds kPlanPausePerJob{ 40 };
constexpr microseconds kPlanPausePerWaiting{ 15 };
// Pause between two plans of only the top-priority steps, regardless of the
// backlog behind them. Each such step waits for two plans, one to query and one
// to start.
constexpr microseconds kTopPriorityPausePerJob{ 8 };
// The pauses assume a process that keeps up with its work. If its ticks come at
// twice their interval or later, the pauses are multiplied by that factor.
// Otherwise plans, which can wait, delay workers' answers and commits, which
// makes plans still more expensive.
constexpr milliseconds kTickInterval{ 10 };
constexpr std::int64_t kMaxLateness = 4;
// The shortest intervals between plans of a scope, in times that such a plan
// takes, at the usual interval of ticks; they grow with it. All plans together
// leave half of the time of a leader that keeps up, and three quarters at twice
// the usual interval, to commits, answers and callers, which urgent work waits
// for as well.
constexpr std::int64_t kMinInterval = 8;
constexpr std::int64_t kTopPriorityMinInterval = 3;
// Window of the moving average of what plans take.
constexpr int kTimeWindow = 4;
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
plan_timer::DueScope(std::size_t aLiveJobs, time_point aNow) const
{
  const auto jobs = static_cast<std::int64_t>(aLiveJobs);
  const auto lateness = std::clamp<std::int64_t>(
    mMeanTickInterval / kTickInterval, 1, kMaxLateness);
  const duration since = aNow - mPlannedAt;
  const duration pause =
    std::max<duration>(lateness * (kPlanPause + kPlanPausePerJob * jobs +
                                   kPlanPausePerWaiting * mWaitingTasks),
                       MinInterval(kMinInterval * mMeanTime));
  if (since >= pause && (mChanged || since >= kMaxPlanInterval)) {
    return plan_scope::All;
  }
  const duration topPriorityPause = std::max<duration>(
    lateness * (kPlanPause + kTopPriorityPausePerJob * jobs),
    MinInterval(kTopPriorityMinInterval * mTopPriorityMeanTime));
  if (mTopPriorityChanged &&
      aNow - std::max(mPlannedAt, mTopPriorityPlannedAt) >= topPriorityPause) {
    return plan_scope::TopPriority;
  }
  return std::nullopt;
}

duration
plan_timer::MinInterval(duration aOnTime) const
{
  const duration interval = std::clamp<duration>(
    mMeanTickInterval, kTickInterval, kMaxLateness * kTickInterval);
  return aOnTime * interval.count() / duration(kTickInterval).count();
}

bool
plan_timer::IsBehind() const
{
  return mMeanTickInterval >= 2 * kTickInterval;
}

void
plan_timer::OnPlanned(plan_scope aScope, std::size_t aWaiting, time_point aNow)
{
  mLastScope = aScope;
  mTopPriorityChanged = false;
  mTopPriorityPlannedAt = aNow;
  if (aScope == plan_scope::All) {
    mChanged = false;
    mPlannedAt = aNow;
    mWaitingTasks = static_cast<std::int64_t>(aWaiting);
  }
}

void
plan_timer::OnPlanTook(duration aTook)
{
  duration& mean = MeanTime(mLastScope);
  mean += (aTook - mean) / kTimeWindow;
}

} // namespace oriolewalk::flow
