#pragma once

// A simulated cell in one process: a cell_state, its scheduler, and workers
// that execute the commands they receive. Only Run() advances the time.
// Commands are applied one step after they were proposed.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/protocol.h"
#include "oriolewalk/cell/scheduler.h"

namespace oriolewalk::cell {

struct fake_attempt
{
  std::uint32_t mAttempt = 0;
  std::int64_t mEndsMs = 0;
  std::int64_t mStartedMs = 0;
  std::int64_t mLimitMilliProcessors = 0;
};

struct fake_worker
{
  register_worker mAnnounce;
  bool mSilent = false;    // Neither polls nor replies.
  bool mFailsAll = false;  // Every task fails at once.
  bool mAnnounced = false; // Its registration was sent.
  std::int64_t mLeaseEndsMs = 0;
  std::map<task_id, fake_attempt> mRunning;
  std::map<task_id, reported_end> mEnded;
};

class fake_cell
{
public:
  explicit fake_cell(const scheduler_options& aOptions = {});

  void AddWorker(const std::string& aId,
                 resources aCapacity,
                 const std::string& aDataCentre = "a",
                 const std::string& aRack = "a1");
  job_number Submit(const job_spec& aSpec);
  void Do(const cell_command& aCommand) { mLog.push_back(aCommand); }
  // Advances the time in steps of 100 ms. Workers poll every 500 ms.
  void Run(std::int64_t aMs);
  [[nodiscard]] instant Now() const;
  [[nodiscard]] job_state State(job_number aJob) const;
  // Returns the number of running attempts of a task on all workers.
  [[nodiscard]] int Copies(const task_id& aTask) const;

  cell_state mState;
  cell_scheduler mScheduler;
  cell_policy mPolicy;
  std::map<std::string, fake_worker> mWorkers;
  std::deque<cell_command> mLog; // Proposed, but not applied yet.
  // Actual run times; other jobs run for their declared time.
  std::map<job_number, std::int64_t> mRunsMs;
  std::map<job_number, std::int64_t> mUsesMb; // Others use their declared size.
  std::set<job_number> mFailing;              // Fail on every worker.
  std::map<task_id, std::int64_t> mFirstStartMs;
  std::map<task_id, int> mStarts;
  std::int64_t mMs = 0; // The monotonic and the wall clock.

private:
  void ApplyLog();
  void PollAll();
  void Poll(fake_worker& aWorker);
  void Execute(fake_worker& aWorker, const worker_command& aCommand);
  void End(fake_worker& aWorker, const task_id& aTask, attempt_result aResult);
  void Finish(fake_worker& aWorker);

  std::uint64_t mNextKey = 1;
};

job_spec
MakeSpec(const std::string& aOrganisation,
         job_class aClass,
         std::uint32_t aTasks,
         resources aEach,
         std::int64_t aExpectedMs);

} // namespace oriolewalk::cell
