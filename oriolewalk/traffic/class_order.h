#pragma once

// Which class gets the next free slot.
//
// Load patterns: overload in one class, and long work among short. Without
// the rules either the urgent wait behind the rest, or the lowest class never
// starts, or long work fills all slots for its whole run time.
//
// - Floor: a class that waits and holds fewer slots than its floor goes first.
//   Where the floor is under one slot, it is a share of time: the class earns
//   it while it waits, and pays while it runs.
// - Then urgent before normal before heavy.
// - Cap: long work (heavy, or measured to be long) holds at most its cap, also
//   when the rest is idle: it cannot be taken back before it ends. Long work
//   of other classes leaves the heavy class its floor within the cap, and work
//   that was never measured is held to a cap of its own.
// - Reserve: where slots come free too seldom to start urgent work in time,
//   some are kept for it, as long as urgent work has been seen lately.
//
// Owned by a service_pool; one thread; O(classes).

#include <array>
#include <cstdint>
#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct class_load
{
  bool mIsWaiting = false;
  std::uint32_t mHeld = 0;
  double mMeanSeconds = 0; // 0: not known
};

using class_loads = std::array<class_load, kClassCount>;

class class_order
{
public:
  explicit class_order(const class_options& aOptions)
    : mOptions(aOptions)
  {
  }

  void OnUrgentArrival(time_point aNow) { mLastUrgentArrival = aNow; }
  // Books the time since the last call to the floors. Call before each change
  // of what is held, and before Order.
  void Advance(const class_loads& aLoads,
               std::uint32_t aSlots,
               time_point aNow);
  // All classes, the one to be served first in front.
  [[nodiscard]] std::array<work_class, kClassCount> Order(
    const class_loads& aLoads,
    std::uint32_t aSlots) const;
  // Whether the class may take a further slot; long work is judged by
  // LongMayStart as well.
  [[nodiscard]] bool MayStart(work_class aClass,
                              const class_loads& aLoads,
                              std::uint32_t aSlots,
                              time_point aNow) const;
  // aLongHeld: slots held by long work, of the heavy class or not.
  [[nodiscard]] bool MayStartLong(work_class aClass,
                                  std::uint32_t aLongHeld,
                                  const class_loads& aLoads,
                                  std::uint32_t aSlots) const;
  [[nodiscard]] bool MayStartUnmeasured(std::uint32_t aHeld,
                                        std::uint32_t aSlots) const;
  // Slots that the class can count on for the work it has queued.
  [[nodiscard]] double GuaranteedSlots(work_class aClass,
                                       const class_loads& aLoads,
                                       std::uint32_t aSlots) const;
  // When a floor that is earned over time lets a waiting class go first.
  [[nodiscard]] bool IsBelowFloor(work_class aClass,
                                  const class_loads& aLoads,
                                  std::uint32_t aSlots) const;

private:
  [[nodiscard]] double FloorSlots(work_class aClass,
                                  std::uint32_t aSlots) const;

  class_options mOptions;
  // Slot seconds below the floor; never above 0, so that nothing is saved up.
  std::array<double, kClassCount> mCredit{};
  time_point mAt{};
  std::optional<time_point> mLastUrgentArrival;
};

} // namespace oriolewalk::traffic
