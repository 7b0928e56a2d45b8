#pragma once

// Tells which organisation a caller's key belongs to.
//
//   key_index index(secretSeed);
//   index.Update(rows);
//   const organisation_id* owner = index.OwnerOf(key); // null: unknown key
//
// A lookup is O(1). Its time tells nothing about how much of a key was right:
// keys are found by a hash with a secret seed and then compared in full. Update
// touches only the keys of rows that changed.
//
// Owned by the replicated state; one thread. Does no I/O.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/organisations/organisation_row.h"

namespace oriolewalk::organisations {

class key_index
{
public:
  // aSeed: unknown to callers; it need not be the same on other replicas.
  explicit key_index(std::uint64_t aSeed);

  // Replaces the rows. They must have passed CheckRows().
  void Update(std::span<const organisation_row> aRows);
  // The result is valid until the next update.
  [[nodiscard]] const organisation_id* OwnerOf(std::string_view aKey) const;
  [[nodiscard]] std::size_t Size() const { return mOwners.size(); }

private:
  struct key_hash
  {
    std::uint64_t mSeed = 0;

    std::size_t operator()(const std::string& aKey) const;
  };
  // std::equal_to would stop at the first difference.
  struct constant_time_equal
  {
    bool operator()(const std::string& aLeft, const std::string& aRight) const;
  };

  std::
    unordered_map<std::string, organisation_id, key_hash, constant_time_equal>
      mOwners;
  std::unordered_map<organisation_id, std::vector<std::string>> mKeys;
};

} // namespace oriolewalk::organisations
