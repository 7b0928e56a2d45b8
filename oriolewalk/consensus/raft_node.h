#pragma once

// One node of one replicated log (Raft). It holds no socket, file, clock or
// thread: the shell tells it what happened, and does what it says.
//
//   raft_node node(self, raft_options{}, restored, founders, seed, now);
//   node.Receive(message, now);          // whatever came in
//   node.Tick(now);                      // about every 10 ms
//   auto place = node.Propose(command, now);
//   effects out = node.TakeEffects();    // after each of the above, or after
//                                        // several: one batch, one sync
//   1. Send(out.mMessages);              // before or during the sync
//   2. if (out.mTicket != 0): store, in this order, out.mHardState,
//      out.mSnapshot (it replaces the whole stored log), out.mTruncateFrom,
//      out.mAppend; sync once; then
//      node.Persisted(out.mTicket, now); // and TakeEffects again
//   3. install out.mSnapshot into the state machine, then apply
//      out.mCommitted in order.
//
// What a proposer may conclude: its command is committed for good when an
// entry with the returned index *and term* is among mCommitted. Another term
// at that index: it will never be. Otherwise it isn't known yet.
//
// Several groups in a process are several raft_nodes; they share nothing.
// Threads: one at a time. docs/CONSENSUS.md has the reasons.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/consensus/message.h"
#include "oriolewalk/consensus/options.h"
#include "oriolewalk/consensus/progress.h"
#include "oriolewalk/consensus/raft_log.h"
#include "oriolewalk/consensus/types.h"
#include "oriolewalk/consensus/write_tracker.h"

namespace oriolewalk::consensus {

enum class node_role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

struct leadership
{
  node_role mRole = node_role::Follower;
  term_t mTerm = 0;
  std::optional<node_id> mLeader;

  bool operator==(const leadership&) const = default;
};

// What the shell must do. mTicket 0: nothing to store.
struct effects
{
  ticket_t mTicket = 0;
  std::optional<hard_state> mHardState;
  std::optional<snapshot> mSnapshot;
  std::optional<log_index> mTruncateFrom;
  std::vector<log_entry> mAppend;
  // All may be sent at once: the node keeps back by itself what must wait.
  std::vector<message> mMessages;
  std::vector<log_entry> mCommitted;
  std::optional<leadership> mLeadership; // If it changed.
};

// One other member as the leader sees it.
struct peer_status
{
  node_id mId;
  bool mVoter = false;
  bool mCounts = false; // Its disk is the one that the membership names.
  log_index mMatch = 0;
  time_point mHeardAt;
};

class raft_node
{
public:
  // aRestored has passed CheckRestored, aOptions its Check. aFounders is the
  // membership before the first entry, the same at all founders and empty at
  // a node that joins later. aSeed differs from node to node and from start
  // to start. The state machine starts from aRestored's snapshot.
  raft_node(node_id aSelf,
            const raft_options& aOptions,
            restored_state aRestored,
            membership aFounders,
            std::uint64_t aSeed,
            time_point aNow);

  void Receive(const message& aMessage, time_point aNow);
  void Tick(time_point aNow);
  // All batches up to aTicket are durable.
  void Persisted(ticket_t aTicket, time_point aNow);
  // Cost: linear in what it returns.
  effects TakeEffects();

  // Errors: NotLeader (mPeer: the leader's address, if known), Busy (too much
  // is uncommitted; nothing was taken), Unavailable (leadership is being
  // handed over).
  result<log_position> Propose(bytes aCommand, time_point aNow);
  // All or none; returns the place of the last one.
  result<log_position> Propose(std::vector<bytes> aCommands, time_point aNow);

