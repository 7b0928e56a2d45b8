#pragma once

// Forecasts the processors that the arrivals of a queue keep at work: from
// their level, their trend, and the period of a wave if there is one.
//
//   demand_forecast forecast;
//   forecast.OnArrival(queue, processorMs, now);
//   const double more = forecast.ExpectedGrowth(queue, now, seconds(6));
//
// Arrivals of work per time are processors: work of 6 processor seconds that
// arrives each second keeps 6 processors at work.
//
// The load that it addresses is waves of 11 and 17 s and bursts of 4 s.
//
// Soft state of the leader; bounded by kMaxQueues. Pure; no clock. A call costs
// a constant, but the first one in each half second, which looks for a period.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::flow {

class demand_forecast
{
public:
  static constexpr std::size_t kMaxQueues = 64;

  void OnArrival(const std::string& aQueue,
                 double aProcessorMs,
                 time_point aNow);
  // The most processors that the queue is expected to keep at work between
  // aNow and aNow + aHorizon.
  [[nodiscard]] double ExpectedProcessors(const std::string& aQueue,
                                          time_point aNow,
                                          duration aHorizon) const;
  // How many more these are than at present. 0 if they may be as many by
  // chance.
  [[nodiscard]] double ExpectedGrowth(const std::string& aQueue,
                                      time_point aNow,
                                      duration aHorizon) const;

private:
  // Arrivals are summed in intervals of this length, numbered from the epoch.
  static constexpr milliseconds kBin{ 500 };
  static constexpr std::int64_t kBins = 96;

  struct bin
  {
    double mWork = 0;
    double mSquares = 0; // of the works that arrived
  };

  // The arrivals of one queue.
  struct series
  {
    std::array<bin, kBins> mArrivals{};
    std::int64_t mFirst = 0; // the first number of which anything is known
    std::int64_t mLast = 0;
    std::int64_t mPeriod = 0; // in bins; 0: no wave
    double mCorrelation = 0;  // of the arrivals with those a period earlier
  };

  static std::int64_t BinOf(time_point aTime)
  {
    return aTime.time_since_epoch() / kBin;
  }
  static bin At(const series& aSeries, std::int64_t aBin);
  static bin Sum(const series& aSeries, std::int64_t aEnd);
  static double Processors(const series& aSeries, std::int64_t aEnd);
  static void FindPeriod(series& aSeries);
  static double Trend(const series& aSeries, std::int64_t aNow);
  static double Wave(const series& aSeries,
                     std::int64_t aNow,
                     std::int64_t aHorizon);

  std::map<std::string, series, std::less<>> mQueues;
};

} // namespace oriolewalk::flow
