#include "oriolewalk/consensus/raft_node.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace oriolewalk::consensus {

raft_node::raft_node(node_id aSelf,
                     const raft_options& aOptions,
                     restored_state aRestored,
                     membership aFounders,
                     std::uint64_t aSeed,
                     time_point aNow)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mNow(aNow)
  , mHardState(aRestored.mHardState)
  , mLog(std::move(aFounders))
  , mWrites(0)
  // A restart forgets that a leader was heard just before, whose lease relies
  // on this node's silence: so start as if one was heard now.
  , mHeardLeaderAt(aNow)
{
  if (aRestored.mSnapshot) {
    mSnapshot =
      std::make_shared<const snapshot>(std::move(*aRestored.mSnapshot));
    mLog.Reset({ mSnapshot->mIndex, mSnapshot->mTerm }, mSnapshot->mMembers);
    mCommit = mSnapshot->mIndex;
    mGivenOut = mCommit;
  }
  for (log_entry& entry : aRestored.mEntries) {
    if (entry.mIndex > mCommit) {
      mLog.Restore(std::move(entry));
    }
  }
  mWrites = write_tracker(mLog.Last().mIndex);
  mHardState.mTerm = std::max(mHardState.mTerm, mLog.Last().mTerm);
  if (!aRestored.mMayVote) {
    constexpr std::uint64_t kRange = std::uint64_t{ 1 } << 63U;
    mHardState.mIncarnation = 1 + mRandom.Below(kRange);
    mHardStateDirty = true;
  }
  if (IsMutated(mutation::ForgetStartSilence)) {
    mHeardLeaderAt = aNow - mOptions.mElectionMax;
  }
  ResetElectionDeadline();
  mReported.mTerm = mHardState.mTerm;
}

bool
raft_node::IsMutated(mutation aMutation) const
{
  return mOptions.mMutation == aMutation;
}

// Every entrance passes here first. A leader that was stopped for a minute has
// not noticed: it must find out before it acts, or it renews leases that its
// successor has given away. The age of the last confirmed round tells it.
void
raft_node::Observe(time_point aNow)
{
  mNow = std::max(mNow, aNow);
  if (!IsLeader()) {
    return;
  }
  const time_point confirmed = std::max(QuorumConfirmed(mNow), mLeaderSince);
  if (mNow - confirmed >= mOptions.mElectionMax &&
      !IsMutated(mutation::NoCheckQuorum)) {
    BecomeFollower(mHardState.mTerm, std::nullopt);
    return;
  }
  CheckTransfer();
}

void
raft_node::Receive(const message& aMessage, time_point aNow)
{
  Observe(aNow);
  if (aMessage.mTo == mSelf && AcceptTerm(aMessage)) {
    Dispatch(aMessage);
  }
}

void
raft_node::Dispatch(const message& aMessage)
{
  std::visit([&](const auto& aBody) { On(aMessage, aBody); }, aMessage.mBody);
  if (IsLeader()) {
    CheckTransfer();
  }
}

void
raft_node::Tick(time_point aNow)
{
  Observe(aNow);
  if (IsLeader()) {
    Repair();
    if (mNow >= mHeartbeatDue) {
      mHeartbeatDue = mNow + mOptions.mHeartbeat;
      SendHeartbeats();
    }
    return;
  }
  if (mNow >= mElectionDeadline) {
    mLeader.reset();
    ResetElectionDeadline();
    if (IsVoter()) {
      Campaign();
      AskAgainSoon();
    }
  }
}

void
raft_node::AskAgainSoon()
{
  constexpr int kMostInRow = 6;
  if (mRole == node_role::PreCandidate && mAskedInRow < kMostInRow) {
    ++mAskedInRow;
    const auto least = mOptions.mAskAgain;
    mElectionDeadline = mNow + least +
                        duration(static_cast<duration::rep>(mRandom.Below(
                          static_cast<std::uint64_t>(least.count()))));
  }
}

void
raft_node::Persisted(ticket_t aTicket, time_point aNow)
{
  Observe(aNow);
  for (message& held : mWrites.Persisted(aTicket)) {
    if (held.mTerm != mHardState.mTerm) {
      continue; // A promise of an earlier term is worth nothing now.
    }
    if (held.mTo == mSelf) {
      Dispatch(held);
    } else {
      mOutgoing.push_back(std::move(held));
    }
  }
  if (IsLeader()) {
    AdvanceCommit();
  }
}

