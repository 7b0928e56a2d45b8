#pragma once

// The kinds of work, of requests and of jobs alike: what an organisation pays
// for is a weight in each of them.
//
//   ToString(work_class::Heavy) == "heavy"
//   ParseWorkClass("heavy") == work_class::Heavy
//
// The numbers stand in the log and in snapshots: never change one.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace oriolewalk {

// In the order in which free room is offered, as far as the bounds between the
// classes allow.
enum class work_class : std::uint8_t
{
  Urgent, // A caller waits.
  Normal,
  Heavy, // May take its time, but is never lost.
};

inline constexpr std::size_t kClassCount = 3;
inline constexpr std::array<work_class, kClassCount> kClasses = {
  work_class::Urgent,
  work_class::Normal,
  work_class::Heavy,
};

constexpr std::size_t
IndexOf(work_class aClass)
{
  return static_cast<std::size_t>(aClass);
}

// "urgent", "normal", "heavy".
std::string_view
ToString(work_class aClass);
// None for any other text, also in capitals.
std::optional<work_class>
ParseWorkClass(std::string_view aText);

} // namespace oriolewalk
