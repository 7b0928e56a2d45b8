#pragma once

// The arrivals and workers of one scenario of jobs of several steps. A scenario
// is data: the same seeded arrivals are given to each policy.
//
//   const flow_load load = MakeLoad(scenario, seed);
//   const flow_outcome outcome = SimulateLoad(load, policy);

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::bench {

// A kind of job: its arrival rate and its requirements. Counts, sizes and times
// are drawn around their means.
struct job_kind
{
  flow::queue_row mQueue;
  double mPerSecond = 0;
  double mMeanSteps = 1;
  double mMeanWidth = 1;
  double mMeanMs = 1'000; // of one task
  std::int64_t mMilliProcessors = 1'000;
  std::int64_t mMemoryMb = 1'000;
  std::vector<std::int64_t> mAccelerators; // one of these; empty: none
  double mCheckpointShare = 0; // share of steps that save checkpoints
  double mApprovedShare = 1;   // share of workers approved
  double mFailureShare = 0;    // share of runs, by their own fault
  bool mGang = false;
  bool mLongRunning = false;
  double mBurst = 1;         // rate factor from kBurstFrom to kBurstTo
  double mLongTailShare = 0; // of the tasks: up to kLongestTail times as long
};

struct worker_kind
{
  std::string mService;
  std::size_t mCount = 0;
  std::int64_t mMilliProcessors = 64'000;
  std::int64_t mMemoryMb = 262'144;
  std::int64_t mAccelerators = 0;
  std::size_t mRack = 5; // workers in one
  // Speeds that the kind's workers have in turn; empty: 1.
  std::vector<double> mSpeeds{};
};

struct flow_scenario
{
  std::string mName;
  std::vector<job_kind> mKinds;
  std::vector<worker_kind> mWorkers;
  std::size_t mAdvisors = 12;
  double mSlowShare = 0;       // of the workers, six times slower for a while
  double mLostShare = 0;       // of the workers, gone at kLostAt
  double mInfeasibleShare = 0; // of the jobs: larger than any worker
  double mCancelledShare = 0;  // of the jobs, a second after they were accepted
  bool mLeaderLost = false;    // at kLeaderLostAt; the next one leads 1 s later
  // Arrival rates rise and fall by this share of their mean in each period.
  double mWaveAmplitude = 0;
  seconds mWavePeriod{ 17 };
};

constexpr double kLongestTail = 7;
constexpr seconds kArrivalSpan{ 40 };
constexpr seconds kBurstFrom{ 6 };
constexpr seconds kBurstTo{ 10 };
constexpr seconds kSlowFrom{ 12 };
constexpr seconds kSlowTo{ 18 };
constexpr seconds kLostAt{ 15 };
constexpr seconds kLeaderLostAt{ 25 };

struct arrival
{
  duration mAt{};
  std::size_t mKind = 0;
  job_id mId;
  flow::job_spec mSpec;
  std::vector<std::vector<double>> mWorkMs; // by step and task
  bool mIsInfeasible = false;
  bool mIsCancelled = false;
};

struct flow_load
{
  flow_scenario mScenario;
  std::uint64_t mSeed = 0;
  std::vector<flow::worker_description> mWorkers;
  std::vector<double> mSpeeds;    // of mWorkers
  std::vector<arrival> mArrivals; // by time
};

// The scenarios, the smallest one first.
std::vector<flow_scenario>
FlowScenarios();

// Two thirds of the workers are slow and a third is fast, and arrivals come in
// waves.
flow_scenario
UnevenScenario();

// The same arrivals on cells of growing size, the smallest one first: what
// costs more in a larger one grows with the cell and not with its work.
std::vector<flow_scenario>
FleetScenarios();

flow_load
MakeLoad(const flow_scenario& aScenario, std::uint64_t aSeed);

// A number in [0, 1) that depends on its arguments alone: which workers are
// approved, and which runs fail, must be the same under every policy.
double
SeededFraction(std::uint64_t aSeed,
               std::string_view aWhat,
               std::string_view aWhere);

} // namespace oriolewalk::bench
