#include "oriolewalk/flow/freed_rate.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "oriolewalk/flow/whole_ms.h"

namespace oriolewalk::flow {

namespace {

// All spans together are longer than a burst of arrivals, of 4 s.
constexpr milliseconds kSpan{ 500 };

} // namespace

std::int64_t
freed_rate::SpanAt(time_point aNow) const
{
  return (aNow - mStartedAt) / kSpan;
}

void
freed_rate::OnEnded(const service_id& aService,
                    int aPriority,
                    std::int64_t aMilliProcessors,
                    time_point aNow)
{
  span_sums& freed = mFreed[{ aService, aPriority }];
  const std::int64_t now = SpanAt(aNow);
  const auto spans = static_cast<std::int64_t>(kSpans);
  for (std::int64_t span = std::max(freed.mLast + 1, now - spans + 1);
       span <= now;
       ++span) {
    freed.mSums.at(static_cast<std::size_t>(span % spans)) = 0;
  }
  freed.mLast = now;
  freed.mSums.at(static_cast<std::size_t>(now % spans)) += aMilliProcessors;
}

std::map<int, double>
freed_rate::RatesOf(const service_id& aService, time_point aNow) const
{
  std::map<int, double> rates;
  for (auto freed =
         mFreed.lower_bound({ aService, std::numeric_limits<int>::min() });
       freed != mFreed.end() && freed->first.first == aService;
       ++freed) {
    rates[freed->first.second] = PerMs(freed->second, aNow);
  }
  return rates;
}

double
freed_rate::PerMs(const span_sums& aFreed, time_point aNow) const
{
  const auto window = std::min<duration>(
    kSpan * static_cast<std::int64_t>(kSpans), aNow - mStartedAt);
  if (window < kSpan) {
    return 0;
  }
  const auto spans = static_cast<std::int64_t>(kSpans);
  std::int64_t sum = 0;
  for (std::int64_t span = std::max<std::int64_t>(0, SpanAt(aNow) - spans + 1);
       span <= aFreed.mLast;
       ++span) {
    sum += aFreed.mSums.at(static_cast<std::size_t>(span % spans));
  }
  return static_cast<double>(sum) / static_cast<double>(ToMs(window));
}

} // namespace oriolewalk::flow