  // One change at a time. Errors: NotLeader; Busy while another change is under
  // way or the leader hasn't committed an entry of its term yet (ask again);
  // Unavailable if a majority of the changed voters is not heard or lacks the
  // data; InvalidArgument, Conflict, NotFound for the change itself.
  result<log_position> AddLearner(node_id aId,
                                  std::string aAddress,
                                  time_point aNow);
  // The learner must have caught up.
  result<log_position> Promote(node_id aId, time_point aNow);
  // Voter or learner. A leader that removes itself steps down when that is
  // committed.
  result<log_position> Remove(node_id aId, time_point aNow);
  // Adds the new one as a learner; the leader, whoever it is then, promotes it
  // once it has caught up and removes the old one after that.
  result<log_position> Replace(node_id aOld,
                               node_id aNew,
                               std::string aAddress,
                               time_point aNow);
  // Hands over to a voter; proposals are refused meanwhile. If it fails before
  // the other was asked to lead, this node goes on; after that it steps down.
  // Errors: NotLeader, NotFound, Unavailable (not heard), Busy (under way).
  result<void> TransferLeadership(node_id aTo, time_point aNow);
  // To the voter that is furthest along.
  result<void> TransferLeadership(time_point aNow);

  // The state machine's state after aIndex, for the shell to make durable and
  // then to give to Compact. Errors: InvalidArgument, if aIndex was not yet
  // given out as committed or is older than the latest snapshot.
  [[nodiscard]] result<snapshot> MakeSnapshot(log_index aIndex,
                                              bytes aState) const;
  // aSnapshot is durable: drops the entries below it but a tail.
  void Compact(snapshot aSnapshot);

  [[nodiscard]] node_id Self() const { return mSelf; }
  [[nodiscard]] node_role Role() const { return mRole; }
  [[nodiscard]] bool IsLeader() const { return mRole == node_role::Leader; }
  [[nodiscard]] std::optional<node_id> Leader() const { return mLeader; }
  [[nodiscard]] term_t Term() const { return mHardState.mTerm; }
  [[nodiscard]] log_index CommitIndex() const { return mCommit; }
  [[nodiscard]] log_index LastIndex() const { return mLog.Last().mIndex; }
  // The first kept index is one above.
  [[nodiscard]] log_index BaseIndex() const { return mLog.Base().mIndex; }
  [[nodiscard]] const membership& Members() const { return mLog.Members(); }
  [[nodiscard]] incarnation_t Incarnation() const
  {
    return mHardState.mIncarnation;
  }
  [[nodiscard]] std::vector<peer_status> Peers() const;

  // Whether this node may act as the one leader at aNow: it has committed an
  // entry of its term, and a majority answered a round that it sent less than
  // the lease ago. No other node's MayServe is true at the same moment, if
  // clocks keep to the drift bound. Ask with the time of the act, after the
  // entries committed so far have been applied: then a read is not stale.
  [[nodiscard]] bool MayServe(time_point aNow) const;
  // Until when MayServe stays true without another answer; none if false.
  [[nodiscard]] std::optional<time_point> LeaseEnd(time_point aNow) const;
  // The index that must be applied before a read sees all that was
  // acknowledged; none unless this node leads and has committed in its term.
  [[nodiscard]] std::optional<log_index> ReadBarrier() const;

private:
  // raft_node.cc: time, roles and what goes in and out.
  void Observe(time_point aNow);
  void BecomeFollower(term_t aTerm, std::optional<node_id> aLeader);
  void BecomeLeader();
  void HeardLeader(node_id aLeader);
  void ResetElectionDeadline();
  void Send(node_id aTo, message_body aBody);
  // Once everything that changed so far is durable.
  void SendDurable(node_id aTo, message_body aBody);
  // Once the term is durable: for answers that promise nothing new.
  void SendReply(node_id aTo, message_body aBody);
  [[nodiscard]] bool IsDirty() const;
  [[nodiscard]] ticket_t PendingTicket() const;
  [[nodiscard]] bool IsMutated(mutation aMutation) const;
  void Dispatch(const message& aMessage);
  bool AcceptTerm(const message& aMessage);
  void RefuseOldTerm(const message& aMessage);
  log_position AppendOwn(entry_kind aKind, bytes aPayload);
  [[nodiscard]] error NotLeaderError(std::string_view aStep) const;

