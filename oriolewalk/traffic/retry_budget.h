#pragma once

// When an attempt may be followed by another one.
//
//   if (MayRunAgain(attempt) && budget.Spend(now)) { … place it again … }
//
// Load pattern: failing targets while callers and entries send again. Without
// the budget each failure makes a further arrival, the load doubles when
// capacity is least, and the system stays down after the cause is gone.

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct ended_attempt
{
  finish_result mResult = finish_result::Unknown;
  bool mRepeatable = false;
  // It surely runs nowhere any more: answered, refused before start, or its
  // target said so or is surely gone.
  bool mHasEnded = false;
};

// Only what surely did not start, or may be repeated and surely ended: a
// payment must not be made twice, also not by two attempts that overlap.
// An answer, also one of failure, is the caller's to judge.
[[nodiscard]] bool
MayRetry(const ended_attempt& aAttempt);

struct retry_options
{
  double mShareOfSuccesses = 0.1;
  double mMaxTokens = 100;    // retries saved up
  double mMinPerSecond = 0.5; // so that a quiet service can retry at all
};

// One service. One owner, one thread; O(1).
class retry_budget
{
public:
  explicit retry_budget(const retry_options& aOptions = {});
  void OnSuccess();
  // True if a retry may be made; it is then counted.
  [[nodiscard]] bool TrySpend(time_point aNow);
  [[nodiscard]] double Available(time_point aNow) const;

private:
  retry_options mOptions;
  double mTokens = 1;
  time_point mAt{};
};

} // namespace oriolewalk::traffic
