#include "oriolewalk/flow/crash_tracker.h"

#include <algorithm>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// With so many crashes a task is started alone: what is beside the one that
// crashes its workers doesn't come as far as that one.
constexpr std::uint32_t kPrimeSuspected = 2;
constexpr std::uint32_t kPrimeCrashes = 3;
constexpr std::uint32_t kMostSuspected = 3;
// Whatever is known of its starts, a task is started no more often, if some of
// its workers are known to have crashed.
constexpr std::uint32_t kMostCrashes = 5;
constexpr std::uint32_t kLeastProven = 2;

} // namespace

suspicion
crash_record::Suspicion() const
{
  if (mSuspected >= kPrimeSuspected || mCrashes >= kPrimeCrashes) {
    return suspicion::Prime;
  }
  return mCrashes > 0 ? suspicion::Some : suspicion::None;
}

std::vector<task_ref>
crash_book::Crashed(worker_number aWorker,
                    const std::set<run_ref>& aPlaced,
                    const note_crash& aNote)
{
  life_record& life = mLives[aWorker];
  if (life.mCrashed) {
    return {};
  }
  life.mCrashed = true;
  std::set<run_ref> runs = aPlaced;
  runs.merge(life.mLost);
  life.mLost.clear();
  std::vector<task_ref> counted;
  for (const run_ref& run : runs) {
    if (std::ranges::count(aNote.mProven, run) > 0) {
      mRecords.erase(run.mTask);
      continue;
    }
    crash_record& record = mRecords[run.mTask];
    ++record.mCrashes;
    record.mSuspected += std::ranges::count(aNote.mSuspects, run) > 0 ? 1 : 0;
    counted.push_back(run.mTask);
  }
  return counted;
}

void
crash_book::Lost(worker_number aWorker, std::span<const run_ref> aRuns)
{
  if (!IsOver(aWorker)) { // else they were counted with the crash
    mLives[aWorker].mLost.insert(aRuns.begin(), aRuns.end());
  }
}

std::vector<task_ref>
crash_book::Vanished(worker_number aWorker)
{
  std::vector<task_ref> counted;
  const auto life = mLives.extract(aWorker);
  if (life.empty()) {
    return counted;
  }
  for (const run_ref& run : life.mapped().mLost) {
    ++mRecords[run.mTask].mUnknown;
    counted.push_back(run.mTask);
  }
  return counted;
}

void
crash_book::Returned(worker_number aWorker)
{
  const auto found = mLives.find(aWorker);
  if (found != mLives.end() && !found->second.mCrashed) {
    mLives.erase(found);
  }
}

void
crash_book::ForgetJob(const job_id& aJob)
{
  EraseFrom(mRecords, { aJob, 0, 0, 0 }, [&](const task_ref& aTask) {
    return aTask.mJob == aJob;
  });
}

const crash_record*
crash_book::Find(const task_ref& aTask) const
{
  const auto found = mRecords.find(aTask);
  return found == mRecords.end() ? nullptr : &found->second;
}

suspicion
crash_book::SuspicionOf(const task_ref& aTask) const
{
  const crash_record* record = Find(aTask);
  return record == nullptr ? suspicion::None : record->Suspicion();
}

bool
crash_book::IsGivenUp(const task_ref& aTask) const
{
  const crash_record* record = Find(aTask);
  return record != nullptr &&
         (record->mSuspected >= kMostSuspected ||
          (record->mCrashes >= kLeastProven &&
           record->mCrashes + record->mUnknown >= kMostCrashes));
}

bool
crash_book::IsOver(worker_number aWorker) const
{
  const auto found = mLives.find(aWorker);
  return found != mLives.end() && found->second.mCrashed;
}

bool
crash_book::HasLost(worker_number aWorker) const
{
  const auto found = mLives.find(aWorker);
  return found != mLives.end() && !found->second.mLost.empty();
}

std::map<task_ref, std::uint32_t>
crash_book::Losses() const
{
  std::map<task_ref, std::uint32_t> losses;
  for (const auto& [worker, life] : mLives) {
    for (const run_ref& run : life.mLost) {
      ++losses[run.mTask];
    }
  }
  return losses;
}

} // namespace oriolewalk::flow
