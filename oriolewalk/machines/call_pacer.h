#pragma once

// Limits the rate of one kind of call, and backs off after failures.
//
//   call_pacer orders(2); // per second
//   if (orders.MayCall(now)) { orders.OnCall(now); ... }
//   orders.OnAnswer(result, now);
//
// Pure; no clock.

#include "oriolewalk/base/clock.h"
#include "oriolewalk/machines/machine_call.h"

namespace oriolewalk::machines {

class call_pacer
{
public:
  explicit call_pacer(double aPerS);

  [[nodiscard]] bool MayCall(time_point aNow) const { return aNow >= mNextAt; }
  [[nodiscard]] duration Interval() const { return mInterval; }
  void OnCall(time_point aNow);
  // A call that wasn't taken, or that got no answer, doubles the wait for the
  // next one; any other answer ends it.
  void OnAnswer(call_result aResult, time_point aNow);

private:
  duration mInterval;
  time_point mNextAt = time_point::min();
  int mFailures = 0; // consecutive
};

} // namespace oriolewalk::machines
