#pragma once

// Which tasks were at workers that crashed: tells a task that crashes each
// worker that starts it from those that ran beside it.
//
//   crash_book book;
//   book.Lost(worker, runs);            // lapsed; whether it crashed isn't
//   known for (const task_ref& task : book.Crashed(worker, placed, note)) {
//     // give it up, if IsGivenUp(task)
//   }
//
// What is counted are lives of workers, each once for a task. Only the life's
// end proves a crash: a worker that is silent may be cut off.
//
// A part of the replicated state, which owns it; the control thread only.

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
  High, // it is started alone, for proof
};

struct crash_record
{
  std::uint32_t mCrashes = 0; // lives of workers that ended under the task
  // Of those, in which it had just started: one of few that may be the cause.
  std::uint32_t mSuspectedCrashes = 0;
  // Workers that it was lost with and that were never heard of again.
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
  // The worker's life is over and was not ended on purpose. aPlaced: what ran
  // there. Returns the tasks that were counted, none if the life was before.
  std::vector<task_ref> OnCrash(worker_number aWorker,
                                const std::set<run_ref>& aPlaced,
                                const record_worker_crash& aNote);
  // Runs there were given up since the worker couldn't be reached.
  void OnRunsLost(worker_number aWorker, std::span<const run_ref> aRuns);
  // The worker was only silent: what was lost there is no crash's.
  void OnWorkerReturn(worker_number aWorker);
  // The worker was never heard of again. Returns the tasks that were lost with
  // it.
  std::vector<task_ref> OnWorkerRemoved(worker_number aWorker);
  void ForgetWorker(worker_number aWorker) { mLives.erase(aWorker); }
  void ForgetJob(const job_id& aJob);

  // Null: it was at no worker that crashed.
  [[nodiscard]] const crash_record* Find(const task_ref& aTask) const;
  [[nodiscard]] suspicion SuspicionOf(const task_ref& aTask) const;
  [[nodiscard]] bool ShouldAbandon(const task_ref& aTask) const;
  [[nodiscard]] bool HasCrashed(worker_number aWorker) const;
  [[nodiscard]] bool HasLostRuns(worker_number aWorker) const;
  // By task, at how many workers it was lost of which nothing is known yet.
  [[nodiscard]] std::map<task_ref, std::uint32_t> UnresolvedLosses() const;
  [[nodiscard]] const std::map<task_ref, crash_record>& Records() const
  {
    return mRecords;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRecords, mLives);
  }

private:
  struct life_record
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
  std::map<worker_number, life_record> mLives; // with a loss or a crash
};

} // namespace oriolewalk::flow
