// Copying the log: several appends under way to each follower, a fast way back
// to where the logs meet, and the commit by a majority's acknowledgements.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

namespace {

std::int64_t
ToWire(time_point aTime)
{
  return aTime.time_since_epoch().count();
}

time_point
FromWire(std::int64_t aTime)
{
  return time_point(duration(aTime));
}

// The greatest value that a majority has reached.
template<class Value>
Value
MajorityOf(std::vector<Value> aValues)
{
  std::ranges::sort(aValues, std::greater{});
  return aValues[aValues.size() / 2];
}

} // namespace

void
raft_node::On(const message& aMessage, const append_request& aRequest)
{
  if (IsLeader()) {
    return;
  }
  HeardLeader(aMessage.mFrom);
  // What is below the base is committed, so it matches.
  const log_position previous = aRequest.mPrevious;
  if (previous.mIndex >= mLog.Base().mIndex && !mLog.Has(previous)) {
    RefuseAppend(aMessage, aRequest);
    return;
  }
  if (!AppendFrom(aRequest)) {
    return;
  }
  const log_index reached = previous.mIndex + aRequest.mEntries.size();
  mCommit =
    std::max(mCommit, std::min({ aRequest.mCommit, reached, LastIndex() }));
  if (aRequest.mEntries.empty()) {
    const log_index durable = std::min(reached, mWrites.Durable());
    SendReply(aMessage.mFrom,
              append_reply{ true, durable, {}, aRequest.mSentAt });
  } else {
    SendDurable(aMessage.mFrom,
                append_reply{ true, reached, {}, aRequest.mSentAt });
  }
}

// Entries that are there already stay: an append that was overtaken must not
// cut off what a later one brought.
bool
raft_node::AppendFrom(const append_request& aRequest)
{
  for (const log_entry& entry : aRequest.mEntries) {
    if (entry.mIndex <= mLog.Base().mIndex) {
      continue;
    }
    const auto term = mLog.TermAt(entry.mIndex);
    if (term == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mCommit || entry.mIndex > LastIndex() + 1) {
      return false; // No leader sends this: a committed entry stays.
    }
    if (term) {
      if (IsMutated(mutation::KeepConflictingTail)) {
        continue;
      }
      mLog.Truncate(entry.mIndex);
      mWrites.Truncate(entry.mIndex);
    }
    mLog.Append(entry);
  }
  return true;
}

void
raft_node::RefuseAppend(const message& aMessage, const append_request& aRequest)
{
  append_reply reply{ false, aRequest.mPrevious.mIndex, {}, aRequest.mSentAt };
  const auto term = mLog.TermAt(reply.mIndex);
  if (!term || reply.mIndex == mLog.Base().mIndex) {
    reply.mConflict = { LastIndex() + 1, 0 };
  } else {
    reply.mConflict = { mLog.FirstOfTerm(reply.mIndex), *term };
  }
  SendReply(aMessage.mFrom, reply);
}

// Notes that a member answered; nullptr if it isn't one.
follower_progress*
raft_node::Heard(const message& aMessage, std::int64_t aSentAt)
{
  const auto found = mProgress.find(aMessage.mFrom);
  if (!IsLeader() || found == mProgress.end()) {
    return nullptr;
  }
  follower_progress& progress = found->second;
  if (!progress.mIncarnation) {
    progress.mIncarnation = aMessage.mIncarnation;
  } else if (*progress.mIncarnation != aMessage.mIncarnation) {
    progress.Forget(aMessage.mIncarnation, LastIndex() + 1);
  }
  progress.mHeardAt = mNow;
  const time_point sent = IsMutated(mutation::LeaseFromReply)
                            ? mNow
                            : std::min(FromWire(aSentAt), mNow);
  progress.mConfirmedAt = std::max(progress.mConfirmedAt, sent);
  return &progress;
}

void
raft_node::On(const message& aMessage, const append_reply& aReply)
{
  follower_progress* progress = Heard(aMessage, aReply.mSentAt);
  if (progress == nullptr || aReply.mIndex > LastIndex()) {
    return;
  }
  if (!aReply.mSuccess) {
    OnRefused(*progress, aReply);
    return;
  }
  progress->Matched(aReply.mIndex);
  if (progress->mState == progress_state::Probe) {
    progress->mState = progress_state::Replicate;
  } else if (progress->mState == progress_state::Snapshot &&
             progress->mMatch >= progress->mSnapshot->mIndex) {
    progress->Probe(progress->mMatch + 1);
  }
  AdvanceCommit();
}

void
raft_node::OnRefused(follower_progress& aProgress, const append_reply& aReply)
{
  const bool stale = aReply.mIndex <= aProgress.mMatch ||
                     aReply.mIndex >= aProgress.mNext ||
                     aProgress.mState == progress_state::Snapshot;
  const bool otherProbe = aProgress.mState == progress_state::Probe &&
                          aReply.mIndex + 1 != aProgress.mNext;
  if (stale || otherProbe) {
    return;
  }
  log_index next = aReply.mConflict.mIndex;
  if (aReply.mConflict.mTerm != 0) {
    const log_index last =
      mLog.LastUpToTerm(aReply.mConflict.mTerm, aReply.mIndex - 1);
    if (mLog.TermAt(last) == aReply.mConflict.mTerm) {
      next = last + 1;
    }
  }
  aProgress.Probe(std::min(next, aReply.mIndex));
}

