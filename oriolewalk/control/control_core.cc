#include "oriolewalk/control/control_core.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/control/command_events.h"
#include "oriolewalk/protocol/policy_map.h"

namespace oriolewalk::control {

namespace {

// How often silence is looked for and the cell is planned anew.
constexpr milliseconds kSweepEvery{ 100 };

} // namespace

control_core::leading_state::leading_state(control_core& aCore,
                                           time_point aNow,
                                           std::int64_t aWallMs)
  : mLive(aCore.mState.Ledger(),
          aCore.mTargets,
          { [&aCore](call_id aCall, protocol::answer_body aAnswer) {
             aCore.Answer(aCall, std::move(aAnswer));
           },
            [&aCore](ledger::ledger_command aCommand) {
              return aCore.Propose(std::move(aCommand), {});
            } },
          aCore.mSeed + aCore.mRaft->Term(),
          aNow,
          aWallMs)
  , mWorkers(aCore.mState.Cell(),
             { [&aCore](call_id aCall, protocol::answer_body aAnswer) {
                aCore.Answer(aCall, std::move(aAnswer));
              },
               [&aCore](cell::cell_command aCommand) {
                 return aCore.Propose(std::move(aCommand), {});
               } },
             aCore.mSeed + aCore.mRaft->Term(),
             { aNow, aWallMs })
  , mWeights(
      aCore.mState.Weights(),
      [&aCore](call_id aCall, protocol::answer_body aAnswer) {
        aCore.Answer(aCall, std::move(aAnswer));
      },
      aNow)
{
}

control_core::control_core(control_config aConfig, std::uint64_t aSeed)
  : mConfig(std::move(aConfig))
  , mSeed(aSeed)
  , mOperators(*this)
{
}

result<std::unique_ptr<control_core>>
control_core::Make(const control_config& aConfig,
                   consensus::restored_state aRestored,
                   std::uint64_t aSeed,
                   time_point aNow)
{
  if (const auto sound = consensus::CheckRestored(aRestored); !sound) {
    return Fail(sound.error());
  }
  std::unique_ptr<control_core> core(new control_core(aConfig, aSeed));
  if (aRestored.mSnapshot) {
    const auto read = core->mState.Restore(aRestored.mSnapshot->mState);
    if (!read) {
      return Fail(read.error());
    }
    core->mApplied = aRestored.mSnapshot->mIndex;
    core->mSnapshotAt = core->mApplied;
  }
  core->mRaft = std::make_unique<consensus::raft_node>(aConfig.mSelf,
                                                       aConfig.mRaft,
                                                       std::move(aRestored),
                                                       aConfig.mFounders,
                                                       aSeed,
                                                       aNow);
  return core;
}

// Kept for the proposals that the desks make in the course of a call.
void
control_core::SetTime(time_point aNow, std::int64_t aWallMs)
{
  mNow = aNow;
  mWallMs = aWallMs;
}

void
control_core::Receive(const consensus::message& aMessage, time_point aNow)
{
  mRaft->Receive(aMessage, aNow);
}

void
control_core::Persisted(consensus::ticket_t aTicket, time_point aNow)
{
  mRaft->Persisted(aTicket, aNow);
}

void
control_core::Ask(call_id aCall,
                  const protocol::request_body& aRequest,
                  time_point aNow,
                  std::int64_t aWallMs)
{
  SetTime(aNow, aWallMs);
  ++mCounters.mCalls;
  mOpen.insert(aCall);
  // A leader that can't be sure that it still leads answers nothing: another
  // may have accepted changes that it has not heard of.
  UpdateLeading(aNow, aWallMs);
  if (!IsLeading() || !mRaft->MayServe(aNow)) {
    RefuseNotLeader(aCall);
    return;
  }
  Route(aCall, aRequest, aNow, aWallMs);
}

void
control_core::Route(call_id aCall,
                    const protocol::request_body& aRequest,
                    time_point aNow,
                    std::int64_t aWallMs)
{
  const cell::instant instant{ aNow, aWallMs };
  std::visit(overloaded{
               [&](const protocol::heartbeat& aBeat) {
                 mEntries.Heard(aBeat, aNow);
                 Weights().Heartbeat(aCall, aBeat, aNow);
               },
               [&](const protocol::claim_request& aClaim) {
                 Live().Claim(aCall, aClaim, aNow);
               },
               [&](const protocol::finish_request& aFinish) {
                 Live().Finish(aCall, aFinish);
               },
               [&](const protocol::cancel_request& aCancel) {
                 Live().Cancel(aCancel, aNow);
                 Answer(aCall, protocol::done{});
               },
               [&](const protocol::target_announcement& aTarget) {
                 AnnounceTarget(aCall, aTarget, aNow);
               },
               [&](const protocol::target_leaving& aLeaving) {
                 LeaveTarget(aCall, aLeaving.mTarget, aNow);
               },
               [&](const protocol::worker_announcement& aWorker) {
                 Workers().Announce(aCall, aWorker, instant);
               },
               [&](const protocol::worker_poll& aPoll) {
                 Workers().Poll(aCall, aPoll, instant);
               },
               [&](const protocol::operator_request& aOperator) {
                 mOperators.Handle(aCall, aOperator, aNow, aWallMs);
               },
             },
             aRequest);
}

void
control_core::AnnounceTarget(call_id aCall,
                             const protocol::target_announcement& aTarget,
                             time_point aNow)
{
  if (mTargets.Announce(aTarget, aNow)) {
    Live().TargetUp(aTarget, aNow);
  }
  Answer(aCall,
         protocol::target_answer{ protocol::kTargetRenewMs,
                                  protocol::kTargetLeaseMs,
                                  Live().InProgressAt(aTarget.mTarget) });
}

void
control_core::LeaveTarget(call_id aCall,
                          const target_id& aTarget,
                          time_point aNow)
{
  mTargets.Leave(aTarget, aNow);
  Live().TargetLeaving(aTarget, aNow);
  Answer(aCall,
         protocol::target_answer{
           protocol::kTargetRenewMs, 0, Live().InProgressAt(aTarget) });
}

void
control_core::RefuseNotLeader(call_id aCall)
{
  ++mCounters.mNotLeader;
  std::string leader;
  if (const auto id = mRaft->Leader(); id && *id != mRaft->Self()) {
    if (const auto* member = mRaft->Members().Find(*id)) {
      leader = member->mAddress;
    }
  }
  // The message is the leader's address, for the entry to go on to.
  AnswerError(aCall, { error_code::NotLeader, "ask", {}, leader });
}

bool
control_core::Propose(command_body aBody, on_applied aThen)
{
  const auto place =
    mRaft->Propose(Encode(command{ mWallMs, std::move(aBody) }), mNow);
  if (!place) {
    return false;
  }
  ++mCounters.mProposed;
  if (aThen) {
    mProposed.insert_or_assign(place->mIndex,
                               proposed{ place->mTerm, std::move(aThen) });
  }
  return true;
}

void
control_core::Answer(call_id aCall, protocol::answer_body aAnswer)
{
  if (mOpen.erase(aCall) != 0) {
    mReplies.push_back({ aCall, std::move(aAnswer) });
  }
}

void
control_core::AnswerError(call_id aCall, const error& aError)
{
  if (mOpen.erase(aCall) != 0) {
    mReplies.push_back({ aCall, Fail(aError) });
  }
}

void
control_core::Tick(time_point aNow, std::int64_t aWallMs)
{
  SetTime(aNow, aWallMs);
  mRaft->Tick(aNow);
  UpdateLeading(aNow, aWallMs);
  if (!IsLeading()) {
    return;
  }
  Live().Tick(aNow, aWallMs);
  Weights().Tick(aNow);
  if (aNow >= mSweepAt) {
    mSweepAt = aNow + kSweepEvery;
    Sweep(aNow, aWallMs);
  }
}

void
control_core::Sweep(time_point aNow, std::int64_t aWallMs)
{
  for (const target_id& target : mTargets.TakeLapsed(aNow)) {
    Live().TargetGone(target, aNow);
    mEvents.push_back({ .mKind = "target-gone", .mTarget = target.Value() });
  }
  for (const ledger::owning_entry& owner :
       mEntries.Lost(mState.Ledger().Owners(), aNow)) {
    Propose(ledger::ledger_command(ledger::owner_lost{ owner }), {});
  }
  Live().Sweep(aNow);
  Workers().Tick({ aNow, aWallMs });
}

// Leading begins when this node leads and has applied an entry of its own
// term: the state then holds all that was ever acknowledged. From then on the
// commit index may run ahead of what is applied here without harm, since
// nothing is acknowledged before it is applied.
void
control_core::UpdateLeading(time_point aNow, std::int64_t aWallMs)
{
  const bool sameTerm = mRaft->IsLeader() && mLeadingTerm == mRaft->Term();
  if (mLeading && !sameTerm) {
    StepDown();
  }
  const auto barrier = mRaft->ReadBarrier();
  const bool leads = mRaft->IsLeader() && barrier && mApplied >= *barrier;
  if (!mLeading && leads) {
    mLeadingTerm = mRaft->Term();
    mTargets.Clear();
    mEntries.Reset(mState.Ledger().Owners(), aNow);
    mLeading = std::make_unique<leading_state>(*this, aNow, aWallMs);
    UsePolicy(aNow);
    mEvents.push_back(
      { .mKind = "leads", .mDetail = "term " + std::to_string(mLeadingTerm) });
  }
}

// All that waits is told to ask the next leader; every question is safe to ask
// again. What was proposed may still be committed, and is then found there.
void
control_core::StepDown()
{
  mLeading.reset();
  mProposed.clear();
  const std::set<call_id> open = mOpen;
  for (const call_id call : open) {
    RefuseNotLeader(call);
  }
  mEvents.push_back({ .mKind = "stepped-down",
                      .mDetail = "term " + std::to_string(mLeadingTerm) });
}

void
control_core::UsePolicy(time_point aNow)
{
  const weights::weights_table& table = mState.Weights().Current();
  Live().SetPolicy(protocol::SharePolicy(table), aNow);
  Workers().SetPolicy(protocol::CellPolicy(table, mState.Weights().Version()));
}

void
control_core::HandOver(time_point aNow)
{
  // Without another voter in reach there is nobody to hand over to; the others
  // elect one when this process is gone.
  [[maybe_unused]] const auto asked = mRaft->TransferLeadership(aNow);
}

control_effects
control_core::TakeEffects(time_point aNow, std::int64_t aWallMs)
{
  SetTime(aNow, aWallMs);
  control_effects out;
  Collect(out, aNow, aWallMs);
  out.mReplies = std::exchange(mReplies, {});
  out.mEvents = std::exchange(mEvents, {});
  out.mWrites.mSnapshot = std::exchange(mToStore, nullptr);
  out.mBroken = mBroken;
  return out;
}

// Decisions make proposals, proposals make effects: decisions first, so that
// all claims of a batch of questions go out in one append and one sync.
void
control_core::Collect(control_effects& aOut,
                      time_point aNow,
                      std::int64_t aWallMs)
{
  UpdateLeading(aNow, aWallMs);
  if (IsLeading()) {
    Live().Decide(aNow, aWallMs);
    if (std::exchange(mPlanDue, false)) {
      Workers().Plan({ aNow, aWallMs });
    }
  }
  consensus::effects raft = mRaft->TakeEffects();
  aOut.mMessages = std::move(raft.mMessages);
  aOut.mLeadership = raft.mLeadership;
  aOut.mWrites.mTicket = raft.mTicket;
  aOut.mWrites.mHardState = raft.mHardState;
  aOut.mWrites.mTruncateFrom = raft.mTruncateFrom;
  aOut.mWrites.mAppend = std::move(raft.mAppend);
  if (raft.mSnapshot) {
    if (const auto read = mState.Restore(raft.mSnapshot->mState); !read) {
      mBroken = read.error();
      return;
    }
    mApplied = raft.mSnapshot->mIndex;
    mSnapshotAt = mApplied;
  }
  aOut.mWrites.mInstalled = std::move(raft.mSnapshot);
  for (const consensus::log_entry& entry : raft.mCommitted) {
    ApplyEntry(entry, aNow, aWallMs);
  }
  if (!mSnapshotUnderWay && mApplied - mSnapshotAt >= mConfig.mSnapshotEvery) {
    StartSnapshot();
  }
}

void
control_core::ApplyEntry(const consensus::log_entry& aEntry,
                         time_point aNow,
                         std::int64_t aWallMs)
{
  mApplied = aEntry.mIndex;
  if (aEntry.mKind != consensus::entry_kind::Command) {
    return;
  }
  const auto decoded = Decode<command>(aEntry.mPayload, "applying the log");
  if (!decoded) {
    // A committed entry that can't be read: going on without it would make
    // this replica differ from the others in silence.
    mBroken = decoded.error();
    return;
  }
  ++mCounters.mApplied;
  const applied outcome = mState.Apply(*decoded);
  on_applied then;
  if (auto found = mProposed.extract(aEntry.mIndex);
      !found.empty() && found.mapped().mTerm == aEntry.mTerm) {
    then = std::move(found.mapped().mThen);
  }
  if (IsLeading()) {
    std::ranges::move(EventsOf(*decoded, outcome), std::back_inserter(mEvents));
    Notify(*decoded, outcome, aNow, aWallMs);
    if (then) {
      then(outcome, aNow);
    }
  }
}

void
control_core::Notify(const command& aCommand,
                     const applied& aOutcome,
                     time_point aNow,
                     std::int64_t aWallMs)
{
  std::visit(
    overloaded{
      [&](const ledger::ledger_command& aOne) {
        Live().Applied(aOne, std::get<ledger::ledger_outcome>(aOutcome), aNow);
      },
      [&](const weights::edit&) {
        UsePolicy(aNow);
        Weights().Changed(aNow);
      },
      [&](const cell::cell_command& aOne) {
        Workers().Applied(
          aOne, std::get<cell::apply_outcome>(aOutcome), { aNow, aWallMs });
        mPlanDue = true;
      },
    },
    aCommand.mBody);
}

void
control_core::StartSnapshot()
{
  auto made = mRaft->MakeSnapshot(mApplied, mState.Save());
  if (!made) {
    mBroken = made.error();
    return;
  }
  mSnapshotUnderWay = true;
  mToStore = std::make_shared<const consensus::snapshot>(std::move(*made));
}

void
control_core::SnapshotStored(const consensus::snapshot& aSnapshot)
{
  ++mCounters.mSnapshots;
  mSnapshotUnderWay = false;
  mSnapshotAt = aSnapshot.mIndex;
  mRaft->Compact(aSnapshot);
}

} // namespace oriolewalk::control
