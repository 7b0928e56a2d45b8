#pragma once

// The leader's work on callers' requests: joins the ledger (what became of a
// key), the dispatcher (who is served, where) and the log.
//
//   claim_request -> known from the ledger: answered at once
//                 -> waits in the dispatcher -> refused: busy, answered at once
//                                            -> expired: tombstone committed,
//                                               then not-run
//                                            -> placed: claim committed, then
//                                               granted
//   finish_request -> committed, then the slot is free and the entry may answer
//
// Nothing is dispatched before its claim is committed by a majority: a leader
// that is cut off can place, but its claims never commit, so that nobody acts
// on them.
//
// Owned by the control core while it leads; a new leader starts a new one from
// the ledger. No I/O: answers and proposals go to the functions in live_output.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/control/call.h"
#include "oriolewalk/control/target_registry.h"
#include "oriolewalk/ledger/request_ledger.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/traffic/dispatcher.h"

namespace oriolewalk::control {

// An attempt without a reported end is recorded as unknown this long after its
// deadline. It is longer than the grace of an owner, because a live entry
// reports the end of each attempt at its deadline and repeats the report until
// it is acknowledged.
constexpr seconds kOverdueGrace{ 15 };

struct live_output
{
  std::function<void(call_id, protocol::answer_body)> mAnswer;
  // False: nothing was proposed (not the leader any more, or too much waits).
  std::function<bool(ledger::ledger_command)> mPropose;
};

struct live_counters
{
  std::uint64_t mGranted = 0;
  std::uint64_t mKnown = 0;
  std::uint64_t mBusy = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mOwnersLost = 0;
  std::uint64_t mOverdue = 0;
};

class live_requests
{
public:
  // Attempts that the ledger says are running hold their slots from now on.
  live_requests(const ledger::request_ledger& aLedger,
                const target_registry& aTargets,
                live_output aOutput,
                std::uint64_t aSeed,
                time_point aNow,
                std::int64_t aWallMs);

  void SetPolicy(const traffic::share_policy& aPolicy, time_point aNow);
  void TargetUp(const protocol::target_announcement& aTarget, time_point aNow);
  void TargetLeaving(const target_id& aTarget, time_point aNow);
  void TargetGone(const target_id& aTarget, time_point aNow);

  void Claim(call_id aCall,
             const protocol::claim_request& aRequest,
             time_point aNow);
  void Finish(call_id aCall, const protocol::finish_request& aRequest);
  void Cancel(const protocol::cancel_request& aRequest, time_point aNow);
  // A ledger command that this leader proposed, or found in the log.
  void Applied(const ledger::ledger_command& aCommand,
               const ledger::ledger_outcome& aOutcome,
               time_point aNow);
  void Tick(time_point aNow, std::int64_t aWallMs);
  // Called about every 100 ms. Frees the slots of lost owners and ends attempts
  // without a reported end. Linear in the running attempts.
  void Sweep(time_point aNow);
  // Carries out what the dispatcher decided. The core calls it once after a
  // batch of events.
  void Decide(time_point aNow, std::int64_t aWallMs);

  [[nodiscard]] std::uint32_t InProgressAt(const target_id& aTarget) const;
  [[nodiscard]] traffic::dispatcher_stats Stats() const
  {
    return mDispatcher.Stats();
  }
  [[nodiscard]] const live_counters& Counters() const { return mCounters; }
  [[nodiscard]] std::optional<time_point> NextWake() const
  {
    return mDispatcher.NextWake();
  }
  [[nodiscard]] std::size_t Waiting() const { return mWaiting.size(); }
  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }

private:
  using token_t = std::uint64_t;

  enum class stage : std::uint8_t
  {
    Queued,   // in the dispatcher
    Claiming, // its claim is proposed
    Refusing, // its tombstone is proposed
  };

  // A request that waits for its answer. One for each key.
  struct waiting_claim
  {
    call_id mCall;
    protocol::claim_request mRequest;
    traffic::request_id mId;
    time_point mArrivedAt;
    time_point mDeadline;
    time_point mPlacedAt{};
    stage mStage = stage::Queued;
    std::string mReason{}; // of a refusal
  };

  struct running_claim
  {
    traffic::request_id mId;
    ledger::request_ref mRef;
    ledger::owning_entry mOwner;
    target_id mTarget;
    time_point mDeadline;
    bool mOwnerLost = false;
    bool mReported = false; // its overdue report is proposed
  };

  struct open_finish
  {
    call_id mCall;
    traffic::finish_result mQuality = traffic::finish_result::Unknown;
    microseconds mLatency{};
  };

  void RestoreRunning(time_point aNow, std::int64_t aWallMs);
  bool AnswerFromLedger(call_id aCall, const protocol::claim_request& aRequest);
  bool JoinWaiting(call_id aCall, const protocol::claim_request& aRequest);
  void Place(const traffic::dispatch& aDispatch,
             time_point aNow,
             std::int64_t aWallMs);
  void Refuse(const traffic::refuse& aRefuse);
  void AnswerBusy(const waiting_claim& aWaiting,
                  std::string_view aReason,
                  duration aRetryAfter);
  void Drop(token_t aToken);

  void AppliedOne(const ledger::claim& aClaim,
                  const ledger::ledger_outcome& aOutcome,
                  time_point aNow);
  void AppliedOne(const ledger::finish& aFinish,
                  const ledger::ledger_outcome& aOutcome,
                  time_point aNow);
  void AppliedOne(const ledger::refusal& aRefusal,
                  const ledger::ledger_outcome& aOutcome,
                  time_point aNow);
  void AppliedOne(const ledger::owner_lost& aLost,
                  const ledger::ledger_outcome& aOutcome,
                  time_point aNow);
  void FreeSlot(token_t aToken,
                const traffic::finish& aFinish,
                time_point aNow);

  const ledger::request_ledger& mLedger;
  const target_registry& mTargets;
  live_output mOutput;
  traffic::dispatcher mDispatcher;
  std::uint64_t mLastId = 0;
  std::map<token_t, waiting_claim> mWaiting;
  std::map<ledger::request_ref, token_t> mWaitingByRef;
  std::map<traffic::request_id, token_t> mTokens;
  std::map<token_t, running_claim> mRunning;
  std::multimap<token_t, open_finish> mFinishing;
  std::map<target_id, std::uint32_t> mInProgress;
  live_counters mCounters;
};

} // namespace oriolewalk::control
