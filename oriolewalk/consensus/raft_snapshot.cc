// Compaction, and bringing a follower up that needs what was dropped.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

result<snapshot>
raft_node::MakeSnapshot(log_index aIndex, bytes aState) const
{
  const auto term = mLog.TermAt(aIndex);
  if (aIndex > mGivenOut || aIndex == 0 || !term) {
    return Fail(error_code::InvalidArgument,
                "making a snapshot",
                "index " + std::to_string(aIndex) +
                  " is not applied or no longer known");
  }
  return snapshot{ aIndex, *term, mLog.MembersAt(aIndex), std::move(aState) };
}

void
raft_node::Compact(snapshot aSnapshot)
{
  if (aSnapshot.mIndex > mGivenOut ||
      (mSnapshot && aSnapshot.mIndex <= mSnapshot->mIndex)) {
    return;
  }
  mSnapshot = std::make_shared<const snapshot>(std::move(aSnapshot));
  if (mSnapshot->mIndex > mOptions.mCompactionTail) {
    mLog.CompactTo(mSnapshot->mIndex - mOptions.mCompactionTail);
  }
}

void
raft_node::StartSnapshot(follower_progress& aProgress)
{
  aProgress.Probe(aProgress.mNext);
  aProgress.mState = progress_state::Snapshot;
  aProgress.mSnapshot = mSnapshot;
}

void
raft_node::SendPiece(node_id aTo, follower_progress& aProgress)
{
  if (aProgress.mPieceSent) {
    return;
  }
  aProgress.mPieceSent = true;
  aProgress.mPieceSentAt = mNow;
  const snapshot& source = *aProgress.mSnapshot;
  install_request request;
  request.mLast = { source.mIndex, source.mTerm };
  request.mMembers = source.mMembers;
  request.mOffset = aProgress.mOffset;
  request.mTotal = source.mState.size();
  request.mChunk =
    source.mState.substr(aProgress.mOffset, mOptions.mSnapshotChunkBytes);
  request.mSentAt = mNow.time_since_epoch().count();
  Send(aTo, std::move(request));
}

void
raft_node::On(const message& aMessage, const install_request& aRequest)
{
  if (IsLeader()) {
    return;
  }
  HeardLeader(aMessage.mFrom);
  install_reply reply{ aRequest.mLast.mIndex, 0, false, aRequest.mSentAt };
  if (aRequest.mLast.mIndex <= mCommit || mLog.Has(aRequest.mLast)) {
    // What is in the log needs no snapshot, only the word that it's committed.
    mCommit = std::max(mCommit, aRequest.mLast.mIndex);
    mIncoming.reset();
    reply.mDone = true;
    SendDurable(aMessage.mFrom, reply);
    return;
  }
  const bool same = mIncoming && mIncomingFrom == aMessage.mFrom &&
                    mIncoming->mIndex == aRequest.mLast.mIndex &&
                    mIncoming->mTerm == aRequest.mLast.mTerm;
  if (!same) {
    mIncoming = snapshot{
      aRequest.mLast.mIndex, aRequest.mLast.mTerm, aRequest.mMembers, {}
    };
    mIncomingFrom = aMessage.mFrom;
  }
  if (aRequest.mOffset == mIncoming->mState.size()) {
    mIncoming->mState += aRequest.mChunk;
  }
  reply.mNextOffset = mIncoming->mState.size();
  if (reply.mNextOffset < aRequest.mTotal) {
    SendReply(aMessage.mFrom, reply);
    return;
  }
  Install(std::move(*mIncoming));
  mIncoming.reset();
  reply.mDone = true;
  SendDurable(aMessage.mFrom, reply);
}

void
raft_node::Install(snapshot aSnapshot)
{
  mLog.Reset({ aSnapshot.mIndex, aSnapshot.mTerm }, aSnapshot.mMembers);
  mWrites.Truncate(1);
  mCommit = aSnapshot.mIndex;
  mGivenOut = aSnapshot.mIndex;
  mSnapshot = std::make_shared<const snapshot>(aSnapshot);
  mInstall = std::move(aSnapshot);
}

void
raft_node::On(const message& aMessage, const install_reply& aReply)
{
  follower_progress* progress = Heard(aMessage, aReply.mSentAt);
  if (progress == nullptr || progress->mState != progress_state::Snapshot ||
      progress->mSnapshot->mIndex != aReply.mIndex) {
    return;
  }
  if (aReply.mDone) {
    progress->Matched(aReply.mIndex);
    progress->Probe(aReply.mIndex + 1);
    AdvanceCommit();
    return;
  }
  const std::uint64_t total = progress->mSnapshot->mState.size();
  progress->mOffset = std::min(aReply.mNextOffset, total);
  progress->mPieceSent = false;
}

} // namespace oriolewalk::consensus
