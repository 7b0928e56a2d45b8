#pragma once

// A file that is written whole: a header with a checksum, then the content.
// The identity and the snapshots are such files.

#include <cstdint>
#include <string>
#include <string_view>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"

namespace oriolewalk::storage {

// aKind keeps one kind of file from being read as another.
bytes
Seal(std::string_view aKind, std::string_view aContent);

// The content, as a view into aFile. aPath is for the error. Errors: Corrupt
// with path and offset, InvalidArgument for a newer format.
result<std::string_view>
Unseal(std::string_view aKind,
       std::string_view aFile,
       const std::string& aPath);

} // namespace oriolewalk::storage
