#pragma once

// The values that the stages of a plan share: workers as the plan sees them,
// and steps that have tasks to place.
//
//   plan_worker worker = ...;
//   if (CanHold(step, worker) && FitsNow(step, worker)) { ... }
//
// Plain data; any thread.

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/plan_policy.h"
#include "oriolewalk/flow/suspect_isolation.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A worker as the plan sees it.
struct plan_worker
{
  worker_number mNumber = 0;
  const worker_description* mDescription = nullptr;
  cell::resources mFree;
  cell::resources mBeingFreed; // of runs that are being stopped: free soon
  cell::resources mReserved;   // kept for steps that come first
  double mSpeed = 1;           // learnt; above 1 is faster than its peers
  bool mRunsLatencySensitive =
    false;                      // a task with a target for its tail runs there
  bool mRunsBestEffort = false; // filling work runs there
  bool mAvoided = false;        // fails or stalls of late: the last choice
  bool mRunsGangOrLongRunning =
    false; // a gang's member or a task that lasts runs there
  worker_suspects mSuspects;
};

// An open step with tasks that wait.
struct open_step
{
  step_ref mRef;
  const job_record* mJob = nullptr;
  const queue_row* mQueue = nullptr;
  const step_spec* mSpec = nullptr;
  const step_record* mRecord = nullptr;
  // Indexes of tasks; those that are suspects of crashing workers come last.
  std::vector<std::uint32_t> mWaiting;
  std::map<std::uint32_t, suspicion> mSuspects;
  std::int64_t mSlackMs = 0; // until it must start to be in time
};

inline suspicion
SuspicionOf(const open_step& aStep, std::uint32_t aTask)
{
  const auto found = aStep.mSuspects.find(aTask);
  return found == aStep.mSuspects.end() ? suspicion::None : found->second;
}

// Steps whose users notice each second: those of the queues that come first,
// and tasks that last, which are few.
inline bool
IsTopPriority(const queue_row& aQueue, const step_spec& aSpec)
{
  return aQueue.mPriority == 0 || aSpec.mLongRunning;
}

// Whether the worker could take a task of the step if it were empty.
inline bool
FitsWhenEmpty(const open_step& aStep, const plan_worker& aWorker)
{
  const step_spec& spec = *aStep.mSpec;
  return spec.Booked().FitsIn(aWorker.mDescription->mCapacity) &&
         aWorker.mDescription->mService == aStep.mQueue->mService &&
         (spec.mLabel.empty() ||
          std::ranges::count(aWorker.mDescription->mLabels, spec.mLabel) > 0);
}

inline bool
FitsNow(const open_step& aStep, const plan_worker& aWorker)
{
  return aStep.mSpec->Booked().FitsIn(aWorker.mFree - aWorker.mReserved);
}

// As FitsNow, once what is being stopped there has ended.
inline bool
FitsSoon(const open_step& aStep, const plan_worker& aWorker)
{
  return aStep.mSpec->Booked().FitsIn(aWorker.mFree + aWorker.mBeingFreed -
                                      aWorker.mReserved);
}

} // namespace oriolewalk::flow
