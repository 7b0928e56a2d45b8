#pragma once

// The organisations of a soak and their keys. All keys contain kKeyMark, which
// must occur in no log.
//
//   StableKey(1)      // in every table, of the second organisation
//   PassingKey(7)     // in the table of version 7 alone, of the first one
//
// Any thread.

#include <cstddef>
#include <cstdint>
#include <string>

namespace oriolewalk::soak {

inline constexpr std::size_t kOrganisations = 3;
inline constexpr const char* kKeyMark = "soak-secret";

inline std::string
StableKey(std::size_t aOrganisation)
{
  return std::string(kKeyMark) + "-stable-" + std::to_string(aOrganisation);
}

inline std::string
PassingKey(std::int64_t aVersion)
{
  return std::string(kKeyMark) + "-passing-" + std::to_string(aVersion);
}

} // namespace oriolewalk::soak
