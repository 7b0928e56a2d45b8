// Fuzzes a cell under faults and checks it against the tasks that its simulated
// workers run.
//
// The input selects the events: submits, cancels, lost and late polls and
// replies, silent and restarted workers, failing tasks, leader changes that
// lose or apply pending proposals, and proposals that no correct leader makes.
// The oracle observes the workers: which tasks run where, and how often each
// one started. At the end the faults stop, and every job must finish.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fuzzer/FuzzedDataProvider.h>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/scheduler.h"

namespace oriolewalk::cell {
namespace {

void
Check(bool aHolds, const std::string& aRule)
{
  if (!aHolds) {
    std::fprintf(stderr, "broken rule: %s\n", aRule.c_str());
    std::abort();
  }
}

struct attempt
{
  std::uint32_t mAttempt = 0;
  std::int64_t mEndsMs = 0;
  std::int64_t mLimit = 0;
  attempt_result mResult = attempt_result::Succeeded;
};

struct message
{
  std::int64_t mArrivesMs = 0;
  std::int64_t mSentMs = 0;
  std::uint64_t mPoll = 0;
  std::size_t mWorker = 0;
  worker_poll mPollBody;
  worker_reply mReply;
};

struct machine
{
  register_worker mAnnounce;
  resources mWhole;
  int mIncarnation = 1;
  bool mDead = false;
  bool mCutOff = false;
  std::int64_t mLeaseEndsMs = 0;
  double mSlowness = 1.0; // Slowdown factor of its clock.
  std::uint64_t mPoll = 0;
  std::int64_t mPollSentMs = -1; // -1: no poll is outstanding.
  std::map<task_id, attempt> mRunning;
  std::map<task_id, reported_end> mEnded;
};

class world
{
public:
  explicit world(FuzzedDataProvider& aData)
    : mData(aData)
    , mScheduler(scheduler_options{}, 7)
  {
    const int workers = mData.ConsumeIntegralInRange(1, 6);
    for (int at = 0; at < workers; ++at) {
      AddMachine(at);
    }
    mScheduler.BecomeLeader(mState, Now());
  }

  void Run()
  {
    while (mData.remaining_bytes() > 0 && mSteps++ < 400) {
      Disturb();
      Advance(mData.ConsumeIntegralInRange(50, 1200));
    }
    Calm();
    for (int step = 0; step < 6000 && !Finished(); ++step) {
      Advance(step < 200 ? 100 : 1000);
    }
    Check(Finished(), "every job ends once the faults stop; " + Unfinished());
    const bytes image = Encode(mState);
    Check(image == Encode(mReplica), "replicas are equal");
    const auto copy = Decode<cell_state>(image, "fuzz");
    Check(copy && Encode(*copy) == image, "a snapshot is the state");
  }

private:
  [[nodiscard]] instant Now() const
  {
    return { time_point(milliseconds(mMs)), 1'000'000 + mMs };
  }
  int Pick(int aBelow) { return mData.ConsumeIntegralInRange(0, aBelow - 1); }
  bool OneIn(int aCount) { return !mCalm && Pick(aCount) == 1; }

  void AddMachine(int aAt)
  {
    machine& added = mMachines.emplace_back();
    added.mWhole = { 1000 * (1 + Pick(8)), 1024 * (1 + Pick(8)), Pick(3) };
    added.mAnnounce = { worker_id("w" + std::to_string(aAt)),
                        boot_id("1"),
                        data_centre_id(aAt % 2 == 0 ? "a" : "b"),
                        rack_id("r" + std::to_string(aAt / 2)),
                        added.mWhole };
    added.mSlowness = 1.0 + 0.04 * Pick(2);
  }

  void Disturb()
  {
    switch (Pick(16)) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return Submit();
      case 5:
        return Resubmit();
      case 6:
        return Cancel();
      case 7:
        Some().mCutOff = true;
        return;
      case 8:
        Some().mCutOff = false;
        return;
      case 9:
        return Restart(Some());
      case 10:
        return ChangeLeader();
      case 11:
        return ProposeNonsense();
      case 12:
        mLog.emplace_back(drain_worker{
          Some().mAnnounce.mWorker, Pick(2) == 0, Now().mWallMs + 5000 });
        return;
      case 13:
        return ChangeQuotas();
      case 14:
        if (!mReports.empty()) { // A delayed duplicate report is proposed.
          mLog.push_back(mReports[Pick(static_cast<int>(mReports.size()))]);
        }
        return;
      default:
        return;
    }
  }

