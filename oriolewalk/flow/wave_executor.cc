#include "oriolewalk/flow/wave_executor.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

namespace oriolewalk::flow {

namespace {

// A record that isn't in the state after this time is proposed again.
constexpr seconds kRecordRetry{ 1 };
// A worker whose heartbeat comes so long after its machine was ordered down
// hasn't ended: an order has taken effect long before, or never will.
constexpr seconds kOrderEffect{ 5 };

std::set<std::uint64_t>
OpenWaves(const flow_state& aState)
{
  std::set<std::uint64_t> open;
  for (const auto& [number, wave] : aState.Waves()) {
    if (!wave.IsDone()) {
      open.insert(number);
    }
  }
  return open;
}

const worker_view::run_view*
FindRun(const std::map<worker_number, worker_view>& aViews,
        worker_number aWorker,
        const run_ref& aRun)
{
  const auto view = aViews.find(aWorker);
  if (view == aViews.end()) {
    return nullptr;
  }
  const auto run = view->second.mRuns.find(aRun);
  return run == view->second.mRuns.end() ? nullptr : &run->second;
}

} // namespace

wave_executor::wave_executor(const flow_state& aState,
                             const flow_options& aOptions,
                             std::uint64_t aTerm,
                             time_point aNow)
  : mState(aState)
  , mPlanner(aOptions.mUpkeep,
             aTerm,
             OrderIdBase(aTerm),
             OpenWaves(aState),
             aNow)
  , mBudget(aOptions.mAvailabilityNotice)
{
}

wave_step
wave_executor::Step(const std::map<worker_number, worker_view>& aViews,
                    const std::map<task_ref, worker_number>& aProposed,
                    time_point aNow,
                    std::int64_t aWallMs)
{
  wave_step step;
  if (mState.Waves().empty()) {
    return step;
  }
  step_view view{ aViews, aProposed, aNow, {} };
  ObserveTasks(view);
  machines::upkeep_input input;
  input.mWaves = &mState.Waves();
  input.mRunsAt = [&](const worker_id& aWorker) {
    return RunsAt(view, aWorker);
  };
  input.mGrant = [&](std::span<const std::uint64_t> aRuns) {
    return Grant(view, aRuns);
  };
  input.mNow = aNow;
  input.mWallMs = aWallMs;
  machines::upkeep_actions actions = mPlanner.Plan(input);
  for (const std::uint64_t key : actions.mStops) {
    step.mStops.push_back({ view.mRuns[key].mRun, view.mRuns[key].mWorker });
  }
  for (machines::upkeep_note& note : actions.mNotes) {
    step.mDecisions.push_back({ note.mEvent, std::move(note.mFields) });
  }
  std::ranges::move(actions.mCalls, std::back_inserter(mCalls));
  UpdateDraining(actions, view, step);
  ProposeRecords(actions, aNow, step);
  return step;
}

std::vector<machines::machine_run>
wave_executor::RunsAt(step_view& aView, const worker_id& aWorker) const
{
  std::vector<machines::machine_run> runs;
  const worker_number number = mState.NumberOf(aWorker);
  if (number == 0) {
    return runs;
  }
  const auto add = [&](const run_at& aRun, machines::run_kind aKind) {
    runs.push_back({ aView.mRuns.size(), aKind });
    aView.mRuns.push_back(aRun);
  };
  for (const run_ref& run : mState.RunsAt(number)) {
    const run_at placed{ run, number };
    add(placed, KindOf(aView, placed));
  }
  for (const auto& [task, worker] : aView.mProposed) {
    if (worker == number) {
      add({ { task, 0 }, number }, machines::run_kind::Starting);
    }
  }
  return runs;
}

machines::run_kind
wave_executor::KindOf(const step_view& aView, const run_at& aRun) const
{
  const step_spec& spec = *mState.FindStep(aRun.mRun.mTask);
  if (spec.mLongRunning) {
    return machines::run_kind::LongRunning;
  }
  const auto* seen = FindRun(aView.mViews, aRun.mWorker, aRun.mRun);
  const bool hasSaved = seen != nullptr && !seen->mCheckpoint.empty();
  // Stopping one member of a gang ends them all.
  return spec.mCheckpoints && !spec.mGang && hasSaved
           ? machines::run_kind::Saved
           : machines::run_kind::Unsaved;
}

// The tasks of the steps that limit their misses, while a wave is open.
void
wave_executor::ObserveTasks(const step_view& aView)
{
  std::set<step_ref> observed;
  if (OpenWaves(mState).empty()) {
    mBudget.Retain(observed);
    return;
  }
  for (const auto& [id, job] : mState.LiveJobs()) {
    if (!job->IsActive()) {
      continue;
    }
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (std::uint32_t index = 0; index < occurrence.mSteps.size(); ++index) {
        const step_spec& spec = job->mSpec.mSteps[index];
        if (spec.mLongRunning && spec.mHasMaxMisses) {
          const step_ref step{ id, number, index };
          ObserveStep(aView, step, occurrence.mSteps[index]);
          observed.insert(step);
        }
      }
    }
  }
  mBudget.Retain(observed);
}

