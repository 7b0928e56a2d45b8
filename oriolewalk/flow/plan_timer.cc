#include "oriolewalk/flow/plan_timer.h"

#include <algorithm>
#include <chrono>

namespace oriolewalk::flow {

namespace {

// Between two plans: what happens meanwhile is planned together. A commit takes
// five times as long.
constexpr milliseconds kPlanPause{ 3 };
// A plan's cost grows with the cell and with what waits. At 350 workers 17 ms
// while little waits; with 2,000 tasks waiting 47 ms, since a backlog makes
// plans dear just when the leader has most else to do: at 17 ms its processor
// was full in bursts and everybody's answers waited.
constexpr microseconds kPlanPausePerWorker{ 40 };
constexpr microseconds kPlanPausePerWaiting{ 15 };
// Between two plans for the steps that come first alone, whatever waits behind
// them. Each such step waits for two plans, one to ask and one to start. With
// the pause of the others, at 1,100 workers half of the first starts took 150
// ms of the 250 ms that callers allow beside the work, and 0.81 of a burst's
// urgent jobs were in time; with this one 90 ms and 0.89 (made time). Such a
// plan takes a millisecond of a core.
constexpr microseconds kFirstPausePerWorker{ 8 };
// The pauses are for a process that has the time. One whose ticks come late, at
// twice their pause or more, has not: as many times longer it waits between two
// plans. Otherwise plans, which can wait, keep workers' answers and commits
// from being handled, which then make plans dearer still.
constexpr milliseconds kTickOnTime{ 10 };
constexpr std::int64_t kMostLateness = 4;
// A plan is made at least so often, for tickets that run out.
constexpr milliseconds kPlanEvery{ 100 };
// About so many ticks, a sixth of a second, say how busy the process is.
constexpr int kTicksRemembered = 16;

} // namespace

void
plan_timer::OnTick(time_point aNow)
{
  if (mTickedAt != time_point{}) {
    mTickGap += (aNow - mTickedAt - mTickGap) / kTicksRemembered;
  }
  mTickedAt = aNow;
}

std::optional<plan_scope>
plan_timer::DueScope(std::size_t aWorkers, time_point aNow) const
{
  const auto workers = static_cast<std::int64_t>(aWorkers);
  const auto lateness =
    std::clamp<std::int64_t>(mTickGap / kTickOnTime, 1, kMostLateness);
  const duration since = aNow - mPlannedAt;
  const duration pause =
    lateness * (kPlanPause + kPlanPausePerWorker * workers +
                kPlanPausePerWaiting * mWaitingTasks);
  if (since >= pause && (mChanged || since >= kPlanEvery)) {
    return plan_scope::All;
  }
  const duration firstPause =
    lateness * (kPlanPause + kFirstPausePerWorker * workers);
  if (mFirstChanged &&
      aNow - std::max(mPlannedAt, mFirstPlannedAt) >= firstPause) {
    return plan_scope::TopPriority;
  }
  return std::nullopt;
}

void
plan_timer::OnPlanned(plan_scope aScope, std::size_t aWaiting, time_point aNow)
{
  mFirstChanged = false;
  mFirstPlannedAt = aNow;
  if (aScope == plan_scope::All) {
    mChanged = false;
    mPlannedAt = aNow;
    mWaitingTasks = static_cast<std::int64_t>(aWaiting);
  }
}

} // namespace oriolewalk::flow
