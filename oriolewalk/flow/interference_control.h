#pragma once

// How fast tasks may work that fill what others leave, beside tasks that serve
// users of their own.
//
//   sharing_control control(options);
//   for (const pace_change& change : control.Decide(worker, runs, now)) { ... }
//
// The load it answers: filling work disturbs a serving task on the same worker
// by amounts that differ by image and change within seconds; the figures are
// rough and half a second old. Without this, serving tasks stay over their
// target for as long as the filling work lasts; with filling work always held
// down it would get nothing.
//
// Harm first, fill second: one look over the target halves the pace, two looks
// well over it stop it; it comes back in small steps while the tail is far
// under the target. Pure; soft state by worker; no clock.

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A run as the worker's last look showed it.
struct colocated_run
{
  run_ref mRun;
  std::int64_t mTailLatencyTargetMs =
    0;                             // of a serving task; 0: it doesn't serve
  std::int64_t mTailLatencyMs = 0; // of a serving task
  bool mBestEffort = false;
  int mPercent = 100; // the pace that was asked for last
};

struct pace_change
{
  run_ref mRun;
  int mPercent = 100;
};

class interference_control
{
public:
  std::vector<pace_change> Decide(worker_number aWorker,
                                  std::span<const colocated_run> aRuns,
                                  time_point aNow);
  void Forget(worker_number aWorker) { mChangedAt.erase(aWorker); }

private:
  std::map<worker_number, time_point> mChangedAt;
};

} // namespace oriolewalk::flow
