#pragma once

// What arrives in one scenario of jobs of several steps, and on which workers.
// A scenario is data: the same seeded arrivals are given to each policy.
//
//   const flow_load load = MakeLoad(scene, seed);
//   const flow_outcome outcome = PlayLoad(load, policy);

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::bench {

// A kind of job: how often it comes and what it asks for. Counts, sizes and
// times are drawn around their means.
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
  double mSaves = 0;                       // the share that keeps checkpoints
  double mApproved = 1;                    // the share of workers allowed
  double mFails = 0;                       // of runs, by their own fault
  bool mGang = false;
  bool mLasting = false;
  double mBurst = 1; // times as many between kBurstFrom and kBurstTo
};

struct worker_kind
{
  std::string mService;
  std::size_t mCount = 0;
  std::int64_t mMilliProcessors = 64'000;
  std::int64_t mMemoryMb = 262'144;
  std::int64_t mAccelerators = 0;
  std::size_t mRack = 5; // workers in one
};

struct flow_scene
{
  std::string mName;
  std::vector<job_kind> mKinds;
  std::vector<worker_kind> mWorkers;
  std::size_t mAdvisors = 12;
  double mSlowShare = 0; // of the workers, six times slower from kSlowFrom on
  double mLostShare = 0; // of the workers, gone at kLostAt
  double mHopeless = 0;  // of the jobs: a size that no worker has
  double mCancelled = 0; // of the jobs, a second after they were accepted
  bool mLeaderLost = false; // at kLeaderLostAt: another one leads, a second on
};

constexpr seconds kPlayed{ 40 };
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
  bool mHopeless = false;
  bool mCancelled = false;
};

struct flow_load
{
  flow_scene mScene;
  std::uint64_t mSeed = 0;
  std::vector<flow::worker_description> mWorkers;
  std::vector<arrival> mArrivals; // by time
};

// The scenes that are played, the smaller one first.
std::vector<flow_scene>
FlowScenes();

flow_load
MakeLoad(const flow_scene& aScene, std::uint64_t aSeed);

// A number in [0, 1) that depends on the words alone: who is approved, and
// which run fails, must be the same under every policy.
double
Drawn(std::uint64_t aSeed, std::string_view aWhat, std::string_view aWhere);

} // namespace oriolewalk::bench
