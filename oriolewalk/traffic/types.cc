#include "oriolewalk/traffic/types.h"

#include <array>
#include <string_view>

namespace oriolewalk::traffic {

std::string_view
ToString(refusal aRefusal)
{
  static constexpr std::array<std::string_view, kRefusalCount> kNames = {
    "overloaded", "limit reached", "cannot meet deadline",
    "expired",    "no target",
  };
  return kNames.at(static_cast<std::size_t>(aRefusal));
}

} // namespace oriolewalk::traffic
