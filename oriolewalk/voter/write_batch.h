#pragma once

// The writes that a replicated log requests from storage.

#include <memory>
#include <optional>
#include <vector>

#include "oriolewalk/consensus/types.h"

namespace oriolewalk::voter {

// The fields are stored in this order before Persisted(mTicket) is called.
struct write_batch
{
  consensus::ticket_t mTicket = 0;
  std::optional<consensus::hard_state> mHardState;
  std::optional<consensus::snapshot> mInstalled; // Replaces the whole log.
  std::optional<consensus::log_index> mTruncateFrom;
  std::vector<consensus::log_entry> mAppend;
  // The snapshot taken by this replica. Call SnapshotStored after it is
  // durable.
  std::shared_ptr<const consensus::snapshot> mSnapshot;

  [[nodiscard]] bool IsEmpty() const
  {
    return mTicket == 0 && mSnapshot == nullptr;
  }
};

} // namespace oriolewalk::voter
