#pragma once

// Compares the durations of a step's tasks, to learn the speeds of the workers
// that ran them.
//
//   speed_samples samples;
//   samples.OnTaskDone(step, worker, tookMs);
//   for (const auto& [worker, ratio] : samples.TakeStep(step, speedOf)) {
//     health.OnTaskTime(worker, ratio);
//   }
//
// A step is compared as a whole once it is done. Tasks on fast workers end
// first, so that a comparison with the tasks that ended before would make fast
// and slow workers look more alike than they are.
//
// Soft state of the leader. Pure; no clock. Bounded by the tasks of the open
// steps.

#include <functional>
#include <map>
#include <vector>

#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct speed_sample
{
  worker_number mWorker = 0;
  // The task's duration relative to what its siblings would have taken on a
  // worker of speed 1.
  double mRatio = 1;
};

class speed_samples
{
public:
  // A run that began without a checkpoint ended as done.
  void OnTaskDone(const step_ref& aStep, worker_number aWorker, double aTookMs);
  // Forgets the step, and returns a sample for each of its tasks if there are
  // several.
  // aSpeedOf: the present estimate, which corrects the durations of siblings.
  std::vector<speed_sample> TakeStep(
    const step_ref& aStep,
    const std::function<double(worker_number)>& aSpeedOf);
  void Forget(const job_id& aJob);

private:
  struct task_time
  {
    worker_number mWorker = 0;
    double mLogMs = 0;
  };

  std::map<step_ref, std::vector<task_time>> mSteps;
};

} // namespace oriolewalk::flow
