#pragma once

// A worker as leaders meet it: fences, leases on a clock of its own that may be
// slow, attempts that a stop makes impossible, ends that stay listed until they
// are acknowledged. It also judges: a start that breaks a promise is noted.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::flow {

// What all workers together have seen of the tasks. One thread.
class run_oracle
{
public:
  void OnStarted(const run_ref& aRun, const std::string& aWhere);
  void OnEnded(const run_ref& aRun, run_outcome aHow);
  // A worker was told that it may forget the run's end.
  void OnEndAcknowledged(const run_ref& aRun);
  // Its worker's lease lapsed between the end and its acknowledgement.
  void ExcuseEnd(const run_ref& aRun) { mExcused.insert(aRun); }
  void OnOverCapacity(const run_ref& aRun, const std::string& aWhere);
  // The worker's process died while this ran there.
  void OnCrashed(const run_ref& aRun);
  [[nodiscard]] std::size_t CrashCount(const task_ref& aTask) const;

  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mBroken;
  }
  [[nodiscard]] std::size_t Starts() const { return mStarts; }

  // Tasks that crash each worker that starts them: no such task may start three
  // times more after three workers have crashed under it.
  std::function<bool(const task_ref&)> mCrashesWorker;
  // Who else wants to know.
  std::function<void(const run_ref&)> mOnStart;
  std::function<void(const run_ref&, run_outcome)> mOnEnd;

private:
  std::map<task_ref, std::set<attempt_t>> mRunning;
  std::map<run_ref, run_outcome> mEnds;
  std::set<run_ref> mExcused;
  std::set<task_ref> mDoneNoted;
  std::map<task_ref, std::size_t> mCrashes;
  std::map<task_ref, std::size_t> mStartsAfter; // three crashes under the task
  std::vector<std::string> mBroken;
  std::size_t mStarts = 0;
};

class fake_worker
{
public:
  // aSlow: by how much its clock runs slower than true time.
  fake_worker(worker_description aFacts, double aSlow, run_oracle& aOracle);

  // What it would answer at aNow.
  order_answer Handle(const worker_order& aOrder, time_point aNow);
  // Ends what is due: work that is done (or fails, for odd indices of
  // attempt 1 if mFailsFirst), leases that lapse.
  void Advance(time_point aNow);
  // Its process dies; everything on it is over, unlisted.
  void Crash(time_point aNow);
  // A new process under the same id: it knows nothing of before, and its counts
  // and its clock start anew.
  void Restart(time_point aNow);
  // As Restart, under another id.
  void RestartAs(const std::string& aId, time_point aNow);
  [[nodiscard]] std::int64_t ClockMs(time_point aNow) const;
  [[nodiscard]] const worker_description& Description() const { return mFacts; }
  [[nodiscard]] bool IsUp() const { return mUp; }
  // Its capacity changes; its next heartbeat says so.
  void SetCapacity(const cell::resources& aCapacity, time_point aNow);

  milliseconds mWorkTime{ 300 };
  cell::resources mTaskSize; // of any task; for the booking judged here
  bool mFailsFirstAttempts = false;
  bool mDraining = false;
  // It carries out an order late: the rule on its capacity doesn't bind it.
  bool mHandlesLateOrder = false;
  // Ends are forgotten only when a look names a higher cursor than all before
  // it; else by each look that names one. A worker may do either.
  bool mForgetsOnHigherCursor = false;

private:
  struct live_run
  {
    time_point mDoneAt;
    bool mCrashes = false; // at mDoneAt, and the worker with it
  };

  order_answer Start(const start_order& aStart, time_point aNow);
  void End(const run_ref& aRun, run_outcome aHow);
  void Forget(std::uint64_t aCursor);
  void Die();
  // Whether they are within its capacity, or what that was of late.
  [[nodiscard]] bool MayHold(const cell::resources& aUsed,
                             time_point aNow) const;

  worker_description mFacts;
  double mSlow;
  run_oracle& mOracle;
  bool mUp = true;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseClockMs = 0;
  std::map<run_ref, live_run> mRuns;
  std::map<task_ref, attempt_t> mOver; // the highest that ended or was stopped
  std::vector<listed_end> mEnds;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mToldCursor = 0;
  time_point mClockZero{};
  // Former capacities, and until when they held.
  std::vector<std::pair<time_point, cell::resources>> mFormer;
};

} // namespace oriolewalk::flow
