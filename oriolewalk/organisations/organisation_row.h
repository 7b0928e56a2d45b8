#pragma once

// The row of an organisation in the operator's table.
//
//   const std::vector<organisation_row> rows{
//     { organisation_id("court"), { "KEY-1", "KEY-2" }, 14, { 2'000'000, 0, 0 }
//     }
//   };
//   if (auto sound = CheckRows(rows); !sound) { /* sound.error() names it */ }
//
// Plain data; any thread. Keys are secrets: they are neither logged nor part of
// an error's text.

#include <span>
#include <string>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::organisations {

struct organisation_row
{
  organisation_id mName;
  std::vector<std::string> mKeys; // each authenticates its callers
  // Its share, relative to the weights of the others, when all is full.
  double mWeight = 1;
  // What its running tasks may take together. 0 in a dimension: no limit.
  cell::resources mMaximum;

  bool operator==(const organisation_row&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mName, mKeys, mWeight, mMaximum);
  }
};

// Errors: InvalidArgument, which names the row and the rule that it violates: a
// name that is empty or used twice, a key that is empty or used twice, a weight
// that isn't above 0, a negative maximum.
result<void>
CheckRows(std::span<const organisation_row> aRows);

} // namespace oriolewalk::organisations
