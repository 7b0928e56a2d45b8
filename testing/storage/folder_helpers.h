#pragma once

// What the tests of the data folder share.

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/storage/data_folder.h"

namespace oriolewalk::storage {

inline const folder_identity kIdentity{ "cell-1", 3 };
inline const std::string kPath = "/data";

inline std::vector<log_record>
Records(std::uint64_t aFrom, std::uint64_t aTo, std::uint64_t aTerm = 1)
{
  std::vector<log_record> records;
  for (auto index = aFrom; index <= aTo; ++index) {
    records.push_back({ index, aTerm, 1, "command " + std::to_string(index) });
  }
  return records;
}

inline opened_folder
MustOpen(file_system& aFiles, const folder_options& aOptions = {})
{
  auto opened = data_folder::Open(aFiles, kPath, kIdentity, aOptions);
  INFO((opened ? "" : opened.error().Describe()));
  REQUIRE(opened);
  return std::move(*opened);
}

inline error
OpenError(file_system& aFiles, const folder_identity& aIdentity = kIdentity)
{
  auto opened = data_folder::Open(aFiles, kPath, aIdentity, {});
  REQUIRE_FALSE(opened);
  return opened.error();
}

// A segment a block, so that a few records make several segments.
inline folder_options
TinySegments()
{
  folder_options options;
  options.mSegmentBytes = 1;
  return options;
}

} // namespace oriolewalk::storage
