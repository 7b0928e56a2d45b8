#pragma once

// When the leader plans, and whether all waiting steps or those that come
// first.
//
//   plan_pace pace;
//   pace.Ticked(now);                 // on each tick of the process
//   pace.Changed(concernsFirst);      // something that a plan looks at
//   if (const auto scope = pace.Due(workers, now)) {
//     pace.Planned(*scope, waiting, now);
//   }
//
// The load it answers: plans that grow with the cell and with its backlog, and
// callers of urgent work who wait for two of them. Pure; the leading part owns
// it.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/plan_policy.h"

namespace oriolewalk::flow {

class plan_timer
{
public:
  // The process's ticks are 10 ms apart, and later the busier it is.
  void OnTick(time_point aNow);
  // aFirst: it may let a step that comes first go on.
  void OnChange(bool aFirst)
  {
    mChanged = true;
    mFirstChanged = mFirstChanged || aFirst;
  }
  // Nothing: no plan is due yet.
  [[nodiscard]] std::optional<plan_scope> DueScope(std::size_t aWorkers,
                                                   time_point aNow) const;
  // aWaiting: tasks that found no place.
  void OnPlanned(plan_scope aScope, std::size_t aWaiting, time_point aNow);

private:
  bool mChanged = true;
  bool mFirstChanged = false;
  time_point mPlannedAt{}; // all steps
  time_point mFirstPlannedAt{};
  std::int64_t mWaitingTasks = 0; // in the last plan of all
  time_point mTickedAt{};
  duration mTickGap{}; // between two ticks, of late
};

} // namespace oriolewalk::flow
