#include "oriolewalk/flow/suspect_isolation.h"

#include <algorithm>
#include <limits>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Suspects of one job that may run at a time if one of them is under high
// suspicion.
constexpr std::uint32_t kMaxSuspectsOfJob = 1;
// Crashes and losses after which a task waits until it is known whether the
// lost workers crashed. From kDelayedAfter on it waits for a bounded time; from
// kBlockedAfter on, when one more start may be one too many, until it is known.
constexpr std::uint32_t kDelayedAfter = 3;
constexpr std::uint32_t kBlockedAfter = 5;
// Most workers that crash are back, and known to have crashed, within this
// time.
constexpr milliseconds kLossWait{ 6'000 };

} // namespace

void
worker_suspects::Add(suspicion aSuspicion)
{
  mCount += aSuspicion != suspicion::None ? 1 : 0;
  mHighSuspicion += aSuspicion == suspicion::High ? 1 : 0;
}

void
worker_suspects::Remove(suspicion aSuspicion)
{
  mCount -= aSuspicion != suspicion::None ? 1 : 0;
  mHighSuspicion -= aSuspicion == suspicion::High ? 1 : 0;
}

std::uint32_t
suspect_summary::MaxStarts(const crash_tracker& aCrashes,
                           const job_id& aJob) const
{
  const auto& records = aCrashes.Records();
  const auto isHigh = [&](const auto& aEntry) {
    return aEntry.second.Suspicion() == suspicion::High;
  };
  const auto first = records.lower_bound({ aJob, 0, 0, 0 });
  const auto last = std::find_if(first, records.end(), [&](const auto& aEntry) {
    return aEntry.first.mJob != aJob;
  });
  if (std::none_of(first, last, isHigh)) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto running = mRunningByJob.find(aJob);
  return running == mRunningByJob.end() || running->second == 0
           ? kMaxSuspectsOfJob
           : 0;
}

void
suspect_isolation::OnRunsLost(std::span<const run_ref> aRuns, time_point aNow)
{
  for (const run_ref& run : aRuns) {
    mLostAt[run.mTask] = aNow;
  }
}

void
suspect_isolation::Forget(const job_id& aJob)
{
  EraseWhile(mLostAt, { aJob, 0, 0, 0 }, [&](const task_ref& aTask) {
    return aTask.mJob == aJob;
  });
}

bool
suspect_isolation::IsBlocked(const crash_tracker& aCrashes,
                             const task_ref& aTask,
                             std::uint32_t aLosses,
                             time_point aNow)
{
  const crash_record* record = aCrashes.Find(aTask);
  const std::uint32_t failures =
    aLosses +
    (record == nullptr ? 0 : record->mCrashes + record->mUnexplainedLosses);
  if (failures < kDelayedAfter) {
    return false;
  }
  // If an earlier leader recorded the loss, the wait begins now.
  const time_point lostAt = mLostAt.try_emplace(aTask, aNow).first->second;
  return failures >= kBlockedAfter || aNow < lostAt + kLossWait;
}

suspect_summary
suspect_isolation::Summarize(const flow_state& aState,
                             const std::map<task_ref, worker_number>& aProposed,
                             const newly_started_predicate& aIsNewlyStarted,
                             time_point aNow)
{
  const crash_tracker& crashes = aState.Crashes();
  suspect_summary summary;
  for (const auto& [task, losses] : crashes.UnresolvedLosses()) {
    if (IsBlocked(crashes, task, losses, aNow)) {
      summary.mBlocked.insert(task);
    }
  }
  for (const auto& [ref, record] : crashes.Records()) {
    const task_record* task = aState.FindTask(ref);
    if (task == nullptr) {
      continue;
    }
    const copy_record* copy = aState.FindPlacedCopy(ref);
    if (copy != nullptr &&
        aIsNewlyStarted(copy->mWorker, { ref, copy->mAttempt })) {
      summary.mByWorker[copy->mWorker].Add(record.Suspicion());
      ++summary.mRunningByJob[ref.mJob];
    }
    const auto proposed = aProposed.find(ref);
    const bool isNewlyStarted =
      task->mPhase == task_phase::Placed &&
      aIsNewlyStarted(task->mWorker, { ref, task->mAttempt });
    if (!isNewlyStarted && proposed == aProposed.end()) {
      continue;
    }
    summary.mByWorker[isNewlyStarted ? task->mWorker : proposed->second].Add(
      record.Suspicion());
    ++summary.mRunningByJob[ref.mJob];
  }
  return summary;
}

} // namespace oriolewalk::flow
