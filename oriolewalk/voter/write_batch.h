#pragma once

// What a replicated log wants stored.

#include <memory>
#include <optional>
#include <vector>

#include "oriolewalk/consensus/types.h"

namespace oriolewalk::voter {

// What is to be stored, in this order, before Persisted(mTicket).
struct write_batch
{
  consensus::ticket_t mTicket = 0;
  std::optional<consensus::hard_state> mHardState;
  std::optional<consensus::snapshot> mInstalled; // replaces the whole log
  std::optional<consensus::log_index> mTruncateFrom;
  std::vector<consensus::log_entry> mAppend;
  // Our own snapshot; after it is durable, call SnapshotStored.
  std::shared_ptr<const consensus::snapshot> mSnapshot;

  [[nodiscard]] bool IsEmpty() const
  {
    return mTicket == 0 && mSnapshot == nullptr;
  }
};

} // namespace oriolewalk::voter
