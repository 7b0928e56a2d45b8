#include "oriolewalk/cell/packing.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

double
Share(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                    : 0;
}

} // namespace

double
Score(const best_fit& /*aPolicy*/,
      const resources& aRequest,
      const resources& aFree,
      const resources& aCapacity)
{
  const resources left = aFree - aRequest;
  return Share(left.mMilliProcessors, aCapacity.mMilliProcessors) +
         Share(left.mMemoryMb, aCapacity.mMemoryMb) +
         Share(left.mAccelerators, aCapacity.mAccelerators);
}

double
Score(const shaped_fit& /*aPolicy*/,
      const resources& aRequest,
      const resources& aFree,
      const resources& aCapacity)
{
  // See docs/CELL.md. Imbalance must outweigh emptiness, and an accelerator
  // left idle by a task that doesn't use it must outweigh much of both.
  constexpr double kImbalance = 2.0;
  constexpr double kIdleAccelerator = 4.0;
  const resources left = aFree - aRequest;
  const double processors =
    Share(left.mMilliProcessors, aCapacity.mMilliProcessors);
  const double memory = Share(left.mMemoryMb, aCapacity.mMemoryMb);
  const double emptiness = processors + memory;
  const double imbalance =
    std::abs(processors - memory) -
    std::abs(Share(aFree.mMilliProcessors, aCapacity.mMilliProcessors) -
             Share(aFree.mMemoryMb, aCapacity.mMemoryMb));
  const double idle =
    aRequest.mAccelerators == 0
      ? Share(aFree.mAccelerators, aCapacity.mAccelerators)
      : -Share(aRequest.mAccelerators,
               std::max<std::int64_t>(1, aFree.mAccelerators));
  return emptiness + kImbalance * imbalance + kIdleAccelerator * idle;
}

} // namespace oriolewalk::cell
