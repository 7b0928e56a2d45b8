#pragma once

// A disk in memory that knows which bytes are synced. One per node, outlives
// the node's crashes. One thread.

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

class fake_disk
{
public:
  // What aEffects asks to store is written, and synced at aDue.
  void Write(const effects& aEffects, time_point aDue);
  // The last ticket whose sync is over at aNow, if any is.
  std::optional<ticket_t> SyncUntil(time_point aNow);
  // The first aKept of the writes that aren't synced happen to survive.
  void Crash(std::size_t aKept);
  void Wipe();
  // A snapshot of the node's own; synced at once.
  void Store(const snapshot& aSnapshot);

  [[nodiscard]] std::size_t Unsynced() const { return mPending.size(); }
  [[nodiscard]] const restored_state& Content() const { return mContent; }
  [[nodiscard]] bool IsWiped() const { return mIsWiped; }

private:
  struct write
  {
    ticket_t mTicket = 0;
    time_point mDue;
    std::optional<hard_state> mHardState;
    std::optional<snapshot> mSnapshot;
    std::optional<log_index> mTruncateFrom;
    std::vector<log_entry> mAppend;
  };

  void Apply(const write& aWrite);

  restored_state mContent;
  std::deque<write> mPending;
  bool mIsWiped = false;
};

} // namespace oriolewalk::consensus
