#include "oriolewalk/observe/metrics.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream> // IWYU pragma: keep: asked for by the next line

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/features.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace oriolewalk::observe {

namespace {

namespace acc = boost::accumulators;

constexpr std::array kProbabilities{ 0.5, 0.9, 0.99 };

using estimator =
  acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

estimator
MakeEstimator()
{
  return estimator(acc::extended_p_square_probabilities = kProbabilities);
}

// The markers stand at just the wanted probabilities, so their heights are the
// estimates; extended_p_square_quantile would interpolate between them and
// trips the compiler's check for unset members.
quantile_reading
ReadEstimator(const estimator& aEstimator)
{
  const auto heights = acc::extended_p_square(aEstimator);
  return { heights[0], heights[1], heights[2], 0, 0 };
}

} // namespace

class quantiles::state
{
public:
  void Add(double aSample)
  {
    const std::scoped_lock lock(mLock);
    mEstimator(aSample);
    mSum += aSample;
    ++mCount;
    if (mCount % kWindow == 0) {
      mLastWindow = ReadEstimator(mEstimator);
      mEstimator = MakeEstimator();
    }
  }

  quantile_reading Read()
  {
    const std::scoped_lock lock(mLock);
    quantile_reading reading;
    if (mLastWindow) {
      reading = *mLastWindow;
    } else if (mCount >= kFewest) {
      reading = ReadEstimator(mEstimator);
    }
    reading.mSum = mSum;
    reading.mCount = mCount;
    return reading;
  }

private:
  // P-square needs 2 * probabilities + 3 samples to place its markers.
  static constexpr std::uint64_t kFewest = 2 * kProbabilities.size() + 3;

  std::mutex mLock;
  estimator mEstimator = MakeEstimator();
  std::optional<quantile_reading> mLastWindow;
  double mSum = 0;
  std::uint64_t mCount = 0;
};

quantiles::quantiles()
  : mState(std::make_unique<state>())
{
}

quantiles::~quantiles() = default;

void
quantiles::Add(double aSample)
{
  mState->Add(aSample);
}

quantile_reading
quantiles::Read() const
{
  return mState->Read();
}

} // namespace oriolewalk::observe