void
wave_executor::ObserveStep(const step_view& aView,
                           const step_ref& aStep,
                           const step_record& aRecord)
{
  std::vector<observed_task> tasks;
  for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
    const task_record& task = aRecord.mTasks[index];
    observed_task seen{ index, 0, {}, false };
    const worker_record* worker = mState.FindWorker(task.mWorker);
    if (task.mPhase == task_phase::Placed && worker != nullptr) {
      const run_ref run{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
                         task.mAttempt };
      const auto* view = FindRun(aView.mViews, task.mWorker, run);
      seen.mAttempt = task.mAttempt;
      seen.mRack = worker->mDescription.mRack;
      seen.mIsAtWork = view != nullptr && view->mSeenInPoll &&
                       view->mPercent >= 100 &&
                       aView.mViews.at(task.mWorker).mFailedPolls == 0;
    }
    tasks.push_back(seen);
  }
  mBudget.Observe(aStep, tasks, aView.mNow);
}

std::vector<std::uint64_t>
wave_executor::Grant(const step_view& aView,
                     std::span<const std::uint64_t> aRuns)
{
  std::map<step_ref, std::map<std::uint32_t, std::uint64_t>> bySteps;
  for (const std::uint64_t key : aRuns) {
    const task_ref& task = aView.mRuns[key].mRun.mTask;
    bySteps[{ task.mJob, task.mOccurrence, task.mStep }][task.mIndex] = key;
  }
  std::vector<std::uint64_t> granted;
  for (const auto& [step, keys] : bySteps) {
    std::vector<std::uint32_t> candidates;
    for (const auto& [index, key] : keys) {
      candidates.push_back(index);
    }
    const step_spec& spec =
      *mState.FindStep({ step.mJob, step.mOccurrence, step.mStep, 0 });
    for (const std::uint32_t index :
         mBudget.Grant(step, spec, candidates, aView.mNow)) {
      granted.push_back(keys.at(index));
    }
  }
  return granted;
}

void
wave_executor::UpdateDraining(const machines::upkeep_actions& aActions,
                              const step_view& aView,
                              wave_step& aStep)
{
  std::set<worker_number> next;
  for (const worker_id& worker : aActions.mDraining) {
    next.insert(mState.NumberOf(worker));
  }
  for (const worker_id& worker : aActions.mDown) {
    mOrdered.try_emplace(mState.NumberOf(worker), aView.mNow);
  }
  std::erase_if(mOrdered, [&](const auto& aEntry) {
    const auto& [number, orderedAt] = aEntry;
    const auto view = aView.mViews.find(number);
    return mState.FindWorker(number) == nullptr ||
           (view != aView.mViews.end() &&
            view->second.mHeartbeatAt >= orderedAt + kOrderEffect);
  });
  for (const auto& [number, orderedAt] : mOrdered) {
    next.insert(number);
  }
  next.erase(0);
  std::ranges::set_symmetric_difference(
    mDraining, next, std::back_inserter(aStep.mChangedWorkers));
  mDraining = std::move(next);
}

void
wave_executor::ProposeRecords(const machines::upkeep_actions& aActions,
                              time_point aNow,
                              wave_step& aStep)
{
  std::erase_if(mProposedRecords, [&](const auto& aEntry) {
    return aNow >= aEntry.second + kRecordRetry;
  });
  for (const machines::settled_machine& settled : aActions.mRecords) {
    if (mProposedRecords.try_emplace(settled, aNow).second) {
      aStep.mCommands.emplace_back(
        record_upkeep{ settled.mWave, settled.mMachine, settled.mHasLeft });
    }
  }
}

std::vector<machines::machine_call>
wave_executor::TakeCalls()
{
  return std::exchange(mCalls, {});
}

std::vector<decision>
DescribeUpkeep(const record_upkeep& aRecord,
               const flow_state& aState,
               std::int64_t aWallMs)
{
  const machines::wave_record& wave = aState.Waves().at(aRecord.mWave);
  const std::string number = std::to_string(aRecord.mWave);
  const std::string begun = std::to_string(wave.mBegun.size());
  const std::string left = std::to_string(wave.mLeft.size());
  std::vector<decision> lines{
    { "upkeep.begun",
      { { "wave", number },
        { "machine", aRecord.mMachine.Value() },
        { "has_left", aRecord.mHasLeft ? "yes" : "no" },
        { "begun", begun },
        { "of", std::to_string(wave.mOrder.mMachines.size()) } } }
  };
  if (wave.IsDone()) {
    lines.push_back(
      { "wave.done",
        { { "wave", number },
          { "begun", begun },
          { "left", left },
          { "after_ms", std::to_string(aWallMs - wave.mAcceptedWallMs) },
          { "asked_ms", std::to_string(wave.mOrder.mDurationMs) } } });
  }
  return lines;
}

} // namespace oriolewalk::flow