  machine& Some()
  {
    return mMachines[Pick(static_cast<int>(mMachines.size()))];
  }

  void Submit()
  {
    job_spec spec;
    spec.mOrganisation = organisation_id(Pick(2) == 0 ? "taksa" : "tamarin");
    spec.mKind = static_cast<job_kind>(Pick(3));
    spec.mClass = static_cast<job_class>(Pick(3));
    spec.mTasks = 1 + Pick(5);
    spec.mEach = { 250 * (1 + Pick(20)), 256 * (1 + Pick(20)), Pick(6) / 5 };
    spec.mExpectedMs = 500 * Pick(20);
    spec.mRepeatable = Pick(2) == 0;
    spec.mCheckpointable = Pick(2) == 0;
    spec.mFamily = std::string(1, static_cast<char>('f' + Pick(3)));
    const submit_job command{ request_key(std::to_string(mSubmits.size())),
                              spec };
    mSubmits.push_back(command);
    mLog.emplace_back(command);
  }

  void Resubmit()
  {
    if (!mSubmits.empty()) {
      mLog.emplace_back(mSubmits[Pick(static_cast<int>(mSubmits.size()))]);
    }
  }

  void Cancel()
  {
    if (!mState.Jobs().empty()) {
      mLog.emplace_back(cancel_job{
        job_number(1 + Pick(static_cast<int>(mState.Jobs().size()))) });
    }
  }

  void Restart(machine& aMachine)
  {
    aMachine.mRunning.clear();
    aMachine.mEnded.clear();
    aMachine.mPollSentMs = -1;
    ++aMachine.mPoll;
    aMachine.mLeaseEndsMs = 0;
    const register_worker old = aMachine.mAnnounce;
    aMachine.mAnnounce.mBoot = boot_id(std::to_string(++aMachine.mIncarnation));
    aMachine.mAnnounce.mCapacity = aMachine.mWhole;
    if (Pick(2) == 0) {
      aMachine.mAnnounce.mCapacity.mMilliProcessors /= 2;
    }
    mLog.emplace_back(aMachine.mAnnounce);
    if (Pick(2) == 0) {
      mLog.emplace_back(old); // A late registration.
    }
  }

  // Pending proposals are applied or lost, and the next leader starts without
  // soft state.
  void ChangeLeader()
  {
    std::deque<cell_command> log = std::move(mLog);
    mLog.clear();
    mScheduler.StepDown();
    for (const cell_command& command : log) {
      if (mCalm || Pick(2) == 0) {
        Apply(command);
      }
    }
    if (Pick(2) == 0) {
      auto copy = Decode<cell_state>(Encode(mState), "fuzz");
      Check(copy.has_value(), "a snapshot can be read");
      mState = std::move(*copy);
    }
    Advance(Pick(3000));
    mScheduler.BecomeLeader(mState, Now());
  }

  void ProposeNonsense()
  {
    if (mState.Jobs().empty()) {
      return;
    }
    const task_id task{ job_number(
                          1 + Pick(static_cast<int>(mState.Jobs().size()))),
                        static_cast<std::uint32_t>(Pick(3)) };
    const auto number = static_cast<std::uint32_t>(1 + Pick(3));
    const machine& on = Some();
    const placement place{
      task, number, on.mAnnounce.mWorker, on.mAnnounce.mBoot
    };
    switch (Pick(5)) {
      case 0:
      case 1:
        mLog.emplace_back(start_tasks{ { place, place } });
        return;
      case 2:
        mLog.emplace_back(stop_task{ task,
                                     number,
                                     static_cast<stop_mode>(Pick(4)),
                                     static_cast<stop_reason>(Pick(6)) });
        return;
      case 3:
        mLog.emplace_back(resume_task{ task, number });
        return;
      default:
        mLog.emplace_back(remove_worker{ on.mAnnounce.mWorker });
        return;
    }
  }

  void ChangeQuotas()
  {
    ++mPolicy.mVersion;
    mPolicy.mQuotas.clear();
    if (Pick(2) == 0) {
      mPolicy.mQuotas[organisation_id("taksa")] = { 1000 * Pick(8), 4096, 1 };
    }
    mPolicy.mWeights[organisation_id("tamarin")] = 1.0 + Pick(4);
  }

