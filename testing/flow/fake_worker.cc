#include "testing/flow/fake_worker.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::flow {

namespace {

constexpr std::int64_t kMaxLeaseMs = 6'000;
constexpr milliseconds kCrashDelay{ 10 };
// How long leaders may still use a capacity after it has shrunk: the time that
// the platform allows for contact, and a heartbeat interval.
constexpr milliseconds kCapacityGrace{ 4'500 };

std::string
Describe(const run_ref& aRun)
{
  return aRun.mTask.mJob.Value() + "." + std::to_string(aRun.mTask.mStep) +
         "." + std::to_string(aRun.mTask.mIndex) + " attempt " +
         std::to_string(aRun.mAttempt);
}

order_answer
AnswerWith(order_result aResult)
{
  order_answer answer;
  answer.mResult = aResult;
  return answer;
}

} // namespace

void
run_oracle::CheckStart(const run_ref& aRun, const std::string& aWhere)
{
  if (!mRunning[aRun.mTask].empty()) {
    mViolations.push_back(Describe(aRun) + " starts at " + aWhere +
                          " while another attempt runs");
  }
  if (mAcknowledgedAsDone.contains(aRun.mTask)) {
    mViolations.push_back(Describe(aRun) + " starts at " + aWhere +
                          " after its end as done was acknowledged");
  }
}

void
run_oracle::CheckStartWithCopies(const run_ref& aRun,
                                 const std::string& aWhere,
                                 time_point aNow)
{
  constexpr std::size_t kMaxRuns = 2;
  const auto& running = mRunning[aRun.mTask];
  mSecondStarts += running.empty() ? 0 : 1;
  if (running.size() >= kMaxRuns) {
    mViolations.push_back(Describe(aRun) + " starts at " + aWhere +
                          " while two other attempts run");
  }
  for (const auto& [attempt, where] : running) {
    if (where == aWhere) {
      mViolations.push_back(Describe(aRun) + " starts at " + aWhere +
                            " where another attempt runs");
    }
  }
  constexpr seconds kMaxDelay{ 1 };
  const auto checkAfter =
    [&](const auto& aTimes, const auto& aKey, const char* aWhat) {
      const auto found = aTimes.find(aKey);
      if (found != aTimes.end() && aNow > found->second + kMaxDelay) {
        mViolations.push_back(Describe(aRun) + " starts at " + aWhere +
                              " over 1 s after " + aWhat);
      }
    };
  checkAfter(mAcknowledgedAsDone, aRun.mTask, "its end as done was known");
  checkAfter(mShownDone, aRun.mTask.mJob, "its job was shown as done");
  checkAfter(mFailedAt, aRun.mTask, "its last failure was acknowledged");
}

void
run_oracle::OnStarted(const run_ref& aRun,
                      const std::string& aWhere,
                      time_point aNow)
{
  ++mStarts;
  const bool allowsCopies = mAllowsCopies && mAllowsCopies(aRun.mTask);
  if (allowsCopies) {
    CheckStartWithCopies(aRun, aWhere, aNow);
  } else {
    CheckStart(aRun, aWhere);
  }
  mRunning[aRun.mTask][aRun.mAttempt] = aWhere;
  constexpr std::size_t kMaxCrashes = 3;
  constexpr std::size_t kMaxStartsAfterCrashes = 2;
  if (mCrashesWorker && mCrashesWorker(aRun.mTask) &&
      CrashCount(aRun.mTask) >= kMaxCrashes &&
      ++mStartsAfterCrashes[aRun.mTask] > kMaxStartsAfterCrashes) {
    mViolations.push_back(
      Describe(aRun) + " starts at " + aWhere +
      ", the third time after three workers crashed under it");
  }
  if (mOnStart) {
    mOnStart(aRun);
  }
}

void
run_oracle::OnCrashed(const run_ref& aRun)
{
  ++mCrashes[aRun.mTask];
  OnEnded(aRun, run_outcome::Lapsed);
}

std::size_t
run_oracle::CrashCount(const task_ref& aTask) const
{
  const auto found = mCrashes.find(aTask);
  return found == mCrashes.end() ? 0 : found->second;
}

void
run_oracle::OnEnded(const run_ref& aRun, run_outcome aHow)
{
  mRunning[aRun.mTask].erase(aRun.mAttempt);
  mEnds[aRun] = aHow;
  if (mOnEnd) {
    mOnEnd(aRun, aHow);
  }
}

std::set<attempt_t>
run_oracle::FailedAttempts(const task_ref& aTask) const
{
  std::set<attempt_t> attempts;
  for (auto next = mEnds.lower_bound({ aTask, 0 });
       next != mEnds.end() && next->first.mTask == aTask;
       ++next) {
    if (next->second == run_outcome::Failed) {
      attempts.insert(next->first.mAttempt);
    }
  }
  return attempts;
}

void
run_oracle::OnEndAcknowledged(const run_ref& aRun, time_point aNow)
{
  if (mExcused.contains(aRun)) {
    return;
  }
  if (mEnds[aRun] == run_outcome::Done) {
    mAcknowledgedAsDone.try_emplace(aRun.mTask, aNow);
  } else if (mEnds[aRun] == run_outcome::Failed &&
             ++mAcknowledgedFailures[aRun.mTask] == mMaxFailures) {
    mFailedAt[aRun.mTask] = aNow;
  }
}

void
run_oracle::OnShownDone(const job_id& aJob, time_point aNow)
{
  mShownDone.try_emplace(aJob, aNow);
}

void
run_oracle::AddViolation(std::string aWhat)
{
  mViolations.push_back(std::move(aWhat));
}

void
run_oracle::OnOverCapacity(const run_ref& aRun, const std::string& aWhere)
{
  mViolations.push_back(Describe(aRun) + " brings " + aWhere +
                        " over its capacity");
}

fake_worker::fake_worker(worker_description aDescription,
                         double aClockDrift,
                         run_oracle& aOracle)
  : mDescription(std::move(aDescription))
  , mClockDrift(aClockDrift)
  , mOracle(aOracle)
{
}

std::int64_t
fake_worker::ClockMs(time_point aNow) const
{
  const auto since =
    std::chrono::duration_cast<milliseconds>(aNow - mClockZero).count();
  return static_cast<std::int64_t>(static_cast<double>(since) *
                                   (1.0 - mClockDrift));
}

order_answer
fake_worker::Handle(const worker_order& aOrder, time_point aNow)
{
  Advance(aNow);
  if (!mIsUp || aOrder.mWorkerId != mDescription.mId) {
    return AnswerWith(mIsUp ? order_result::OtherIncarnation
                            : order_result::NotSent);
  }
  order_answer answer = AnswerWith(order_result::Done);
  if (aOrder.mFence < mFence) {
    answer.mResult = order_result::Superseded;
    return answer;
  }
  mFence = aOrder.mFence;
  if (aOrder.mLeaseClockMs) {
    const std::int64_t maxMs = ClockMs(aNow) + kMaxLeaseMs;
    mLeaseClockMs =
      std::max(mLeaseClockMs, std::min(*aOrder.mLeaseClockMs, maxMs));
  }
  std::visit(overloaded{
               [&](const start_order& aStart) {
                 answer = *aOrder.mLeaseClockMs <= ClockMs(aNow)
                            ? AnswerWith(order_result::LeaseExpired)
                            : Start(aStart, aNow);
               },
               [&](const stop_order& aStop) {
                 attempt_t& over = mFinishedAttempts[aStop.mRun.mTask];
                 over = std::max(over, aStop.mRun.mAttempt);
                 if (mRuns.contains(aStop.mRun)) {
                   End(aStop.mRun, run_outcome::Stopped);
                 }
               },
               [&](const poll_order& aPoll) {
                 Forget(aPoll.mCursor, aNow);
                 for (const auto& [run, live] : mRuns) {
                   answer.mRunning.push_back({ run, {}, 100, 0 });
                 }
                 answer.mEnded = mEnds;
                 answer.mProcessStartMs = mDescription.mProcessStartMs;
               },
               [](const pace_order&) {},
             },
             aOrder.mBody);
  answer.mClockMs = ClockMs(aNow);
  return answer;
}

void
fake_worker::Forget(std::uint64_t aCursor, time_point aNow)
{
  if (mForgetsOnHigherCursor && aCursor <= mAcknowledgedCursor) {
    return;
  }
  mAcknowledgedCursor = aCursor;
  std::erase_if(mEnds, [&](const listed_end& aEnd) {
    const bool isAcknowledged = aEnd.mNumber <= aCursor;
    if (isAcknowledged) {
      mOracle.OnEndAcknowledged(aEnd.mEnd.mRun, aNow);
    }
    return isAcknowledged;
  });
}

order_answer
fake_worker::Start(const start_order& aStart, time_point aNow)
{
  if (mRuns.contains(aStart.mRun)) {
    return AnswerWith(order_result::Done);
  }
  const auto over = mFinishedAttempts.find(aStart.mRun.mTask);
  if (over != mFinishedAttempts.end() && aStart.mRun.mAttempt <= over->second) {
    return AnswerWith(order_result::StaleAttempt);
  }
  mOracle.mIsLateOrder = mHandlesLateOrder;
  mOracle.OnStarted(aStart.mRun, mDescription.mId.Value(), aNow);
  const bool crashes =
    mOracle.mCrashesWorker && mOracle.mCrashesWorker(aStart.mRun.mTask);
  mRuns[aStart.mRun] = { aNow + (crashes ? kCrashDelay : mWorkTime), crashes };
  const cell::resources used =
    mTaskSize * static_cast<std::int64_t>(mRuns.size());
  if (!mHandlesLateOrder && !FitsRecentCapacity(used, aNow)) {
    mOracle.OnOverCapacity(aStart.mRun, mDescription.mId.Value());
  }
  return AnswerWith(order_result::Done);
}

void
fake_worker::End(const run_ref& aRun, run_outcome aHow)
{
  mRuns.erase(aRun);
  attempt_t& over = mFinishedAttempts[aRun.mTask];
  over = std::max(over, aRun.mAttempt);
  mEnds.push_back({ ++mLastEnd, { aRun, aHow, {} } });
  mOracle.OnEnded(aRun, aHow);
}

bool
fake_worker::Fails(const run_ref& aRun) const
{
  return aRun.mTask.mIndex % 2 == 1 &&
         ((mFailsFirstAttempts && aRun.mAttempt == 1) ||
          (mFailsSecondAttempts && aRun.mAttempt == 2));
}

void
fake_worker::Advance(time_point aNow)
{
  if (!mIsUp) {
    return;
  }
  std::vector<std::pair<run_ref, run_outcome>> over;
  const bool lapsed = ClockMs(aNow) >= mLeaseClockMs;
  if (lapsed) {
    // Ends that weren't acknowledged before the lease expired no longer bind
    // leaders, which could only have waited for the lease to expire.
    for (const listed_end& end : mEnds) {
      mOracle.ExcuseEnd(end.mEnd.mRun);
    }
  }
  for (const auto& [run, live] : mRuns) {
    if (live.mDoneAt <= aNow && !lapsed && live.mCrashes) {
      Die();
      return;
    }
    if (live.mDoneAt <= aNow && !lapsed) {
      over.emplace_back(run,
                        Fails(run) ? run_outcome::Failed : run_outcome::Done);
    } else if (lapsed) {
      over.emplace_back(run, run_outcome::Lapsed);
    }
  }
  for (const auto& [run, how] : over) {
    End(run, how);
  }
}

void
fake_worker::Crash(time_point aNow)
{
  Advance(aNow);
  Die();
}

void
fake_worker::Leave(time_point aNow)
{
  Advance(aNow);
  mIsUp = false;
  for (const auto& [run, live] : std::exchange(mRuns, {})) {
    mOracle.OnEnded(run, run_outcome::Lapsed);
  }
}

void
fake_worker::SetCapacity(const cell::resources& aCapacity, time_point aNow)
{
  mFormerCapacities.emplace_back(
    aNow, std::exchange(mDescription.mCapacity, aCapacity));
}

bool
fake_worker::FitsRecentCapacity(const cell::resources& aUsed,
                                time_point aNow) const
{
  return aUsed.FitsIn(mDescription.mCapacity) ||
         std::ranges::any_of(mFormerCapacities, [&](const auto& aFormer) {
           return aNow < aFormer.first + kCapacityGrace &&
                  aUsed.FitsIn(aFormer.second);
         });
}

void
fake_worker::Die()
{
  mIsUp = false;
  for (const auto& [run, live] : std::exchange(mRuns, {})) {
    mOracle.OnCrashed(run);
  }
}

void
fake_worker::RestartAs(const std::string& aId, time_point aNow)
{
  Restart(aNow);
  mDescription.mId = worker_id(aId);
}

void
fake_worker::Restart(time_point aNow)
{
  Crash(aNow);
  mIsUp = true;
  mFence = 0;
  mLeaseClockMs = 0;
  mFinishedAttempts.clear();
  mEnds.clear();
  mLastEnd = 0;
  mAcknowledgedCursor = 0;
  mClockZero = aNow;
  mDescription.mProcessStartMs =
    std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch()).count();
}

} // namespace oriolewalk::flow
