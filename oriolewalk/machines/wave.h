#pragma once

// An operator's order that machines get an upkeep, and what has come of it.
//
//   wave_order order{ .mNumber = 1, .mMachines = { machine_id("m-1") },
//                     .mDurationMs = 20'000, .mMaxCount = 1 };

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::machines {

struct wave_order
{
  std::uint64_t mNumber = 0; // the operator's
  std::vector<machine_id> mMachines;
  std::int64_t mDurationMs = 0; // in which it should be done
  std::uint32_t mMaxCount = 1;  // machines that may be down at once

  bool operator==(const wave_order&) const = default;
  // What it takes in the memory, once in the order and once where it is done.
  [[nodiscard]] std::size_t Bytes() const
  {
    constexpr std::size_t kMachineBytes = 128;
    constexpr std::size_t kOrderBytes = 256;
    std::size_t bytes = kOrderBytes;
    for (const machine_id& machine : mMachines) {
      bytes += kMachineBytes + 2 * machine.Value().size();
    }
    return bytes;
  }
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNumber, mMachines, mDurationMs, mMaxCount);
  }
};

struct wave_record
{
  wave_order mOrder;
  std::int64_t mAcceptedWallMs = 0;
  // Those that need nothing more: each has begun its upkeep, or has left the
  // list of machines.
  std::set<machine_id> mBegun;
  std::set<machine_id> mLeft;

  [[nodiscard]] bool IsOpen(const machine_id& aMachine) const
  {
    return !mBegun.contains(aMachine) && !mLeft.contains(aMachine);
  }
  [[nodiscard]] bool IsDone() const
  {
    return mBegun.size() + mLeft.size() == mOrder.mMachines.size();
  }
  [[nodiscard]] std::int64_t DeadlineWallMs() const
  {
    return mAcceptedWallMs + mOrder.mDurationMs;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrder, mAcceptedWallMs, mBegun, mLeft);
  }
};

} // namespace oriolewalk::machines
