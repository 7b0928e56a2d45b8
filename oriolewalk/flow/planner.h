#pragma once

// Decides which waiting tasks start where, and what to ask the policy service.
//
//   plan_result plan = MakePlan(input);
//   // propose plan.mStarts, put plan.mQuestions to the policy service
//
// The load it answers: more open steps than room, of queues with priorities and
// objectives of their own. Without an order by what can still be met, old work
// that is late already takes the room of work that is not.
//
// Pure: values in, values out; no clock, thread or I/O. Cost: open tasks times
// workers, bounded by kMostConsidered tasks.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_book.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A worker as the plan sees it.
struct plan_worker
{
  worker_number mNumber = 0;
  const worker_facts* mFacts = nullptr;
  cell::resources mFree;
  double mSpeed = 1;     // learnt; above 1 is faster than its peers
  bool mServes = false;  // a task with a target for its tail runs there
  bool mFilled = false;  // filling work runs there
  bool mAvoided = false; // fails or stalls of late: the last choice
};

struct plan_input
{
  const flow_state* mState = nullptr;
  const advice_book* mAdvice = nullptr;
  std::vector<plan_worker> mWorkers; // those that may get work now
  // Starts that are proposed and not yet applied, and where.
  const std::map<task_ref, worker_number>* mProposed = nullptr;
  // Steps about which a question is under way.
  const std::set<step_ref>* mAsking = nullptr;
  std::size_t mFreeAdvisors = 0;
  std::size_t mAdvisors = 0; // with those that carry a question
  time_point mNow{};
  std::int64_t mWallMs = 0;
};

struct planned_start
{
  run_start mStart;
  std::string mTicket;
};

struct question
{
  step_ref mStep;
  std::vector<worker_number> mWorkers;
};

struct plan_result
{
  std::vector<planned_start> mStarts;
  std::vector<question> mQuestions;
  std::size_t mWaiting = 0; // open tasks that found no place
  // Of those, in queues that come first.
  std::size_t mUrgentWaiting = 0;
  cell::resources mFree; // of all workers together, after the starts
};

plan_result
MakePlan(plan_input aInput);

} // namespace oriolewalk::flow
