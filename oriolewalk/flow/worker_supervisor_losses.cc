// The conclusions that the leader draws about runs at a worker that is
// unreachable, or whose incarnation ended without deregistration: which of them
// may have crashed it.

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "oriolewalk/flow/whole_ms.h"
#include "oriolewalk/flow/worker_supervisor.h"

namespace oriolewalk::flow {

namespace {

// A task that crashes every worker that starts it does so at once. A busy
// worker makes contact at each end of a run, so the last contact before a crash
// is recent.
constexpr milliseconds kJustStarted{ 250 };
// Longer than the heartbeat interval, so that a healthy worker makes contact
// within it.
constexpr milliseconds kNewlyStarted{ 2'000 };
// A long-running task that has run for this long is not the cause of a crash of
// its worker.
constexpr milliseconds kClearedAfter{ 60'000 };

std::vector<run_ref>
JustStarted(const std::map<run_ref, duration>& aAges)
{
  std::vector<run_ref> runs;
  for (const auto& [run, age] : aAges) {
    if (age < kJustStarted) {
      runs.push_back(run);
    }
  }
  return runs;
}

} // namespace

std::optional<duration>
worker_supervisor::MinRunTime(const worker_view& aView,
                              const worker_view::run_view& aRun)
{
  if (aRun.mInherited || !aRun.mStartedAt) {
    return std::nullopt;
  }
  return std::max(aView.mLastContactAt - *aRun.mStartedAt, duration::zero());
}

bool
worker_supervisor::IsNewlyStarted(worker_number aWorker,
                                  const run_ref& aRun) const
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return false;
  }
  const auto run = found->second.mRuns.find(aRun);
  if (run == found->second.mRuns.end() || run->second.mInherited) {
    return false;
  }
  return MinRunTime(found->second, run->second).value_or(duration::zero()) <
         kNewlyStarted;
}

bool
worker_supervisor::IsCleared(const worker_view& aView,
                             const run_ref& aRun) const
{
  const step_spec* step = mState.FindStep(aRun.mTask);
  const auto run = aView.mRuns.find(aRun);
  return step != nullptr && step->mLongRunning && run != aView.mRuns.end() &&
         MinRunTime(aView, run->second).value_or(duration::zero()) >=
           kClearedAfter;
}

void
worker_supervisor::MarkRunsLost(worker_number aWorker, worker_view& aView)
{
  const std::set<run_ref>& placed = mState.RunsAt(aWorker);
  for (const run_ref& run : placed) {
    const auto seenRun = aView.mRuns.find(run);
    const auto runTime = seenRun == aView.mRuns.end()
                           ? std::nullopt
                           : MinRunTime(aView, seenRun->second);
    if (runTime) {
      aView.mLostRunAges[run] = *runTime;
    }
  }
  std::vector<run_ref> runs(placed.begin(), placed.end());
  LogDroppedRuns(aWorker, runs, "lapsed");
  mCommands.emplace_back(mark_runs_lost{ aWorker, std::move(runs) });
}

void
worker_supervisor::ProposeWorkerReturn(worker_number aWorker,
                                       worker_view& aView)
{
  if (mState.Crashes().HasLostRuns(aWorker)) {
    aView.mLostRunAges.clear();
    mCommands.emplace_back(record_worker_return{ aWorker });
  }
}

void
worker_supervisor::OnIncarnationEnded(worker_number aWorker,
                                      std::string_view aKnownBy,
                                      time_point aNow)
{
  const auto found = mViews.find(aWorker);
  const worker_record* record = mState.FindWorker(aWorker);
  if (found == mViews.end() || record == nullptr) {
    return;
  }
  worker_view& view = found->second;
  if (!std::exchange(view.mEndLogged, true)) {
    LogIncarnationEnd(aWorker, view, aKnownBy, aNow);
  }
  if (record->mDraining) {
    return; // it left, and its deregistration was lost
  }
  std::map<run_ref, duration> ages = view.mLostRunAges;
  record_worker_crash crash{ aWorker, {}, {} };
  for (const auto& [run, seenRun] : view.mRuns) {
    if (const std::optional<duration> runTime = MinRunTime(view, seenRun)) {
      ages[run] = *runTime;
    }
    if (IsCleared(view, run)) {
      crash.mCleared.push_back(run);
    }
  }
  crash.mSuspects = JustStarted(ages);
  mCommands.emplace_back(std::move(crash));
}

void
worker_supervisor::OnRestarted(worker_number aWorker, time_point aNow)
{
  SaveCheckpoints(aWorker);
  OnIncarnationEnded(aWorker, "restart", aNow);
  const std::set<run_ref>& placed = mState.RunsAt(aWorker);
  const bool isNamed =
    mState.FindWorker(aWorker)->mDescription.mProcessStartMs != 0;
  if (isNamed && !placed.empty()) {
    DropRuns(aWorker, { placed.begin(), placed.end() }, "restart");
  }
}

void
worker_supervisor::LogIncarnationEnd(worker_number aWorker,
                                     const worker_view& aView,
                                     std::string_view aKnownBy,
                                     time_point aNow)
{
  const worker_record& record = *mState.FindWorker(aWorker);
  const std::string& id = record.mDescription.mId.Value();
  mDecisions.push_back(
    { "worker.over",
      { { "worker", id },
        { "address", record.mDescription.mAddress },
        { "known_by", std::string(aKnownBy) },
        { "draining", record.mDraining ? "yes" : "no" },
        { "silent_ms", std::to_string(ToMs(aNow - aView.mLastContactAt)) },
        { "runs", std::to_string(aView.mRuns.size()) } } });
  for (const auto& [run, seenRun] : aView.mRuns) {
    const std::optional<duration> runTime = MinRunTime(aView, seenRun);
    mDecisions.push_back(
      { "run.lost",
        { { "job", run.mTask.mJob.Value() },
          { "step", std::to_string(run.mTask.mStep) },
          { "task", std::to_string(run.mTask.mIndex) },
          { "attempt", std::to_string(run.mAttempt) },
          { "worker", id },
          { "ran_ms",
            runTime ? std::to_string(ToMs(*runTime)) : "unknown" } } });
  }
}

} // namespace oriolewalk::flow