  void Calm()
  {
    mCalm = true;
    mPolicy.mQuotas.clear();
    for (machine& each : mMachines) {
      each.mCutOff = false;
      mLog.emplace_back(drain_worker{ each.mAnnounce.mWorker, false, 0 });
      if (each.mAnnounce.mCapacity != each.mWhole) {
        Restart(each);
      }
    }
    // A final leader change, so that nothing depends on this leader's soft
    // state.
    ChangeLeader();
    for (const auto& [number, job] : mState.Jobs()) {
      if (job.mSpec.mKind == job_kind::Service) {
        mLog.emplace_back(cancel_job{ number });
      }
    }
  }

  [[nodiscard]] bool Finished() const
  {
    return mLog.empty() &&
           std::ranges::all_of(mState.Jobs(), [&](const auto& aEach) {
             return IsFinal(aEach.second.State()) || !CanFit(aEach.second);
           });
  }

  [[nodiscard]] std::string Unfinished() const
  {
    std::string text;
    for (const auto& [number, job] : mState.Jobs()) {
      if (IsFinal(job.State())) {
        continue;
      }
      const explanation why = mScheduler.Explain(mState, number, Now());
      text += ToString(number) + " " + std::string(ToString(job.mSpec.mClass)) +
              " " + std::string(ToString(job.mSpec.mKind)) + " of " +
              std::to_string(job.mSpec.mTasks) + " each " +
              std::to_string(job.mSpec.mEach.mMilliProcessors) + " " +
              std::to_string(job.mSpec.mExpectedMs) + " ms " +
              std::string(ToString(why.mState)) + ": " + why.mReason + ";";
      for (const worker_group& group : why.mWorkers) {
        text += " " + group.mExample.Value() + " " + group.mReason + ",";
      }
    }
    return text;
  }

  // False for a job that was submitted before the workers registered and that
  // fits on none of them.
  [[nodiscard]] bool CanFit(const job_record& aJob) const
  {
    std::int64_t fittingTasks = 0;
    for (const machine& each : mMachines) {
      fittingTasks += std::min<std::int64_t>(
        1000, aJob.mSpec.mEach.TimesIn(each.mAnnounce.mCapacity));
    }
    return fittingTasks >=
           (aJob.mSpec.mKind == job_kind::Gang ? aJob.mSpec.mTasks : 1);
  }

  void Advance(std::int64_t aMs)
  {
    const std::int64_t end = mMs + aMs;
    while (mMs < end) {
      mMs = std::min(end, mMs + 100);
      for (std::size_t at = 0; at < mMachines.size(); ++at) {
        Tick(at);
      }
      Deliver();
      if (mScheduler.IsLeading()) {
        ApplySome();
        for (auto& command : mScheduler.Plan(mState, mPolicy, Now())) {
          mLog.push_back(std::move(command));
        }
      }
      Audit();
    }
  }

  void ApplySome()
  {
    while (!mLog.empty() && !OneIn(4)) {
      const cell_command command = std::move(mLog.front());
      mLog.pop_front();
      Apply(command);
    }
  }

  void Apply(const cell_command& aCommand)
  {
    const auto outcome = mState.Apply(aCommand, Now().mWallMs);
    mReplica.Apply(aCommand, Now().mWallMs);
    mScheduler.OnApplied(mState, aCommand, outcome, Now());
    if (const auto* submit = std::get_if<submit_job>(&aCommand);
        submit != nullptr && outcome.mJob) {
      const auto [known, isNew] =
        mJobOfKey.emplace(submit->mKey.Value(), *outcome.mJob);
      Check(known->second == *outcome.mJob, "a key names one job");
    }
  }

