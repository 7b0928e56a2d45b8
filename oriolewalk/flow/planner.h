#pragma once

// Decides which waiting tasks start where, what gives way for them, and what to
// ask the policy service.
//
//   plan_result plan = MakePlan(input);
//   // propose plan.mStarts, stop plan.mStops, put plan.mQuestions
//
// The stages, each in files of its own:
//
//   open_steps   what waits, in the order in which it is served
//   placing      where a task starts now
//   holding      what is kept for, or taken back for, what can't start now
//   asking       of which workers the policy service's verdict is worth knowing
//
// Pure: values in, values out; no clock, thread or I/O. Cost: open steps times
// the workers approved for each, and for each question the service's workers.

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
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/plan_types.h"
#include "oriolewalk/flow/preemption.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/flow/waits.h"

namespace oriolewalk::flow {

struct plan_input
{
  const flow_state* mState = nullptr;
  const advice_cache* mAdvice = nullptr;
  std::vector<plan_worker> mWorkers; // those that may get work now
  // Starts that are proposed and not yet applied, and where.
  const std::map<task_ref, worker_number>* mProposed = nullptr;
  // Steps about which a question is under way.
  const std::set<step_ref>* mOpenQueries = nullptr;
  // Which workers those questions name; null: not told.
  const std::map<step_ref, std::vector<worker_number>>* mQueriedWorkers =
    nullptr;
  // Steps that had nothing to ask of late: not looked at again so soon.
  const std::set<step_ref>* mNothingToQuery = nullptr;
  preemption_records mPreemptionRecords;
  suspect_summary mSuspicions;
  advisor_load mAdvisors;
  time_point mNow{};
  std::int64_t mWallMs = 0;
  plan_policy mPolicy;
  plan_scope mScope = plan_scope::All;
};

struct planned_start
{
  run_start mStart;
  std::string mTicket;
};

// A run that gives way, and for whom.
struct planned_preemption
{
  run_start mRun; // and where it is
  step_ref mPreemptor;
};

struct plan_result
{
  std::vector<planned_start> mStarts;
  std::vector<planned_preemption> mPreemptions;
  std::vector<advice_query> mQueries;
  std::vector<step_ref> mNothingToQuery; // waiting steps of later queues
  std::vector<waiting_step> mWaits;
  std::size_t mWaiting = 0; // open tasks that found no place
  // Of those, in queues that come first.
  std::size_t mUrgentWaiting = 0;
  cell::resources mFree;     // of all workers together, after the starts
  cell::resources mReserved; // of that, kept for steps that come first
};

plan_result
MakePlan(plan_input aInput);

} // namespace oriolewalk::flow
