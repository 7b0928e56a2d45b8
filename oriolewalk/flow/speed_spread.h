#pragma once

// Counts the workers of a service by their learned speed, and says how far the
// speeds of its fast and its slow workers are apart.
//
//   speed_histogram speeds;
//   speeds.Add(worker.mSpeed);
//   const speed_spread spread = speeds.Spread(workers);
//   if (spread.mFast > ratio * spread.mSlow) { ... }
//
// Pure; owned by plan_workers. The cost of a change is constant.

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolewalk::flow {

struct speed_spread
{
  // A sixth of the workers of known speed are as slow or slower, and a sixth
  // as fast or faster. Both are 1 as long as too few speeds are known.
  double mSlow = 1;
  double mFast = 1;
};

class speed_histogram
{
public:
  void Add(double aSpeed) { ++mCounts.at(BucketOf(aSpeed)), ++mKnown; }
  void Remove(double aSpeed) { --mCounts.at(BucketOf(aSpeed)), --mKnown; }
  // aWorkers: how many there are, of known speed or not.
  [[nodiscard]] speed_spread Spread(std::size_t aWorkers) const;
  [[nodiscard]] std::size_t Known() const { return mKnown; }

private:
  static constexpr double kBucketsPerUnit = 20;
  static constexpr std::size_t kBuckets = 41; // for speeds in [0, 2]

  static std::size_t BucketOf(double aSpeed);

  std::array<std::uint32_t, kBuckets> mCounts{};
  std::size_t mKnown = 0;
};

} // namespace oriolewalk::flow
