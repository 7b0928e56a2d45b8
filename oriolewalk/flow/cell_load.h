#pragma once

// How full the workers of a service are and what waits for them, as plain
// values for the admission of jobs. Figures are collected while a plan is made,
// from the steps that the plan visits anyway.
//
//   load_collector collect(state, durations, now);
//   collect.AddRunning(job, queue, spec, record); // each open step
//   collect.AddWaiting(step, wait);               // each step that waits
//   cell_loads loads = collect.Take(workers);
//
// Work is in thousandths of a processor times milliseconds. Pure; owned by a
// plan.

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/flow/duration_model.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/plan_workers.h"
#include "oriolewalk/flow/waits.h"

namespace oriolewalk::flow {

// The least time that a task with this estimate is expected to take, if the
// figure is off by its known spread.
double
LowDurationMs(const duration_estimate& aEstimate);

// What the task is expected to take where a longer time favours its job: a
// learned mean, or an estimate that is too low by its known spread.
double
HighDurationMs(const duration_estimate& aEstimate);

// The expected duration of a task of the step, from the model or the caller.
// aDurations: null without a model.
duration_estimate
ExpectedDuration(const queue_row& aQueue,
                 const step_spec& aSpec,
                 std::uint32_t aStep,
                 const duration_model* aDurations,
                 time_point aNow);

// Tasks that wait for room.
struct waiting_load
{
  double mWork = 0; // at their low durations
  std::int64_t mMilliProcessors = 0;

  waiting_load& operator+=(const waiting_load& aOther)
  {
    mWork += aOther.mWork;
    mMilliProcessors += aOther.mMilliProcessors;
    return *this;
  }
  waiting_load& operator-=(const waiting_load& aOther)
  {
    mWork -= aOther.mWork;
    mMilliProcessors -= aOther.mMilliProcessors;
    return *this;
  }
  friend waiting_load operator+(waiting_load aLeft, const waiting_load& aRight)
  {
    return aLeft += aRight;
  }
};

// By whole seconds of slack.
using load_by_slack = std::map<std::int64_t, waiting_load>;

struct priority_load
{
  waiting_load mWithinShare;
  waiting_load mBeyondShare; // of their organisations
  // The same again. Of each, the steps with the least slack are served first.
  load_by_slack mWithinShareBySlackS;
  load_by_slack mBeyondShareBySlackS;
  // Thousandths of a processor that ended runs freed per millisecond, recently.
  double mFreedPerMs = 0;
};

struct organisation_load
{
  cell::resources mRunning;
  cell::resources mWaiting;
  double mWeight = 1;
};

// Of the workers of one service.
struct cell_load
{
  cell::resources mCapacity;
  cell::resources mFree; // not booked and not reserved
  // Booked by runs that end only with their jobs.
  std::int64_t mLongRunningMilliProcessors = 0;
  std::vector<cell::resources> mWorkerSizes; // each capacity once
  std::map<int, priority_load> mPriorities;
  // Those with running or waiting tasks.
  std::map<organisation_id, organisation_load> mOrganisations;
  double mWaitingWeights = 0; // of the organisations with waiting tasks
  time_point mMadeAt{};
};

using cell_loads = std::unordered_map<service_id, cell_load>;

class load_collector
{
public:
  // aDurations: null without a model.
  load_collector(const flow_state& aState,
                 const duration_model* aDurations,
                 time_point aNow)
    : mState(aState)
    , mDurations(aDurations)
    , mNow(aNow)
  {
  }

  // Counts the step's tasks that may be in progress.
  void AddRunning(const job_record& aJob,
                  const queue_row& aQueue,
                  const step_spec& aSpec,
                  const step_record& aRecord);
  // Counts the tasks that a plan left waiting, if they compete for room.
  void AddWaiting(const open_step& aStep, const waiting_step& aWait);
  // Capacity of a worker that the plan booked or reserved.
  void AddBooked(const service_id& aService, const cell::resources& aAmount);
  // aWorkers: before the plan.
  [[nodiscard]] cell_loads Take(const plan_workers& aWorkers);

private:
  organisation_load& OrganisationOf(const job_record& aJob, cell_load& aLoad);

  const flow_state& mState;
  const duration_model* mDurations;
  time_point mNow;
  cell_loads mLoads;
};

} // namespace oriolewalk::flow
