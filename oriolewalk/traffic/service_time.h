#pragma once

// The measured mean time for which work holds a slot.
//
// This handles declared times that are often wrong. Without a measured time the
// queue cannot predict whether a deadline can be met, and slot time cannot be
// charged in advance. The mean is exponentially weighted: with a weight of 1/16
// it follows a lasting change within about 30 answers, and one outlier moves it
// by a sixteenth. Owned by a flow or a class; used by one thread; O(1).

#include <cstdint>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::traffic {

inline double
ToSeconds(duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

inline duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(aSeconds));
}

class service_time
{
public:
  void Add(duration aMeasured);
  [[nodiscard]] bool IsKnown() const { return mCount > 0; }
  [[nodiscard]] double Seconds() const { return mSeconds; } // 0 if unknown

private:
  double mSeconds = 0;
  std::uint32_t mCount = 0;
};

} // namespace oriolewalk::traffic
