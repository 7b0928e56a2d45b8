#pragma once

// What the nodes of one group tell each other. The shell carries a message as
// Encode(message); it may lose, repeat, delay and reorder them.

#include <cstdint>
#include <variant>
#include <vector>

#include "oriolewalk/consensus/types.h"

namespace oriolewalk::consensus {

// "Would you vote for me in mNextTerm?" Changes nothing at the receiver, so
// that a node which comes back from a cut cannot raise the term.
struct pre_vote_request
{
  term_t mNextTerm = 0;
  log_position mLast;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNextTerm, mLast.mIndex, mLast.mTerm);
  }
};

struct pre_vote_reply
{
  term_t mNextTerm = 0;
  bool mGranted = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNextTerm, mGranted);
  }
};

struct vote_request
{
  log_position mLast;
  // The leader itself asked for this election: voters don't wait until they
  // have missed it. It has stopped serving before it asked.
  bool mTransfer = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLast.mIndex, mLast.mTerm, mTransfer);
  }
};

struct vote_reply
{
  bool mGranted = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mGranted);
  }
};

// Entries after mPrevious; without entries it is the heartbeat.
struct append_request
{
  log_position mPrevious;
  log_index mCommit = 0;
  // The leader's own clock when it sent this, in ns; returned as it is. Its
  // lease counts from here, not from the reply's arrival.
  std::int64_t mSentAt = 0;
  std::vector<log_entry> mEntries;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPrevious.mIndex, mPrevious.mTerm, mCommit, mSentAt, mEntries);
  }
};

struct append_reply
{
  bool mSuccess = false;
  // Success: the log equals the leader's up to here, and is durable.
  // Otherwise: the mPrevious.mIndex that didn't match.
  log_index mIndex = 0;
  // Without success: where to go on. If mTerm is not 0, it is the term of the
  // entry in the place of mPrevious and mIndex the first entry of that term;
  // else mIndex is the first index that is missing.
  log_position mConflict;
  std::int64_t mSentAt = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mSuccess, mIndex, mConflict.mIndex, mConflict.mTerm, mSentAt);
  }
};

// One piece of a snapshot, for a follower that needs entries which the leader
// has dropped.
struct install_request
{
  log_position mLast;
  membership mMembers;
  std::uint64_t mOffset = 0;
  std::uint64_t mTotal = 0;
  bytes mChunk;
  std::int64_t mSentAt = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(
      mLast.mIndex, mLast.mTerm, mMembers, mOffset, mTotal, mChunk, mSentAt);
  }
};

struct install_reply
{
  log_index mIndex = 0;
  std::uint64_t mNextOffset = 0;
  bool mDone = false; // Everything up to mIndex is here and durable.
  std::int64_t mSentAt = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mNextOffset, mDone, mSentAt);
  }
};

// "Become leader now": the leader hands over.
struct timeout_now
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

using message_body = std::variant<pre_vote_request,
                                  pre_vote_reply,
                                  vote_request,
                                  vote_reply,
                                  append_request,
                                  append_reply,
                                  install_request,
                                  install_reply,
                                  timeout_now>;

struct message
{
  node_id mFrom;
  node_id mTo;
  term_t mTerm = 0;
  // The sender's: what a leader or candidate counts must come from the life
  // of the disk that the membership names.
  incarnation_t mIncarnation = 0;
  message_body mBody;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mFrom, mTo, mTerm, mIncarnation, mBody);
  }
};

} // namespace oriolewalk::consensus
