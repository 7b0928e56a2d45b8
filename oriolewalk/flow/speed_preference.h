#pragma once

// Decides for a step whether it prefers fast workers or leaves them to others.
//
//   speed_preferences preferences(table, workers, policy);
//   step.mSpeed = preferences.For(step);
//   score += SpeedScore(step.mSpeed, worker.mSpeed);
//
// The objective of an urgent job leaves little more time than its work takes,
// so that it is missed on a slow worker. If all steps prefer fast workers,
// batch tasks of several seconds occupy them when an urgent step arrives.
//
// Speeds matter where a job of a top-priority queue that waits for nothing is
// in time on the fast workers of its service and late on the slow ones.
// Elsewhere steps have no preference.
//
// Pure; one object per plan.

#include <cstdint>
#include <map>

#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/plan_workers.h"
#include "oriolewalk/flow/speed_spread.h"

namespace oriolewalk::flow {

// What the preference adds to the score of a worker of this speed.
double
SpeedScore(const speed_preference& aPreference, double aSpeed);

// Whether the speeds of a service's workers decide if an objective is met.
bool
DoSpeedsMatter(const queue_table& aTable,
               const service_id& aService,
               const speed_spread& aSpread);

class speed_preferences
{
public:
  // The arguments must outlive the object.
  speed_preferences(const queue_table& aTable,
                    const plan_workers& aWorkers,
                    const plan_policy& aPolicy)
    : mTable(aTable)
    , mWorkers(aWorkers)
    , mPolicy(aPolicy)
  {
  }

  [[nodiscard]] speed_preference For(const open_step& aStep);
  // Whether the speeds of the service's workers matter to any step.
  [[nodiscard]] bool Matter(const service_id& aService)
  {
    return mPolicy.mPlacesBySpeed && SpeedsOf(aService).mMatter;
  }

private:
  struct service_speeds
  {
    speed_spread mSpread;
    bool mMatter = false;
  };

  const service_speeds& SpeedsOf(const service_id& aService);

  const queue_table& mTable;
  const plan_workers& mWorkers;
  const plan_policy& mPolicy;
  std::map<service_id, service_speeds> mServices;
};

} // namespace oriolewalk::flow
