#include "oriolewalk/flow/speed_spread.h"

#include <algorithm>
#include <cmath>

namespace oriolewalk::flow {

namespace {

// The slowest and the fastest sixth are left out. Workers with a fault are far
// slower for a while, and they are fewer.
constexpr std::size_t kOutermostFraction = 6;
// Speeds are compared once half of the workers have one.
constexpr std::size_t kMinKnownFraction = 2;

} // namespace

std::size_t
speed_histogram::BucketOf(double aSpeed)
{
  const double bucket = std::round(aSpeed * kBucketsPerUnit);
  return static_cast<std::size_t>(
    std::clamp(bucket, 0.0, static_cast<double>(kBuckets - 1)));
}

speed_spread
speed_histogram::Spread(std::size_t aWorkers) const
{
  const std::size_t left = mKnown / kOutermostFraction;
  if (left == 0 || mKnown * kMinKnownFraction < aWorkers) {
    return {};
  }
  const auto speedAt = [this](std::size_t aIndex) {
    std::size_t bucket = 0;
    for (std::size_t seen = mCounts[0]; seen <= aIndex;) {
      seen += mCounts.at(++bucket);
    }
    return static_cast<double>(bucket) / kBucketsPerUnit;
  };
  return { speedAt(left), speedAt(mKnown - 1 - left) };
}

} // namespace oriolewalk::flow
