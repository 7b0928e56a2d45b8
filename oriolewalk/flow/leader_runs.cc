// The life cycle of runs from a committed start to the end: hands them to the
// worker supervisor, stops them, and records and logs their ends.

#include <algorithm>
#include <iterator>
#include <utility>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

// Whether some but not all members of an unfinished gang step are placed.
bool
IsPartlyPlaced(const step_record& aStep)
{
  if (aStep.IsDone()) {
    return false;
  }
  const auto placed =
    std::ranges::count(aStep.mTasks, task_phase::Placed, &task_record::mPhase);
  return placed > 0 && placed < std::ssize(aStep.mTasks);
}

// Whether a run of the step can be compared with others. A gang ends together,
// and a long-running step has no duration to compare.
bool
HasUsualDuration(const step_spec& aSpec,
                 const step_record& aStep,
                 bool aIsLearned)
{
  return !aSpec.mGang && !aSpec.mLongRunning &&
         (aStep.mDoneTasks > 0 || aIsLearned);
}

} // namespace

void
leader_core::StopRuns(const job_id& aId, const job_record& aJob)
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
      StopStep({ aId, number, step }, occurrence.mSteps[step]);
    }
  }
}

void
leader_core::StopStep(const step_ref& aStep, const step_record& aRecord)
{
  for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
    const task_record& task = aRecord.mTasks[index];
    if (task.mPhase == task_phase::Placed) {
      mSupervisor.RequestStop(
        task.mWorker,
        { { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
          task.mAttempt },
        mAt.mNow);
    }
  }
}

// Stops runs whose job has ended, including those that were started at the same
// moment, and gangs of which a member is missing.
void
leader_core::StopUnwanted()
{
  for (const auto& [id, record] : mState.LiveJobs()) {
    const job_record& job = *record;
    if (!job.IsActive()) {
      StopRuns(id, job);
    } else if (job.mPlacedRuns > 0) {
      StopBrokenGangs(id, job);
    }
  }
  StopOvertakenRuns();
}

void
leader_core::StopAllStragglers()
{
  for (const auto& [id, record] : mState.LiveJobs()) {
    const job_record& job = *record;
    if (job.IsActive() && job.mPlacedRuns > 0) {
      StopStragglers(id, job);
    }
  }
}

void
leader_core::OnEndsApplied(const end_runs& aEnds)
{
  mSupervisor.OnEndsApplied(aEnds.mWorker, mAt.mNow);
  RecordEnds(aEnds);
  LogEnds(aEnds);
}

void
leader_core::RecordEnds(const end_runs& aEnds)
{
  for (const run_end& end : aEnds.mEnds) {
    CountFreed(end.mRun);
    mHealth.OnRunEnded(aEnds.mWorker, end.mOutcome, mAt.mNow);
    if (mOptions.mPlan.mLearnsDurations && end.mOutcome == run_outcome::Done) {
      LearnDuration(end.mRun, aEnds.mWorker);
    }
    const auto took = mStragglers.WholeRunMs(end.mRun, mAt.mNow);
    mStragglers.OnRunEnded(end.mRun, end.mOutcome, mAt.mNow);
    if (took && end.mOutcome == run_outcome::Done) {
      RecordTaskTime(end.mRun.mTask, aEnds.mWorker, *took);
    }
  }
}

void
leader_core::RecordTaskTime(const task_ref& aTask,
                            worker_number aWorker,
                            double aTookMs)
{
  const step_spec* spec = mState.FindStep(aTask);
  const step_record* record = mState.FindStepRecord(aTask);
  // The members of a gang wait for the slowest one.
  if (spec == nullptr || record == nullptr || spec->mGang ||
      spec->mLongRunning) {
    return;
  }
  const step_ref step{ aTask.mJob, aTask.mOccurrence, aTask.mStep };
  mSpeedSamples.OnTaskDone(step, aWorker, aTookMs);
  if (record->IsDone()) {
    mDoneSteps.insert(step);
  }
}

// One command may hold the last ends of a step on several workers.
void
leader_core::LearnSpeeds()
{
  const double mean = mHealth.MeanSpeed();
  const auto speedOf = [this](worker_number aOne) {
    return mHealth.Standing(aOne, mAt.mNow).mSpeed;
  };
  for (const step_ref& step : std::exchange(mDoneSteps, {})) {
    for (const auto& [worker, ratio] : mSpeedSamples.TakeStep(step, speedOf)) {
      if (mState.FindWorker(worker) != nullptr) {
        mHealth.OnTaskTime(worker, ratio * mean);
        mPlanWorkers.Invalidate(worker);
      }
    }
  }
}

