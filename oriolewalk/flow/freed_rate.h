#pragma once

// Measures at which rate ended runs freed processors over the last seconds.
//
//   freed_rate rate(now);
//   rate.OnEnded(service, priority, milliProcessors, now);
//   for (const auto& [priority, perMs] : rate.RatesOf(service, now)) { ... }
//
// Pure; owned by leader_core; control thread only. Bounded by the services and
// their priorities.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::flow {

class freed_rate
{
public:
  explicit freed_rate(time_point aNow)
    : mStartedAt(aNow)
  {
  }

  void OnEnded(const service_id& aService,
               int aPriority,
               std::int64_t aMilliProcessors,
               time_point aNow);
  // By priority; thousandths of a processor per millisecond.
  [[nodiscard]] std::map<int, double> RatesOf(const service_id& aService,
                                              time_point aNow) const;

private:
  static constexpr std::size_t kSpans = 10;

  struct span_sums
  {
    std::array<std::int64_t, kSpans> mSums{};
    std::int64_t mLast = 0; // number of the newest span
  };

  [[nodiscard]] std::int64_t SpanAt(time_point aNow) const;
  [[nodiscard]] double PerMs(const span_sums& aFreed, time_point aNow) const;

  time_point mStartedAt;
  std::map<std::pair<service_id, int>, span_sums> mFreed;
};

} // namespace oriolewalk::flow
