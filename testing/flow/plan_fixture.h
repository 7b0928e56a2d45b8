#pragma once

// The input of a plan: queues, workers and jobs in a separate state, verdicts,
// and proposals and queries in flight. Tests change parts of it and plan again.

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow::testing {

struct plan_fixture
{
  state_builder mBuilder;
  advice_cache mAdvice;
  std::map<task_ref, worker_number> mProposed;
  std::set<step_ref> mOpenQueries;
  std::map<step_ref, std::vector<worker_number>> mQueriedWorkers;
  std::size_t mFreeAdvisors = 8;
  std::size_t mAdvisors = 8;
  std::map<std::string, std::size_t, std::less<>> mUsedAdvisors; // by queue
  std::size_t mTopPriorityPeak = 0;
  time_point mNow{ seconds(100) };
  std::int64_t mWallMs = 1'000;
  preemption_records mPreemptionRecords;
  std::set<step_ref> mNothingToQuery;
  plan_policy mPolicy;
  plan_workers mWorkers{ placement_rule::Packing }; // of the last input

  explicit plan_fixture(std::vector<queue_row> aQueues = { Queue("fees", 0),
                                                           Queue("runs", 2) })
    : mBuilder(std::move(aQueues))
  {
  }

  plan_result Plan() { return MakePlan(Input()); }

  plan_input Input()
  {
    plan_input input;
    input.mState = &mBuilder.mState;
    input.mAdvice = &mAdvice;
    mWorkers = plan_workers(mPolicy.mPlacement);
    for (const auto& [number, worker] : mBuilder.mState.Workers()) {
      plan_worker planned;
      planned.mNumber = number;
      planned.mDescription = &worker.mDescription;
      planned.mFree = worker.mDescription.mCapacity -
                      mBuilder.mState.TotalsAt(number).mBooked;
      mWorkers.Put(planned);
    }
    input.mWorkers = &mWorkers;
    input.mNothingToQuery = &mNothingToQuery;
    input.mPreemptionRecords = &mPreemptionRecords;
    input.mPolicy = mPolicy;
    input.mProposed = &mProposed;
    input.mOpenQueries = &mOpenQueries;
    input.mQueriedWorkers = &mQueriedWorkers;
    input.mAdvisors.mFree = mFreeAdvisors;
    input.mAdvisors.mTotal = mAdvisors;
    input.mAdvisors.mUsed = mUsedAdvisors;
    input.mAdvisors.mTopPriorityPeak = mTopPriorityPeak;
    input.mNow = mNow;
    input.mWallMs = mWallMs;
    return input;
  }

  // Records that the policy service approved all of aWorkers for the job's
  // first step, with tickets that are valid for aFor from now on.
  void Approve(const job_id& aJob,
               const std::vector<worker_number>& aWorkers,
               duration aFor = seconds(2))
  {
    std::vector<std::pair<worker_number, worker_id>> queried;
    std::vector<approval> approved;
    for (const worker_number number : aWorkers) {
      const worker_id& id =
        mBuilder.mState.FindWorker(number)->mDescription.mId;
      queried.emplace_back(number, id);
      approved.push_back({ id, "ticket" });
    }
    mAdvice.OnAnswer({ aJob, 0, 0 },
                     mBuilder.mState.FindJob(aJob)->mQueue.mName,
                     queried,
                     approved,
                     mNow + aFor);
  }
};

} // namespace oriolewalk::flow::testing
