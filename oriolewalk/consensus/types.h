#pragma once

// The records of the replicated log: what is stored, sent and applied. All are
// plain values with cereal fields; see raft_node.h for their use.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::consensus {

using node_id = number_id<struct node_tag>;
using term_t = std::uint64_t;    // 0: before the first election.
using log_index = std::uint64_t; // From 1; 0: before the first entry.
// One life of a node's disk. A node whose disk was lost draws a new number, so
// that what it promised in the old life is not expected of the new one.
using incarnation_t = std::uint64_t;
// Numbers the batches that a node hands out to be made durable; from 1.
using ticket_t = std::uint64_t;

enum class entry_kind : std::uint8_t
{
  Command,       // The state machine's; opaque here.
  Configuration, // An encoded membership.
  Noop,          // A new leader's first entry.
};

struct log_entry
{
  log_index mIndex = 0;
  term_t mTerm = 0;
  entry_kind mKind = entry_kind::Command;
  bytes mPayload;

  bool operator==(const log_entry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mTerm, mKind, mPayload);
  }
};

// Where an entry stands. Two entries at the same position are the same entry.
struct log_position
{
  log_index mIndex = 0;
  term_t mTerm = 0;

  auto operator<=>(const log_position&) const = default;
};

struct member
{
  node_id mId;
  std::string mAddress;
  // Votes and acknowledgements count only from this life of the disk.
  incarnation_t mIncarnation = 0;
  // A learner that the leader promotes by itself once it has caught up.
  bool mPromote = false;
  // The voter that leaves when this one has become a voter.
  std::optional<node_id> mReplaces;

  bool operator==(const member&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mAddress, mIncarnation, mPromote, mReplaces);
  }
};

// Who takes part. Both lists are sorted by id, and no id is in both.
struct membership
{
  std::vector<member> mVoters;
  std::vector<member> mLearners;

  bool operator==(const membership&) const = default;

  [[nodiscard]] const member* FindVoter(node_id aId) const;
  [[nodiscard]] const member* FindLearner(node_id aId) const;
  [[nodiscard]] const member* Find(node_id aId) const;
  // How many voters make a majority.
  [[nodiscard]] std::size_t Quorum() const { return mVoters.size() / 2 + 1; }

  // Each takes the id out of both lists first.
  void PutVoter(member aMember);
  void PutLearner(member aMember);
  void Remove(node_id aId);

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVoters, mLearners);
  }
};

// What a node must never forget. Durable before any message relies on it.
struct hard_state
{
  term_t mTerm = 0;
  std::optional<node_id> mVotedFor;
  incarnation_t mIncarnation = 0;

  bool operator==(const hard_state&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTerm, mVotedFor, mIncarnation);
  }
};

// The state machine after all entries up to mIndex.
struct snapshot
{
  log_index mIndex = 0;
  term_t mTerm = 0;
  membership mMembers;
  bytes mState;

  bool operator==(const snapshot&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mTerm, mMembers, mState);
  }
};

// What the shell read back from its disk.
struct restored_state
{
  hard_state mHardState;
  std::optional<snapshot> mSnapshot;
  // Consecutive; those at or below the snapshot are passed over.
  std::vector<log_entry> mEntries;
  // False if the disk may have been lost or may be older than what this node
  // promised: an empty folder of a node that isn't founding the group, or a
  // folder restored from a copy. The node then starts a new incarnation and
  // counts for nothing until the leader readmits it by a committed change.
  bool mMayVote = true;
};

// Errors: Corrupt, if the entries are not consecutive or don't follow the
// snapshot. To be called before a raft_node is made of the state.
result<void>
CheckRestored(const restored_state& aRestored);

} // namespace oriolewalk::consensus
