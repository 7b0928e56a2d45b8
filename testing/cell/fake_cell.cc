#include "testing/cell/fake_cell.h"

#include <utility>

#include <catch2/catch.hpp>

namespace oriolewalk::cell {
namespace {

constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kPollMs = 500;
constexpr std::int64_t kWallStartMs = 1'000'000;

} // namespace

job_spec
MakeSpec(const std::string& aOrganisation,
         job_class aClass,
         std::uint32_t aTasks,
         resources aEach,
         std::int64_t aExpectedMs)
{
  job_spec spec;
  spec.mOrganisation = organisation_id(aOrganisation);
  spec.mClass = aClass;
  spec.mTasks = aTasks;
  spec.mEach = aEach;
  spec.mExpectedMs = aExpectedMs;
  spec.mRepeatable = true;
  spec.mFamily = aOrganisation;
  return spec;
}

fake_cell::fake_cell(const scheduler_options& aOptions)
  : mScheduler(aOptions, 1)
{
  mScheduler.BecomeLeader(mState, Now());
}

instant
fake_cell::Now() const
{
  return { time_point(milliseconds(mMs)), kWallStartMs + mMs };
}

void
fake_cell::AddWorker(const std::string& aId,
                     resources aCapacity,
                     const std::string& aDataCentre,
                     const std::string& aRack)
{
  fake_worker& worker = mWorkers[aId];
  worker.mAnnounce = { worker_id(aId),
                       boot_id("1"),
                       data_centre_id(aDataCentre),
                       rack_id(aRack),
                       aCapacity };
}

job_number
fake_cell::Submit(const job_spec& aSpec)
{
  const auto outcome =
    mState.Apply(submit_job{ request_key(std::to_string(mNextKey++)), aSpec },
                 Now().mWallMs);
  REQUIRE(outcome.mJob.has_value());
  return outcome.mJob.value_or(job_number());
}

job_state
fake_cell::State(job_number aJob) const
{
  return mState.FindJob(aJob)->State();
}

int
fake_cell::Copies(const task_id& aTask) const
{
  int copies = 0;
  for (const auto& [id, worker] : mWorkers) {
    copies += worker.mRunning.contains(aTask) ? 1 : 0;
  }
  return copies;
}

void
fake_cell::Run(std::int64_t aMs)
{
  for (const std::int64_t end = mMs + aMs; mMs < end; mMs += kStepMs) {
    ApplyLog();
    for (auto& [id, worker] : mWorkers) {
      Finish(worker);
    }
    if (mMs % kPollMs == 0) {
      PollAll();
    }
    for (auto& command : mScheduler.Plan(mState, mPolicy, Now())) {
      mLog.push_back(std::move(command));
    }
    REQUIRE(mState.Audit() == "");
  }
}

void
fake_cell::ApplyLog()
{
  while (!mLog.empty()) {
    const cell_command command = std::move(mLog.front());
    mLog.pop_front();
    const auto outcome = mState.Apply(command, Now().mWallMs);
    mScheduler.OnApplied(mState, command, outcome, Now());
  }
}

void
fake_cell::PollAll()
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mSilent) {
      Poll(worker);
    }
  }
}

void
fake_cell::Poll(fake_worker& aWorker)
{
  worker_poll poll;
  poll.mBoot = aWorker.mAnnounce.mBoot;
  for (const auto& [task, attempt] : aWorker.mRunning) {
    resources usage = mState.FindJob(task.mJob)->mSpec.mEach;
    usage.mMilliProcessors = attempt.mLimitMilliProcessors;
    if (const auto usedMb = mUsesMb.find(task.mJob); usedMb != mUsesMb.end()) {
      usage.mMemoryMb = usedMb->second;
    }
    poll.mRunning.push_back(
      { task, attempt.mAttempt, usage, attempt.mLimitMilliProcessors });
  }
  for (const auto& [task, end] : aWorker.mEnded) {
    poll.mEnded.push_back(end);
  }
  worker_reply reply =
    mScheduler.Poll(mState, aWorker.mAnnounce.mWorker, poll, Now());
  if (reply.mAnnounceAgain) {
    mLog.emplace_back(aWorker.mAnnounce);
    return;
  }
  aWorker.mLeaseEndsMs = mMs + reply.mLease.count();
  for (const worker_command& command : reply.mCommands) {
    Execute(aWorker, command);
  }
  for (auto& command : reply.mProposals) {
    mLog.push_back(std::move(command));
  }
}

void
fake_cell::Execute(fake_worker& aWorker, const worker_command& aCommand)
{
  const auto running = aWorker.mRunning.find(aCommand.mTask);
  const bool runs = running != aWorker.mRunning.end() &&
                    running->second.mAttempt == aCommand.mAttempt;
  switch (aCommand.mKind) {
    case worker_command_kind::Start: {
      if (runs || aWorker.mEnded.contains(aCommand.mTask)) {
        return;
      }
      const job_number job = aCommand.mTask.mJob;
      const auto actual = mRunsMs.find(job);
      const std::int64_t runMs =
        actual == mRunsMs.end() ? aCommand.mExpectedMs : actual->second;
      aWorker.mRunning[aCommand.mTask] = {
        aCommand.mAttempt, mMs + runMs, mMs, aCommand.mSize.mMilliProcessors
      };
      mFirstStartMs.try_emplace(aCommand.mTask, mMs);
      ++mStarts[aCommand.mTask];
      return;
    }
    case worker_command_kind::Throttle:
      if (runs) {
        running->second.mLimitMilliProcessors = aCommand.mSize.mMilliProcessors;
      }
      return;
    case worker_command_kind::Checkpoint:
      End(aWorker, aCommand.mTask, attempt_result::Checkpointed);
      return;
    case worker_command_kind::Stop:
      aWorker.mEnded[aCommand.mTask] = { aCommand.mTask,
                                         aCommand.mAttempt,
                                         attempt_result::Stopped };
      aWorker.mRunning.erase(aCommand.mTask);
      return;
    case worker_command_kind::Forget:
      aWorker.mEnded.erase(aCommand.mTask);
      return;
  }
}

void
fake_cell::End(fake_worker& aWorker,
               const task_id& aTask,
               attempt_result aResult)
{
  const auto found = aWorker.mRunning.find(aTask);
  if (found != aWorker.mRunning.end()) {
    aWorker.mEnded[aTask] = { aTask, found->second.mAttempt, aResult };
    aWorker.mRunning.erase(found);
  }
}

void
fake_cell::Finish(fake_worker& aWorker)
{
  if (aWorker.mLeaseEndsMs <= mMs) {
    while (!aWorker.mRunning.empty()) {
      End(aWorker, aWorker.mRunning.begin()->first, attempt_result::Stopped);
    }
  }
  std::map<task_id, attempt_result> ended;
  for (const auto& [task, attempt] : aWorker.mRunning) {
    if (aWorker.mFailsAll || mFailing.contains(task.mJob)) {
      ended.emplace(task, attempt_result::Failed);
    } else if (attempt.mEndsMs <= mMs) {
      ended.emplace(task, attempt_result::Succeeded);
    }
  }
  for (const auto& [task, result] : ended) {
    End(aWorker, task, result);
  }
}

} // namespace oriolewalk::cell
