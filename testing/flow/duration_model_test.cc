#include <cmath>
#include <numbers>
#include <string>

#include <catch2/catch.hpp>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/duration_model.h"

namespace oriolewalk::flow {

namespace {

constexpr time_point kStart{ seconds(100) };
constexpr milliseconds kPause{ 5 }; // between ends of tasks

// A step's task, with what the caller says and what it takes.
struct drawn_task
{
  double mEstimateMs = 0;
  double mTookMs = 0;
};

// Durations that are log-normal around a queue's mean, and estimates that are
// off by a log-normal factor.
class task_source
{
public:
  task_source(double aMedianMs, double aSpread, double aError)
    : mMedianMs(aMedianMs)
    , mSpread(aSpread)
    , mError(aError)
  {
  }

  drawn_task Next()
  {
    const double took = mMedianMs * std::exp(mSpread * Normal());
    return { took * std::exp(mError * Normal()), took };
  }

private:
  double Normal()
  {
    const double radius = std::sqrt(-2 * std::log(1 - mRandom.Fraction()));
    return radius * std::cos(2 * std::numbers::pi * mRandom.Fraction());
  }

  random_source mRandom{ 7 };
  double mMedianMs;
  double mSpread;
  double mError;
};

// The model and the time at which its next task ends.
struct fed_model
{
  duration_model mModel;
  time_point mNow = kStart;

  void Feed(const duration_key& aKey, task_source& aSource, int aTasks)
  {
    for (int task = 0; task < aTasks; ++task) {
      const drawn_task drawn = aSource.Next();
      End(aKey, drawn.mEstimateMs, drawn.mTookMs);
    }
  }

  void End(const duration_key& aKey,
           double aEstimateMs,
           double aTookMs,
           double aSpeed = 1)
  {
    mModel.OnRunEnded(aKey, aEstimateMs, aTookMs, aSpeed, mNow);
    mNow += kPause;
  }

