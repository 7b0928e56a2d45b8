#include "bench/flow_scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <string>
#include <utility>

#include <xxhash.h>

#include "oriolewalk/base/random.h"

namespace oriolewalk::bench {

namespace {

constexpr std::size_t kIdDigits = 16;
constexpr double kMaxTimesMean = 2.5;

flow::queue_row
Queue(std::string aName,
      std::string aService,
      int aPriority,
      double aStretch,
      std::int64_t aTargetMs,
      flow::advice_timing aAdvice)
{
  flow::queue_row row;
  row.mName = aName;
  row.mHost = "jobs.example";
  row.mPrefix = "/" + std::move(aName) + "/";
  row.mService = service_id(std::move(aService));
  row.mTimeoutMs = 3'000;
  row.mTargetMs = aTargetMs;
  row.mPriority = aPriority;
  row.mMaxAttempts = 3;
  row.mStretch = aStretch;
  row.mAdvice = aAdvice;
  return row;
}

// By how much a scenario is larger than the smallest one.
struct scenario_scale
{
  double mRate = 1;
  double mWidth = 1;
  double mAdvice = 1; // duration of a policy query
};

flow::advice_timing
Terms(double aBaseMs, const scenario_scale& aScale)
{
  constexpr double kWorkersForBase = 70;
  const double base = aBaseMs * aScale.mAdvice;
  return { base, base / kWorkersForBase, 2'000 };
}

job_kind
Urgent(const scenario_scale& aScale)
{
  job_kind kind;
  kind.mQueue = Queue("urgent", "plain", 0, 1.5, 250, Terms(18, aScale));
  kind.mPerSecond = 11.5 * aScale.mRate;
  kind.mMeanSteps = 1.5;
  kind.mMeanWidth = 6 * aScale.mWidth;
  kind.mMeanMs = 880;
  kind.mMilliProcessors = 6'100;
  kind.mMemoryMb = 12'000;
  kind.mApprovedShare = 0.7;
  kind.mFailureShare = 0.05;
  kind.mBurst = 2;
  return kind;
}

job_kind
Wide(const scenario_scale& aScale)
{
  job_kind kind;
  kind.mQueue = Queue("wide", "plain", 2, 4, 3'000, Terms(150, aScale));
  kind.mPerSecond = 0.8 * aScale.mRate;
  kind.mMeanSteps = 2;
  kind.mMeanWidth = 14 * aScale.mWidth;
  kind.mMeanMs = 3'600;
  kind.mMilliProcessors = 13'000;
  kind.mMemoryMb = 27'000;
  kind.mCheckpointShare = 0.8;
  kind.mApprovedShare = 0.45;
  kind.mFailureShare = 0.005;
  return kind;
}

job_kind
Gangs(const scenario_scale& aScale)
{
  job_kind kind;
  kind.mQueue = Queue("gangs", "fast", 1, 2.2, 1'000, Terms(430, aScale));
  kind.mPerSecond = 1.84 * aScale.mRate;
  kind.mMeanWidth = 1.5 * aScale.mWidth;
  kind.mMeanMs = 3'600;
  kind.mMilliProcessors = 31'000;
  kind.mMemoryMb = 63'000;
  kind.mAccelerators = { 2, 4, 8, 8 };
  kind.mCheckpointShare = 0.9;
  kind.mApprovedShare = 0.3;
  kind.mFailureShare = 0.02;
  kind.mGang = true;
  return kind;
}

job_kind
Small(const scenario_scale& aScale)
{
  job_kind kind;
  kind.mQueue = Queue("small", "fast", 2, 4, 3'000, Terms(150, aScale));
  kind.mPerSecond = 1.52 * aScale.mRate;
  kind.mMeanWidth = 5 * aScale.mWidth;
  kind.mMeanMs = 3'800;
  kind.mMilliProcessors = 5'600;
  kind.mMemoryMb = 11'000;
  kind.mAccelerators = { 1 };
  kind.mCheckpointShare = 0.8;
  kind.mApprovedShare = 0.45;
  kind.mFailureShare = 0.005;
  return kind;
}

job_kind
LongRunning(const scenario_scale& aScale)
{
  job_kind kind;
  kind.mQueue = Queue("stays", "plain", 1, 2.2, 2'500, Terms(560, aScale));
  kind.mPerSecond = 0.08 * aScale.mRate;
  kind.mMeanWidth = 6 * aScale.mWidth;
  kind.mMeanMs = 45'000;
  kind.mMilliProcessors = 16'000;
  kind.mMemoryMb = 33'000;
  kind.mApprovedShare = 0.3;
  kind.mLongRunning = true;
  return kind;
}

// Short urgent steps and wide low-priority ones share workers; on workers with
// accelerators, gangs that need a whole worker run beside small tasks.
std::vector<job_kind>
Kinds(const scenario_scale& aScale)
{
  return { Urgent(aScale),
           Wide(aScale),
           Gangs(aScale),
           Small(aScale),
           LongRunning(aScale) };
}

class load_generator
{
public:
  load_generator(const flow_scenario& aScenario, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mLoad.mScenario = aScenario;
    mLoad.mSeed = aSeed;
  }

  flow_load Run()
  {
    for (const worker_kind& kind : mLoad.mScenario.mWorkers) {
      AddWorkers(kind);
    }
    for (std::size_t kind = 0; kind < mLoad.mScenario.mKinds.size(); ++kind) {
      AddArrivals(kind);
    }
    std::ranges::sort(mLoad.mArrivals, {}, &arrival::mAt);
    return std::move(mLoad);
  }

private:
  // Draws a value around aMean, at most kMaxTimesMean times aMean.
  double Around(double aMean)
  {
    constexpr double kLow = 0.3;
    constexpr double kPower = 2;
    const double span = kMaxTimesMean - kLow;
    constexpr double kMeanOfPower = 1 / (kPower + 1);
    const double drawn = kLow + span * std::pow(mRandom.Fraction(), kPower);
    return aMean * drawn / (kLow + span * kMeanOfPower);
  }

  void AddWorkers(const worker_kind& aKind)
  {
    for (std::size_t at = 0; at < aKind.mCount; ++at) {
      flow::worker_description description;
      description.mId =
        worker_id(aKind.mService + "-" + std::to_string(mLoad.mWorkers.size()));
      description.mAddress = description.mId.Value() + ":80";
      description.mService = service_id(aKind.mService);
      description.mRack =
        rack_id(aKind.mService + "-" + std::to_string(aKind.mMilliProcessors) +
                "-r" + std::to_string(at / aKind.mRack));
      description.mCapacity = { aKind.mMilliProcessors,
                                aKind.mMemoryMb,
                                aKind.mAccelerators };
      mLoad.mWorkers.push_back(std::move(description));
      mLoad.mSpeeds.push_back(
        aKind.mSpeeds.empty() ? 1 : aKind.mSpeeds[at % aKind.mSpeeds.size()]);
    }
  }

  void AddArrivals(std::size_t aKind)
  {
    const job_kind& kind = mLoad.mScenario.mKinds[aKind];
    duration at{};
    while (at < kArrivalSpan) {
      const bool burst = at >= kBurstFrom && at < kBurstTo;
      const double rate =
        kind.mPerSecond * (burst ? kind.mBurst : 1) * WaveAt(at);
      const double pause = -std::log(1 - mRandom.Fraction()) / rate;
      at += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause));
      mLoad.mArrivals.push_back(Draw(aKind, at));
    }
  }

  [[nodiscard]] double WaveAt(duration aTime) const
  {
    const std::chrono::duration<double> time = aTime;
    const std::chrono::duration<double> period = mLoad.mScenario.mWavePeriod;
    return 1 + mLoad.mScenario.mWaveAmplitude *
                 std::sin(2 * std::numbers::pi * (time / period));
  }

  arrival Draw(std::size_t aKind, duration aAt)
  {
    const job_kind& kind = mLoad.mScenario.mKinds[aKind];
    arrival job;
    job.mAt = aAt;
    job.mKind = aKind;
    std::string id = std::to_string(++mLast);
    job.mId = job_id(std::string(kIdDigits - id.size(), '0') + id);
    job.mIsInfeasible = mRandom.Fraction() < mLoad.mScenario.mInfeasibleShare;
    job.mIsCancelled = mRandom.Fraction() < mLoad.mScenario.mCancelledShare;
    const auto steps = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::lround(Around(kind.mMeanSteps))));
    for (std::uint32_t step = 0; step < steps; ++step) {
      AddStep(kind, step, job);
    }
    return job;
  }

  void AddStep(const job_kind& aKind, std::uint32_t aStep, arrival& aJob)
  {
    flow::step_spec spec;
    spec.mCount = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::lround(Around(aKind.mMeanWidth))));
    spec.mSize = { aKind.mMilliProcessors, aKind.mMemoryMb, 0 };
    if (!aKind.mAccelerators.empty()) {
      spec.mSize.mAccelerators =
        aKind.mAccelerators[mRandom.Below(aKind.mAccelerators.size())];
    }
    if (aJob.mIsInfeasible) {
      constexpr std::int64_t kTooMany = 1'000;
      spec.mSize.mMilliProcessors *= kTooMany;
    }
    spec.mCheckpoints = mRandom.Fraction() < aKind.mCheckpointShare;
    spec.mGang = aKind.mGang;
    spec.mLongRunning = aKind.mLongRunning;
    if (aStep > 0) {
      spec.mDependsOn = { aStep - 1 };
    }
    const double work = Around(aKind.mMeanMs);
    // Callers' estimates are wrong by a factor of up to 1.9 either way.
    constexpr double kEstimate = 1.9;
    spec.mEstimateMs = static_cast<std::int64_t>(
      work * std::pow(kEstimate, 2 * mRandom.Fraction() - 1));
    std::vector<double> tasks;
    for (std::uint32_t task = 0; task < spec.mCount; ++task) {
      constexpr double kUneven = 0.3;
      double taskMs = work * (1 + kUneven * (mRandom.Fraction() - 1));
      // A kind without a long tail draws no number for it.
      if (aKind.mLongTailShare > 0 &&
          mRandom.Fraction() < aKind.mLongTailShare) {
        taskMs *= 1 + (kLongestTail - 1) * mRandom.Fraction();
      }
      tasks.push_back(taskMs);
    }
    aJob.mWorkMs.push_back(std::move(tasks));
    aJob.mSpec.mSteps.push_back(std::move(spec));
  }

