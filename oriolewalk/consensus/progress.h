#pragma once

// What the leader knows of one other member. Owned by raft_node; same thread.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/consensus/types.h"

namespace oriolewalk::consensus {

enum class progress_state : std::uint8_t
{
  Probe,     // Where the logs meet isn't known: one message at a time.
  Replicate, // Known: several messages under way.
  Snapshot,  // Needs what the leader has dropped: pieces, one at a time.
};

struct follower_progress
{
  progress_state mState = progress_state::Probe;
  log_index mMatch = 0; // Durable there, and equal to the leader's.
  log_index mNext = 1;  // The next one to send.
  std::optional<incarnation_t> mIncarnation;
  time_point mHeardAt = time_point::min();
  // When the leader sent the latest message that was answered.
  time_point mConfirmedAt = time_point::min();
  bool mProbeSent = false;
  std::deque<log_index> mInflight; // Last index of each append under way.
  std::shared_ptr<const snapshot> mSnapshot;
  std::uint64_t mOffset = 0;
  bool mPieceSent = false;
  time_point mPieceSentAt;

  void Probe(log_index aNext)
  {
    mState = progress_state::Probe;
    mNext = std::max(aNext, mMatch + 1);
    mProbeSent = false;
    mInflight.clear();
    mSnapshot.reset();
    mOffset = 0;
    mPieceSent = false;
  }

  // The disk behind it is another one: nothing is known of it.
  void Forget(incarnation_t aIncarnation, log_index aNext)
  {
    mMatch = 0;
    mConfirmedAt = time_point::min();
    mIncarnation = aIncarnation;
    Probe(aNext);
  }

  void Matched(log_index aIndex)
  {
    mMatch = std::max(mMatch, aIndex);
    mNext = std::max(mNext, mMatch + 1);
    while (!mInflight.empty() && mInflight.front() <= mMatch) {
      mInflight.pop_front();
    }
  }
};

} // namespace oriolewalk::consensus
