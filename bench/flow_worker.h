#pragma once

// A worker in simulated time for the replay of loads. Runs take the time that
// the load specifies, including slow periods and checkpoints.
//
//   simulated_worker worker(description, seed, slowShare);
//   worker.Start(order, work, now);
//   worker.Advance(now);
//   order_answer answer = worker.Listing(now);

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/flow_scenario.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::bench {

// The properties of a task that the simulated worker needs.
struct task_work
{
  double mMs = 0;
  cell::resources mSize;
  bool mSavesCheckpoints = false;
  bool mLongRunning = false;
  double mFailureShare = 0; // share of runs
};

class simulated_worker
{
public:
  simulated_worker(const flow::worker_description& aDescription,
                   std::uint64_t aSeed,
                   double aSlowShare,
                   double aSpeed = 1);

  // Starts a run with the given work and returns the result of the order.
  flow::order_result Start(const flow::start_order& aOrder,
                           const task_work& aWork,
                           time_point aNow);
  void Stop(const flow::stop_order& aOrder, time_point aNow);
  // Ends the runs that are due.
  void Advance(time_point aNow);
  void Acknowledge(std::uint64_t aCursor);
  [[nodiscard]] flow::order_answer Listing(time_point aNow) const;
  [[nodiscard]] bool HasEnds() const { return !mEnded.empty(); }
  // When the next run ends; nullopt if none is running.
  [[nodiscard]] std::optional<time_point> NextEnd() const;
  [[nodiscard]] const flow::worker_description& Description() const
  {
    return mDescription;
  }
  [[nodiscard]] double LostWorkMs() const { return mLostWorkMs; }
  [[nodiscard]] std::size_t OverCapacity() const { return mOverCapacity; }

private:
  struct live_run
  {
    task_work mWork;
    time_point mStartedAt{};
    double mSavedMs = 0; // done before it started here
    time_point mEndsAt{};
    flow::run_outcome mOutcome = flow::run_outcome::Done;
  };

  [[nodiscard]] double DoneMs(const live_run& aRun, time_point aNow) const;
  void End(const flow::run_ref& aRun, const live_run& aLive, time_point aNow);

  flow::worker_description mDescription;
  std::uint64_t mSeed;
  bool mBecomesSlow;
  double mSpeed;
  cell::resources mFree;
  std::map<flow::run_ref, live_run> mRuns;
  std::vector<flow::listed_end> mEnded;
  std::uint64_t mLastEnd = 0;
  double mLostWorkMs = 0;
  std::size_t mOverCapacity = 0;
};

} // namespace oriolewalk::bench
