#include "oriolewalk/cell/resources.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace oriolewalk::cell {

std::string_view
ToString(dimension aDimension)
{
  switch (aDimension) {
    case dimension::Processors:
      return "processors";
    case dimension::Memory:
      return "memory";
    case dimension::Accelerators:
      return "accelerators";
  }
  return "?";
}

std::optional<dimension>
resources::FirstExcess(const resources& aCapacity) const
{
  if (mAccelerators > aCapacity.mAccelerators) {
    return dimension::Accelerators;
  }
  if (mMilliProcessors > aCapacity.mMilliProcessors) {
    return dimension::Processors;
  }
  if (mMemoryMb > aCapacity.mMemoryMb) {
    return dimension::Memory;
  }
  return std::nullopt;
}

std::int64_t
resources::TimesIn(const resources& aCapacity) const
{
  std::int64_t times = std::numeric_limits<std::int64_t>::max();
  const auto need = Amounts();
  const auto capacity = aCapacity.Amounts();
  for (std::size_t at = 0; at < kDimensions; ++at) {
    if (need[at] > 0) {
      times =
        std::min(times, std::max<std::int64_t>(0, capacity[at] / need[at]));
    }
  }
  return times;
}

double
DominantShare(const resources& aPart, const resources& aTotal)
{
  double share = 0;
  const auto part = aPart.Amounts();
  const auto total = aTotal.Amounts();
  for (std::size_t at = 0; at < kDimensions; ++at) {
    if (total[at] > 0) {
      share = std::max(
        share, static_cast<double>(part[at]) / static_cast<double>(total[at]));
    }
  }
  return share;
}

} // namespace oriolewalk::cell
