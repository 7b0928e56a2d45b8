#pragma once

// Decides which waiting tasks start on which workers, which runs are preempted
// for them, and which queries to send to the policy service.
//
//   plan_result plan = MakePlan(input);
//   // propose plan.mStarts, stop plan.mPreemptions, send plan.mQueries
//
// Each stage has its own files:
//
//   open_steps       the waiting steps, in the order in which they are served
//   placement        the worker on which a task starts now
//   reservations     capacity that is reserved or preempted for tasks that
//                    can't start now
//   copy_planner     the slow tasks that get a copy, after all of these
//   advice_queries   the workers that an advice query includes
//
// Pure: no clock, threads or I/O. The cost is the open steps times the workers
// approved for each, plus for each query the workers that it may include. It
// doesn't depend on how many workers there are, but where nearly all are full
// or a queue has no policy service.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/advice_queries.h"
#include "oriolewalk/flow/advisors.h"
#include "oriolewalk/flow/cell_load.h"
#include "oriolewalk/flow/copy_planner.h"
#include "oriolewalk/flow/demand_forecast.h"
#include "oriolewalk/flow/expected_durations.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/plan_workers.h"
#include "oriolewalk/flow/preemption.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/flow/waits.h"

namespace oriolewalk::flow {

// What is under way at a worker and isn't in its free capacity yet.
struct pending_capacity
{
  cell::resources mProposed;   // of starts that aren't applied yet
  cell::resources mBeingFreed; // of runs that are being stopped
};

struct plan_input
{
  const flow_state* mState = nullptr;
  const advice_cache* mAdvice = nullptr;
  const plan_workers* mWorkers = nullptr; // those that may get tasks now
  std::map<worker_number, pending_capacity> mPending;
  // Starts that are proposed and not yet applied, with their workers.
  const std::map<task_ref, worker_number>* mProposed = nullptr;
  // Steps that have a query in flight.
  const std::set<step_ref>* mOpenQueries = nullptr;
  // The workers that those queries include; null if unknown.
  const std::map<step_ref, std::vector<worker_number>>* mQueriedWorkers =
    nullptr;
  // Steps that recently had nothing to query; this plan skips them.
  const std::set<step_ref>* mNothingToQuery = nullptr;
  const demand_forecast* mForecast = nullptr;             // null: none
  const preemption_records* mPreemptionRecords = nullptr; // null: none
  suspect_summary mSuspicions;
  advisor_load mAdvisors;
  // Runs that may get a copy; only for a plan of all steps.
  std::vector<running_task> mRunning;
  std::map<step_ref, finished_tasks> mFinished;  // of their steps
  const duration_model* mDurations = nullptr;    // null: the callers' estimates
  std::map<task_ref, std::uint32_t> mCopyCounts; // see copy_input
  time_point mNow{};
  std::int64_t mWallMs = 0;
  plan_policy mPolicy;
  plan_scope mScope = plan_scope::All;
  // Null: slack and order by the callers' estimates.
  expected_durations* mExpectedDurations = nullptr;
};

struct planned_start
{
  run_start mStart;
  std::string mTicket;
};

// A run that is preempted, and the step that it is preempted for.
struct planned_preemption
{
  run_start mRun; // with its worker
  step_ref mPreemptor;
};

struct planned_copy
{
  planned_start mStart;
  copy_candidate mReason;
};

struct plan_result
{
  std::vector<planned_start> mStarts;
  std::vector<planned_copy> mTaskCopies;
  std::vector<planned_preemption> mPreemptions;
  std::vector<advice_query> mQueries;
  // Waiting steps of queues below priority 0.
  std::vector<step_ref> mNothingToQuery;
  std::vector<waiting_step> mWaits;
  std::size_t mWaiting = 0;        // open tasks that don't start now
  std::size_t mUrgentWaiting = 0;  // those of them in queues of priority 0
  cell::resources mFree;           // of all workers, after the starts
  cell::resources mReserved;       // reserved on all workers, out of mFree
  std::size_t mVisitedWorkers = 0; // that the plan looked at
  std::size_t mHeldForUrgent = 0;  // tasks that leave room for urgent work
  std::size_t mOpenSteps = 0;
  std::size_t mConsideredTasks = 0; // waiting ones of the open steps
  // How often a worker was weighed for a task.
  std::size_t mComparisons = 0;
  // By service; of a plan of all steps, if jobs may be refused.
  cell_loads mLoads;
};

plan_result
MakePlan(plan_input aInput);

} // namespace oriolewalk::flow
