#include "oriolewalk/flow/expected_durations.h"

#include <algorithm>

namespace oriolewalk::flow {

namespace {

// Interval at which the figures of occurrences that no plan asked for are
// dropped: their tasks are placed, or the job has ended.
constexpr milliseconds kSweepInterval{ 1'000 };

} // namespace

duration_estimate
EstimateOf(const duration_model& aModel,
           const step_spec& aSpec,
           std::uint32_t aStep,
           const queue_row& aQueue,
           time_point aNow)
{
  const auto estimate = static_cast<double>(aSpec.mEstimateMs);
  if (aSpec.mLongRunning || aSpec.mBestEffort) {
    return { estimate, estimate, false };
  }
  return aModel.Estimate({ aQueue.mName, aSpec.mImage, aStep }, estimate, aNow);
}

std::span<const duration_estimate>
expected_durations::Of(const job_id& aId,
                       const job_record& aJob,
                       const queue_row& aQueue,
                       std::uint32_t aOccurrence,
                       time_point aNow)
{
  ForgetUnused(aNow);
  entry& known = mEntries[{ aId, aOccurrence }];
  if (known.mSteps.empty() || aNow >= known.mUntil) {
    known.mUntil = aNow + kKeptFor;
    known.mSteps.clear();
    for (std::uint32_t step = 0; step < aJob.mSpec.mSteps.size(); ++step) {
      known.mSteps.push_back(OfStep(
        { aId, aOccurrence, step }, aJob.mSpec.mSteps[step], aQueue, aNow));
    }
  }
  return known.mSteps;
}

duration_estimate
expected_durations::OfStep(const step_ref& aStep,
                           const step_spec& aSpec,
                           const queue_row& aQueue,
                           time_point aNow) const
{
  duration_estimate expected =
    EstimateOf(mModel, aSpec, aStep.mStep, aQueue, aNow);
  if (aSpec.mLongRunning || aSpec.mBestEffort) {
    return expected;
  }
  const step_progress progress = mStragglers.ProgressOf(aStep, aNow);
  if (progress.mFinishedMeanMs) {
    // The spread relative to the mean stays that of the model.
    const double mean = *progress.mFinishedMeanMs;
    const double spread =
      expected.mIsLearned ? expected.mTailMs / expected.mMeanMs : 1;
    return { mean, mean * spread, expected.mIsLearned };
  }
  // Beyond the tail a slow worker is the likelier cause.
  expected.mMeanMs = std::max(
    expected.mMeanMs, std::min(progress.mLongestRunningMs, expected.mTailMs));
  return expected;
}

void
expected_durations::ForgetUnused(time_point aNow)
{
  if (aNow < mSweptAt + kSweepInterval) {
    return;
  }
  mSweptAt = aNow;
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    return aEntry.second.mUntil + kSweepInterval < aNow;
  });
}

} // namespace oriolewalk::flow