  void Tick(std::size_t aAt)
  {
    machine& each = mMachines[aAt];
    if (each.mLeaseEndsMs <= mMs) {
      while (!each.mRunning.empty()) {
        End(each, each.mRunning.begin()->first, attempt_result::Stopped);
      }
    }
    std::vector<std::pair<task_id, attempt_result>> over;
    for (const auto& [task, running] : each.mRunning) {
      if (running.mEndsMs <= mMs) {
        over.emplace_back(task, running.mResult);
      }
    }
    for (const auto& [task, result] : over) {
      End(each, task, result);
    }
    constexpr std::int64_t kGiveUpMs = 3000;
    if (each.mPollSentMs >= 0 && mMs - each.mPollSentMs > kGiveUpMs) {
      each.mPollSentMs = -1;
      ++each.mPoll;
    }
    if (each.mPollSentMs < 0) {
      SendPoll(aAt);
    }
  }

  void End(machine& aMachine, const task_id& aTask, attempt_result aResult)
  {
    const auto found = aMachine.mRunning.find(aTask);
    if (found == aMachine.mRunning.end()) {
      return;
    }
    if (aResult == attempt_result::Succeeded) {
      mSucceeded.insert(aTask);
    }
    if (aResult == attempt_result::Checkpointed) {
      ++mCheckpoints[aTask];
    }
    aMachine.mEnded[aTask] = { aTask, found->second.mAttempt, aResult };
    aMachine.mRunning.erase(found);
  }

  void SendPoll(std::size_t aAt)
  {
    machine& each = mMachines[aAt];
    message poll;
    poll.mArrivesMs = mMs + (OneIn(6) ? Pick(6000) : 0);
    poll.mSentMs = mMs;
    poll.mPoll = each.mPoll;
    poll.mWorker = aAt;
    poll.mPollBody.mBoot = each.mAnnounce.mBoot;
    for (const auto& [task, running] : each.mRunning) {
      poll.mPollBody.mRunning.push_back(
        { task, running.mAttempt, {}, running.mLimit });
    }
    for (const auto& [task, end] : each.mEnded) {
      poll.mPollBody.mEnded.push_back(end);
    }
    each.mPollSentMs = mMs;
    if (!each.mCutOff) {
      mPolls.push_back(std::move(poll));
    }
  }

  void Deliver()
  {
    std::vector<message> polls;
    std::swap(polls, mPolls);
    for (message& poll : polls) {
      if (poll.mArrivesMs > mMs) {
        mPolls.push_back(std::move(poll));
      } else if (mScheduler.IsLeading()) {
        Answer(poll);
      }
    }
    std::vector<message> replies;
    std::swap(replies, mReplies);
    for (message& reply : replies) {
      if (reply.mArrivesMs > mMs) {
        mReplies.push_back(std::move(reply));
      } else {
        TakeReply(reply);
      }
    }
  }

  void Answer(message& aPoll)
  {
    machine& each = mMachines[aPoll.mWorker];
    aPoll.mReply =
      mScheduler.Poll(mState, each.mAnnounce.mWorker, aPoll.mPollBody, Now());
    for (auto& command : aPoll.mReply.mProposals) {
      if (std::holds_alternative<task_ended>(command)) {
        mReports.push_back(command);
      }
      mLog.push_back(std::move(command));
    }
    aPoll.mArrivesMs = mMs + (OneIn(6) ? Pick(6000) : 0);
    if (!each.mCutOff && !OneIn(8)) {
      mReplies.push_back(std::move(aPoll));
    }
  }

  void TakeReply(const message& aReply)
  {
    machine& each = mMachines[aReply.mWorker];
    if (aReply.mPoll != each.mPoll || each.mPollSentMs < 0) {
      return; // The connection of that poll is closed.
    }
    each.mPollSentMs = -1;
    ++each.mPoll;
    if (aReply.mReply.mAnnounceAgain) {
      mLog.emplace_back(each.mAnnounce);
      return;
    }
    const auto lease = static_cast<std::int64_t>(
      static_cast<double>(aReply.mReply.mLease.count()) * each.mSlowness);
    each.mLeaseEndsMs = aReply.mSentMs + lease;
    if (each.mLeaseEndsMs <= mMs) {
      return;
    }
    for (const worker_command& command : aReply.mReply.mCommands) {
      Obey(each, command);
    }
  }

