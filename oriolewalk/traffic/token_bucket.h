#pragma once

// Limits the rate and burst of admissions.
//
// This handles an organisation that sends more than the rate it pays for.
// Without the limit it could take capacity that is idle now and needed a moment
// later. Owned by a flow; used by one thread; O(1).

#include <optional>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::traffic {

class token_bucket
{
public:
  // aRate is per second; without it there is no limit. aBurst defaults to one
  // second of the rate, and is at least one unless the rate is 0. A bucket that
  // had no limit before starts full.
  void Configure(std::optional<double> aRate,
                 std::optional<double> aBurst,
                 time_point aNow);
  // Time until the next token, and 0 if Take would succeed now. Returns
  // duration::max() if there will never be one.
  [[nodiscard]] duration Wait(time_point aNow) const;
  void Take(time_point aNow);
  // Whether the bucket has no state to preserve: a new one would be the same.
  [[nodiscard]] bool IsFull(time_point aNow) const;

private:
  [[nodiscard]] double Tokens(time_point aNow) const;

  std::optional<double> mRate;
  double mBurst = 0;
  double mTokens = 0;
  time_point mAt{};
};

} // namespace oriolewalk::traffic
