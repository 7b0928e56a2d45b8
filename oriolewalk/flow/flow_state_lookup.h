#pragma once

// Lookups and small steps that the files of flow_state share.
//
//   if (task_record* task = FindTaskRecord(job, ref)) { ... }
//
// Private to flow_state.

#include <string>
#include <utility>

#include "oriolewalk/flow/flow_state.h"

namespace oriolewalk::flow {

inline apply_outcome
Refuse(error_code aCode, std::string aMessage)
{
  return { .mError = error{ aCode, "apply", {}, std::move(aMessage) } };
}

// Null for an unknown task.
inline task_record*
FindTaskRecord(job_record& aJob, const task_ref& aTask)
{
  const auto found = aJob.mOccurrences.find(aTask.mOccurrence);
  if (found == aJob.mOccurrences.end() ||
      aTask.mStep >= found->second.mSteps.size()) {
    return nullptr;
  }
  step_record& step = found->second.mSteps[aTask.mStep];
  return aTask.mIndex < step.mTasks.size() ? &step.mTasks[aTask.mIndex]
                                           : nullptr;
}

inline bool
IsRunPlaced(const task_record& aTask, attempt_t aAttempt, worker_number aWorker)
{
  return aTask.mPhase == task_phase::Placed && aTask.mAttempt == aAttempt &&
         aTask.mWorker == aWorker;
}

} // namespace oriolewalk::flow
