#pragma once

// Records which tasks ran at workers that crashed. It distinguishes a task that
// crashes each worker that starts it from the tasks that ran beside it.
//
//   crash_tracker crashes;
//   crashes.OnRunsLost(worker, runs); // it is unknown whether it crashed
//   for (const task_ref& task : crashes.OnCrash(worker, placed, command)) {
//     // Abandon the task if crashes.ShouldAbandon(task).
//   }
//
// It counts incarnations of workers, each once per task. Only the end of an
// incarnation proves a crash: a silent worker may be cut off from the network.
//
// A part of the replicated state, which owns it; used by the control thread
// only.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// How likely it is that a task crashes its workers.
enum class suspicion : std::uint8_t
{
  None,
  Low,
  High, // the task is started alone, to prove it
};

struct crash_record
{
  std::uint32_t mCrashes = 0; // worker incarnations that crashed under it
  // Those of mCrashes in which the task had just started, so that it is one of
  // few possible causes.
  std::uint32_t mSuspectedCrashes = 0;
  // Workers that were lost while they ran the task and never heard from again.
  std::uint32_t mUnexplainedLosses = 0;

  [[nodiscard]] suspicion Suspicion() const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mCrashes, mSuspectedCrashes, mUnexplainedLosses);
  }
};

class crash_tracker
{
public:
  // The worker's incarnation ended unintentionally. aPlaced: the runs there.
  // Returns the tasks for which the crash was counted: none if this incarnation
  // was counted before.
  std::vector<task_ref> OnCrash(worker_number aWorker,
                                const std::set<run_ref>& aPlaced,
                                const record_worker_crash& aCrash);
  // The runs were withdrawn because the worker is unreachable.
  void OnRunsLost(worker_number aWorker, std::span<const run_ref> aRuns);
  // The worker was only silent: its lost runs don't count as crashes.
  void OnWorkerReturn(worker_number aWorker);
  // The worker was removed and had not been heard from again. Returns the tasks
  // that were lost with it.
  std::vector<task_ref> OnWorkerRemoved(worker_number aWorker);
  void ForgetWorker(worker_number aWorker) { mIncarnations.erase(aWorker); }
  void ForgetJob(const job_id& aJob);

  // Returns null if the task ran at no worker that crashed.
  [[nodiscard]] const crash_record* Find(const task_ref& aTask) const;
  [[nodiscard]] suspicion SuspicionOf(const task_ref& aTask) const;
  [[nodiscard]] bool ShouldAbandon(const task_ref& aTask) const;
  [[nodiscard]] bool HasCrashed(worker_number aWorker) const;
  [[nodiscard]] bool HasLostRuns(worker_number aWorker) const;
  // For each task, the number of workers that were lost with it and may still
  // return.
  [[nodiscard]] std::map<task_ref, std::uint32_t> UnresolvedLosses() const;
  [[nodiscard]] const std::map<task_ref, crash_record>& Records() const
  {
    return mRecords;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRecords, mIncarnations);
  }

private:
  struct incarnation_record
  {
    bool mCrashed = false;
    std::set<run_ref> mLost;

    template<class Archive>
    void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
    {
      aArchive(mCrashed, mLost);
    }
  };

  std::map<task_ref, crash_record> mRecords;
  // Only the incarnations with a loss or a crash.
  std::map<worker_number, incarnation_record> mIncarnations;
};

} // namespace oriolewalk::flow