void
leader_core::LearnDuration(const run_ref& aRun, worker_number aWorker)
{
  const job_record* job = mState.FindJob(aRun.mTask.mJob);
  const step_spec* spec = mState.FindStep(aRun.mTask);
  const auto took = mStragglers.WholeRunMs(aRun, mAt.mNow);
  // Members of a gang wait for each other, and a best-effort task is paced by
  // what other tasks leave.
  if (job == nullptr || spec == nullptr || !took || spec->mGang ||
      spec->mLongRunning || spec->mBestEffort) {
    return;
  }
  // The first tasks on a worker can't be compared with siblings, and those of
  // steps of one task never can.
  const worker_standing standing = mHealth.Standing(aWorker, mAt.mNow);
  if (!standing.mIsSpeedKnown && spec->mCount > 1) {
    return;
  }
  mDurationModel.OnRunEnded(
    { mState.QueueOf(*job).mName, spec->mImage, aRun.mTask.mStep },
    static_cast<double>(spec->mEstimateMs),
    *took,
    standing.mSpeed,
    mAt.mNow);
}

void
leader_core::StopStragglers(const job_id& aId, const job_record& aJob)
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
      const step_record& record = occurrence.mSteps[step];
      const auto learned = LearnedTailMs(aJob, step);
      if (HasUsualDuration(
            aJob.mSpec.mSteps[step], record, learned.has_value())) {
        StopStragglers({ aId, number, step }, record, learned);
      }
    }
  }
}

void
leader_core::StopStragglers(const step_ref& aStep,
                            const step_record& aRecord,
                            std::optional<double> aLearnedMs)
{
  const auto& tasks = aRecord.mTasks;
  if (aRecord.mDoneTasks == 0 && AreMostStragglers(aStep, tasks, aLearnedMs)) {
    return; // the prediction is wrong
  }
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const run_ref run{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
                       tasks[index].mAttempt };
    if (tasks[index].mPhase != task_phase::Placed ||
        mProposed.contains(run.mTask) || HasUsualCopy(run.mTask, aLearnedMs) ||
        !mStragglers.MarkIfStraggler(run, mAt.mNow, aLearnedMs)) {
      continue;
    }
    mPort.mLogDecision({ "run.straggles",
                         { { "job", aStep.mJob.Value() },
                           { "step", std::to_string(aStep.mStep) },
                           { "task", std::to_string(index) } } });
    mHealth.OnStall(tasks[index].mWorker, mAt.mNow);
    mPlanWorkers.Invalidate(tasks[index].mWorker);
    mSupervisor.RequestStop(tasks[index].mWorker, run, mAt.mNow);
  }
}

bool
leader_core::AreMostStragglers(const step_ref& aStep,
                               std::span<const task_record> aTasks,
                               std::optional<double> aLearnedMs) const
{
  std::size_t placed = 0;
  std::size_t stragglers = 0;
  for (std::uint32_t index = 0; index < aTasks.size(); ++index) {
    if (aTasks[index].mPhase != task_phase::Placed) {
      continue;
    }
    ++placed;
    const run_ref run{ { aStep.mJob, aStep.mOccurrence, aStep.mStep, index },
                       aTasks[index].mAttempt };
    stragglers += mStragglers.IsStraggler(run, mAt.mNow, aLearnedMs) ? 1 : 0;
  }
  return 2 * stragglers > placed;
}

// A task with a copy is done when the first of its runs is, so neither needs to
// be stopped unless both have stalled.
bool
leader_core::HasUsualCopy(const task_ref& aTask,
                          std::optional<double> aLearnedMs) const
{
  const copy_record* copy = mState.FindPlacedCopy(aTask);
  return copy != nullptr && !mStragglers.IsStraggler(
                              { aTask, copy->mAttempt }, mAt.mNow, aLearnedMs);
}

std::optional<double>
leader_core::LearnedTailMs(const job_record& aJob, std::uint32_t aStep) const
{
  if (!mOptions.mPlan.mLearnsDurations) {
    return std::nullopt;
  }
  const duration_estimate known = EstimateOf(mDurationModel,
                                             aJob.mSpec.mSteps[aStep],
                                             aStep,
                                             mState.QueueOf(aJob),
                                             mAt.mNow);
  return known.mIsLearned ? std::optional(known.mTailMs) : std::nullopt;
}

// A gang makes progress only if it is complete. If a member was refused and the
// others kept waiting for it, they would hold their capacity until they timed
// out.
void
leader_core::StopBrokenGangs(const job_id& aId, const job_record& aJob)
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < occurrence.mSteps.size(); ++step) {
      if (aJob.mSpec.mSteps[step].mGang &&
          IsPartlyPlaced(occurrence.mSteps[step])) {
        StopStep({ aId, number, step }, occurrence.mSteps[step]);
      }
    }
  }
}

