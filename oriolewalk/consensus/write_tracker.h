#pragma once

// Knows what is durable, and keeps back the messages that rely on what isn't.
// A promise that leaves before its sync can be broken by a crash: the symptom
// is a committed entry that is gone, or two leaders in a term.
//
// Owned by raft_node; same thread.

#include <deque>
#include <utility>
#include <vector>

#include "oriolewalk/consensus/message.h"
#include "oriolewalk/consensus/types.h"

namespace oriolewalk::consensus {

class write_tracker
{
public:
  explicit write_tracker(log_index aDurable)
    : mDurable(aDurable)
  {
  }

  // The next batch goes out; with it, the log up to aLast will be durable.
  ticket_t Issue(log_index aLast);
  [[nodiscard]] ticket_t Issued() const { return mIssued; }
  // Log entries up to here are durable.
  [[nodiscard]] log_index Durable() const { return mDurable; }
  [[nodiscard]] bool IsDone(ticket_t aTicket) const { return aTicket <= mDone; }

  // Keeps aMessage until aTicket is durable.
  void Hold(ticket_t aTicket, message aMessage);
  // All batches up to aTicket are durable; returns the messages set free.
  std::vector<message> Persisted(ticket_t aTicket);

  // Entries from aFrom on were dropped: older batches don't cover what comes
  // in their place.
  void Truncate(log_index aFrom);

private:
  struct batch
  {
    ticket_t mTicket = 0;
    log_index mLast = 0;
  };

  ticket_t mIssued = 0;
  ticket_t mDone = 0;
  log_index mDurable = 0;
  std::deque<batch> mBatches;
  std::deque<std::pair<ticket_t, message>> mHeld;
};

} // namespace oriolewalk::consensus
