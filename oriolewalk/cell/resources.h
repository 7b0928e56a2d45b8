#pragma once

// The resource amounts of a worker's capacity and of a task's request.
//
//   if (request.FitsIn(worker.mCapacity - worker.mBooked)) { ... }

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace oriolewalk::cell {

enum class dimension : std::uint8_t
{
  Processors,
  Memory,
  Accelerators,
};

constexpr std::size_t kDimensions = 3;

std::string_view
ToString(dimension aDimension);

// A value type. Amounts are in thousandths of a processor, mebibytes and whole
// accelerators.
struct resources
{
  std::int64_t mMilliProcessors = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& aOther)
  {
    mMilliProcessors += aOther.mMilliProcessors;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  resources& operator-=(const resources& aOther)
  {
    mMilliProcessors -= aOther.mMilliProcessors;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  friend resources operator+(resources aLeft, const resources& aRight)
  {
    return aLeft += aRight;
  }
  friend resources operator-(resources aLeft, const resources& aRight)
  {
    return aLeft -= aRight;
  }
  friend resources operator*(resources aLeft, std::int64_t aTimes)
  {
    return { aLeft.mMilliProcessors * aTimes,
             aLeft.mMemoryMb * aTimes,
             aLeft.mAccelerators * aTimes };
  }

  [[nodiscard]] std::array<std::int64_t, kDimensions> Amounts() const
  {
    return { mMilliProcessors, mMemoryMb, mAccelerators };
  }
  // Returns true if every dimension is at most that of aCapacity.
  [[nodiscard]] bool FitsIn(const resources& aCapacity) const
  {
    return mMilliProcessors <= aCapacity.mMilliProcessors &&
           mMemoryMb <= aCapacity.mMemoryMb &&
           mAccelerators <= aCapacity.mAccelerators;
  }
  // Returns a dimension that is larger than that of aCapacity, or nullopt if
  // all fit. Accelerators are checked first, then processors, then memory.
  [[nodiscard]] std::optional<dimension> FirstExcess(
    const resources& aCapacity) const;
  // Returns how many times this amount fits into aCapacity. The result is the
  // largest int64 if every dimension is 0.
  [[nodiscard]] std::int64_t TimesIn(const resources& aCapacity) const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mMilliProcessors, mMemoryMb, mAccelerators);
  }
};

// Returns the maximum in each dimension.
inline resources
Largest(const resources& aLeft, const resources& aRight)
{
  return { std::max(aLeft.mMilliProcessors, aRight.mMilliProcessors),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

// Returns the minimum in each dimension.
inline resources
Least(const resources& aLeft, const resources& aRight)
{
  return { std::min(aLeft.mMilliProcessors, aRight.mMilliProcessors),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

// Returns the largest fraction of aTotal that aPart takes in any dimension. A
// dimension with a total of 0 is skipped.
double
DominantShare(const resources& aPart, const resources& aTotal);

} // namespace oriolewalk::cell
