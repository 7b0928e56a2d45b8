#pragma once

// Decides when the leader plans, and whether it plans all waiting steps or only
// the top-priority ones.
//
//   plan_timer timer;
//   timer.OnTick(now);                   // on each tick of the process
//   timer.OnChange(affectsTopPriority);  // when an input of the plan changes
//   if (const auto scope = timer.DueScope(liveJobs, now)) {
//     timer.OnPlanned(*scope, waiting, now);
//     timer.OnPlanTook(elapsed);
//   }
//
// A plan looks at all live jobs and at the tasks that wait, while callers of
// urgent work wait for two plans. Pauses between plans bound that cost, and
// shorter ones for top-priority steps keep their delay low. They don't grow
// with the workers. What a plan takes depends on the processor too, so plans
// of each scope get a bounded share of the time, whatever they cost. Pure;
// owned by leader_core.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/plan_policy.h"

namespace oriolewalk::flow {

class plan_timer
{
public:
  // Ticks are 10 ms apart, and further apart the busier the process is.
  void OnTick(time_point aNow);
  // aTopPriority: the change may allow a top-priority step to proceed.
  void OnChange(bool aTopPriority)
  {
    mChanged = true;
    mTopPriorityChanged = mTopPriorityChanged || aTopPriority;
  }
  // Returns nullopt if no plan is due yet.
  [[nodiscard]] std::optional<plan_scope> DueScope(std::size_t aLiveJobs,
                                                   time_point aNow) const;
  // Whether ticks come at twice their interval or later.
  [[nodiscard]] bool IsBehind() const;
  // The mean time between the last ticks.
  [[nodiscard]] duration TickInterval() const { return mMeanTickInterval; }
  // aWaiting: tasks that could not be placed.
  void OnPlanned(plan_scope aScope, std::size_t aWaiting, time_point aNow);
  // How long that plan kept its process from other work.
  void OnPlanTook(duration aTook);

private:
  // The shortest interval between two plans, which is aOnTime while ticks come
  // in time.
  [[nodiscard]] duration MinInterval(duration aOnTime) const;
  duration& MeanTime(plan_scope aScope)
  {
    return aScope == plan_scope::All ? mMeanTime : mTopPriorityMeanTime;
  }

  bool mChanged = true;
  bool mTopPriorityChanged = false;
  time_point mPlannedAt{}; // all steps
  time_point mTopPriorityPlannedAt{};
  plan_scope mLastScope = plan_scope::All;
  duration mMeanTime{}; // moving averages of what plans took
  duration mTopPriorityMeanTime{};
  std::int64_t mWaitingTasks = 0; // in the last plan of all steps
  time_point mTickedAt{};
  duration mMeanTickInterval{}; // moving average of the tick interval
};

} // namespace oriolewalk::flow
