#include "oriolewalk/flow/crash_tracker.h"

#include <algorithm>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// After this many crashes a task is started alone. Tasks that only ran beside
// the one that crashes its workers don't reach the limits below before it does.
constexpr std::uint32_t kHighSuspectedCrashes = 2;
constexpr std::uint32_t kHighCrashes = 3;
constexpr std::uint32_t kMaxSuspectedCrashes = 3;
// A task is abandoned after this many crashes and unexplained losses, whether
// or not it had just started, if at least kMinProvenCrashes are crashes.
constexpr std::uint32_t kMaxCrashes = 5;
constexpr std::uint32_t kMinProvenCrashes = 2;

} // namespace

suspicion
crash_record::Suspicion() const
{
  if (mSuspectedCrashes >= kHighSuspectedCrashes || mCrashes >= kHighCrashes) {
    return suspicion::High;
  }
  return mCrashes > 0 ? suspicion::Low : suspicion::None;
}

std::vector<task_ref>
crash_tracker::OnCrash(worker_number aWorker,
                       const std::set<run_ref>& aPlaced,
                       const record_worker_crash& aCrash)
{
  incarnation_record& incarnation = mIncarnations[aWorker];
  if (incarnation.mCrashed) {
    return {};
  }
  incarnation.mCrashed = true;
  std::set<run_ref> runs = aPlaced;
  runs.merge(incarnation.mLost);
  incarnation.mLost.clear();
  std::vector<task_ref> counted;
  for (const run_ref& run : runs) {
    if (std::ranges::count(aCrash.mCleared, run) > 0) {
      mRecords.erase(run.mTask);
      continue;
    }
    crash_record& record = mRecords[run.mTask];
    ++record.mCrashes;
    record.mSuspectedCrashes +=
      std::ranges::count(aCrash.mSuspects, run) > 0 ? 1 : 0;
    counted.push_back(run.mTask);
  }
  return counted;
}

void
crash_tracker::OnRunsLost(worker_number aWorker, std::span<const run_ref> aRuns)
{
  if (!HasCrashed(aWorker)) { // otherwise the crash counted them
    mIncarnations[aWorker].mLost.insert(aRuns.begin(), aRuns.end());
  }
}

std::vector<task_ref>
crash_tracker::OnWorkerRemoved(worker_number aWorker)
{
  std::vector<task_ref> counted;
  const auto incarnation = mIncarnations.extract(aWorker);
  if (incarnation.empty()) {
    return counted;
  }
  for (const run_ref& run : incarnation.mapped().mLost) {
    ++mRecords[run.mTask].mUnexplainedLosses;
    counted.push_back(run.mTask);
  }
  return counted;
}

void
crash_tracker::OnWorkerReturn(worker_number aWorker)
{
  const auto found = mIncarnations.find(aWorker);
  if (found != mIncarnations.end() && !found->second.mCrashed) {
    mIncarnations.erase(found);
  }
}

void
crash_tracker::ForgetJob(const job_id& aJob)
{
  EraseWhile(mRecords, { aJob, 0, 0, 0 }, [&](const task_ref& aTask) {
    return aTask.mJob == aJob;
  });
}

const crash_record*
crash_tracker::Find(const task_ref& aTask) const
{
  const auto found = mRecords.find(aTask);
  return found == mRecords.end() ? nullptr : &found->second;
}

suspicion
crash_tracker::SuspicionOf(const task_ref& aTask) const
{
  const crash_record* record = Find(aTask);
  return record == nullptr ? suspicion::None : record->Suspicion();
}

bool
crash_tracker::ShouldAbandon(const task_ref& aTask) const
{
  const crash_record* record = Find(aTask);
  return record != nullptr &&
         (record->mSuspectedCrashes >= kMaxSuspectedCrashes ||
          (record->mCrashes >= kMinProvenCrashes &&
           record->mCrashes + record->mUnexplainedLosses >= kMaxCrashes));
}

bool
crash_tracker::HasCrashed(worker_number aWorker) const
{
  const auto found = mIncarnations.find(aWorker);
  return found != mIncarnations.end() && found->second.mCrashed;
}

bool
crash_tracker::HasLostRuns(worker_number aWorker) const
{
  const auto found = mIncarnations.find(aWorker);
  return found != mIncarnations.end() && !found->second.mLost.empty();
}

std::map<task_ref, std::uint32_t>
crash_tracker::UnresolvedLosses() const
{
  std::map<task_ref, std::uint32_t> losses;
  for (const auto& [worker, incarnation] : mIncarnations) {
    for (const run_ref& run : incarnation.mLost) {
      ++losses[run.mTask];
    }
  }
  return losses;
}

} // namespace oriolewalk::flow