void
raft_node::SendAppend(node_id aTo,
                      log_index aNext,
                      std::vector<log_entry> aEntries)
{
  append_request request;
  if (const auto term = mLog.TermAt(aNext - 1)) {
    request.mPrevious = { aNext - 1, *term };
  }
  request.mCommit = mCommit;
  request.mSentAt = ToWire(mNow);
  request.mEntries = std::move(aEntries);
  Send(aTo, std::move(request));
}

// An append without entries where the next one would be: it renews the lease,
// brings the commit index, and is refused if something before it was lost.
void
raft_node::SendHeartbeats()
{
  for (auto& [id, progress] : mProgress) {
    if (mNow - progress.mPieceSentAt >= mOptions.mElectionMin) {
      progress.mPieceSent = false; // It or its answer was lost.
    }
    const bool snapshotting = progress.mState == progress_state::Snapshot;
    SendAppend(id, snapshotting ? 1 : progress.mNext, {});
  }
}

void
raft_node::SendEntries()
{
  for (auto& [id, progress] : mProgress) {
    SendEntriesTo(id, progress);
  }
}

void
raft_node::SendEntriesTo(node_id aTo, follower_progress& aProgress)
{
  if (aProgress.mState != progress_state::Snapshot &&
      aProgress.mNext <= mLog.Base().mIndex) {
    StartSnapshot(aProgress);
  }
  if (aProgress.mState == progress_state::Snapshot) {
    SendPiece(aTo, aProgress);
    return;
  }
  const auto sendBatch = [&] {
    const auto batch = mLog.Batch(
      aProgress.mNext, mOptions.mMaxBatchEntries, mOptions.mMaxBatchBytes);
    SendAppend(aTo, aProgress.mNext, { batch.begin(), batch.end() });
    return batch.size();
  };
  if (aProgress.mState == progress_state::Probe) {
    if (!aProgress.mProbeSent && aProgress.mNext <= LastIndex()) {
      aProgress.mProbeSent = true;
      sendBatch();
    }
    return;
  }
  while (aProgress.mInflight.size() < mOptions.mMaxInflight &&
         aProgress.mNext <= LastIndex()) {
    aProgress.mNext += sendBatch();
    aProgress.mInflight.push_back(aProgress.mNext - 1);
  }
}

bool
raft_node::Counts(const member& aVoter) const
{
  if (IsMutated(mutation::CountOldIncarnation)) {
    return true;
  }
  if (aVoter.mId == mSelf) {
    return aVoter.mIncarnation == mHardState.mIncarnation;
  }
  const auto found = mProgress.find(aVoter.mId);
  return found != mProgress.end() &&
         found->second.mIncarnation == aVoter.mIncarnation;
}

log_index
raft_node::QuorumMatch() const
{
  std::vector<log_index> matches;
  for (const member& voter : Members().mVoters) {
    if (!Counts(voter)) {
      matches.push_back(0);
    } else {
      matches.push_back(voter.mId == mSelf ? mWrites.Durable()
                                           : mProgress.at(voter.mId).mMatch);
    }
  }
  return matches.empty() ? 0 : MajorityOf(std::move(matches));
}

time_point
raft_node::QuorumConfirmed(time_point aNow) const
{
  std::vector<time_point> times;
  for (const member& voter : Members().mVoters) {
    if (!Counts(voter)) {
      times.push_back(time_point::min());
    } else {
      times.push_back(
        voter.mId == mSelf ? aNow : mProgress.at(voter.mId).mConfirmedAt);
    }
  }
  return times.empty() ? time_point::min() : MajorityOf(std::move(times));
}

// An entry of an earlier term that a majority holds can still be replaced by a
// leader that never saw it; it is committed only by an entry of this term
// after it.
void
raft_node::AdvanceCommit()
{
  const log_index reached = QuorumMatch();
  if (reached <= mCommit) {
    return;
  }
  if (mLog.TermAt(reached) != mHardState.mTerm &&
      !IsMutated(mutation::CommitOlderTerm)) {
    return;
  }
  for (const log_entry& entry : mLog.Slice(mCommit + 1, reached)) {
    if (entry.mTerm == mHardState.mTerm) {
      mUncommittedBytes -= entry.mPayload.size();
    }
  }
  mCommit = reached;
  LeaveIfRemoved();
}

void
raft_node::UpdateProgress()
{
  std::erase_if(mProgress, [this](const auto& aPair) {
    return Members().Find(aPair.first) == nullptr;
  });
  const auto add = [this](const member& aMember) {
    if (aMember.mId != mSelf) {
      const auto [place, isNew] = mProgress.try_emplace(aMember.mId);
      if (isNew) {
        place->second.mNext = LastIndex() + 1;
      }
    }
  };
  std::ranges::for_each(Members().mVoters, add);
  std::ranges::for_each(Members().mLearners, add);
}

} // namespace oriolewalk::consensus
