#pragma once

// Numbers of fixed width, low byte first, as headers of files hold them.

#include <concepts>
#include <cstddef>
#include <string_view>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::storage {

inline constexpr unsigned kBitsPerByte = 8;

template<std::unsigned_integral Number>
void
AppendFixed(bytes& aTo, Number aValue)
{
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    aTo.push_back(static_cast<char>(aValue >> (kBitsPerByte * i)));
  }
}

// aFrom must hold sizeof(Number) bytes at aOffset.
template<std::unsigned_integral Number>
Number
ReadFixed(std::string_view aFrom, std::size_t aOffset)
{
  Number value = 0;
  for (std::size_t i = sizeof(Number); i-- > 0;) {
    value = static_cast<Number>(value << kBitsPerByte) |
            static_cast<unsigned char>(aFrom[aOffset + i]);
  }
  return value;
}

} // namespace oriolewalk::storage
