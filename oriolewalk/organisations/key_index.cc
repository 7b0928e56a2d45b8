#include "oriolewalk/organisations/key_index.h"

#include <algorithm>
#include <functional>
#include <unordered_set>

#include <xxhash.h>

namespace oriolewalk::organisations {

std::size_t
key_index::key_hash::operator()(const std::string& aKey) const
{
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), mSeed);
}

bool
key_index::constant_time_equal::operator()(const std::string& aLeft,
                                           const std::string& aRight) const
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t at = 0; at < aLeft.size(); ++at) {
    difference |= static_cast<unsigned char>(aLeft[at]) ^
                  static_cast<unsigned char>(aRight[at]);
  }
  return difference == 0;
}

key_index::key_index(std::uint64_t aSeed)
  : mOwners(0, key_hash{ aSeed })
{
}

void
key_index::Update(std::span<const organisation_row> aRows)
{
  std::unordered_set<organisation_id> named;
  std::vector<const organisation_row*> changed;
  for (const organisation_row& row : aRows) {
    named.insert(row.mName);
    const auto known = mKeys.find(row.mName);
    if (known == mKeys.end() || known->second != row.mKeys) {
      changed.push_back(&row);
    }
  }
  // All old keys go before the first new one comes, since a key may move from
  // one organisation to another.
  const auto eraseKeys = [this](const std::vector<std::string>& aKeys) {
    for (const std::string& key : aKeys) {
      mOwners.erase(key);
    }
  };
  for (const organisation_row* row : changed) {
    eraseKeys(mKeys[row->mName]);
  }
  std::erase_if(mKeys, [&](const auto& aEntry) {
    const bool gone = !named.contains(aEntry.first);
    if (gone) {
      eraseKeys(aEntry.second);
    }
    return gone;
  });
  for (const organisation_row* row : changed) {
    mKeys[row->mName] = row->mKeys;
    for (const std::string& key : row->mKeys) {
      mOwners[key] = row->mName;
    }
  }
}

const organisation_id*
key_index::OwnerOf(std::string_view aKey) const
{
  const auto found = mOwners.find(std::string(aKey));
  return found == mOwners.end() ? nullptr : &found->second;
}

} // namespace oriolewalk::organisations
