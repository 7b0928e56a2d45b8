#include "testing/soak/promise_book.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolewalk::soak {

namespace {

// A start that was on its way may still come after a cancel is acknowledged:
// orders that a fault held up are older than any lease after this.
constexpr seconds kCancelReach{ 9 };
// An accepted job is known everywhere after this.
constexpr seconds kVisible{ 3 };
// A table is in force everywhere after this.
constexpr seconds kInForce{ 2 };

std::string
Name(const flow::run_ref& aRun)
{
  return aRun.mTask.mJob.Value() + "." + std::to_string(aRun.mTask.mStep) +
         "." + std::to_string(aRun.mTask.mIndex) + " attempt " +
         std::to_string(aRun.mAttempt);
}

} // namespace

bool
promise_book::job::IsStepDone(std::size_t aStep) const
{
  return mDone[aStep].size() == mShape[aStep];
}

bool
promise_book::job::IsDone() const
{
  for (std::size_t step = 0; step < mShape.size(); ++step) {
    if (!IsStepDone(step)) {
      return false;
    }
  }
  return true;
}

void
promise_book::Sent(const job_id& aId, job_shape aShape)
{
  job& made = mJobs[aId];
  made.mDone.resize(aShape.size());
  made.mShape = std::move(aShape);
}

void
promise_book::Accepted(const job_id& aId, time_point aNow)
{
  job& one = mJobs[aId];
  one.mAcceptedAt = one.mAcceptedAt.value_or(aNow);
}

void
promise_book::Refused(const job_id& aId)
{
  mJobs[aId].mRefused = true;
}

void
promise_book::CancelSent(const job_id& aId)
{
  mJobs[aId].mCancelSent = true;
}

void
promise_book::CancelAcked(const job_id& aId, time_point aNow)
{
  job& one = mJobs[aId];
  one.mCancelledAt = one.mCancelledAt.value_or(aNow);
}

void
promise_book::Shown(const job_id& aId,
                    const std::string& aState,
                    time_point aNow)
{
  job& one = mJobs[aId];
  const std::string& name = aId.Value();
  if (aState.empty()) {
    if (one.mAcceptedAt && aNow > *one.mAcceptedAt + kVisible) {
      mBroken.push_back(name + " was accepted and is not known any more");
    }
    return;
  }
  if (aState == "done") {
    if (!one.IsDone()) {
      mBroken.push_back(name + " is shown as done before its tasks are");
    }
    one.mShownDone = true;
  } else if (one.mShownDone) {
    mBroken.push_back(name + " was shown as done and is now " + aState);
  }
  if (aState == "cancelled" && !one.mCancelSent) {
    mBroken.push_back(name + " is shown as cancelled, and nobody asked");
  }
  if (aState == "failed" && !one.mFailedOnce) {
    mBroken.push_back(name + " is shown as failed without a failure");
  }
}

void
promise_book::Started(const flow::run_ref& aRun, time_point aNow)
{
  const auto found = mJobs.find(aRun.mTask.mJob);
  if (found == mJobs.end()) {
    mBroken.push_back(Name(aRun) + " starts, and nobody sent the job");
    return;
  }
  const job& one = found->second;
  if (one.mRefused) {
    mBroken.push_back(Name(aRun) + " starts, and the job was refused");
  }
  if (one.mCancelledAt && aNow > *one.mCancelledAt + kCancelReach) {
    mBroken.push_back(Name(aRun) + " starts long after its cancelling");
  }
  const std::uint32_t step = aRun.mTask.mStep;
  if (step >= one.mShape.size() || aRun.mTask.mIndex >= one.mShape[step]) {
    mBroken.push_back(Name(aRun) + " starts, and the job has no such task");
  } else if (step > 0 && !one.IsStepDone(step - 1)) {
    mBroken.push_back(Name(aRun) + " starts before the step it waits for ends");
  }
}

void
promise_book::Ended(const flow::run_ref& aRun, flow::run_outcome aHow)
{
  const auto found = mJobs.find(aRun.mTask.mJob);
  if (found == mJobs.end() || aRun.mTask.mStep >= found->second.mShape.size()) {
    return; // said when it started
  }
  if (aHow == flow::run_outcome::Done) {
    found->second.mDone[aRun.mTask.mStep].insert(aRun.mTask.mIndex);
  } else if (aHow == flow::run_outcome::Failed) {
    found->second.mFailedOnce = true;
  }
}

void
promise_book::TableAcked(std::int64_t aVersion, time_point aNow)
{
  if (aVersion > mAcked) {
    mAcked = aVersion;
    mAcks.emplace_back(aVersion, aNow);
  }
}

void
promise_book::TableShown(std::int64_t aVersion, time_point aAskedAt)
{
  const auto due =
    std::ranges::find_if(mAcks.rbegin(), mAcks.rend(), [&](const auto& aAck) {
      return aAck.second + kInForce < aAskedAt;
    });
  if (due != mAcks.rend() && aVersion < due->first) {
    mBroken.push_back("table " + std::to_string(aVersion) +
                      " is shown, long after " + std::to_string(due->first) +
                      " was acknowledged");
  }
}

void
promise_book::CutAtPlannedStop(const std::string& aWhere)
{
  mBroken.push_back("a call to " + aWhere + " was cut by a planned stop");
}

std::vector<job_id>
promise_book::Owed() const
{
  std::vector<job_id> owed;
  for (const auto& [id, one] : mJobs) {
    if (one.mAcceptedAt && !one.mCancelSent && !one.mShownDone) {
      owed.push_back(id);
    }
  }
  return owed;
}

std::size_t
promise_book::DoneCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mJobs, [](const auto& aJob) { return aJob.second.mShownDone; }));
}

} // namespace oriolewalk::soak
