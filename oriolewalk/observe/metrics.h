#pragma once

// Counters, gauges and quantiles, and the page that shows them.
//
//   metric_registry metrics;
//   counter& refused = metrics.Counter("oriole_refused_total",
//                                      "requests refused for load",
//                                      {{"class", "urgent"}});
//   refused.Add();
//   quantiles& wait = metrics.Quantiles("oriole_wait_ms", "waiting time");
//   wait.Add(1.5);
//   std::string page = metrics.Render(); // Prometheus text format
//
// A metric is made once, when the process starts, and kept by reference: the
// path of a request neither looks up names nor allocates.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolewalk::observe {

// Only rises. Any thread; one relaxed atomic addition.
class counter
{
public:
  void Add(std::uint64_t aBy = 1)
  {
    mValue.fetch_add(aBy, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Value() const
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> mValue = 0;
};

// Rises and falls. Any thread.
class gauge
{
public:
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  [[nodiscard]] double Value() const
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<double> mValue = 0;
};

struct quantile_reading
{
  double mP50 = 0;
  double mP90 = 0;
  double mP99 = 0;
  double mSum = 0;          // over the whole life
  std::uint64_t mCount = 0; // over the whole life
};

// Estimated quantiles of recent samples (P-square: constant memory, under
// 0.2 us a sample, see oriole-bench observe). Without a window the estimate of
// a long-lived process would hardly move in a burst; so samples fall into
// windows of kWindow, and a reading is of the last full one, or of the first
// while it fills. Any thread.
class quantiles
{
public:
  static constexpr std::uint64_t kWindow = 2048;

  quantiles();
  ~quantiles();
  quantiles(const quantiles&) = delete;
  quantiles& operator=(const quantiles&) = delete;
  quantiles(quantiles&&) = delete;
  quantiles& operator=(quantiles&&) = delete;

  void Add(double aSample);
  [[nodiscard]] quantile_reading Read() const;

private:
  class state;
  std::unique_ptr<state> mState;
};

struct label
{
  std::string mName;
  std::string mValue;
};

// All metrics of one process; owned by its shell. Make metrics before threads
// start; Render from any thread. References live as long as the registry.
class metric_registry
{
public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;
  metric_registry(metric_registry&&) = delete;
  metric_registry& operator=(metric_registry&&) = delete;

  // The same name may be made again with other labels; its help is kept.
  counter& Counter(std::string aName,
                   std::string aHelp,
                   std::vector<label> aLabels = {});
  gauge& Gauge(std::string aName,
               std::string aHelp,
               std::vector<label> aLabels = {});
  quantiles& Quantiles(std::string aName,
                       std::string aHelp,
                       std::vector<label> aLabels = {});

  [[nodiscard]] std::string Render() const;

private:
  class state;
  std::unique_ptr<state> mState;
};

} // namespace oriolewalk::observe
