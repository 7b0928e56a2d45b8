#include "oriolewalk/flow/demand_forecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oriolewalk::flow {

namespace {

// A level is the mean of this many bins, 2 s: in it tens of jobs arrive, so
// that their chance differences don't hide a wave.
constexpr std::int64_t kWindow = 4;
// Periods that are looked for, in bins: 8 to 20 s.
constexpr std::int64_t kMinPeriod = 16;
constexpr std::int64_t kMaxPeriod = 40;
// Arrivals that are correlated less with those a period earlier may be so by
// chance: about 15 independent levels are compared.
constexpr double kMinCorrelation = 0.7;
// A difference of so many standard errors isn't chance.
constexpr double kMinErrors = 2;

} // namespace

void
demand_forecast::OnArrival(const std::string& aQueue,
                           double aProcessorMs,
                           time_point aNow)
{
  const std::int64_t now = BinOf(aNow);
  auto found = mQueues.find(aQueue);
  if (found == mQueues.end()) {
    if (mQueues.size() >= kMaxQueues) {
      mQueues.erase(std::ranges::min_element(
        mQueues, {}, [](const auto& aOne) { return aOne.second.mLast; }));
    }
    found = mQueues.emplace(aQueue, series{}).first;
    found->second.mFirst = now;
    found->second.mLast = now;
  }
  series& known = found->second;
  if (now > known.mLast) {
    for (std::int64_t next = std::max(known.mLast + 1, now - kBins + 1);
         next <= now;
         ++next) {
      known.mArrivals.at(static_cast<std::size_t>(next % kBins)) = {};
    }
    known.mLast = now;
    known.mFirst = std::max(known.mFirst, now - kBins + 1);
    FindPeriod(known);
  }
  bin& last = known.mArrivals.at(static_cast<std::size_t>(known.mLast % kBins));
  last.mWork += aProcessorMs;
  last.mSquares += aProcessorMs * aProcessorMs;
}

demand_forecast::bin
demand_forecast::At(const series& aSeries, std::int64_t aBin)
{
  return aBin < aSeries.mFirst || aBin > aSeries.mLast
           ? bin{}
           : aSeries.mArrivals.at(static_cast<std::size_t>(aBin % kBins));
}

// The window that ends before aEnd.
demand_forecast::bin
demand_forecast::Sum(const series& aSeries, std::int64_t aEnd)
{
  bin sum;
  for (std::int64_t at = aEnd - kWindow; at < aEnd; ++at) {
    const bin one = At(aSeries, at);
    sum.mWork += one.mWork;
    sum.mSquares += one.mSquares;
  }
  return sum;
}

double
demand_forecast::Processors(const series& aSeries, std::int64_t aEnd)
{
  constexpr auto kWindowMs = static_cast<double>(kWindow * kBin.count());
  return Sum(aSeries, aEnd).mWork / kWindowMs;
}

// The period for which the levels are most like those a period earlier.
void
demand_forecast::FindPeriod(series& aSeries)
{
  aSeries.mPeriod = 0;
  aSeries.mCorrelation = kMinCorrelation;
  std::array<double, kBins> levels{};
  const std::int64_t first = aSeries.mFirst + kWindow;
  const std::int64_t count = aSeries.mLast - first + 1;
  for (std::int64_t at = 0; at < count; ++at) {
    levels.at(static_cast<std::size_t>(at)) = Processors(aSeries, first + at);
  }
  for (std::int64_t period = kMinPeriod;
       period <= std::min(kMaxPeriod, count / 2);
       ++period) {
    const auto compared = static_cast<double>(count - period);
    double x = 0;
    double y = 0;
    double xx = 0;
    double yy = 0;
    double xy = 0;
    for (std::int64_t at = period; at < count; ++at) {
      const double now = levels.at(static_cast<std::size_t>(at));
      const double before = levels.at(static_cast<std::size_t>(at - period));
      x += now;
      y += before;
      xx += now * now;
      yy += before * before;
      xy += now * before;
    }
    const double variances = (xx - x * x / compared) * (yy - y * y / compared);
    const double correlation =
      variances > 0 ? (xy - x * y / compared) / std::sqrt(variances) : 0;
    if (correlation > aSeries.mCorrelation) {
      aSeries.mPeriod = period;
      aSeries.mCorrelation = correlation;
    }
  }
}

// By how much the level rose in the last window.
double
demand_forecast::Trend(const series& aSeries, std::int64_t aNow)
{
  return aNow - 2 * kWindow < aSeries.mFirst
           ? 0
           : Processors(aSeries, aNow) - Processors(aSeries, aNow - kWindow);
}

// By how much it rose after this time in the last period, at most.
double
demand_forecast::Wave(const series& aSeries,
                      std::int64_t aNow,
                      std::int64_t aHorizon)
{
  const std::int64_t then = aNow - aSeries.mPeriod;
  const double before = Processors(aSeries, then);
  double most = 0;
  for (std::int64_t at = then; at <= std::min(then + aHorizon, aNow); ++at) {
    most = std::max(most, Processors(aSeries, at) - before);
  }
  return aSeries.mCorrelation * most;
}

double
demand_forecast::ExpectedGrowth(const std::string& aQueue,
                                time_point aNow,
                                duration aHorizon) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end()) {
    return 0;
  }
  const series& known = found->second;
  const std::int64_t now = BinOf(aNow);
  const std::int64_t horizon = aHorizon / kBin;
  // A trend goes on for as long as it was seen.
  const double share =
    std::min(1.0, static_cast<double>(horizon) / static_cast<double>(kWindow));
  const double growth =
    known.mPeriod > 0 ? Wave(known, now, horizon) : share * Trend(known, now);
  constexpr auto kWindowMs = static_cast<double>(kWindow * kBin.count());
  const double error = std::sqrt(Sum(known, now).mSquares) / kWindowMs;
  return growth < kMinErrors * error ? 0 : growth;
}

double
demand_forecast::ExpectedProcessors(const std::string& aQueue,
                                    time_point aNow,
                                    duration aHorizon) const
{
  const auto found = mQueues.find(aQueue);
  return found == mQueues.end() ? 0
                                : Processors(found->second, BinOf(aNow)) +
                                    ExpectedGrowth(aQueue, aNow, aHorizon);
}

} // namespace oriolewalk::flow
