#pragma once

// A simulated worker, with fences, leases on its own clock that may be slow,
// stops that prevent an attempt, and ends that stay listed until they are
// acknowledged. It reports its runs to a run_oracle, which records violated
// guarantees.

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

// Checks the guarantees on the runs of all workers together. Used on one
// thread.
class run_oracle
{
public:
  void OnStarted(const run_ref& aRun,
                 const std::string& aWhere,
                 time_point aNow);
  void OnEnded(const run_ref& aRun, run_outcome aHow);
  // A worker was told that it may forget the run's end.
  void OnEndAcknowledged(const run_ref& aRun, time_point aNow);
  // A caller was told that the job is done.
  void OnShownDone(const job_id& aJob, time_point aNow);
  // Its worker's lease expired between the run's end and its acknowledgement,
  // so the task may start again.
  void ExcuseEnd(const run_ref& aRun) { mExcused.insert(aRun); }
  // A guarantee that another oracle checks was violated.
  void AddViolation(std::string aWhat);
  void OnOverCapacity(const run_ref& aRun, const std::string& aWhere);
  // The worker's process died while the run was there.
  void OnCrashed(const run_ref& aRun);
  [[nodiscard]] std::size_t CrashCount(const task_ref& aTask) const;
  // The task's attempts that ended as failed.
  [[nodiscard]] std::set<attempt_t> FailedAttempts(const task_ref& aTask) const;

  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }
  [[nodiscard]] std::size_t Starts() const { return mStarts; }
  // Starts beside another run of the same task.
  [[nodiscard]] std::size_t SecondStarts() const { return mSecondStarts; }

  // Whether a task crashes each worker that starts it. Such a task may not
  // start three more times after three workers have crashed under it.
  std::function<bool(const task_ref&)> mCrashesWorker;
  // Whether the task may have two runs at once, on two workers. None of its
  // runs may start later than 1 s after it was done, or had failed mMaxFailures
  // times, to the knowledge of a worker or a caller. Unset: no task may.
  std::function<bool(const task_ref&)> mAllowsCopies;
  std::size_t mMaxFailures = 2;
  // The run that starts was ordered long ago; see fake_worker.
  bool mIsLateOrder = false;
  // Optional callbacks.
  std::function<void(const run_ref&)> mOnStart;
  std::function<void(const run_ref&, run_outcome)> mOnEnd;

private:
  void CheckStart(const run_ref& aRun, const std::string& aWhere);
  void CheckStartWithCopies(const run_ref& aRun,
                            const std::string& aWhere,
                            time_point aNow);

  // With the workers.
  std::map<task_ref, std::map<attempt_t, std::string>> mRunning;
  std::map<run_ref, run_outcome> mEnds;
  std::set<run_ref> mExcused;
  // When it first became known.
  std::map<task_ref, time_point> mAcknowledgedAsDone;
  std::map<job_id, time_point> mShownDone;
  std::map<task_ref, std::size_t> mAcknowledgedFailures;
  std::map<task_ref, time_point> mFailedAt; // the last of mMaxFailures
  std::map<task_ref, std::size_t> mCrashes;
  // Starts after three crashes under the task.
  std::map<task_ref, std::size_t> mStartsAfterCrashes;
  std::vector<std::string> mViolations;
  std::size_t mStarts = 0;
  std::size_t mSecondStarts = 0;
};

class fake_worker
{
public:
  // aClockDrift: the fraction by which its clock runs slower than true time.
  fake_worker(worker_description aDescription,
              double aClockDrift,
              run_oracle& aOracle);

  // Executes the order at aNow and returns the answer.
  order_answer Handle(const worker_order& aOrder, time_point aNow);
  // Ends the runs that are due: those that are done (or fail, for odd indices
  // of attempt 1 if mFailsFirstAttempts and of attempt 2 if
  // mFailsSecondAttempts), and all when the lease has expired.
  void Advance(time_point aNow);
  // Its process dies: all its runs are over, and their ends are not listed.
  void Crash(time_point aNow);
  // Its process ends as planned: the same, but nothing crashed.
  void Leave(time_point aNow);
  // Starts a new process under the same id, without the state of the former
  // one. Its sequence numbers and its clock start from zero.
  void Restart(time_point aNow);
  // Like Restart(), under another id.
  void RestartAs(const std::string& aId, time_point aNow);
  [[nodiscard]] std::int64_t ClockMs(time_point aNow) const;
  [[nodiscard]] const worker_description& Description() const
  {
    return mDescription;
  }
  [[nodiscard]] bool IsUp() const { return mIsUp; }
  // Changes its capacity, which its next heartbeat reports.
  void SetCapacity(const cell::resources& aCapacity, time_point aNow);

  milliseconds mWorkTime{ 300 };
  cell::resources mTaskSize; // of every task; for the capacity check
  bool mFailsFirstAttempts = false;
  bool mFailsSecondAttempts = false;
  bool mDraining = false;
  // It is executing a late order, for which its capacity is not checked.
  bool mHandlesLateOrder = false;
  // Ends are forgotten only when a poll sends a higher cursor than all polls
  // before, instead of by each poll that sends one. A real worker may do
  // either.
  bool mForgetsOnHigherCursor = false;

private:
  struct live_run
  {
    time_point mDoneAt;
    bool mCrashes = false; // at mDoneAt, together with the worker
  };

  order_answer Start(const start_order& aStart, time_point aNow);
  void End(const run_ref& aRun, run_outcome aHow);
  void Forget(std::uint64_t aCursor, time_point aNow);
  [[nodiscard]] bool Fails(const run_ref& aRun) const;
  void Die();
  // Whether aUsed fits in its capacity, or in a recent one.
  [[nodiscard]] bool FitsRecentCapacity(const cell::resources& aUsed,
                                        time_point aNow) const;

  worker_description mDescription;
  double mClockDrift;
  run_oracle& mOracle;
  bool mIsUp = true;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseClockMs = 0;
  std::map<run_ref, live_run> mRuns;
  // The highest attempts that ended or were stopped.
  std::map<task_ref, attempt_t> mFinishedAttempts;
  std::vector<listed_end> mEnds;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mAcknowledgedCursor = 0;
  time_point mClockZero{};
  // Former capacities, with the time when each was replaced.
  std::vector<std::pair<time_point, cell::resources>> mFormerCapacities;
};

} // namespace oriolewalk::flow
