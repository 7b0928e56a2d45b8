#include "oriolewalk/control/worker_desk.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolewalk::control {

namespace {

const cell::scheduler_options kOptions;

bool
IsRegistered(const cell::cell_state& aState,
             const protocol::worker_announcement& aWorker)
{
  const cell::worker_record* record = aState.FindWorker(aWorker.mWorker);
  return record != nullptr && record->mPresent &&
         record->mBoot == aWorker.mBoot &&
         record->mCapacity == aWorker.mCapacity &&
         record->mRack == aWorker.mRack &&
         record->mDataCentre == aWorker.mDataCentre;
}

} // namespace

worker_desk::worker_desk(const cell::cell_state& aState,
                         worker_output aOutput,
                         std::uint64_t aSeed,
                         const cell::instant& aNow)
  : mState(aState)
  , mOutput(std::move(aOutput))
  , mScheduler(kOptions, aSeed)
{
  mScheduler.BecomeLeader(mState, aNow);
}

void
worker_desk::Propose(const cell::cell_command& aCommand,
                     const cell::instant& aNow)
{
  if (!mOutput.mPropose(aCommand)) {
    mScheduler.OnDropped(mState, aCommand, aNow);
  }
}

void
worker_desk::Announce(call_id aCall,
                      const protocol::worker_announcement& aWorker,
                      const cell::instant& aNow)
{
  if (IsRegistered(mState, aWorker)) {
    AnswerAnnouncement(aCall);
    return;
  }
  Propose(cell::register_worker{ aWorker.mWorker,
                                 aWorker.mBoot,
                                 aWorker.mDataCentre,
                                 aWorker.mRack,
                                 aWorker.mCapacity },
          aNow);
  mAnnounced.emplace_back(aCall, aWorker);
}

void
worker_desk::AnswerAnnouncement(call_id aCall)
{
  protocol::worker_answer answer;
  answer.mLeaseMs = static_cast<std::uint32_t>(kOptions.mLease.count());
  mOutput.mAnswer(aCall, answer);
}

void
worker_desk::Poll(call_id aCall,
                  const protocol::worker_poll& aPoll,
                  const cell::instant& aNow)
{
  const std::uint32_t wait = std::min(aPoll.mWaitMs, protocol::kMaxPollMs);
  AnswerPoll(aCall, aPoll, aNow.mNow + milliseconds(wait), wait > 0, aNow);
}

void
worker_desk::AnswerPoll(call_id aCall,
                        const protocol::worker_poll& aPoll,
                        time_point aUntil,
                        bool aMayHold,
                        const cell::instant& aNow)
{
  cell::worker_reply reply =
    mScheduler.Poll(mState, aPoll.mWorker, aPoll.mPoll, aNow);
  for (const cell::cell_command& proposal : reply.mProposals) {
    Propose(proposal, aNow);
  }
  const bool quiet = reply.mCommands.empty() && !reply.mAnnounceAgain;
  if (quiet && aMayHold && aNow.mNow < aUntil) {
    const auto former = mPolls.Hold(aPoll.mWorker, { aCall, aPoll, aUntil });
    if (former) {
      // The worker gave that poll up, or it wouldn't have sent another.
      mOutput.mAnswer(former->mCall, protocol::worker_answer{});
    }
    return;
  }
  mOutput.mAnswer(
    aCall,
    protocol::worker_answer{ static_cast<std::uint32_t>(reply.mLease.count()),
                             reply.mAnnounceAgain,
                             std::move(reply.mCommands) });
}

void
worker_desk::Applied(const cell::cell_command& aCommand,
                     const cell::apply_outcome& aOutcome,
                     const cell::instant& aNow)
{
  mScheduler.OnApplied(mState, aCommand, aOutcome, aNow);
  for (const cell::worker_slot slot : aOutcome.mWorkers) {
    const worker_id worker = mState.Workers()[slot].mId;
    if (auto held = mPolls.Take(worker)) {
      AnswerPoll(held->mCall, held->mQuestion, held->mUntil, true, aNow);
    }
  }
  const auto* registered = std::get_if<cell::register_worker>(&aCommand);
  if (registered == nullptr) {
    return;
  }
  std::erase_if(mAnnounced, [&](const auto& aWaiting) {
    const bool same = aWaiting.second.mWorker == registered->mWorker &&
                      aWaiting.second.mBoot == registered->mBoot;
    if (same && aOutcome.mRefusal) {
      // An earlier life that announces itself late, say: 404 on the wire.
      mOutput.mAnswer(aWaiting.first, protocol::worker_answer{ 0, true, {} });
    } else if (same) {
      AnswerAnnouncement(aWaiting.first);
    }
    return same;
  });
}

void
worker_desk::Plan(const cell::instant& aNow)
{
  for (const cell::cell_command& proposal :
       mScheduler.Plan(mState, mPolicy, aNow)) {
    Propose(proposal, aNow);
  }
}

void
worker_desk::Tick(const cell::instant& aNow)
{
  for (const auto& [worker, held] : mPolls.TakeDue(aNow.mNow)) {
    AnswerPoll(held.mCall, held.mQuestion, held.mUntil, false, aNow);
  }
  Plan(aNow);
}

} // namespace oriolewalk::control
