#include "bench/flow_worker.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>

namespace oriolewalk::bench {

namespace {

constexpr double kSlowFactor = 6;
constexpr double kCheckpointMs = 1'000;
constexpr double kRestoreMs = 600;
constexpr milliseconds kStopTime{ 100 };
// A failing run fails halfway.
constexpr double kFailsAt = 0.5;

double
ToMs(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

duration
FromMs(double aMs)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

std::string
NameOf(const flow::run_ref& aRun)
{
  return aRun.mTask.mJob.Value() + "." + std::to_string(aRun.mTask.mStep) +
         "." + std::to_string(aRun.mTask.mIndex) + "." +
         std::to_string(aRun.mAttempt);
}

} // namespace

simulated_worker::simulated_worker(const flow::worker_description& aDescription,
                                   std::uint64_t aSeed,
                                   double aSlowShare,
                                   double aSpeed)
  : mDescription(aDescription)
  , mSeed(aSeed)
  , mBecomesSlow(SeededFraction(aSeed, "slow", aDescription.mId.Value()) <
                 aSlowShare)
  , mSpeed(aSpeed)
  , mFree(aDescription.mCapacity)
{
}

flow::order_result
simulated_worker::Start(const flow::start_order& aOrder,
                        const task_work& aWork,
                        time_point aNow)
{
  if (mRuns.contains(aOrder.mRun)) {
    return flow::order_result::Done;
  }
  mOverCapacity += aWork.mSize.FitsIn(mFree) ? 0 : 1;
  mFree -= aWork.mSize;
  live_run run;
  run.mWork = aWork;
  run.mStartedAt = aNow;
  if (!aOrder.mCheckpoint.empty()) {
    run.mSavedMs = std::atof(aOrder.mCheckpoint.c_str());
  }
  const time_point slowFrom{ kSlowFrom };
  const time_point slowTo{ kSlowTo };
  const bool slow = mBecomesSlow && aNow >= slowFrom && aNow < slowTo;
  double left = aWork.mMs - run.mSavedMs;
  left += run.mSavedMs > 0 ? kRestoreMs : 0;
  const bool fails =
    SeededFraction(mSeed, "fails", NameOf(aOrder.mRun)) < aWork.mFailureShare;
  run.mOutcome = fails ? flow::run_outcome::Failed : flow::run_outcome::Done;
  run.mEndsAt = aNow + FromMs(left / mSpeed * (slow ? kSlowFactor : 1) *
                              (fails ? kFailsAt : 1));
  mRuns.emplace(aOrder.mRun, run);
  return flow::order_result::Done;
}

void
simulated_worker::Stop(const flow::stop_order& aOrder, time_point aNow)
{
  const auto found = mRuns.find(aOrder.mRun);
  if (found != mRuns.end() && found->second.mEndsAt > aNow + kStopTime) {
    found->second.mOutcome = flow::run_outcome::Stopped;
    found->second.mEndsAt = aNow + kStopTime;
  }
}

double
simulated_worker::DoneMs(const live_run& aRun, time_point aNow) const
{
  return std::min(aRun.mWork.mMs,
                  aRun.mSavedMs + mSpeed * ToMs(aNow - aRun.mStartedAt));
}

void
simulated_worker::Advance(time_point aNow)
{
  for (auto next = mRuns.begin(); next != mRuns.end();) {
    if (next->second.mEndsAt > aNow) {
      ++next;
      continue;
    }
    End(next->first, next->second, aNow);
    mFree += next->second.mWork.mSize;
    next = mRuns.erase(next);
  }
}

void
simulated_worker::End(const flow::run_ref& aRun,
                      const live_run& aLive,
                      time_point aNow)
{
  flow::run_end end{ aRun, aLive.mOutcome, {} };
  if (aLive.mOutcome != flow::run_outcome::Done) {
    const double done = DoneMs(aLive, aNow);
    const double saved = aLive.mOutcome == flow::run_outcome::Stopped
                           ? done
                           : std::floor(done / kCheckpointMs) * kCheckpointMs;
    if (aLive.mWork.mSavesCheckpoints) {
      end.mCheckpoint = std::to_string(saved);
    }
    mLostWorkMs += done - (aLive.mWork.mSavesCheckpoints ? saved : 0);
  }
  mEnded.push_back({ ++mLastEnd, std::move(end) });
}

void
simulated_worker::Acknowledge(std::uint64_t aCursor)
{
  std::erase_if(mEnded, [aCursor](const flow::listed_end& aEnd) {
    return aEnd.mNumber <= aCursor;
  });
}

flow::order_answer
simulated_worker::Listing(time_point aNow) const
{
  flow::order_answer answer;
  answer.mResult = flow::order_result::Done;
  answer.mClockMs = static_cast<std::int64_t>(ToMs(aNow.time_since_epoch()));
  for (const auto& [run, live] : mRuns) {
    answer.mRunning.push_back({ run, {}, 100, 0 });
  }
  answer.mEnded = mEnded;
  return answer;
}

std::optional<time_point>
simulated_worker::NextEnd() const
{
  const auto next = std::ranges::min_element(
    mRuns, {}, [](const auto& aRun) { return aRun.second.mEndsAt; });
  return next == mRuns.end() ? std::nullopt
                             : std::optional(next->second.mEndsAt);
}

} // namespace oriolewalk::bench
