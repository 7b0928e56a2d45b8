#pragma once

// Rate and burst of admissions.
//
// Load pattern: an organisation that pays for a rate sends more. Without the
// limit it may take what is idle now and is needed a moment later. Owned by a
// flow; one thread; O(1).

#include <optional>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::traffic {

class token_bucket
{
public:
  // aRate per second, none: no limit. aBurst, none: one second of the rate; at
  // least one, unless the rate is 0. A bucket that had no limit so far starts
  // full.
  void Configure(std::optional<double> aRate,
                 std::optional<double> aBurst,
                 time_point aNow);
  // Time until the next token; 0 if Take would succeed now. The longest span
  // that there is, if there will never be one.
  [[nodiscard]] duration Wait(time_point aNow) const;
  void Take(time_point aNow);
  // Nothing to remember: a new bucket would be the same.
  [[nodiscard]] bool IsFull(time_point aNow) const;

private:
  [[nodiscard]] double Tokens(time_point aNow) const;

  std::optional<double> mRate;
  double mBurst = 0;
  double mTokens = 0;
  time_point mAt{};
};

} // namespace oriolewalk::traffic
