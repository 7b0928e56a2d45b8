#pragma once

// A cell as a plan sees it: queues, workers and jobs in a state of their own,
// verdicts, and what is under way. Tests change the parts and plan again.

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/flow/planner.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow::testing {

struct plan_scene
{
  state_builder mMade;
  advice_book mAdvice;
  std::map<task_ref, worker_number> mProposed;
  std::set<step_ref> mAsking;
  std::map<step_ref, std::vector<worker_number>> mNamed;
  std::size_t mFreeAdvisors = 8;
  std::size_t mAdvisors = 8;
  std::map<std::string, std::size_t, std::less<>> mUsed; // by queue
  std::size_t mFirstPeak = 0;
  time_point mNow{ seconds(100) };
  std::int64_t mWallMs = 1'000;
  yield_records mYields;
  std::set<step_ref> mNothingToAsk;
  plan_policy mPolicy;

  explicit plan_scene(std::vector<queue_row> aQueues = { Queue("fees", 0),
                                                         Queue("runs", 2) })
    : mMade(std::move(aQueues))
  {
  }

  plan_result Plan() { return MakePlan(Input()); }

  plan_input Input()
  {
    plan_input input;
    input.mState = &mMade.mState;
    input.mAdvice = &mAdvice;
    for (const auto& [number, worker] : mMade.mState.Workers()) {
      plan_worker& planned = input.mWorkers.emplace_back();
      planned.mNumber = number;
      planned.mFacts = &worker.mFacts;
      planned.mFree =
        worker.mFacts.mCapacity - mMade.mState.AmountsAt(number).mBooked;
    }
    input.mNothingToAsk = &mNothingToAsk;
    input.mYields = mYields;
    input.mPolicy = mPolicy;
    input.mProposed = &mProposed;
    input.mAsking = &mAsking;
    input.mNamed = &mNamed;
    input.mAdvisors.mFree = mFreeAdvisors;
    input.mAdvisors.mTotal = mAdvisors;
    input.mAdvisors.mUsed = mUsed;
    input.mAdvisors.mFirstPeak = mFirstPeak;
    input.mNow = mNow;
    input.mWallMs = mWallMs;
    return input;
  }

  // The policy service approves all of aWorkers for the job's first step, by
  // tickets that are valid for aFor from now on.
  void Approve(const job_id& aJob,
               const std::vector<worker_number>& aWorkers,
               duration aFor = seconds(2))
  {
    std::vector<std::pair<worker_number, worker_id>> asked;
    std::vector<approval> approved;
    for (const worker_number number : aWorkers) {
      const worker_id& id = mMade.mState.FindWorker(number)->mFacts.mId;
      asked.emplace_back(number, id);
      approved.push_back({ id, "ticket" });
    }
    mAdvice.Answered({ aJob, 0, 0 },
                     mMade.mState.FindJob(aJob)->mQueue.mName,
                     asked,
                     approved,
                     mNow + aFor);
  }
};

} // namespace oriolewalk::flow::testing
