#include "oriolewalk/flow/suspect_isolation.h"

#include <algorithm>
#include <limits>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Suspects that start at a time, of a job with a prime suspect.
constexpr std::uint32_t kMostOfPrimeJob = 1;
// Crashes and losses after which a task waits until more is known of the
// losses: for a while, or, with so many that one more start may be one too
// many, until then.
constexpr std::uint32_t kWaitsAfter = 3;
constexpr std::uint32_t kHeldAfter = 5;
// Most workers that crash are back, and known to have crashed, by then.
constexpr milliseconds kLossWait{ 6'000 };

} // namespace

void
worker_suspects::Add(suspicion aOne)
{
  mCount += aOne != suspicion::None ? 1 : 0;
  mPrimes += aOne == suspicion::Prime ? 1 : 0;
}

void
worker_suspects::Remove(suspicion aOne)
{
  mCount -= aOne != suspicion::None ? 1 : 0;
  mPrimes -= aOne == suspicion::Prime ? 1 : 0;
}

std::uint32_t
suspicions::MostOf(const crash_book& aBook, const job_id& aJob) const
{
  const auto& records = aBook.Records();
  const auto isPrime = [&](const auto& aEntry) {
    return aEntry.second.Suspicion() == suspicion::Prime;
  };
  const auto first = records.lower_bound({ aJob, 0, 0, 0 });
  const auto last = std::find_if(first, records.end(), [&](const auto& aEntry) {
    return aEntry.first.mJob != aJob;
  });
  if (std::none_of(first, last, isPrime)) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto running = mOfJob.find(aJob);
  return running == mOfJob.end() || running->second == 0 ? kMostOfPrimeJob : 0;
}

void
probation::Lost(std::span<const run_ref> aRuns, time_point aNow)
{
  for (const run_ref& run : aRuns) {
    mLostAt[run.mTask] = aNow;
  }
}

void
probation::Forget(const job_id& aJob)
{
  EraseFrom(mLostAt, { aJob, 0, 0, 0 }, [&](const task_ref& aTask) {
    return aTask.mJob == aJob;
  });
}

bool
probation::IsHeld(const crash_book& aBook,
                  const task_ref& aTask,
                  std::uint32_t aLosses,
                  time_point aNow)
{
  const crash_record* record = aBook.Find(aTask);
  const std::uint32_t away =
    aLosses + (record == nullptr ? 0 : record->mCrashes + record->mUnknown);
  if (away < kWaitsAfter) {
    return false;
  }
  // An earlier leader gave it up: it waits from now on.
  const time_point lostAt = mLostAt.try_emplace(aTask, aNow).first->second;
  return away >= kHeldAfter || aNow < lostAt + kLossWait;
}

suspicions
probation::Find(const flow_state& aState,
                const std::map<task_ref, worker_number>& aProposed,
                const fresh_rule& aIsFresh,
                time_point aNow)
{
  const crash_book& book = aState.Crashes();
  suspicions found;
  for (const auto& [task, losses] : book.Losses()) {
    if (IsHeld(book, task, losses, aNow)) {
      found.mHeld.insert(task);
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
    found.mAt[runs ? task->mWorker : proposed->second].Add(record.Suspicion());
    ++found.mOfJob[ref.mJob];
  }
  return found;
}

} // namespace oriolewalk::flow
