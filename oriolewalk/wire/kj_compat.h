#pragma once

// Include before any Cap'n Proto header. Under clang in C++20 mode the headers
// of 0.9.2 fail: `literal == kj::StringPtr` is found twice through the
// rewritten operators. An exact overload settles it; g++ takes both.

#include <kj/string.h>

namespace kj {

inline bool
operator==(const char* aLeft, StringPtr aRight)
{
  return aRight.operator==(StringPtr(aLeft));
}

} // namespace kj
