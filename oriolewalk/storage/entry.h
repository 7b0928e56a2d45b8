#pragma once

// What a block of the log holds: the changes of one sync, in order.

#include <cstdint>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {

// Records from mFrom on are gone.
struct truncate_entry
{
  std::uint64_t mFrom = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mFrom);
  }
};

struct vote_entry
{
  bytes mVote;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVote);
  }
};

// Where the log stands: a snapshot up to mIndex is durable (0: none), and the
// next record is mLast + 1. It follows each snapshot and opens each segment, so
// that a segment can be read when those before it are gone.
struct position_entry
{
  std::uint64_t mIndex = 0;
  std::uint64_t mLast = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mLast);
  }
};

using entry =
  std::variant<log_record, truncate_entry, vote_entry, position_entry>;

} // namespace oriolewalk::storage
