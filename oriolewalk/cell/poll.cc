// Handles a worker's poll: grants the lease, sends commands and processes the
// worker's report.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/protocol.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/cell/soft_state.h"

namespace oriolewalk::cell {
namespace {

// Builds the reply to one poll. Commands are derived from the committed state
// each time, so no command is lost with a reply or with a change of leader.
class reply_builder
{
public:
  reply_builder(soft_state& aSoft,
                const cell_state& aState,
                worker_slot aSlot,
                const worker_poll& aPoll,
                time_point aNow)
    : mSoft(aSoft)
    , mState(aState)
    , mSlot(aSlot)
    , mPoll(aPoll)
    , mNow(aNow)
    , mWorker(aState.Workers()[aSlot])
  {
  }

  worker_reply Take()
  {
    mReply.mLease = mSoft.mOptions.mLease;
    for (const reported_end& end : mPoll.mEnded) {
      OnEnd(end);
    }
    for (const running_task& running : mPoll.mRunning) {
      OnRunning(running);
    }
    if (mUnbookedUse != mSoft.mWorkers[mSlot].mUnbookedUse) {
      mSoft.mWorkers[mSlot].mUnbookedUse = mUnbookedUse;
      mSoft.Refresh(mState, mSlot, mNow);
    }
    for (const task_id& task : mWorker.mTasks) {
      if (!mShown.contains(task)) {
        StartOrStop(task, *mState.FindTask(task));
      }
    }
    return std::move(mReply);
  }

private:
  [[nodiscard]] const task_record* Placed(const task_id& aTask,
                                          std::uint32_t aAttempt) const
  {
    const task_record* task = mState.FindTask(aTask);
    return task != nullptr && task->mState == task_state::Placed &&
               task->mWorker == mSlot && task->mAttempt == aAttempt
             ? task
             : nullptr;
  }

  void Command(worker_command_kind aKind,
               const task_id& aTask,
               std::uint32_t aAttempt)
  {
    mReply.mCommands.push_back({ aKind, aTask, aAttempt, {}, 0 });
  }

  void OnEnd(const reported_end& aEnd)
  {
    if (Placed(aEnd.mTask, aEnd.mAttempt) == nullptr) {
      // The end is recorded or superseded by a loss, so the worker may drop it.
      Command(worker_command_kind::Forget, aEnd.mTask, aEnd.mAttempt);
      return;
    }
    mShown.emplace(aEnd.mTask, aEnd.mAttempt);
    if (mSoft.Propose(proposal_kind::Ended, aEnd.mTask)) {
      mReply.mProposals.emplace_back(task_ended{
        aEnd.mTask, aEnd.mAttempt, mWorker.mId, mWorker.mBoot, aEnd.mResult });
    }
  }

  void OnRunning(const running_task& aRunning)
  {
    const task_record* task = Placed(aRunning.mTask, aRunning.mAttempt);
    if (task == nullptr) {
      Command(worker_command_kind::Stop, aRunning.mTask, aRunning.mAttempt);
      return;
    }
    mShown.emplace(aRunning.mTask, aRunning.mAttempt);
    OnUsage(aRunning, *task);
    switch (task->mStop) {
      case stop_mode::Stop:
        Command(worker_command_kind::Stop, aRunning.mTask, aRunning.mAttempt);
        return;
      case stop_mode::Checkpoint:
        Command(
          worker_command_kind::Checkpoint, aRunning.mTask, aRunning.mAttempt);
        return;
      case stop_mode::None:
      case stop_mode::Throttle:
        EnforceLimit(aRunning, *task);
    }
  }

  // Use above the booking is withheld from other tasks; use below it has no
  // effect.
  void OnUsage(const running_task& aRunning, const task_record& aTask)
  {
    const job_spec& spec = mState.FindJob(aRunning.mTask.mJob)->mSpec;
    mSoft.mLearning.OnUsage(spec, aRunning.mUsage);
    const resources booking = Booking(spec, aTask);
    mUnbookedUse += Largest(aRunning.mUsage, booking) - booking;
  }

  void EnforceLimit(const running_task& aRunning, const task_record& aTask)
  {
    const job_spec& spec = mState.FindJob(aRunning.mTask.mJob)->mSpec;
    const std::int64_t whole = spec.mEach.mMilliProcessors;
    const bool throttle = aTask.mStop == stop_mode::Throttle;
    const std::int64_t wanted =
      throttle ? ThrottledMilliProcessors(spec) : whole;
    if (aRunning.mLimitMilliProcessors.value_or(whole) != wanted) {
      Command(worker_command_kind::Throttle, aRunning.mTask, aRunning.mAttempt);
      mReply.mCommands.back().mSize = spec.mEach;
      mReply.mCommands.back().mSize.mMilliProcessors = wanted;
    } else if (throttle && !aTask.mThrottled &&
               mSoft.Propose(proposal_kind::Throttled, aRunning.mTask)) {
      mReply.mProposals.emplace_back(task_throttled{
        aRunning.mTask, aRunning.mAttempt, mWorker.mId, mWorker.mBoot });
    }
  }

  // Handles a task that is placed on the worker but missing from its report.
  void StartOrStop(const task_id& aTask, const task_record& aRecord)
  {
    if (aRecord.mStop == stop_mode::Stop ||
        aRecord.mStop == stop_mode::Checkpoint) {
      // The start may have been lost or delayed. The worker replies `stopped`
      // to a stop for an unknown task, and never starts that task.
      Command(worker_command_kind::Stop, aTask, aRecord.mAttempt);
      return;
    }
    const job_spec& spec = mState.FindJob(aTask.mJob)->mSpec;
    mReply.mCommands.push_back({ worker_command_kind::Start,
                                 aTask,
                                 aRecord.mAttempt,
                                 spec.mEach,
                                 spec.mExpectedMs });
  }

  soft_state& mSoft;
  const cell_state& mState;
  worker_slot mSlot;
  const worker_poll& mPoll;
  time_point mNow;
  const worker_record& mWorker;
  std::unordered_map<task_id, std::uint32_t> mShown;
  worker_reply mReply;
  resources mUnbookedUse;
};

} // namespace

worker_reply
cell_scheduler::Poll(const cell_state& aState,
                     const worker_id& aWorker,
                     const worker_poll& aPoll,
                     const instant& aNow)
{
  const worker_record* worker = aState.FindWorker(aWorker);
  const worker_slot slot = aState.FindSlot(aWorker).value_or(kNoWorker);
  if (!mSoft->mLeading || worker == nullptr || !worker->mPresent ||
      worker->mBoot != aPoll.mBoot || mSoft->mWorkers[slot].mLossProposed) {
    worker_reply reply;
    reply.mAnnounceAgain = true;
    return reply;
  }
  worker_view& view = mSoft->mWorkers[slot];
  view.mLastContact = std::max(view.mLastContact, aNow.mNow);
  view.mHasContact = true;
  if (!mSoft->mIndex.Contains(slot)) {
    mSoft->Refresh(aState, slot, aNow.mNow);
  }
  return reply_builder(*mSoft, aState, slot, aPoll, aNow.mNow).Take();
}

} // namespace oriolewalk::cell
