#include "oriolewalk/machines/call_pacer.h"

#include <algorithm>
#include <chrono>

namespace oriolewalk::machines {

namespace {

// The service counts calls by the second, so a shorter wait would meet the same
// limit again.
constexpr seconds kFirstBackOff{ 1 };
// Half of the usual time of a wave must not pass in one wait.
constexpr seconds kMaxBackOff{ 8 };
constexpr int kMaxDoublings = 3; // kFirstBackOff to kMaxBackOff
// Against a rate of zero.
constexpr double kMinPerS = 0.01;

} // namespace

call_pacer::call_pacer(double aPerS)
  : mInterval(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / std::max(aPerS, kMinPerS))))
{
}

void
call_pacer::OnCall(time_point aNow)
{
  mNextAt = aNow + mInterval;
}

void
call_pacer::OnAnswer(call_result aResult, time_point aNow)
{
  const bool failed = aResult == call_result::TooMany ||
                      aResult == call_result::NotSent ||
                      aResult == call_result::NoAnswer;
  if (!failed) {
    mFailures = 0;
    return;
  }
  const duration backOff =
    std::min<duration>(kFirstBackOff * (1 << mFailures), kMaxBackOff);
  mFailures = std::min(mFailures + 1, kMaxDoublings);
  mNextAt = std::max(mNextAt, aNow + backOff);
}

} // namespace oriolewalk::machines
