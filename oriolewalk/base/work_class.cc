#include "oriolewalk/base/work_class.h"

#include <algorithm>

namespace oriolewalk {

std::string_view
ToString(work_class aClass)
{
  static constexpr std::array<std::string_view, kClassCount> kNames = {
    "urgent",
    "normal",
    "heavy",
  };
  return kNames.at(IndexOf(aClass));
}

std::optional<work_class>
ParseWorkClass(std::string_view aText)
{
  const auto* const found = std::ranges::find(
    kClasses, aText, [](work_class aClass) { return ToString(aClass); });
  return found == kClasses.end() ? std::nullopt : std::optional(*found);
}

} // namespace oriolewalk
