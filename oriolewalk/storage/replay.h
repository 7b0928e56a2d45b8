#pragma once

// Applies the entries of a log in order, to what the log amounts to.

#include <cstdint>
#include <optional>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {

// Refuses what the writer cannot have written (a gap, an overlap): blocks are
// whole by their checksums, so such an entry means a lost file. One thread.
class log_replay
{
public:
  // Errors: Corrupt.
  result<void> Apply(entry aEntry);
  // Drops what the snapshot covers. Errors: Corrupt if records between the
  // snapshot and the log are missing.
  result<void> Finish(std::uint64_t aSnapshotIndex);

  [[nodiscard]] std::uint64_t LastIndex() const { return mLast.value_or(0); }
  bytes& Vote() { return mVote; }
  std::vector<log_record>& Records() { return mRecords; }

private:
  result<void> Take(log_record aRecord);
  result<void> Take(const truncate_entry& aTruncate);
  result<void> Take(vote_entry aVote);
  result<void> Take(const position_entry& aPosition);
  void DropThrough(std::uint64_t aIndex);

  bytes mVote;
  std::vector<log_record> mRecords;
  std::optional<std::uint64_t> mLast; // None until the log says.
};

} // namespace oriolewalk::storage