  // raft_election.cc
  void Campaign();
  void AskAgainSoon();
  void AskSoon();
  void StartElection(bool aTransfer);
  [[nodiscard]] bool IsVoter() const;
  [[nodiscard]] bool MissesLeader() const;
  [[nodiscard]] bool IsUpToDate(log_position aLast) const;
  void CountVote(const message& aMessage);
  [[nodiscard]] bool WonVotes() const;
  void On(const message& aMessage, const pre_vote_request& aRequest);
  void On(const message& aMessage, const pre_vote_reply& aReply);
  void On(const message& aMessage, const vote_request& aRequest);
  void On(const message& aMessage, const vote_reply& aReply);
  void On(const message& aMessage, const timeout_now& aRequest);

  // raft_replication.cc
  void On(const message& aMessage, const append_request& aRequest);
  void On(const message& aMessage, const append_reply& aReply);
  // False if it cannot come from a leader; then there is no answer.
  bool AppendFrom(const append_request& aRequest);
  void RefuseAppend(const message& aMessage, const append_request& aRequest);
  void OnRefused(follower_progress& aProgress, const append_reply& aReply);
  follower_progress* Heard(const message& aMessage, std::int64_t aSentAt);
  void SendHeartbeats();
  void SendEntries();
  void SendEntriesTo(node_id aTo, follower_progress& aProgress);
  void SendAppend(node_id aTo,
                  log_index aNext,
                  std::vector<log_entry> aEntries);
  void AdvanceCommit();
  [[nodiscard]] bool Counts(const member& aVoter) const;
  [[nodiscard]] log_index QuorumMatch() const;
  [[nodiscard]] time_point QuorumConfirmed(time_point aNow) const;
  void UpdateProgress();

  // raft_snapshot.cc
  void StartSnapshot(follower_progress& aProgress);
  void SendPiece(node_id aTo, follower_progress& aProgress);
  void On(const message& aMessage, const install_request& aRequest);
  void On(const message& aMessage, const install_reply& aReply);
  void Install(snapshot aSnapshot);

  // raft_membership.cc
  [[nodiscard]] result<void> CheckChange(std::string_view aStep) const;
  result<log_position> Change(const membership& aNext, std::string_view aStep);
  [[nodiscard]] bool HasData(const membership& aNext) const;
  [[nodiscard]] bool IsHeard(node_id aId) const;
  [[nodiscard]] bool IsCaughtUp(node_id aId) const;
  [[nodiscard]] std::optional<membership> NextRepair() const;
  void Repair();
  void CheckTransfer();
  void LeaveIfRemoved();
  [[nodiscard]] std::optional<node_id> BestVoter() const;

  node_id mSelf;
  raft_options mOptions;
  random_source mRandom;
  time_point mNow;

  hard_state mHardState;
  bool mHardStateDirty = false;
  ticket_t mHardStateTicket = 0;
  raft_log mLog;
  write_tracker mWrites;
  log_index mCommit = 0;
  log_index mGivenOut = 0; // Committed entries up to here went to the shell.
  std::shared_ptr<const snapshot> mSnapshot;
  std::optional<snapshot> mInstall;  // To go out with the next effects.
  std::optional<snapshot> mIncoming; // Being received; mState so far.
  node_id mIncomingFrom;

  node_role mRole = node_role::Follower;
  std::optional<node_id> mLeader;
  time_point mHeardLeaderAt;
  int mAskedInRow = 0; // pre-votes, since a leader was heard
  time_point mElectionDeadline;
  std::set<node_id> mVotes;

  // Of a leader only.
  std::map<node_id, follower_progress> mProgress;
  time_point mLeaderSince;
  time_point mHeartbeatDue;
  log_index mTermStart = 0; // The Noop of this term.
  std::size_t mUncommittedBytes = 0;
  std::optional<node_id> mTransferTo;
  time_point mTransferDeadline;
  bool mAskedToLead = false; // timeout_now went out: no serving in this term.

  std::vector<message> mOutgoing;
  leadership mReported;
};

} // namespace oriolewalk::consensus