  void Obey(machine& aMachine, const worker_command& aCommand)
  {
    const auto found = aMachine.mRunning.find(aCommand.mTask);
    const bool runs = found != aMachine.mRunning.end() &&
                      found->second.mAttempt == aCommand.mAttempt;
    const auto ended = aMachine.mEnded.find(aCommand.mTask);
    const bool isOver = ended != aMachine.mEnded.end() &&
                        ended->second.mAttempt == aCommand.mAttempt;
    switch (aCommand.mKind) {
      case worker_command_kind::Start:
        if (!runs && !isOver) {
          Start(aMachine, aCommand);
        }
        return;
      case worker_command_kind::Checkpoint:
        if (runs) {
          End(aMachine,
              aCommand.mTask,
              OneIn(8) ? attempt_result::Failed : attempt_result::Checkpointed);
        }
        return;
      case worker_command_kind::Stop:
        if (runs) {
          End(aMachine, aCommand.mTask, attempt_result::Stopped);
        } else if (!isOver) {
          aMachine.mEnded[aCommand.mTask] = { aCommand.mTask,
                                              aCommand.mAttempt,
                                              attempt_result::Stopped };
        }
        return;
      case worker_command_kind::Throttle:
        if (runs) {
          found->second.mLimit = aCommand.mSize.mMilliProcessors;
        }
        return;
      case worker_command_kind::Forget:
        if (isOver) {
          aMachine.mEnded.erase(ended);
        }
        return;
    }
  }

  void Start(machine& aMachine, const worker_command& aCommand)
  {
    attempt& started = aMachine.mRunning[aCommand.mTask];
    started.mAttempt = aCommand.mAttempt;
    started.mLimit = aCommand.mSize.mMilliProcessors;
    started.mEndsMs = mMs + (mCalm ? 200 : 100 * Pick(200));
    started.mResult =
      OneIn(4) ? attempt_result::Failed : attempt_result::Succeeded;
    const job_record& job = *mState.FindJob(aCommand.mTask.mJob);
    const int starts = ++mStarts[aCommand.mTask];
    if (job.mSpec.mKind != job_kind::Service && !job.mSpec.mRepeatable) {
      Check(starts <= 1 + mCheckpoints[aCommand.mTask],
            "what isn't repeatable runs once");
    }
  }

  void Audit()
  {
    Check(mState.Audit().empty(), mState.Audit());
    std::set<task_id> running;
    for (const machine& each : mMachines) {
      resources used;
      for (const auto& [task, now] : each.mRunning) {
        Check(running.insert(task).second, "a task runs in one place");
        resources size = mState.FindJob(task.mJob)->mSpec.mEach;
        size.mMilliProcessors = now.mLimit;
        used += size;
      }
      Check(used.FitsIn(each.mAnnounce.mCapacity),
            "a worker runs what it has room for");
    }
    for (const auto& [number, job] : mState.Jobs()) {
      AuditJob(job);
    }
  }

  void AuditJob(const job_record& aJob)
  {
    const job_state state = aJob.State();
    if (IsFinal(state)) {
      const auto [known, isNew] = mFinal.emplace(aJob.mNumber, state);
      Check(known->second == state, "a final state never changes");
    }
    Check(state == job_state::Refused ||
            aJob.mTasks.size() == aJob.mSpec.mTasks,
          "no task is lost");
    for (std::uint32_t at = 0; at < aJob.mTasks.size(); ++at) {
      const task_id id{ aJob.mNumber, at };
      const task_state task = aJob.mTasks[at].mState;
      Check(task != task_state::Cancelled || !mStarts.contains(id),
            "what is called cancelled never ran");
      Check(task != task_state::Succeeded || mSucceeded.contains(id),
            "what is called succeeded did");
    }
  }

  FuzzedDataProvider& mData;
  cell_state mState;
  cell_state mReplica;
  cell_scheduler mScheduler;
  cell_policy mPolicy;
  std::vector<machine> mMachines;
  std::deque<cell_command> mLog;
  std::vector<message> mPolls;
  std::vector<message> mReplies;
  std::vector<submit_job> mSubmits;
  std::vector<cell_command> mReports;
  std::map<std::string, job_number> mJobOfKey;
  std::map<job_number, job_state> mFinal;
  std::map<task_id, int> mStarts;
  std::map<task_id, int> mCheckpoints;
  std::set<task_id> mSucceeded;
  std::int64_t mMs = 0;
  int mSteps = 0;
  bool mCalm = false;
};

} // namespace
} // namespace oriolewalk::cell

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  FuzzedDataProvider data(aBytes, aSize);
  oriolewalk::cell::world(data).Run();
  return 0;
}
