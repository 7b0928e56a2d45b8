#include "oriolewalk/cell/protocol.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace oriolewalk::cell {

std::string_view
ToString(worker_command_kind aKind)
{
  constexpr std::array<std::string_view, 5> kNames{
    "start", "stop", "checkpoint", "throttle", "forget"
  };
  const auto at = static_cast<std::size_t>(aKind);
  return at < kNames.size() ? kNames.at(at) : "?";
}

} // namespace oriolewalk::cell
