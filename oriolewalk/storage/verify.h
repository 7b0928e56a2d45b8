#pragma once

// Offline check of a data folder, for operators. Changes nothing and takes no
// lock; beside a running owner the last block may look torn.
//
//   auto report = Verify(files, "/var/lib/oriole");
//   if (!report || !report->Sound()) { ... }

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {

struct verify_finding
{
  std::string mFile;
  std::uint64_t mOffset = 0;
  std::string mMessage;
  bool mDamage = true; // false: a torn tail, which the next start cuts.
};

struct verify_report
{
  std::optional<folder_identity> mIdentity;
  std::uint64_t mSegments = 0;
  std::uint64_t mBlocks = 0;
  std::uint64_t mBytes = 0; // Of all segments and snapshots.
  std::optional<std::uint64_t> mSnapshotIndex;
  std::uint64_t mFirstIndex = 0; // 0: no records after the snapshot.
  std::uint64_t mLastIndex = 0;
  std::uint64_t mVoteBytes = 0;
  std::vector<verify_finding> mFindings;

  // The owner would start from it.
  [[nodiscard]] bool Sound() const;
  // One line a fact, for a terminal.
  [[nodiscard]] std::string ToText() const;
};

// Reads every file, also after damage in one. Errors: NotFound (no such
// folder), Io; damage is not an error but a finding.
result<verify_report>
Verify(file_system& aFiles, const std::string& aPath);

} // namespace oriolewalk::storage
