#pragma once

// The bytes of a log segment: a header, then blocks. One Sync of the data
// folder makes one block, and the next is written only after it; so a crash
// can leave at most one damaged block, with nothing valid after it. Anything
// else is damage, which must not be mistaken for a torn tail: it would
// silently drop records that were acknowledged.
//
//   bytes file = SegmentHeader(7);
//   file += MakeBlock(7, file.size(), 0, body);
//   segment_scan scan = ScanSegment(file, 7);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::storage {

inline constexpr std::uint32_t kFormatVersion = 1;
inline constexpr std::size_t kSegmentHeaderBytes = 32;
inline constexpr std::size_t kBlockHeaderBytes = 32;

bytes
SegmentHeader(std::uint64_t aNumber);

// A block for the place aOffset of segment aNumber, as its aOrdinal-th block.
// The checksum (xxh64) is seeded with segment and place, so that neither an old
// block elsewhere nor a copy of one inside a payload can pass for a block.
bytes
MakeBlock(std::uint64_t aNumber,
          std::uint64_t aOffset,
          std::uint64_t aOrdinal,
          std::string_view aBody);

struct block_view
{
  std::uint64_t mOffset = 0;
  std::uint64_t mSize = 0; // With header and padding.
  std::string_view mBody;
};

struct bad_bytes
{
  std::uint64_t mOffset = 0;
  std::string mReason;
  // Nothing valid follows: in the last segment, what a crash leaves.
  bool mTorn = false;
};

struct segment_scan
{
  std::vector<block_view> mBlocks; // Views into the scanned content.
  std::uint64_t mGoodEnd = 0;      // 0: not even the header is valid.
  std::optional<bad_bytes> mBad;
  bool mNewerFormat = false;
};

// Cost: linear; where bytes are bad, one checksum more for each place that
// looks like a block's start.
segment_scan
ScanSegment(std::string_view aContent, std::uint64_t aNumber);

// "wal-000000000000000a" and back; nullopt for other names.
std::string
SegmentName(std::uint64_t aNumber);
std::optional<std::uint64_t>
SegmentNumber(std::string_view aName);

// "snapshot-000000000000000a", by the index of the snapshot.
std::string
SnapshotName(std::uint64_t aIndex);
std::optional<std::uint64_t>
SnapshotIndex(std::string_view aName);

} // namespace oriolewalk::storage
