#include "oriolewalk/traffic/class_order.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// Urgent work is expected for this long after the last urgent arrival.
constexpr duration kUrgentWindow = seconds(60);
// Bounds the debt of a class that ran alone for a long time.
constexpr double kMaxDebtSeconds = 60;

double
FreeSlotsPerSecond(const class_loads& aLoads)
{
  double rate = 0;
  for (const class_load& load : aLoads) {
    rate += load.mMeanSeconds > 0 ? load.mHeld / load.mMeanSeconds : 0;
  }
  return rate;
}

} // namespace

void
class_order::Advance(const class_loads& aLoads,
                     std::uint32_t aSlots,
                     time_point aNow)
{
  const double step = std::max(0.0, ToSeconds(aNow - mAt));
  mAt = std::max(mAt, aNow);
  for (const work_class each : kClasses) {
    const double balance =
      FloorSlots(each, aSlots) - aLoads.at(IndexOf(each)).mHeld;
    double& credit = mCredit.at(IndexOf(each));
    credit = std::clamp(credit + (balance * step), -kMaxDebtSeconds, 0.0);
  }
}

std::array<work_class, kClassCount>
class_order::Order(const class_loads& aLoads, std::uint32_t aSlots) const
{
  auto order = kClasses;
  std::ranges::stable_partition(order, [&](work_class aClass) {
    return IsBelowFloor(aClass, aLoads, aSlots);
  });
  return order;
}

bool
class_order::MayStart(work_class aClass,
                      const class_loads& aLoads,
                      std::uint32_t aSlots,
                      time_point aNow) const
{
  const bool urgentExpected =
    mLastUrgentArrival && aNow - *mLastUrgentArrival < kUrgentWindow;
  if (aClass == work_class::Urgent || !urgentExpected || aSlots < 2 ||
      FreeSlotsPerSecond(aLoads) * ToSeconds(mOptions.mMaxUrgentStartDelay) >=
        1) {
    return true;
  }
  const double reserved =
    std::max(1.0, std::floor(aSlots * mOptions.mUrgentReserve));
  const std::uint32_t others = aLoads.at(IndexOf(work_class::Normal)).mHeld +
                               aLoads.at(IndexOf(work_class::Heavy)).mHeld;
  return others + reserved < aSlots;
}

bool
class_order::MayStartLong(work_class aClass,
                          std::uint32_t aLongHeld,
                          const class_loads& aLoads,
                          std::uint32_t aSlots) const
{
  const double cap = std::max(1.0, std::floor(aSlots * mOptions.mLongCap));
  const std::uint32_t heavy = aLoads.at(IndexOf(work_class::Heavy)).mHeld;
  const double floor = FloorSlots(work_class::Heavy, aSlots);
  if (aClass == work_class::Heavy) {
    return aLongHeld < cap;
  }
  return aLongHeld - heavy < std::max(1.0, std::floor(cap - floor)) &&
         aLongHeld < cap;
}

bool
class_order::MayStartUnmeasured(std::uint32_t aHeld, std::uint32_t aSlots) const
{
  return aSlots < mOptions.mUnmeasuredCapMinSlots ||
         aHeld < aSlots * mOptions.mUnmeasuredCap;
}

double
class_order::GuaranteedSlots(work_class aClass,
                             const class_loads& aLoads,
                             std::uint32_t aSlots) const
{
  double floor = FloorSlots(aClass, aSlots);
  if (aClass == work_class::Urgent) {
    floor = aSlots - FloorSlots(work_class::Normal, aSlots) -
            FloorSlots(work_class::Heavy, aSlots);
  }
  return std::max<double>(floor, aLoads.at(IndexOf(aClass)).mHeld);
}

bool
class_order::IsBelowFloor(work_class aClass,
                          const class_loads& aLoads,
                          std::uint32_t aSlots) const
{
  const class_load& load = aLoads.at(IndexOf(aClass));
  const double floor = FloorSlots(aClass, aSlots);
  if (!load.mIsWaiting || floor <= 0) {
    return false;
  }
  if (floor >= 1) {
    return load.mHeld + 1 <= floor;
  }
  return load.mHeld == 0 && mCredit.at(IndexOf(aClass)) >= 0;
}

double
class_order::FloorSlots(work_class aClass, std::uint32_t aSlots) const
{
  return mOptions.mFloor.at(IndexOf(aClass)) * aSlots;
}

} // namespace oriolewalk::traffic
