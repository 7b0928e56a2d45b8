#include "oriolewalk/flow/suspect_isolation.h"

#include <algorithm>
#include <limits>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Suspects of one job that may run at a time if one of them is under high
// suspicion.
constexpr std::uint32_t kMostOfPrimeJob = 1;
// Crashes and losses after which a task waits until it is known whether the
// lost workers crashed. From kDelayedAfter on it waits for a bounded time; from
// kBlockedAfter on, when one more start may be one too many, until it is known.
constexpr std::uint32_t kWaitsAfter = 3;
constexpr std::uint32_t kHeldAfter = 5;
// Most workers that crash are back, and known to have crashed, within this
// time.
constexpr milliseconds kLossWait{ 6'000 };

} // namespace

void
worker_suspects::Add(suspicion aOne)
{
  mCount += aOne != suspicion::None ? 1 : 0;
  mHighSuspicion += aOne == suspicion::High ? 1 : 0;
}

void
worker_suspects::Remove(suspicion aOne)
{
  mCount -= aOne != suspicion::None ? 1 : 0;
  mHighSuspicion -= aOne == suspicion::High ? 1 : 0;
}

std::uint32_t
suspect_summary::MaxStarts(const crash_tracker& aBook, const job_id& aJob) const
{
  const auto& records = aBook.Records();
  const auto isPrime = [&](const auto& aEntry) {
    return aEntry.second.Suspicion() == suspicion::High;
  };
  const auto first = records.lower_bound({ aJob, 0, 0, 0 });
  const auto last = std::find_if(first, records.end(), [&](const auto& aEntry) {
    return aEntry.first.mJob != aJob;
  });
  if (std::none_of(first, last, isPrime)) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto running = mRunningByJob.find(aJob);
  return running == mRunningByJob.end() || running->second == 0
           ? kMostOfPrimeJob
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
suspect_isolation::IsHeld(const crash_tracker& aBook,
                          const task_ref& aTask,
                          std::uint32_t aLosses,
                          time_point aNow)
{
  const crash_record* record = aBook.Find(aTask);
  const std::uint32_t away =
    aLosses +
    (record == nullptr ? 0 : record->mCrashes + record->mUnexplainedLosses);
  if (away < kWaitsAfter) {
    return false;
  }
  // If an earlier leader recorded the loss, the wait begins now.
  const time_point lostAt = mLostAt.try_emplace(aTask, aNow).first->second;
  return away >= kHeldAfter || aNow < lostAt + kLossWait;
}

suspect_summary
suspect_isolation::Summarize(const flow_state& aState,
                             const std::map<task_ref, worker_number>& aProposed,
                             const newly_started_predicate& aIsFresh,
                             time_point aNow)
{
  const crash_tracker& book = aState.Crashes();
  suspect_summary found;
  for (const auto& [task, losses] : book.UnresolvedLosses()) {
    if (IsHeld(book, task, losses, aNow)) {
      found.mBlocked.insert(task);
    }
  }
  for (const auto& [ref, record] : book.Records()) {
    const task_record* task = aState.FindTask(ref);
    if (task == nullptr) {
      continue;
    }
    const auto proposed = aProposed.find(ref);
    const bool runs = task->mPhase == task_phase::Placed &&
                      aIsFresh(task->mWorker, { ref, task->mAttempt });
    if (!runs && proposed == aProposed.end()) {
      continue;
    }
    found.mByWorker[runs ? task->mWorker : proposed->second].Add(
      record.Suspicion());
    ++found.mRunningByJob[ref.mJob];
  }
  return found;
}

} // namespace oriolewalk::flow
