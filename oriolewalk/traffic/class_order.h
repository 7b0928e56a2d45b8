#pragma once

// Chooses the class that gets the next free slot.
//
// This handles overload in one class and long work mixed with short work.
// Without these rules urgent work waits behind the rest, the lowest class
// never starts, or long work fills all slots for its whole run time.
//
// - Floor: a waiting class that holds fewer slots than its floor goes first.
//   A floor below one slot is enforced as a share of slot time: the class
//   gains credit while it waits and spends it while it runs.
// - Otherwise urgent goes before normal, and normal before heavy.
// - Cap: long work (heavy, or measured to be long) holds at most its cap even
//   when the other slots are idle, because it cannot be preempted. Long work
//   of other classes leaves the heavy class its floor within the cap. Work
//   that was never measured has a cap of its own.
// - Reserve: where slots become free too rarely to start urgent work in time,
//   some are reserved for it as long as urgent work arrived recently.
//
// Owned by a service_pool; used by one thread. All operations are O(classes).

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
  double mMeanSeconds = 0; // 0 if unknown
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
  // Accounts the time since the last call against the floors. Call it before
  // each change of the held slots and before Order.
  void Advance(const class_loads& aLoads,
               std::uint32_t aSlots,
               time_point aNow);
  // All classes, in the order in which they are served.
  [[nodiscard]] std::array<work_class, kClassCount> Order(
    const class_loads& aLoads,
    std::uint32_t aSlots) const;
  // Whether the class may take another slot. For long work MayStartLong must
  // hold as well.
  [[nodiscard]] bool MayStart(work_class aClass,
                              const class_loads& aLoads,
                              std::uint32_t aSlots,
                              time_point aNow) const;
  // aLongHeld: slots held by long work of any class.
  [[nodiscard]] bool MayStartLong(work_class aClass,
                                  std::uint32_t aLongHeld,
                                  const class_loads& aLoads,
                                  std::uint32_t aSlots) const;
  [[nodiscard]] bool MayStartUnmeasured(std::uint32_t aHeld,
                                        std::uint32_t aSlots) const;
  // Number of slots that the class can rely on for its queued work.
  [[nodiscard]] double GuaranteedSlots(work_class aClass,
                                       const class_loads& aLoads,
                                       std::uint32_t aSlots) const;
  // Whether a waiting class is below its floor and therefore goes first.
  [[nodiscard]] bool IsBelowFloor(work_class aClass,
                                  const class_loads& aLoads,
                                  std::uint32_t aSlots) const;

private:
  [[nodiscard]] double FloorSlots(work_class aClass,
                                  std::uint32_t aSlots) const;

  class_options mOptions;
  // Slot seconds below the floor. Never above 0, so that no credit
  // accumulates.
  std::array<double, kClassCount> mCredit{};
  time_point mAt{};
  std::optional<time_point> mLastUrgentArrival;
};

} // namespace oriolewalk::traffic
