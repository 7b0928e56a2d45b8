#include "oriolewalk/flow/speed_samples.h"

#include <cmath>
#include <cstddef>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

void
speed_samples::OnTaskDone(const step_ref& aStep,
                          worker_number aWorker,
                          double aTookMs)
{
  if (aTookMs > 0) {
    mSteps[aStep].push_back({ aWorker, std::log(aTookMs) });
  }
}

std::vector<speed_sample>
speed_samples::TakeStep(const step_ref& aStep,
                        const std::function<double(worker_number)>& aSpeedOf)
{
  const auto node = mSteps.extract(aStep);
  if (node.empty() || node.mapped().size() < 2) {
    return {};
  }
  const std::vector<task_time>& times = node.mapped();
  // The logarithm of what each would have taken on a worker of speed 1: a task
  // that takes seven times as long hardly moves its mean.
  std::vector<double> works;
  works.reserve(times.size());
  double sum = 0;
  for (const auto& [worker, logMs] : times) {
    works.push_back(logMs + std::log(aSpeedOf(worker)));
    sum += works.back();
  }
  const auto siblings = static_cast<double>(times.size() - 1);
  std::vector<speed_sample> samples;
  samples.reserve(times.size());
  for (std::size_t at = 0; at < times.size(); ++at) {
    const double others = (sum - works[at]) / siblings;
    samples.push_back(
      { times[at].mWorker, std::exp(times[at].mLogMs - others) });
  }
  return samples;
}

void
speed_samples::Forget(const job_id& aJob)
{
  EraseWhile(mSteps, { aJob, 0, 0 }, [&](const step_ref& aStep) {
    return aStep.mJob == aJob;
  });
}

} // namespace oriolewalk::flow
