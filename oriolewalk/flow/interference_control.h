#pragma once

// Sets the pace of best-effort tasks that share a worker with latency-sensitive
// tasks.
//
//   interference_control control;
//   for (const pace_change& change : control.Decide(worker, runs, now)) { ... }
//
// Best-effort work slows a latency-sensitive task on the same worker by amounts
// that differ by image and change within seconds; the figures are rough and
// half a second old. Without control, latency-sensitive tasks miss their target
// for as long as the best-effort work runs; if best-effort work were always
// throttled, it would make no progress.
//
// Avoiding harm takes precedence: a tail latency close to the target halves the
// pace, one well over it stops the work. The pace is raised in small steps
// while the tail latency is far under the target. Pure; soft state by worker;
// no clock.

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A run as the worker's last poll showed it.
struct colocated_run
{
  run_ref mRun;
  std::int64_t mTailLatencyTargetMs = 0; // 0: it isn't latency-sensitive
  std::int64_t mTailLatencyMs = 0;       // 0: it has no target
  bool mBestEffort = false;
  int mPercent = 100; // the pace that was last requested
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