effects
raft_node::TakeEffects()
{
  if (IsLeader()) {
    SendEntries();
  }
  effects out;
  if (IsDirty()) {
    out.mTicket = mWrites.Issue(mLog.Last().mIndex);
    if (std::exchange(mHardStateDirty, false)) {
      out.mHardState = mHardState;
      mHardStateTicket = out.mTicket;
    }
    out.mSnapshot = std::exchange(mInstall, std::nullopt);
    log_changes changes = mLog.TakeChanges();
    out.mTruncateFrom = changes.mTruncateFrom;
    out.mAppend = std::move(changes.mAppend);
  }
  out.mMessages = std::exchange(mOutgoing, {});
  const auto committed = mLog.Slice(mGivenOut + 1, mCommit);
  out.mCommitted.assign(committed.begin(), committed.end());
  mGivenOut = std::max(mGivenOut, mCommit);
  const leadership current{ mRole, mHardState.mTerm, mLeader };
  if (current != mReported) {
    mReported = current;
    out.mLeadership = current;
  }
  return out;
}

result<log_position>
raft_node::Propose(bytes aCommand, time_point aNow)
{
  std::vector<bytes> commands;
  commands.push_back(std::move(aCommand));
  return Propose(std::move(commands), aNow);
}

result<log_position>
raft_node::Propose(std::vector<bytes> aCommands, time_point aNow)
{
  constexpr auto kStep = "propose";
  Observe(aNow);
  if (!IsLeader()) {
    return Fail(NotLeaderError(kStep));
  }
  if (aCommands.empty()) {
    return Fail(error_code::InvalidArgument, kStep, "no command");
  }
  if (mTransferTo) {
    return Fail(
      error_code::Unavailable, kStep, "leadership is being handed over");
  }
  const std::size_t size = std::accumulate(
    aCommands.begin(),
    aCommands.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const bytes& aOne) { return aSum + aOne.size(); });
  if (mUncommittedBytes + size > mOptions.mMaxUncommittedBytes) {
    return Fail(error_code::Busy, kStep, "too much is not committed yet");
  }
  log_position last;
  for (bytes& command : aCommands) {
    last = AppendOwn(entry_kind::Command, std::move(command));
  }
  return last;
}

log_position
raft_node::AppendOwn(entry_kind aKind, bytes aPayload)
{
  const log_position place{ mLog.Last().mIndex + 1, mHardState.mTerm };
  mUncommittedBytes += aPayload.size();
  mLog.Append({ place.mIndex, place.mTerm, aKind, std::move(aPayload) });
  return place;
}

error
raft_node::NotLeaderError(std::string_view aStep) const
{
  error problem{
    error_code::NotLeader, std::string(aStep), {}, "no leader is known"
  };
  if (mLeader) {
    problem.mMessage = "node " + std::to_string(mLeader->Value()) + " leads";
    if (const member* leader = Members().Find(*mLeader)) {
      problem.mPeer = leader->mAddress;
    }
  }
  return problem;
}

void
raft_node::BecomeFollower(term_t aTerm, std::optional<node_id> aLeader)
{
  if (aTerm > mHardState.mTerm) {
    mHardState.mTerm = aTerm;
    mHardState.mVotedFor.reset();
    mHardStateDirty = true;
  }
  if (IsLeader()) {
    ResetElectionDeadline();
  }
  mRole = node_role::Follower;
  mLeader = aLeader;
  mVotes.clear();
  mProgress.clear();
  mTransferTo.reset();
  mAskedToLead = false;
}

void
raft_node::BecomeLeader()
{
  mRole = node_role::Leader;
  mLeader = mSelf;
  mLeaderSince = mNow;
  mHeartbeatDue = mNow + mOptions.mHeartbeat;
  mUncommittedBytes = 0;
  mProgress.clear();
  UpdateProgress();
  mTermStart = AppendOwn(entry_kind::Noop, {}).mIndex;
}

void
raft_node::HeardLeader(node_id aLeader)
{
  if (mRole != node_role::Follower) {
    BecomeFollower(mHardState.mTerm, aLeader);
  }
  mLeader = aLeader;
  mHeardLeaderAt = mNow;
  mAskedInRow = 0;
  ResetElectionDeadline();
}

