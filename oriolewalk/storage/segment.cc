#include "oriolewalk/storage/segment.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include <xxhash.h>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/storage/fixed_bytes.h"

namespace oriolewalk::storage {
namespace {

constexpr std::string_view kSegmentMagic = "ORIOLEWL";
constexpr std::uint32_t kBlockMagic = 0x4b4c424f; // "OBLK"
constexpr std::size_t kAlignment = 8;
// Places in the two headers.
constexpr std::size_t kVersionAt = 8;
constexpr std::size_t kSegmentSumAt = 24;
constexpr std::size_t kLengthAt = 4;
constexpr std::size_t kOrdinalAt = 8;
constexpr std::size_t kBlockSumAt = 24;
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

std::uint64_t
Padded(std::uint64_t aLength)
{
  return (aLength + kAlignment - 1) / kAlignment * kAlignment;
}

// Over the header's fields before the checksum, then the padded body.
std::uint64_t
BlockSum(std::uint64_t aNumber,
         std::uint64_t aOffset,
         std::string_view aFields,
         std::string_view aPaddedBody)
{
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15; // 2^64 / golden ratio
  const std::uint64_t seed = (aNumber * kSpread) ^ aOffset;
  return XXH64(aPaddedBody.data(),
               aPaddedBody.size(),
               XXH64(aFields.data(), aFields.size(), seed));
}

std::optional<block_view>
ReadBlock(std::string_view aContent,
          std::uint64_t aNumber,
          std::uint64_t aOffset)
{
  if (aContent.size() < aOffset + kBlockHeaderBytes) {
    return std::nullopt;
  }
  const auto header = aContent.substr(aOffset, kBlockHeaderBytes);
  if (ReadFixed<std::uint32_t>(header, 0) != kBlockMagic) {
    return std::nullopt;
  }
  const std::uint64_t length = ReadFixed<std::uint32_t>(header, kLengthAt);
  const auto room = aContent.size() - aOffset - kBlockHeaderBytes;
  if (Padded(length) > room) {
    return std::nullopt;
  }
  const auto padded =
    aContent.substr(aOffset + kBlockHeaderBytes, Padded(length));
  const auto expected = ReadFixed<std::uint64_t>(header, kBlockSumAt);
  const auto fields = header.substr(0, kBlockSumAt);
  if (BlockSum(aNumber, aOffset, fields, padded) != expected) {
    return std::nullopt;
  }
  return block_view{ aOffset,
                     kBlockHeaderBytes + padded.size(),
                     padded.substr(0, length) };
}

bool
IsBlockAfter(std::string_view aContent,
             std::uint64_t aNumber,
             std::uint64_t aOffset)
{
  for (auto at = Padded(aOffset); at < aContent.size(); at += kAlignment) {
    if (ReadBlock(aContent, aNumber, at)) {
      return true;
    }
  }
  return false;
}

bool
IsHeaderValid(std::string_view aContent, std::uint64_t aNumber)
{
  if (aContent.size() < kSegmentHeaderBytes) {
    return false;
  }
  const auto fields = aContent.substr(0, kSegmentSumAt);
  const auto expected = ReadFixed<std::uint64_t>(aContent, kSegmentSumAt);
  return fields.starts_with(kSegmentMagic) &&
         XXH64(fields.data(), fields.size(), aNumber) == expected;
}

std::string
HexName(std::string_view aPrefix, std::uint64_t aNumber)
{
  std::string digits(kHexDigits, '0');
  const auto used = std::to_chars(
    digits.data(), digits.data() + digits.size(), aNumber, kHexBase);
  const auto length = static_cast<std::size_t>(used.ptr - digits.data());
  return std::string(aPrefix) + std::string(kHexDigits - length, '0') +
         digits.substr(0, length);
}

std::optional<std::uint64_t>
ParseHexName(std::string_view aName, std::string_view aPrefix)
{
  if (!aName.starts_with(aPrefix) ||
      aName.size() != aPrefix.size() + kHexDigits) {
    return std::nullopt;
  }
  const auto digits = aName.substr(aPrefix.size());
  std::uint64_t number = 0;
  const auto end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

constexpr std::string_view kSegmentPrefix = "wal-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";

} // namespace

bytes
SegmentHeader(std::uint64_t aNumber)
{
  bytes header(kSegmentMagic);
  AppendFixed(header, kFormatVersion);
  AppendFixed(header, std::uint32_t{ 0 });
  AppendFixed(header, aNumber);
  AppendFixed(header, XXH64(header.data(), header.size(), aNumber));
  return header;
}

bytes
MakeBlock(std::uint64_t aNumber,
          std::uint64_t aOffset,
          std::uint64_t aOrdinal,
          std::string_view aBody)
{
  const auto padded = Padded(aBody.size());
  bytes block;
  block.reserve(kBlockHeaderBytes + padded);
  AppendFixed(block, kBlockMagic);
  AppendFixed(block, static_cast<std::uint32_t>(aBody.size()));
  AppendFixed(block, aOrdinal);
  AppendFixed(block, aNumber);
  AppendFixed(block, std::uint64_t{ 0 }); // The checksum's place.
  block.append(aBody);
  block.append(padded - aBody.size(), '\0');

  const std::string_view view = block;
  bytes sum;
  AppendFixed(sum,
              BlockSum(aNumber,
                       aOffset,
                       view.substr(0, kBlockSumAt),
                       view.substr(kBlockHeaderBytes)));
  block.replace(kBlockSumAt, sum.size(), sum);
  return block;
}

segment_scan
ScanSegment(std::string_view aContent, std::uint64_t aNumber)
{
  segment_scan scan;
  if (!IsHeaderValid(aContent, aNumber)) {
    const bool torn = !IsBlockAfter(aContent, aNumber, 0);
    scan.mBad = bad_bytes{ 0, "the segment's header fails its check", torn };
    return scan;
  }
  if (ReadFixed<std::uint32_t>(aContent, kVersionAt) > kFormatVersion) {
    scan.mNewerFormat = true;
    scan.mBad = bad_bytes{ 0, "written by a newer version", false };
    return scan;
  }
  scan.mGoodEnd = kSegmentHeaderBytes;
  while (scan.mGoodEnd < aContent.size()) {
    auto block = ReadBlock(aContent, aNumber, scan.mGoodEnd);
    if (!block ||
        ReadFixed<std::uint64_t>(aContent, scan.mGoodEnd + kOrdinalAt) !=
          scan.mBlocks.size()) {
      const bool torn =
        !block && !IsBlockAfter(aContent, aNumber, scan.mGoodEnd + 1);
      scan.mBad = bad_bytes{ scan.mGoodEnd, "a block fails its check", torn };
      break;
    }
    scan.mGoodEnd += block->mSize;
    scan.mBlocks.push_back(*block);
  }
  return scan;
}

std::string
SegmentName(std::uint64_t aNumber)
{
  return HexName(kSegmentPrefix, aNumber);
}

std::optional<std::uint64_t>
SegmentNumber(std::string_view aName)
{
  return ParseHexName(aName, kSegmentPrefix);
}

std::string
SnapshotName(std::uint64_t aIndex)
{
  return HexName(kSnapshotPrefix, aIndex);
}

std::optional<std::uint64_t>
SnapshotIndex(std::string_view aName)
{
  return ParseHexName(aName, kSnapshotPrefix);
}

} // namespace oriolewalk::storage
