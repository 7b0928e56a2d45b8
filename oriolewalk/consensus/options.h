#pragma once

// The figures of one group, with their grounds, and the hook by which the
// tests show that they would notice a broken rule.

#include <cstddef>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/consensus/types.h"

namespace oriolewalk::consensus {

// Rules that a test breaks on purpose (docs/FAULTS.md lists which test finds
// which). Production leaves it at None; each costs one comparison.
enum class mutation : std::uint8_t
{
  None,
  AckBeforeDurable,      // Acknowledge entries before they are synced.
  VoteBeforeDurable,     // Send a vote before it is synced.
  VoteWithoutLogCheck,   // Vote for a candidate whose log is behind.
  VoteTwice,             // Forget whom it voted for in this term.
  NoPreVote,             // Raise the term without asking first.
  VoteWhileLeaderHeard,  // Vote although the leader is heard.
  CommitOlderTerm,       // Commit an earlier term's entry by counting.
  CountOldIncarnation,   // Count a voter whose disk was lost.
  LeaseFromReply,        // Count the lease from the reply's arrival.
  ServeDuringTransfer,   // Go on serving after asking another to lead.
  NoCheckQuorum,         // Lead on without a majority.
  ServeBeforeOwnCommit,  // Serve before an entry of the own term commits.
  ChangeWhileChanging,   // Start a membership change during another.
  PromoteWithoutCatchUp, // Let an empty learner vote at once.
  ForgetStartSilence,    // Vote right after a restart.
  KeepConflictingTail,   // Don't cut what the leader doesn't have.
  ServeOverPause,        // Don't look at the clock before serving.
};

struct raft_options
{
  // Messages between instances take about 1 ms; six heartbeats fit into the
  // shortest election time-out, so that single losses are not noticed.
  duration mHeartbeat = milliseconds(50);
  // A follower that hears no leader for a random time in [min, max) asks for
  // an election. min bounds the lease, and is about six heartbeats plus a slow
  // fdatasync; max - min leaves room for five candidates a few ms apart, so
  // that a split vote is rare. Worst case of one round is under 0.7 s: the aim
  // of 1.5 s without a leader holds with one split vote.
  duration mElectionMin = milliseconds(300);
  duration mElectionMax = milliseconds(600);
  // A candidate whose question was not granted by a majority asks again after a
  // random time in [min, 2 min). Asking raises no term and takes no vote. After
  // a common restart the first one to ask is refused by those that started a
  // moment later; with a whole time-out until its next question the group was
  // without a leader for 0.4 s longer. Six times in a row at most, until a
  // leader is heard: one that was put out of the group would ask for ever.
  duration mAskAgain = milliseconds(50);
  // By how much two clocks may differ in speed over an election time-out.
  // Quartz is within 100 ppm and slewing within 500 ppm; 1 % is twenty times
  // that, and costs 3 ms of lease.
  double mDriftBound = 0.01;
  // One append message. 1 MiB is about 1 ms at 10 Gbit/s, 10 ms at 1 Gbit/s:
  // a heartbeat behind it is not late.
  std::size_t mMaxBatchBytes = std::size_t{ 1 } << 20U;
  std::size_t mMaxBatchEntries = 1024;
  // Append messages on their way to one follower. 16 cover 2 ms of round trip
  // plus a sync of 10 ms at a batch a millisecond.
  std::size_t mMaxInflight = 16;
  // One piece of a snapshot; one piece is under way at a time, so a follower
  // loads at about 256 KiB per round trip (60 MB/s at 4 ms).
  std::size_t mSnapshotChunkBytes = std::size_t{ 256 } << 10U;
  // Proposals that are not committed yet; more are refused as Busy, so that a
  // cut-off leader's memory is bounded.
  std::size_t mMaxUncommittedBytes = std::size_t{ 64 } << 20U;
  // Entries kept below a snapshot for followers a little behind: about 0.4 s
  // at 10,000 entries/s, which is a lost connection made again.
  std::size_t mCompactionTail = 4096;
  // A learner this close to the end counts as caught up: about 25 ms of
  // entries at 10,000/s.
  std::size_t mCatchUpEntries = 256;

  mutation mMutation = mutation::None;

  // How long after sending a round that a majority confirmed the leader may
  // act alone: the drift bound taken off what the voters wait.
  [[nodiscard]] duration Lease() const;
  // Errors: InvalidArgument for figures that cannot work together.
  [[nodiscard]] result<void> Check() const;
};

} // namespace oriolewalk::consensus
