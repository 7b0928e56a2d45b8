#pragma once

// Bytes of typed records, for the log, for snapshots and for messages between
// our processes. The codec is cereal's portable binary: a record lists its
// fields once in
//
//   template<class Archive> void serialize(Archive& aArchive)
//   { aArchive(mKey, mAttempt); }
//
// and bytes = Encode(record), record = Decode<my_record>(bytes). cereal throws
// on bad input; Decode turns that into error_code::Corrupt. Cost: linear in
// the record, one allocation of the stream buffer.

#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "oriolewalk/base/error.h"

namespace oriolewalk {

// Octets in the log and on the wire. A string, since that is what cereal,
// Cap'n Proto and Beast hand over without a copy.
using bytes = std::string;

template<class Record>
bytes
Encode(const Record& aRecord)
{
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aRecord);
  }
  return std::move(stream).str();
}

// Errors: Corrupt, if the bytes are too short, too long or malformed.
template<class Record>
result<Record>
Decode(std::string_view aBytes, std::string_view aStep)
{
  Record record{};
  std::istringstream stream{ std::string(aBytes), std::ios::binary };
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(record);
  } catch (const std::exception& problem) {
    return Fail(error_code::Corrupt, aStep, problem.what());
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    return Fail(error_code::Corrupt, aStep, "bytes left over");
  }
  return record;
}

} // namespace oriolewalk