void
raft_node::ResetElectionDeadline()
{
  const auto spread = static_cast<std::uint64_t>(
    (mOptions.mElectionMax - mOptions.mElectionMin).count());
  mElectionDeadline =
    mNow + mOptions.mElectionMin +
    duration(static_cast<duration::rep>(mRandom.Below(spread)));
}

bool
raft_node::IsDirty() const
{
  return mHardStateDirty || mInstall.has_value() || mLog.HasChanges();
}

ticket_t
raft_node::PendingTicket() const
{
  return mWrites.Issued() + (IsDirty() ? 1U : 0U);
}

void
raft_node::Send(node_id aTo, message_body aBody)
{
  mOutgoing.push_back({ mSelf,
                        aTo,
                        mHardState.mTerm,
                        mHardState.mIncarnation,
                        std::move(aBody) });
}

void
raft_node::SendDurable(node_id aTo, message_body aBody)
{
  const bool early =
    (IsMutated(mutation::AckBeforeDurable) &&
     std::holds_alternative<append_reply>(aBody)) ||
    (IsMutated(mutation::VoteBeforeDurable) &&
     std::holds_alternative<vote_reply>(aBody) && aTo != mSelf);
  if (early || (mWrites.IsDone(PendingTicket()) && aTo != mSelf)) {
    Send(aTo, std::move(aBody));
    return;
  }
  mWrites.Hold(PendingTicket(),
               { mSelf,
                 aTo,
                 mHardState.mTerm,
                 mHardState.mIncarnation,
                 std::move(aBody) });
}

void
raft_node::SendReply(node_id aTo, message_body aBody)
{
  if (!mHardStateDirty && mWrites.IsDone(mHardStateTicket)) {
    Send(aTo, std::move(aBody));
  } else {
    SendDurable(aTo, std::move(aBody));
  }
}

// Whether to go on with a message by its term; takes a newer term over.
bool
raft_node::AcceptTerm(const message& aMessage)
{
  const term_t term = mHardState.mTerm;
  const bool preVote =
    std::holds_alternative<pre_vote_request>(aMessage.mBody) ||
    (std::holds_alternative<pre_vote_reply>(aMessage.mBody) &&
     aMessage.mTerm <= term);
  if (preVote || aMessage.mTerm == term) {
    return true;
  }
  if (aMessage.mTerm < term) {
    RefuseOldTerm(aMessage);
    return false;
  }
  // While a leader is heard its lease relies on this node: an election asked
  // for by one that doesn't hear it is passed over, term and all.
  const auto* vote = std::get_if<vote_request>(&aMessage.mBody);
  if (vote != nullptr && !vote->mTransfer && !MissesLeader()) {
    return false;
  }
  BecomeFollower(aMessage.mTerm, std::nullopt);
  return true;
}

// The answer brings the newer term: an old leader steps down by it.
void
raft_node::RefuseOldTerm(const message& aMessage)
{
  if (std::holds_alternative<append_request>(aMessage.mBody) ||
      std::holds_alternative<install_request>(aMessage.mBody)) {
    SendReply(aMessage.mFrom, append_reply{});
  } else if (std::holds_alternative<vote_request>(aMessage.mBody)) {
    SendReply(aMessage.mFrom, vote_reply{});
  }
}

std::vector<peer_status>
raft_node::Peers() const
{
  std::vector<peer_status> peers;
  for (const auto& [id, progress] : mProgress) {
    const member* voter = Members().FindVoter(id);
    peers.push_back({ id,
                      voter != nullptr,
                      voter != nullptr && Counts(*voter),
                      progress.mMatch,
                      progress.mHeardAt });
  }
  return peers;
}

std::optional<log_index>
raft_node::ReadBarrier() const
{
  const bool committed =
    mCommit >= mTermStart || IsMutated(mutation::ServeBeforeOwnCommit);
  return IsLeader() && committed ? std::optional(mCommit) : std::nullopt;
}

std::optional<time_point>
raft_node::LeaseEnd(time_point aNow) const
{
  if (!ReadBarrier() ||
      (mAskedToLead && !IsMutated(mutation::ServeDuringTransfer))) {
    return std::nullopt;
  }
  const time_point now = IsMutated(mutation::ServeOverPause) ? mNow : aNow;
  const time_point end = QuorumConfirmed(now) + mOptions.Lease();
  return now < end ? std::optional(end) : std::nullopt;
}

bool
raft_node::MayServe(time_point aNow) const
{
  return LeaseEnd(aNow).has_value();
}

} // namespace oriolewalk::consensus
