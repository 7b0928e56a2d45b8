#pragma once

// Reads a data folder, without changing it. data_folder::Open repairs and goes
// on from what this finds; Verify reports it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {

inline constexpr std::string_view kLockName = "LOCK";
inline constexpr std::string_view kIdentityName = "IDENTITY";
inline constexpr std::string_view kIdentityKind = "identity";
inline constexpr std::string_view kSnapshotKind = "snapshot";

struct recovered_segment
{
  std::uint64_t mNumber = 0;
  std::uint64_t mHighestIndex = 0; // Of any record in it; 0 if none.
  std::uint64_t mFileSize = 0;
  std::uint64_t mGoodEnd = 0; // Less than mFileSize if the tail is torn.
  std::uint64_t mBlocks = 0;
  std::uint64_t mLastBlockAt = 0;
  bytes mLastBlock;
};

struct folder_contents
{
  std::optional<folder_identity> mIdentity;
  recovered_state mState;
  std::uint64_t mLastIndex = 0;
  std::vector<recovered_segment> mSegments; // By number, without a gap.
  std::vector<std::string> mLeftovers;      // Names that nothing needs.
};

// The names in a folder, sorted by what they are.
struct folder_listing
{
  bool mHasIdentity = false;
  std::vector<std::uint64_t> mSegments;  // Ascending.
  std::vector<std::uint64_t> mSnapshots; // Ascending.
  std::vector<std::string> mTemporary;
};

result<folder_listing>
ListFolder(file_system& aFiles, const std::string& aPath);

// Errors: Corrupt with file and offset, InvalidArgument for a newer format, Io.
result<folder_contents>
ReadFolder(file_system& aFiles, const std::string& aPath);

result<folder_identity>
ReadIdentity(file_system& aFiles, const std::string& aPath);
result<snapshot_record>
ReadSnapshot(file_system& aFiles,
             const std::string& aPath,
             std::uint64_t aIndex);

} // namespace oriolewalk::storage
