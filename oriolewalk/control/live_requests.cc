#include "oriolewalk/control/live_requests.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::control {

namespace {

// A caller that is told that its key runs asks again so soon: about two
// service times of a quick check.
constexpr milliseconds kAskAgain{ 200 };

std::uint32_t
ToMilliseconds(duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

protocol::claim_answer
KnownAnswer(const ledger::request_record& aRecord)
{
  return protocol::claim_known{ aRecord.mState,
                                aRecord.mStatus,
                                aRecord.HasAnswer(),
                                aRecord.HasAnswer() ? *aRecord.mAnswer
                                                    : bytes{} };
}

protocol::claim_answer
GrantAnswer(const ledger::request_record& aRecord, duration aWaited)
{
  return protocol::claim_granted{ aRecord.mAttempt,
                                  aRecord.mPlacement->mTarget,
                                  aRecord.mPlacement->mAddress,
                                  ToMilliseconds(aWaited) };
}

} // namespace

live_requests::live_requests(const ledger::request_ledger& aLedger,
                             const target_registry& aTargets,
                             live_output aOutput,
                             std::uint64_t aSeed,
                             time_point aNow,
                             std::int64_t aWallMs)
  : mLedger(aLedger)
  , mTargets(aTargets)
  , mOutput(std::move(aOutput))
  , mDispatcher({}, aSeed)
{
  RestoreRunning(aNow, aWallMs);
}

// Without this a new leader would think all slots free, and send a target work
// on top of what it still does for the old leader's claims.
void
live_requests::RestoreRunning(time_point aNow, std::int64_t aWallMs)
{
  for (const auto& [ref, record] : mLedger.Running()) {
    const traffic::request_id id(++mLastId);
    const milliseconds left(record.mDeadlineWallMs - aWallMs);
    mRunning.emplace(record.mToken,
                     running_claim{ id,
                                    ref,
                                    record.mPlacement->mOwner,
                                    record.mPlacement->mTarget,
                                    aNow + left });
    ++mInProgress[record.mPlacement->mTarget];
    mDispatcher.Restore({ id,
                          record.mPlacement->mService,
                          record.mPlacement->mTarget,
                          ref.mOrganisation,
                          static_cast<traffic::work_class>(record.mClass) },
                        aNow);
  }
}

void
live_requests::SetPolicy(const traffic::share_policy& aPolicy, time_point aNow)
{
  mDispatcher.SetPolicy(aPolicy, aNow);
}

void
live_requests::TargetUp(const protocol::target_announcement& aTarget,
                        time_point aNow)
{
  mDispatcher.OnTargetUp({ aTarget.mTarget,
                           aTarget.mService,
                           aTarget.mDataCentre,
                           aTarget.mSlots,
                           aTarget.mConnections },
                         aNow);
}

void
live_requests::TargetLeaving(const target_id& aTarget, time_point aNow)
{
  mDispatcher.OnTargetLeaving(aTarget, aNow);
}

void
live_requests::TargetGone(const target_id& aTarget, time_point aNow)
{
  mDispatcher.OnTargetGone(aTarget, aNow);
}

void
live_requests::Claim(call_id aCall,
                     const protocol::claim_request& aRequest,
                     time_point aNow)
{
  if (AnswerFromLedger(aCall, aRequest) || JoinWaiting(aCall, aRequest)) {
    return;
  }
  const traffic::request_id id(++mLastId);
  const time_point deadline = aNow + milliseconds(aRequest.mDeadlineMs);
  mWaiting.emplace(aRequest.mToken,
                   waiting_claim{ aCall, aRequest, id, aNow, deadline });
  mWaitingByRef.emplace(aRequest.mRef, aRequest.mToken);
  mTokens.emplace(id, aRequest.mToken);
  mDispatcher.OnArrival({ id,
                          aRequest.mService,
                          aRequest.mRef.mOrganisation,
                          aRequest.mCallerKey,
                          aRequest.mClass,
                          aRequest.mRepeatable,
                          aRequest.mOrigin,
                          deadline },
                        aNow);
}

bool
live_requests::AnswerFromLedger(call_id aCall,
                                const protocol::claim_request& aRequest)
{
  const ledger::request_record* record = mLedger.Find(aRequest.mRef);
  if (record == nullptr) {
    return false;
  }
  if (record->mFingerprint != aRequest.mFingerprint) {
    mOutput.mAnswer(aCall, protocol::claim_answer(protocol::claim_mismatch{}));
    return true;
  }
  if (record->mState == ledger::request_state::Ready) {
    return false;
  }
  if (record->mState == ledger::request_state::Running &&
      record->mToken == aRequest.mToken) {
    mOutput.mAnswer(aCall, GrantAnswer(*record, {}));
    return true;
  }
  ++mCounters.mKnown;
  mOutput.mAnswer(aCall, KnownAnswer(*record));
  return true;
}

// Copies of a key that wait: the same claim asked again takes over from the
// call whose answer was lost; another copy is told that the key is in progress.
bool
live_requests::JoinWaiting(call_id aCall,
                           const protocol::claim_request& aRequest)
{
  const auto found = mWaitingByRef.find(aRequest.mRef);
  if (found == mWaitingByRef.end()) {
    return false;
  }
  waiting_claim& waiting = mWaiting.at(found->second);
  if (waiting.mRequest.mFingerprint != aRequest.mFingerprint) {
    mOutput.mAnswer(aCall, protocol::claim_answer(protocol::claim_mismatch{}));
    return true;
  }
  if (waiting.mRequest.mToken == aRequest.mToken) {
    const call_id former = std::exchange(waiting.mCall, aCall);
    mOutput.mAnswer(former,
                    protocol::claim_answer(protocol::claim_busy{
                      "asked again by a later call", 0 }));
    return true;
  }
  ++mCounters.mKnown;
  mOutput.mAnswer(aCall,
                  protocol::claim_answer(protocol::claim_known{
                    ledger::request_state::Running, 0, false, {} }));
  return true;
}

void
live_requests::Finish(call_id aCall, const protocol::finish_request& aRequest)
{
  const token_t token = aRequest.mFinish.mToken;
  if (!mOutput.mPropose(aRequest.mFinish)) {
    mOutput.mAnswer(
      aCall,
      protocol::claim_answer(protocol::claim_busy{
        "too much waits to be stored", ToMilliseconds(kAskAgain) }));
    return;
  }
  mFinishing.emplace(
    token,
    open_finish{ aCall, aRequest.mQuality, microseconds(aRequest.mLatencyUs) });
}

void
live_requests::Cancel(const protocol::cancel_request& aRequest, time_point aNow)
{
  const auto found = mWaiting.find(aRequest.mToken);
  if (found == mWaiting.end() || found->second.mStage != stage::Queued) {
    return;
  }
  if (mDispatcher.Cancel(found->second.mId, aNow)) {
    AnswerBusy(found->second, "the caller hung up", {});
    Drop(aRequest.mToken);
  }
}

void
live_requests::Tick(time_point aNow, std::int64_t aWallMs)
{
  mDispatcher.Tick(aNow);
  Decide(aNow, aWallMs);
}

void
live_requests::Sweep(time_point aNow)
{
  std::vector<token_t> free;
  for (auto& [token, running] : mRunning) {
    // The target may keep working for a lost owner until the deadline that it
    // was given, so its slot is not reused before.
    if (running.mOwnerLost && aNow >= running.mDeadline) {
      free.push_back(token);
    } else if (!running.mReported &&
               aNow >= running.mDeadline + kOverdueGrace) {
      ledger::finish overdue;
      overdue.mRef = running.mRef;
      overdue.mToken = token;
      running.mReported = mOutput.mPropose(overdue);
      mCounters.mOverdue += running.mReported ? 1 : 0;
    }
  }
  for (const token_t token : free) {
    FreeSlot(token, { traffic::finish_result::Unknown, {} }, aNow);
  }
}

void
live_requests::Decide(time_point aNow, std::int64_t aWallMs)
{
  for (const traffic::decision& decided : mDispatcher.TakeDecisions()) {
    std::visit(
      overloaded{ [&](const traffic::dispatch& aDispatch) {
                   Place(aDispatch, aNow, aWallMs);
                 },
                  [&](const traffic::refuse& aRefuse) { Refuse(aRefuse); } },
      decided);
  }
}

void
live_requests::Place(const traffic::dispatch& aDispatch,
                     time_point aNow,
                     std::int64_t aWallMs)
{
  const token_t token = mTokens.at(aDispatch.mId);
  waiting_claim& waiting = mWaiting.at(token);
  const known_target* target = mTargets.Find(aDispatch.mTarget);
  const protocol::claim_request& request = waiting.mRequest;
  ledger::claim claim;
  claim.mRef = request.mRef;
  claim.mFingerprint = request.mFingerprint;
  claim.mToken = token;
  claim.mClass = static_cast<std::uint8_t>(request.mClass);
  claim.mRepeatable = request.mRepeatable;
  claim.mDeadlineWallMs = aWallMs + ToMilliseconds(waiting.mDeadline - aNow);
  if (target != nullptr) {
    claim.mPlacement = { request.mOwner,
                         request.mService,
                         aDispatch.mTarget,
                         target->mAnnounced.mAddress };
  }
  if (target != nullptr && mOutput.mPropose(claim)) {
    waiting.mStage = stage::Claiming;
    waiting.mPlacedAt = aNow;
    return;
  }
  mDispatcher.OnFinished(
    waiting.mId, { traffic::finish_result::NeverStarted, {} }, aNow);
  AnswerBusy(waiting, "control is overloaded", kAskAgain);
  Drop(token);
}

// Refusals for load assert nothing and cost no commit. A request that outlived
// its deadline in the queue gets a tombstone, since its caller has to know
// whether a payment may still come of it.
void
live_requests::Refuse(const traffic::refuse& aRefuse)
{
  const token_t token = mTokens.at(aRefuse.mId);
  waiting_claim& waiting = mWaiting.at(token);
  if (aRefuse.mReason == traffic::refusal::Expired) {
    const ledger::refusal tombstone{ waiting.mRequest.mRef,
                                     waiting.mRequest.mFingerprint };
    if (mOutput.mPropose(tombstone)) {
      waiting.mStage = stage::Refusing;
      waiting.mReason = ToString(aRefuse.mReason);
      return;
    }
  }
  AnswerBusy(waiting, ToString(aRefuse.mReason), aRefuse.mRetryAfter);
  Drop(token);
}

void
live_requests::AnswerBusy(const waiting_claim& aWaiting,
                          std::string_view aReason,
                          duration aRetryAfter)
{
  ++mCounters.mBusy;
  mOutput.mAnswer(aWaiting.mCall,
                  protocol::claim_answer(protocol::claim_busy{
                    std::string(aReason), ToMilliseconds(aRetryAfter) }));
}

void
live_requests::Drop(token_t aToken)
{
  const auto found = mWaiting.find(aToken);
  mWaitingByRef.erase(found->second.mRequest.mRef);
  mTokens.erase(found->second.mId);
  mWaiting.erase(found);
}

void
live_requests::Applied(const ledger::ledger_command& aCommand,
                       const ledger::ledger_outcome& aOutcome,
                       time_point aNow)
{
  std::visit([&](const auto& aOne) { AppliedOne(aOne, aOutcome, aNow); },
             aCommand);
}

void
live_requests::AppliedOne(const ledger::claim& aClaim,
                          const ledger::ledger_outcome& aOutcome,
                          time_point aNow)
{
  const auto found = mWaiting.find(aClaim.mToken);
  if (found == mWaiting.end()) {
    return;
  }
  const waiting_claim& waiting = found->second;
  if (aOutcome.mVerdict == ledger::verdict::Granted && aOutcome.mRecord) {
    mRunning.emplace(aClaim.mToken,
                     running_claim{ waiting.mId,
                                    aClaim.mRef,
                                    aClaim.mPlacement.mOwner,
                                    aClaim.mPlacement.mTarget,
                                    waiting.mDeadline });
    ++mInProgress[aClaim.mPlacement.mTarget];
    ++mCounters.mGranted;
    mOutput.mAnswer(
      waiting.mCall,
      GrantAnswer(*aOutcome.mRecord, waiting.mPlacedAt - waiting.mArrivedAt));
    Drop(aClaim.mToken);
    return;
  }
  mDispatcher.OnFinished(
    waiting.mId, { traffic::finish_result::NeverStarted, {} }, aNow);
  if (aOutcome.mVerdict == ledger::verdict::Full) {
    AnswerBusy(waiting, "the request ledger is full", seconds(1));
  } else if (aOutcome.mVerdict == ledger::verdict::Mismatch) {
    mOutput.mAnswer(waiting.mCall,
                    protocol::claim_answer(protocol::claim_mismatch{}));
  } else if (aOutcome.mRecord) {
    mOutput.mAnswer(waiting.mCall, KnownAnswer(*aOutcome.mRecord));
  }
  Drop(aClaim.mToken);
}

void
live_requests::AppliedOne(const ledger::finish& aFinish,
                          const ledger::ledger_outcome& aOutcome,
                          time_point aNow)
{
  const auto [first, last] = mFinishing.equal_range(aFinish.mToken);
  traffic::finish told{ traffic::finish_result::Unknown, {} };
  if (first != last) {
    told = { first->second.mQuality, first->second.mLatency };
  }
  for (auto open = first; open != last; ++open) {
    mOutput.mAnswer(open->second.mCall, protocol::done{});
  }
  mFinishing.erase(first, last);
  const bool ended = !aOutcome.mRecord ||
                     aOutcome.mRecord->mToken != aFinish.mToken ||
                     aOutcome.mRecord->mState != ledger::request_state::Running;
  if (ended) {
    FreeSlot(aFinish.mToken, told, aNow);
  }
  // The owner returns a claim that is still waiting here.
  if (aFinish.mResult == ledger::attempt_result::NotStarted) {
    Cancel({ aFinish.mRef, aFinish.mToken }, aNow);
  }
}

void
live_requests::AppliedOne(const ledger::refusal& aRefusal,
                          const ledger::ledger_outcome& aOutcome,
                          time_point /*aNow*/)
{
  const auto found = mWaitingByRef.find(aRefusal.mRef);
  if (found == mWaitingByRef.end()) {
    return;
  }
  const token_t token = found->second;
  const waiting_claim& waiting = mWaiting.at(token);
  if (waiting.mStage != stage::Refusing) {
    return;
  }
  if (aOutcome.mVerdict == ledger::verdict::Recorded) {
    ++mCounters.mNotRun;
    mOutput.mAnswer(
      waiting.mCall,
      protocol::claim_answer(protocol::claim_not_run{ waiting.mReason }));
  } else if (aOutcome.mRecord) {
    mOutput.mAnswer(waiting.mCall, KnownAnswer(*aOutcome.mRecord));
  } else {
    AnswerBusy(waiting, "the request ledger is full", seconds(1));
  }
  Drop(token);
}

void
live_requests::AppliedOne(const ledger::owner_lost& aLost,
                          const ledger::ledger_outcome& /*aOutcome*/,
                          time_point /*aNow*/)
{
  ++mCounters.mOwnersLost;
  for (running_claim& running : mRunning | std::views::values) {
    running.mOwnerLost |= running.mOwner == aLost.mOwner;
  }
}

void
live_requests::FreeSlot(token_t aToken,
                        const traffic::finish& aFinish,
                        time_point aNow)
{
  const auto found = mRunning.find(aToken);
  if (found == mRunning.end()) {
    return;
  }
  mDispatcher.OnFinished(found->second.mId, aFinish, aNow);
  const auto place = mInProgress.find(found->second.mTarget);
  if (--place->second == 0) {
    mInProgress.erase(place);
  }
  mRunning.erase(found);
}

std::uint32_t
live_requests::InProgressAt(const target_id& aTarget) const
{
  const auto found = mInProgress.find(aTarget);
  return found == mInProgress.end() ? 0 : found->second;
}

} // namespace oriolewalk::control
