#pragma once

// Decides whether an attempt may be followed by another one.
//
//   if (MayRetry(attempt) && budget.TrySpend(now)) { … place it again … }
//
// This handles failing targets while callers and entries send again. Without
// the budget each failure causes another arrival, the load doubles when
// capacity is lowest, and the system stays overloaded after the cause is gone.

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct ended_attempt
{
  finish_result mResult = finish_result::Unknown;
  bool mRepeatable = false;
  // The attempt is known to have ended: it was answered or refused before
  // start, or its target reported the end or is known to be gone.
  bool mHasEnded = false;
};

// Allows a retry only for an attempt that is known not to have started, or that
// is repeatable and known to have ended: a payment must not be made twice, not
// even by overlapping attempts. An answer is final even if it reports a
// failure; the caller decides what to do.
[[nodiscard]] bool
MayRetry(const ended_attempt& aAttempt);

struct retry_options
{
  double mShareOfSuccesses = 0.1;
  double mMaxTokens = 100;    // bounds the accumulated retries
  double mMinPerSecond = 0.5; // lets a quiet service retry at all
};

// The budget of one service. Used by one thread; all operations are O(1).
class retry_budget
{
public:
  explicit retry_budget(const retry_options& aOptions = {});
  void OnSuccess();
  // Returns true and takes one token if a retry may be made.
  [[nodiscard]] bool TrySpend(time_point aNow);
  [[nodiscard]] double Available(time_point aNow) const;

private:
  retry_options mOptions;
  double mTokens = 1;
  time_point mAt{};
};

} // namespace oriolewalk::traffic
