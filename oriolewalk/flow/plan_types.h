#pragma once

// The values that the stages of a plan share: the workers, and the steps that
// have tasks to place.
//
//   plan_worker worker = ...;
//   if (FitsWhenEmpty(step, worker) && FitsNow(step, worker)) { ... }
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

// How a step uses differences in the speed of workers; see speed_preference.h.
enum class speed_use : std::uint8_t
{
  Any,       // counts speed as much as free capacity
  Fast,      // prefers a fast worker to an emptier slow one
  LeaveFast, // prefers the slow ones that keep it in time
};

struct speed_preference
{
  speed_use mUse = speed_use::Any;
  double mMinSpeed = 0; // LeaveFast: a slower worker is the last resort
};

// A worker's state within a plan.
struct plan_worker
{
  worker_number mNumber = 0;
  const worker_description* mDescription = nullptr;
  cell::resources mFree;
  cell::resources mBeingFreed; // booked by runs that are being stopped
  cell::resources mReserved;   // reserved for steps that are served earlier
  double mSpeed = 1; // relative to its peers, learnt; above 1 is faster
  bool mIsSpeedKnown = false;         // learnt from enough runs to rely on it
  bool mRunsLatencySensitive = false; // runs a task with a tail latency target
  bool mRunsBestEffort = false;
  bool mAvoided = false; // failed or stalled recently; used as a last resort
  bool mRunsGangOrLongRunning = false;
  worker_suspects mSuspects;
};

// An open step with waiting tasks.
struct open_step
{
  step_ref mRef;
  const job_record* mJob = nullptr;
  const queue_row* mQueue = nullptr;
  const step_spec* mSpec = nullptr;
  const step_record* mRecord = nullptr;
  // Indexes of the waiting tasks. Tasks suspected of crashing their workers
  // come last. Empty if mAtQuota.
  std::vector<std::uint32_t> mWaiting;
  std::map<std::uint32_t, suspicion> mSuspects;
  std::int64_t mSlackMs = 0; // time left until it must start to be in time
  std::int64_t mChainMs = 0; // of the longest chain that starts with it
  bool mBeyondShare = false; // of its organisation; see organisation_order.h
  bool mAtQuota = false; // its organisation can't start any of its tasks now
  bool mIsPastValue = false; // its job can have no more value; see UsefulFirst
  // The workers of the step's second runs; see copy_record.
  std::vector<worker_number> mCopyWorkers;
  speed_preference mSpeed{};
};

// The workers with second runs of the step's tasks.
inline std::vector<worker_number>
CopyWorkers(const flow_state& aState, const step_ref& aStep)
{
  std::vector<worker_number> workers;
  const std::map<task_ref, copy_record>& copies = aState.Copies();
  for (auto next =
         copies.lower_bound({ aStep.mJob, aStep.mOccurrence, aStep.mStep, 0 });
       next != copies.end() && next->first.mJob == aStep.mJob &&
       next->first.mOccurrence == aStep.mOccurrence &&
       next->first.mStep == aStep.mStep;
       ++next) {
    if (next->second.IsPlaced()) {
      workers.push_back(next->second.mWorker);
    }
  }
  return workers;
}

// Whether the step should use the worker only if there is no faster one.
inline bool
IsTooSlow(const open_step& aStep, const plan_worker& aWorker)
{
  return aStep.mSpeed.mUse == speed_use::LeaveFast &&
         aWorker.mSpeed < aStep.mSpeed.mMinSpeed;
}

inline suspicion
SuspicionOf(const open_step& aStep, std::uint32_t aTask)
{
  const auto found = aStep.mSuspects.find(aTask);
  return found == aStep.mSuspects.end() ? suspicion::None : found->second;
}

// Whether users notice each second of the step's delay. That holds for the
// queues of priority 0, and for long-running tasks, which are few.
inline bool
IsTopPriority(const queue_row& aQueue, const step_spec& aSpec)
{
  return aQueue.mPriority == 0 || aSpec.mLongRunning;
}

// Whether a task of the step would fit if the worker were empty.
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

// Like FitsNow, but counts the capacity of runs that are being stopped as free.
inline bool
FitsSoon(const open_step& aStep, const plan_worker& aWorker)
{
  return aStep.mSpec->Booked().FitsIn(aWorker.mFree + aWorker.mBeingFreed -
                                      aWorker.mReserved);
}

} // namespace oriolewalk::flow
