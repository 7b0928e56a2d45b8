#pragma once

// Amounts of what a worker has and a task asks for.
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

// A value; any thread. Amounts are in thousandths of a processor, mebibytes
// and whole accelerators.
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
  // True, if every dimension is at most aRoom's.
  [[nodiscard]] bool FitsIn(const resources& aRoom) const
  {
    return mMilliProcessors <= aRoom.mMilliProcessors &&
           mMemoryMb <= aRoom.mMemoryMb && mAccelerators <= aRoom.mAccelerators;
  }
  // The first dimension that is larger than aRoom's; none, if it fits.
  [[nodiscard]] std::optional<dimension> FirstExcess(
    const resources& aRoom) const;
  // How many of these fit into aRoom; 0 in every dimension fits without end.
  [[nodiscard]] std::int64_t TimesIn(const resources& aRoom) const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mMilliProcessors, mMemoryMb, mAccelerators);
  }
};

// Dimension by dimension.
inline resources
Largest(const resources& aLeft, const resources& aRight)
{
  return { std::max(aLeft.mMilliProcessors, aRight.mMilliProcessors),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

// Dimension by dimension.
inline resources
Least(const resources& aLeft, const resources& aRight)
{
  return { std::min(aLeft.mMilliProcessors, aRight.mMilliProcessors),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

// The largest share of aTotal that aPart takes in any dimension, 0 to 1.
double
DominantShare(const resources& aPart, const resources& aTotal);

} // namespace oriolewalk::cell