void
leader_core::AdjustPace(worker_number aWorker, const worker_view& aView)
{
  std::vector<colocated_run> runs;
  for (const auto& [run, seen] : aView.mRuns) {
    const step_spec* step = mState.FindStep(run.mTask);
    if (step == nullptr || !seen.mSeenInPoll) {
      continue;
    }
    runs.push_back({ run,
                     step->mTailLatencyTargetMs,
                     step->mTailLatencyTargetMs > 0 ? seen.mLoad : 0,
                     step->mBestEffort,
                     seen.mPercent });
  }
  for (const pace_change& change :
       mInterference.Decide(aWorker, runs, mAt.mNow)) {
    mPort.mLogDecision({ "run.pace",
                         { { "job", change.mRun.mTask.mJob.Value() },
                           { "step", std::to_string(change.mRun.mTask.mStep) },
                           { "task", std::to_string(change.mRun.mTask.mIndex) },
                           { "percent", std::to_string(change.mPercent) } } });
    mSupervisor.SetPace(aWorker, change.mRun, change.mPercent, mAt.mNow);
  }
}

void
leader_core::Start(std::vector<planned_start> aStarts)
{
  const std::vector<run_start> proposed = Book(std::move(aStarts));
  const bool sent = mPort.mPropose(
    start_runs{ proposed }, [this, proposed](const apply_outcome& aOutcome) {
      OnStartsApplied(proposed, aOutcome);
    });
  if (!sent) {
    OnStartsApplied(proposed, {});
  }
}

std::vector<run_start>
leader_core::Book(std::vector<planned_start> aStarts)
{
  std::vector<run_start> booked;
  for (planned_start& planned : aStarts) {
    const run_start& start = planned.mStart;
    mProposed[start.mRun.mTask] = start.mWorker;
    mProposedCapacity[start.mWorker] +=
      mState.FindStep(start.mRun.mTask)->Booked();
    if (!planned.mTicket.empty()) {
      mTickets[start.mRun] = std::move(planned.mTicket);
    }
    booked.push_back(start);
  }
  return booked;
}

void
leader_core::Preempt(const std::vector<planned_preemption>& aPreemptions)
{
  for (const auto& [placed, step] : aPreemptions) {
    const task_ref& task = placed.mRun.mTask;
    mPort.mLogDecision(
      { "run.yields",
        { { "job", task.mJob.Value() },
          { "step", std::to_string(task.mStep) },
          { "task", std::to_string(task.mIndex) },
          { "for", step.mJob.Value() },
          { "worker",
            mState.FindWorker(placed.mWorker)->mDescription.mId.Value() } } });
    preemption_record& preemption = mPreemptionRecords[task];
    ++preemption.mCount;
    preemption.mInProgress = true;
    mPreemptedRuns[placed.mRun] = placed.mWorker;
    mSupervisor.RequestStop(placed.mWorker, placed.mRun, mAt.mNow);
  }
}

// Forgets preempted runs that have ended.
void
leader_core::ForgetEndedPreemptions()
{
  std::erase_if(mPreemptedRuns, [this](const auto& aEntry) {
    const auto& [run, worker] = aEntry;
    if (mState.IsPlaced(run, worker)) {
      return false;
    }
    if (const auto found = mPreemptionRecords.find(run.mTask);
        found != mPreemptionRecords.end()) {
      found->second.mInProgress = false;
    }
    return true;
  });
}

void
leader_core::OnStartsApplied(const std::vector<run_start>& aProposed,
                             const apply_outcome& aOutcome)
{
  for (const run_start& start : aProposed) {
    mProposed.erase(start.mRun.mTask);
    if (const step_spec* step = mState.FindStep(start.mRun.mTask)) {
      mProposedCapacity[start.mWorker] -= step->Booked();
    }
    if (mProposedCapacity[start.mWorker] == cell::resources{}) {
      mProposedCapacity.erase(start.mWorker);
    }
  }
  for (const run_start& start : aOutcome.mStarted) {
    const auto ticket = mTickets.find(start.mRun);
    const task_record* task = mState.FindTask(start.mRun.mTask);
    mStragglers.OnRunStarted(
      start.mRun,
      mAt.mNow,
      { task != nullptr && !task->mCheckpoint.empty(),
        mHealth.Standing(start.mWorker, mAt.mNow).mSpeed });
    mSupervisor.OnStartCommitted(start,
                                 ticket == mTickets.end() ? std::string()
                                                          : ticket->second,
                                 mAt.mNow);
  }
  LogStarts(aOutcome.mStarted);
  for (const run_start& start : aProposed) {
    mTickets.erase(start.mRun);
  }
}

} // namespace oriolewalk::flow
