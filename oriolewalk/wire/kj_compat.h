#pragma once

// Include before any Cap'n Proto header. Under clang in C++20 mode the headers
// of 0.9.2 fail: `literal == kj::StringPtr` is ambiguous because of the
// rewritten operators. An exact overload resolves it.

#include <kj/string.h>

namespace kj {

inline bool
operator==(const char* aLeft, StringPtr aRight)
{
  return aRight.operator==(StringPtr(aLeft));
}

} // namespace kj
