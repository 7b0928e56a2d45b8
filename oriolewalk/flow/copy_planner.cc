#include "oriolewalk/flow/copy_planner.h"

#include <algorithm>
#include <tuple>

namespace oriolewalk::flow {

namespace {

// A run is slow if it has taken this many times what its finished siblings took
// on average. On workers of one kind the durations of a step's tasks differ by
// less, and a worker of two thirds of the speed isn't a reason for a copy.
constexpr double kSlowFactor = 1.6;
// The mean of few siblings is a poor estimate of short durations, and a copy
// needs a commit and an order.
constexpr double kSlowMarginMs = 100;
// A run is far behind, whatever its siblings do, from this factor on.
constexpr double kFarBehindFactor = 3;
// The share of a step's other tasks that are done when it is nearly done.
constexpr double kNearlyDoneShare = 0.75;
// The copies of a task in its lifetime: one that had two is slow by itself.
constexpr std::uint32_t kMaxCopies = 2;
// Of the processors of all usable workers.
constexpr double kMaxShareOfCopies = 0.05;
constexpr double kMinFreeShare = 0.1;

class selector
{
public:
  explicit selector(const copy_input& aInput)
    : mInput(aInput)
    , mLosses(aInput.mState->Crashes().UnresolvedLosses())
  {
  }

  [[nodiscard]] std::optional<copy_candidate> Consider(
    const running_task& aTask) const
  {
    const task_ref& ref = aTask.mRun.mTask;
    const job_record* job = mInput.mState->FindJob(ref.mJob);
    const step_spec* spec = mInput.mState->FindStep(ref);
    const step_record* step = mInput.mState->FindStepRecord(ref);
    if (job == nullptr || step == nullptr || !job->IsActive() ||
        !spec->MayHaveCopies() || !MayHaveOneMore(aTask) ||
        mInput.mWaitingPriority.value_or(
          mInput.mState->QueueOf(*job).mPriority + 1) <=
          mInput.mState->QueueOf(*job).mPriority) {
      return std::nullopt;
    }
    const auto expected = ExpectedOf(ref, *job, *spec, aTask.mSpeed);
    if (!expected || aTask.mElapsedMs < expected->mSlowFromMs ||
        (!IsNearlyDone(*step) &&
         aTask.mElapsedMs < kFarBehindFactor * expected->mMeanMs)) {
      return std::nullopt;
    }
    // The longer a slow run has taken, the longer it is expected to take: as
    // long again, as with durations that are spread over orders of magnitude.
    const double gain = aTask.mElapsedMs - expected->mMeanMs;
    return gain <= 0 ? std::nullopt
                     : std::optional(copy_candidate{ aTask.mRun,
                                                     gain,
                                                     aTask.mWorker,
                                                     aTask.mElapsedMs,
                                                     expected->mMeanMs });
  }

private:
  struct expectation
  {
    double mMeanMs = 0;
    double mSlowFromMs = 0;
  };

  [[nodiscard]] bool MayHaveOneMore(const running_task& aTask) const
  {
    const task_ref& ref = aTask.mRun.mTask;
    const task_record* task = mInput.mState->FindTask(ref);
    if (task == nullptr || task->mPhase != task_phase::Placed ||
        task->mAttempt != aTask.mRun.mAttempt ||
        mInput.mState->FindPlacedCopy(ref) != nullptr) {
      return false;
    }
    // A task that may crash its workers would crash two at a time.
    if (mInput.mState->Crashes().Find(ref) != nullptr ||
        mLosses.contains(ref)) {
      return false;
    }
    // A record without a count is from an earlier leader.
    const auto count = mInput.mCopyCounts->find(ref);
    const std::uint32_t known =
      count == mInput.mCopyCounts->end() ? 0 : count->second;
    const std::uint32_t least = mInput.mState->Copies().contains(ref) ? 1 : 0;
    return std::max(known, least) < kMaxCopies;
  }

  // None: nothing is known but the caller's estimate, which may be off by far.
  [[nodiscard]] std::optional<expectation> ExpectedOf(const task_ref& aTask,
                                                      const job_record& aJob,
                                                      const step_spec& aSpec,
                                                      double aSpeed) const
  {
    const auto finished =
      mInput.mFinished->find({ aTask.mJob, aTask.mOccurrence, aTask.mStep });
    if (finished != mInput.mFinished->end() && finished->second.mCount > 0) {
      const double mean = finished->second.mMeanMs;
      return expectation{ mean, kSlowFactor * mean + kSlowMarginMs };
    }
    if (mInput.mDurations == nullptr) {
      return std::nullopt;
    }
    const duration_estimate learned = mInput.mDurations->Estimate(
      { mInput.mState->QueueOf(aJob).mName, aSpec.mImage, aTask.mStep },
      static_cast<double>(aSpec.mEstimateMs),
      mInput.mNow);
    if (!learned.mIsLearned) {
      return std::nullopt;
    }
    const double mean = learned.mMeanMs / aSpeed;
    return expectation{ mean,
                        std::max(learned.mTailMs / aSpeed, kSlowFactor * mean) +
                          kSlowMarginMs };
  }

  [[nodiscard]] static bool IsNearlyDone(const step_record& aStep)
  {
    const double others = static_cast<double>(aStep.mTasks.size()) - 1;
    return aStep.mDoneTasks >= kNearlyDoneShare * others;
  }

  const copy_input& mInput;
  std::map<task_ref, std::uint32_t> mLosses;
};

} // namespace

std::vector<copy_candidate>
SelectCopies(const copy_input& aInput)
{
  std::vector<copy_candidate> candidates;
  const selector selects(aInput);
  for (const running_task& task : aInput.mRunning) {
    if (const auto candidate = selects.Consider(task)) {
      candidates.push_back(*candidate);
    }
  }
  std::ranges::sort(candidates, {}, [](const copy_candidate& aOne) {
    return std::make_tuple(-aOne.mExpectedGainMs, aOne.mRun);
  });
  return candidates;
}

copy_budget::copy_budget(const flow_state& aState,
                         const std::map<task_ref, worker_number>& aProposed,
                         const cell::resources& aCapacity,
                         const cell::resources& aFree)
  : mCapacityMilli(aCapacity.mMilliProcessors)
  , mFreeMilli(aFree.mMilliProcessors)
{
  for (const auto& [task, copy] : aState.Copies()) {
    mCopiesMilli +=
      copy.IsPlaced() ? aState.FindStep(task)->Booked().mMilliProcessors : 0;
  }
  for (const auto& [ref, worker] : aProposed) {
    const task_record* task = aState.FindTask(ref);
    // A proposed start of a task that has a run is that of a copy.
    if (task != nullptr && task->mPhase == task_phase::Placed) {
      mCopiesMilli += aState.FindStep(ref)->Booked().mMilliProcessors;
    }
  }
}

bool
copy_budget::MayAdd(const step_spec& aStep) const
{
  const std::int64_t size = aStep.Booked().mMilliProcessors;
  const auto capacity = static_cast<double>(mCapacityMilli);
  return static_cast<double>(mCopiesMilli + size) <
           kMaxShareOfCopies * capacity &&
         static_cast<double>(mFreeMilli) >= kMinFreeShare * capacity;
}

void
copy_budget::Add(const step_spec& aStep)
{
  const std::int64_t size = aStep.Booked().mMilliProcessors;
  mCopiesMilli += size;
  mFreeMilli -= size;
}

} // namespace oriolewalk::flow
