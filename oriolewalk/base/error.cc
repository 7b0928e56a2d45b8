#include "oriolewalk/base/error.h"

#include <array>
#include <cstddef>

namespace oriolewalk {

std::string_view
ToString(error_code aCode)
{
  static constexpr std::array<std::string_view, 11> kNames = {
    "invalid argument", "not found",      "conflict", "not leader",
    "unavailable",      "timeout",        "busy",     "corrupt",
    "i/o error",        "internal error", "full",
  };
  return kNames.at(static_cast<std::size_t>(aCode));
}

error
error::At(std::string_view aStep) const
{
  error outer = *this;
  outer.mStep =
    mStep.empty() ? std::string(aStep) : std::string(aStep) + ": " + mStep;
  return outer;
}

error
error::With(std::string_view aPeer) const
{
  error named = *this;
  named.mPeer = std::string(aPeer);
  return named;
}

std::string
error::Describe() const
{
  std::string text(ToString(mCode));
  if (!mStep.empty()) {
    text += " at " + mStep;
  }
  if (!mPeer.empty()) {
    text += " with " + mPeer;
  }
  if (!mMessage.empty()) {
    text += ": " + mMessage;
  }
  return text;
}

} // namespace oriolewalk
