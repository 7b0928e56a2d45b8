// Elections: who may ask, who votes, who wins.

#include <algorithm>
#include <optional>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

bool
raft_node::IsVoter() const
{
  const member* self = Members().FindVoter(mSelf);
  return self != nullptr && Counts(*self);
}

bool
raft_node::MissesLeader() const
{
  if (IsMutated(mutation::VoteWhileLeaderHeard)) {
    return true;
  }
  return !IsLeader() && mNow - mHeardLeaderAt >= mOptions.mElectionMin;
}

// A committed entry is on a majority, so a candidate that is behind it meets a
// voter of that majority: refusing it here keeps committed entries alive.
bool
raft_node::IsUpToDate(log_position aLast) const
{
  if (IsMutated(mutation::VoteWithoutLogCheck)) {
    return true;
  }
  const log_position last = mLog.Last();
  return aLast.mTerm > last.mTerm ||
         (aLast.mTerm == last.mTerm && aLast.mIndex >= last.mIndex);
}

// Asks first whether an election could be won. A node that was cut off would
// otherwise come back with a high term and depose a working leader.
void
raft_node::Campaign()
{
  if (IsMutated(mutation::NoPreVote)) {
    StartElection(false);
    return;
  }
  mRole = node_role::PreCandidate;
  mVotes = { mSelf };
  if (WonVotes()) {
    StartElection(false);
    return;
  }
  for (const member& voter : Members().mVoters) {
    if (voter.mId != mSelf) {
      Send(voter.mId, pre_vote_request{ mHardState.mTerm + 1, mLog.Last() });
    }
  }
}

void
raft_node::StartElection(bool aTransfer)
{
  mRole = node_role::Candidate;
  mLeader.reset();
  mVotes.clear();
  mHardState.mTerm += 1;
  mHardState.mVotedFor = mSelf;
  mHardStateDirty = true;
  ResetElectionDeadline();
  // Its own vote counts when it is durable: after a crash it must not vote for
  // another in the same term.
  SendDurable(mSelf, vote_reply{ true });
  for (const member& voter : Members().mVoters) {
    if (voter.mId != mSelf) {
      SendDurable(voter.mId, vote_request{ mLog.Last(), aTransfer });
    }
  }
}

// Only from the disk that the membership names: a voter that lost its disk may
// have voted for another in this term, or acknowledged what it lacks now.
void
raft_node::CountVote(const message& aMessage)
{
  const member* voter = Members().FindVoter(aMessage.mFrom);
  if (voter != nullptr && (voter->mIncarnation == aMessage.mIncarnation ||
                           IsMutated(mutation::CountOldIncarnation))) {
    mVotes.insert(aMessage.mFrom);
  }
}

bool
raft_node::WonVotes() const
{
  return mVotes.size() >= Members().Quorum();
}

void
raft_node::On(const message& aMessage, const pre_vote_request& aRequest)
{
  const bool granted = aRequest.mNextTerm > mHardState.mTerm &&
                       MissesLeader() && IsUpToDate(aRequest.mLast);
  SendReply(aMessage.mFrom, pre_vote_reply{ aRequest.mNextTerm, granted });
  if (MissesLeader() && !IsUpToDate(aRequest.mLast)) {
    AskSoon();
  }
}

// Somebody who can't win has noticed that there is no leader. Where disks were
// lost, only the voter with the longest log may be able to win: were its own
// time-out waited for, the group would be without a leader for up to the
// difference between the longest and the shortest one.
void
raft_node::AskSoon()
{
  const auto spread = static_cast<std::uint64_t>(mOptions.mAskAgain.count());
  const time_point soon =
    mNow + duration(static_cast<duration::rep>(mRandom.Below(spread) / 2));
  mElectionDeadline = std::min(mElectionDeadline, soon);
}

void
raft_node::On(const message& aMessage, const pre_vote_reply& aReply)
{
  if (mRole != node_role::PreCandidate || !aReply.mGranted ||
      aReply.mNextTerm != mHardState.mTerm + 1) {
    return;
  }
  CountVote(aMessage);
  if (WonVotes()) {
    StartElection(false);
  }
}

void
raft_node::On(const message& aMessage, const vote_request& aRequest)
{
  const bool free = !mHardState.mVotedFor ||
                    *mHardState.mVotedFor == aMessage.mFrom ||
                    IsMutated(mutation::VoteTwice);
  // The term may have come by another message: silence towards the leader is
  // asked for here too, since its lease relies on it.
  const bool granted = free && mRole == node_role::Follower && !mLeader &&
                       (aRequest.mTransfer || MissesLeader()) &&
                       IsUpToDate(aRequest.mLast);
  if (granted && mHardState.mVotedFor != aMessage.mFrom) {
    mHardState.mVotedFor = aMessage.mFrom;
    mHardStateDirty = true;
  }
  if (granted) {
    ResetElectionDeadline();
  }
  SendDurable(aMessage.mFrom, vote_reply{ granted });
}

void
raft_node::On(const message& aMessage, const vote_reply& aReply)
{
  if (mRole != node_role::Candidate || !aReply.mGranted) {
    return;
  }
  CountVote(aMessage);
  if (WonVotes()) {
    BecomeLeader();
  }
}

void
raft_node::On(const message& /*aMessage*/, const timeout_now& /*aRequest*/)
{
  if (mRole == node_role::Follower && IsVoter()) {
    StartElection(true);
  }
}

} // namespace oriolewalk::consensus