  flow_load mLoad;
  random_source mRandom;
  std::uint64_t mLast = 0;
};

// A single service: short, wide and urgent steps, wide low-priority ones that
// take half of the capacity, and long-running ones. Bursts need more than the
// capacity.
flow_scenario
LargestScenario()
{
  job_kind urgent = Urgent({});
  urgent.mQueue.mAdvice = flow::advice_timing{ 30, 0.43, 2'500 };
  urgent.mPerSecond = 67.5;
  urgent.mMeanSteps = 1.6;
  urgent.mMeanWidth = 13;
  urgent.mMeanMs = 640;
  urgent.mMilliProcessors = 7'000;
  urgent.mMemoryMb = 14'000;
  job_kind wide = Wide({});
  wide.mQueue.mAdvice = flow::advice_timing{ 572, 8.2, 2'500 };
  wide.mPerSecond = 7;
  wide.mMeanWidth = 26;
  wide.mMeanMs = 6'000;
  wide.mMilliProcessors = 9'000;
  wide.mMemoryMb = 19'000;
  wide.mApprovedShare = 0.35;
  job_kind longRunning = LongRunning({});
  longRunning.mQueue.mAdvice = flow::advice_timing{ 416, 6, 2'500 };
  longRunning.mPerSecond = 0.5;
  longRunning.mMeanWidth = 40;
  longRunning.mMilliProcessors = 9'000;
  longRunning.mApprovedShare = 0.35;
  flow_scenario scenario{ "1100",
                          { urgent, wide, longRunning },
                          { { "plain", 550, 32'000, 131'072, 0, 8 },
                            { "plain", 275, 16'000, 65'536, 0, 8 },
                            { "plain", 275, 64'000, 262'144, 0, 8 } },
                          150 };
  scenario.mSlowShare = 0.08;
  scenario.mLostShare = 0.05;
  scenario.mInfeasibleShare = 0.01;
  scenario.mCancelledShare = 0.02;
  scenario.mLeaderLost = true;
  return scenario;
}

} // namespace

std::vector<flow_scenario>
FlowScenarios()
{
  flow_scenario small{ "48",
                       Kinds({}),
                       { { "plain", 35, 64'000, 262'144, 0, 5 },
                         { "fast", 13, 64'000, 131'072, 8, 3 } },
                       12 };
  small.mSlowShare = 0.08;
  small.mLostShare = 0.05;
  small.mInfeasibleShare = 0.01;
  small.mCancelledShare = 0.02;
  small.mLeaderLost = true;
  constexpr double kRateFactor = 2.9;
  constexpr double kWidthFactor = 2.2;
  constexpr double kSlowerAdvice = 1.6;
  flow_scenario large = small;
  large.mName = "350";
  large.mKinds = Kinds({ kRateFactor, kWidthFactor, kSlowerAdvice });
  large.mWorkers = { { "plain", 252, 64'000, 262'144, 0, 20 },
                     { "fast", 98, 64'000, 131'072, 8, 8 } };
  large.mAdvisors = 37;
  return { small, large, LargestScenario() };
}

flow_scenario
UnevenScenario()
{
  constexpr double kLongTailShare = 0.03;
  job_kind urgent = Urgent({});
  urgent.mQueue.mAdvice = flow::advice_timing{ 34, 0.5, 2'500 };
  urgent.mPerSecond = 9.6;
  urgent.mMeanSteps = 1.6;
  urgent.mMeanWidth = 10;
  urgent.mMeanMs = 850;
  urgent.mMilliProcessors = 4'000;
  urgent.mMemoryMb = 8'000;
  urgent.mLongTailShare = kLongTailShare;
  job_kind batch = Wide({});
  batch.mQueue = Queue("batch", "plain", 2, 2.2, 1'200, { 500, 7, 2'500 });
  batch.mPerSecond = 1.7;
  batch.mMeanWidth = 17;
  batch.mMeanMs = 4'500;
  batch.mMilliProcessors = 4'000;
  batch.mMemoryMb = 8'000;
  batch.mApprovedShare = 0.35;
  batch.mLongTailShare = kLongTailShare;
  job_kind longRunning = LongRunning({});
  longRunning.mQueue.mAdvice = flow::advice_timing{ 500, 7, 2'500 };
  longRunning.mPerSecond = 0.08;
  longRunning.mMeanWidth = 20;
  longRunning.mMilliProcessors = 4'000;
  longRunning.mMemoryMb = 8'000;
  longRunning.mApprovedShare = 0.35;
  flow_scenario scenario{
    "uneven",
    { urgent, batch, longRunning },
    { { "plain", 120, 16'000, 65'536, 0, 12, { 0.7, 0.7, 1.7 } } },
    16
  };
  scenario.mWaveAmplitude = 0.55;
  scenario.mLostShare = 0.05;
  scenario.mLeaderLost = true;
  return scenario;
}

std::vector<flow_scenario>
FleetScenarios()
{
  constexpr std::array<std::size_t, 4> kSizes{ 350, 1'100, 6'000, 12'000 };
  std::vector<flow_scenario> scenarios;
  for (const std::size_t size : kSizes) {
    flow_scenario scenario = LargestScenario();
    scenario.mName = std::to_string(size);
    scenario.mKinds[0].mPerSecond = 20;
    scenario.mKinds[1].mPerSecond = 2;
    scenario.mKinds[2].mPerSecond = 0.2;
    scenario.mWorkers = { { "plain", size / 2, 32'000, 131'072, 0, 8 },
                          { "plain", size / 4, 16'000, 65'536, 0, 8 },
                          { "plain", size / 4, 64'000, 262'144, 0, 8 } };
    scenarios.push_back(std::move(scenario));
  }
  return scenarios;
}

flow_load
MakeLoad(const flow_scenario& aScenario, std::uint64_t aSeed)
{
  return load_generator(aScenario, aSeed).Run();
}

double
SeededFraction(std::uint64_t aSeed,
               std::string_view aWhat,
               std::string_view aWhere)
{
  const std::uint64_t mixed = XXH3_64bits_withSeed(
    aWhere.data(),
    aWhere.size(),
    XXH3_64bits_withSeed(aWhat.data(), aWhat.size(), aSeed));
  constexpr unsigned kKeptBits = 53;
  constexpr unsigned kDropped = 64 - kKeptBits;
  return static_cast<double>(mixed >> kDropped) /
         static_cast<double>(std::uint64_t{ 1 } << kKeptBits);
}

} // namespace oriolewalk::bench
