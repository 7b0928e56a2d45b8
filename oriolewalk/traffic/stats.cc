#include "oriolewalk/traffic/stats.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace oriolewalk::traffic {

std::string_view
ToString(target_phase aPhase)
{
  static constexpr std::array<std::string_view, 5> kNames = {
    "up", "probing", "ejected", "leaving", "gone",
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

} // namespace oriolewalk::traffic
