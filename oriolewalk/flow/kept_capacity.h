#pragma once

// Keeps capacity of a nearly full service for urgent work that is expected to
// arrive while a long task of a lower priority would run.
//
//   kept_capacity kept(state, workers, forecast, policy, now);
//   step.mWaiting.resize(kept.Startable(step));
//   kept.OnBooked(service, milliProcessors);
//
// A task that saves no checkpoint can't give way. Batch tasks that fill the
// cell in the trough of a wave hold it through the next peak, and urgent work
// then finds no room.
//
// Short tasks and tasks that save checkpoints start as always, and so do all
// tasks once the expected growth is over. Runs that can be preempted count as
// room.
//
// Pure; one object per plan. Costs nothing while the service isn't nearly full
// or no growth is expected, else once the placed tasks of the live jobs.

#include <cstddef>
#include <cstdint>
#include <map>

#include "oriolewalk/flow/demand_forecast.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/plan_workers.h"

namespace oriolewalk::flow {

class kept_capacity
{
public:
  // aForecast: null if there is none. The arguments must outlive the object.
  kept_capacity(const flow_state& aState,
                const plan_workers& aWorkers,
                const demand_forecast* aForecast,
                const plan_policy& aPolicy,
                time_point aNow);

  // How many of the step's waiting tasks may start.
  [[nodiscard]] std::size_t Startable(const open_step& aStep);
  // The plan, or a start that isn't applied yet, uses these processors.
  void OnBooked(const service_id& aService, std::int64_t aMilliProcessors)
  {
    mBooked[aService] += aMilliProcessors;
  }
  // Tasks that were kept from starting so far.
  [[nodiscard]] std::size_t Held() const { return mHeld; }

private:
  [[nodiscard]] bool IsLongAndStays(const open_step& aStep) const;
  [[nodiscard]] double ExpectedGrowth(const service_id& aService,
                                      duration aHorizon) const;
  std::int64_t Preemptible(const service_id& aService);

  const flow_state& mState;
  const plan_workers& mWorkers;
  const demand_forecast* mForecast;
  const plan_policy& mPolicy;
  time_point mNow;
  std::map<service_id, std::int64_t> mBooked;      // milliprocessors
  std::map<service_id, std::int64_t> mPreemptible; // milliprocessors
  std::size_t mHeld = 0;
};

} // namespace oriolewalk::flow