  [[nodiscard]] duration_estimate Estimate(const duration_key& aKey,
                                           double aEstimateMs) const
  {
    return mModel.Estimate(aKey, aEstimateMs, mNow);
  }
};

const duration_key kFees{ "fees", "", 0 };

} // namespace

TEST_CASE("without samples the caller's estimate is used")
{
  // A step without a learned figure must behave as if there were no model.
  fed_model fed;
  fed.End(kFees, 1'000, 3'000);
  const duration_estimate next = fed.Estimate(kFees, 700);
  CHECK(next.mMeanMs == 700);
  CHECK(next.mTailMs == 700);
  CHECK_FALSE(next.mIsLearned);
}

TEST_CASE("learned durations are closer than estimates of log-normal error")
{
  // If the model trusted the estimates as they are, its predictions would be
  // off by as much as they are.
  fed_model fed;
  task_source source(850, 0.35, 0.7);
  fed.Feed(kFees, source, 2'000);
  double estimateError = 0;
  double modelError = 0;
  double taken = 0;
  double predicted = 0;
  int beyondTail = 0;
  constexpr int kTasks = 2'000;
  for (int task = 0; task < kTasks; ++task) {
    const drawn_task drawn = source.Next();
    const duration_estimate known = fed.Estimate(kFees, drawn.mEstimateMs);
    REQUIRE(known.mIsLearned);
    estimateError += std::abs(std::log(drawn.mEstimateMs / drawn.mTookMs));
    modelError += std::abs(std::log(known.mMeanMs / drawn.mTookMs));
    taken += drawn.mTookMs;
    predicted += known.mMeanMs;
    beyondTail += drawn.mTookMs > known.mTailMs ? 1 : 0;
  }
  CHECK(modelError < 0.5 * estimateError);
  CHECK(predicted == Approx(taken).epsilon(0.1));
  CHECK(beyondTail > kTasks * 3 / 100);
  CHECK(beyondTail < kTasks * 8 / 100);
  // The estimates of short tasks are too low and those of long ones too high.
  CHECK(fed.Estimate(kFees, 250).mMeanMs > 2 * 250);
  CHECK(fed.Estimate(kFees, 4'000).mMeanMs < 4'000 / 2.5);
}

TEST_CASE("a model of some steps keeps to the order of the estimates")
{
  // The tasks of a step are alike, so the first samples are few points many
  // times over. A line through two of them could fall, or rise steeply.
  fed_model fed;
  for (int task = 0; task < 20; ++task) {
    fed.End(kFees, 1'000, 900);
    fed.End(kFees, 1'050, 450);
  }
  const double shorter = fed.Estimate(kFees, 500).mMeanMs;
  const double longer = fed.Estimate(kFees, 2'000).mMeanMs;
  CHECK(shorter < longer);
  CHECK(shorter > 150);
  CHECK(longer < 2'500);
}

TEST_CASE("the model follows a change of durations within some seconds")
{
  // Without forgetting, a queue whose tasks change after a day would be
  // predicted from the day.
  fed_model fed;
  for (int task = 0; task < 10'000; ++task) {
    fed.End(kFees, 1'000, 500);
  }
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == Approx(500).epsilon(0.02));
  for (int task = 0; task < 3'000; ++task) {
    fed.End(kFees, 1'000, 2'000);
  }
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == Approx(2'000).epsilon(0.15));
}

TEST_CASE("figures of a queue that isn't used are forgotten")
{
  fed_model fed;
  for (int task = 0; task < 1'000; ++task) {
    fed.End(kFees, 1'000, 500);
  }
  CHECK(fed.Estimate(kFees, 1'000).mIsLearned);
  fed.mNow += seconds(1'200);
  CHECK_FALSE(fed.Estimate(kFees, 1'000).mIsLearned);
  CHECK(fed.mModel.Queues(fed.mNow).empty());
  // What it learns now isn't mixed with what was forgotten.
  for (int task = 0; task < 40; ++task) {
    fed.End(kFees, 1'000, 2'000);
  }
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == Approx(2'000).epsilon(0.05));
}

TEST_CASE("an image with enough samples is predicted by its own figures")
{
  // The tasks of one image are alike; the queue's mean mixes all images.
  fed_model fed;
  const duration_key fast{ "fees", "fast", 0 };
  const duration_key slow{ "fees", "slow", 0 };
  const duration_key rare{ "fees", "rare", 0 };
  for (int task = 0; task < 200; ++task) {
    fed.End(fast, 1'000, 400);
    fed.End(slow, 1'000, 1'600);
  }
  fed.End(rare, 1'000, 9'000);
  CHECK(fed.Estimate(fast, 1'000).mMeanMs == Approx(400).epsilon(0.02));
  CHECK(fed.Estimate(slow, 1'000).mMeanMs == Approx(1'600).epsilon(0.02));
  // Both images lie around a geometric mean of 800 ms.
  const duration_estimate ofQueue = fed.Estimate(rare, 1'000);
  CHECK(ofQueue.mIsLearned);
  CHECK(ofQueue.mMeanMs > 700);
  CHECK(ofQueue.mMeanMs < 1'200);
  // The same image of another queue isn't the same task.
  CHECK_FALSE(fed.Estimate({ "runs", "fast", 0 }, 1'000).mIsLearned);
}

TEST_CASE("predictions stay within a tenth and ten times the estimate")
{
  // This limits the harm of a wrong model.
  fed_model fed;
  for (int task = 0; task < 100; ++task) {
    fed.End(kFees, 1'000, 100'000);
    fed.End({ "runs", "", 0 }, 1'000, 1);
  }
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == 10'000);
  CHECK(fed.Estimate(kFees, 1'000).mTailMs == 10'000);
  CHECK(fed.Estimate({ "runs", "", 0 }, 1'000).mMeanMs == 100);
}

TEST_CASE("durations are those on a worker of speed 1")
{
  // Otherwise a queue that happens to run on slow workers looks long.
  fed_model fed;
  for (int task = 0; task < 100; ++task) {
    fed.End(kFees, 1'000, 2'000, 0.5);
    fed.End(kFees, 1'000, 500, 2);
  }
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == Approx(1'000).epsilon(0.01));
}

TEST_CASE("tasks without estimates are predicted from their like alone")
{
  fed_model fed;
  for (int task = 0; task < 100; ++task) {
    fed.End(kFees, 1'000, 500);
  }
  CHECK_FALSE(fed.Estimate(kFees, 0).mIsLearned);
  for (int task = 0; task < 100; ++task) {
    fed.End(kFees, 0, 3'000);
  }
  CHECK(fed.Estimate(kFees, 0).mMeanMs == Approx(3'000).epsilon(0.01));
  CHECK(fed.Estimate(kFees, 1'000).mMeanMs == Approx(500).epsilon(0.01));
}

TEST_CASE("the model is bounded however many images there are")
{
  // A caller may name a new image in every job.
  fed_model fed;
  const duration_key known{ "fees", "known", 0 };
  for (int image = 0; image < 10'000; ++image) {
    fed.End({ "fees", "image-" + std::to_string(image), 0 }, 1'000, 500);
    fed.End(known, 1'000, 2'000);
  }
  CHECK(fed.mModel.Keys() <= 2 * duration_model::kMaxKeys);
  // An image that is used all the time isn't forgotten for those that aren't.
  CHECK(fed.Estimate(known, 1'000).mMeanMs == Approx(2'000).epsilon(0.02));
}

TEST_CASE("a queue's figures tell its ratio and spread")
{
  fed_model fed;
  task_source source(850, 0.35, 0.7);
  fed.Feed(kFees, source, 5'000);
  const auto queues = fed.mModel.Queues(fed.mNow);
  REQUIRE(queues.size() == 1);
  CHECK(queues[0].mQueue == "fees");
  CHECK(queues[0].mSamples == Approx(1'000).epsilon(0.1));
  CHECK(queues[0].mRatio == Approx(1).epsilon(0.15));
  CHECK(queues[0].mSpread > std::exp(0.2));
  CHECK(queues[0].mSpread < std::exp(0.45));
}

} // namespace oriolewalk::flow
