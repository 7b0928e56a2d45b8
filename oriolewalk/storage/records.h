#pragma once

// What a data folder keeps. The folder knows nothing of what the payloads
// mean: votes, commands and snapshot bodies are opaque bytes to it.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::storage {

// One entry of the replicated log.
struct log_record
{
  std::uint64_t mIndex = 0; // From 1, without gaps.
  std::uint64_t mTerm = 0;
  std::uint8_t mKind = 0; // The owner's; not looked at here.
  bytes mPayload;

  bool operator==(const log_record&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mTerm, mKind, mPayload);
  }
};

// The state after applying the log up to and including mIndex.
struct snapshot_record
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  bytes mBody;

  bool operator==(const snapshot_record&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIndex, mTerm, mBody);
  }
};

// Whose folder it is. A folder that was copied to another node, or mounted by
// mistake, must not be voted with: its owner may still be alive.
struct folder_identity
{
  std::string mCluster;
  std::uint64_t mNode = 0;

  bool operator==(const folder_identity&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mCluster, mNode);
  }
};

// Everything that the folder holds, as Open found it. All of it is durable by
// the time Open returns.
struct recovered_state
{
  bytes mVote; // As last saved; empty if never.
  std::optional<snapshot_record> mSnapshot;
  std::vector<log_record> mRecords; // Those after the snapshot, in order.
  // Nothing was ever made durable here: the folder is new, or it was wiped. A
  // voter must not act as if it remembered that it has not voted.
  bool mFresh = false;
  // For the log: each torn tail that was cut, with file and offset.
  std::vector<std::string> mNotes;
};

} // namespace oriolewalk::storage
