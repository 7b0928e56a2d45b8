#include "testing/flow/flow_history.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "oriolewalk/base/random.h"
#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kWorkers = 3;
constexpr std::size_t kMostVoters = 9;

class player
{
public:
  player(const flow_choices& aChoose,
         std::uint64_t aSeed,
         flow_options aOptions,
         history_faults aTroubles,
         history_counts& aAccount)
    : mChoose(aChoose)
    , mTroubles(aTroubles)
    , mAccount(aAccount)
    , mGroup(kNodes, kNodes, aSeed, kMostVoters, aOptions)
  {
    if (mTroubles.mRestarts) {
      mActions.push_back(&player::RestartWorker);
      mActions.push_back(&player::RestartWorker);
    }
    if (mTroubles.mHolds) {
      mActions.push_back(&player::HoldOrders);
      mActions.push_back(&player::ReleaseOrders);
    }
    if (mTroubles.mShrinking) {
      mActions.insert(mActions.end(), 3, &player::Resize);
    }
    if (mTroubles.mCrashing) {
      SetCrashes();
    }
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      AddWorker();
    }
    mGroup.Run(seconds(2));
  }

  std::optional<std::string> Play(int aMost)
  {
    for (int done = 0; done < aMost; ++done) {
      const auto chosen = mChoose(mActions.size());
      if (!chosen) {
        break;
      }
      (this->*mActions[*chosen])();
      if (!mGroup.Oracle().Violations().empty()) {
        return mGroup.Oracle().Violations().front();
      }
    }
    return Finish();
  }

private:
  using action_function = void (player::*)();

  std::uint64_t Choose(std::uint64_t aBound)
  {
    return mChoose(aBound).value_or(0);
  }

  // Whether the task crashes its workers: it is the first of its job's first
  // step, or all tasks of that step do.
  [[nodiscard]] bool IsCrashing(const task_ref& aTask) const
  {
    const auto found = mCrashing.find(aTask.mJob.Value());
    return found != mCrashing.end() && aTask.mStep == 0 &&
           (found->second || aTask.mIndex == 0);
  }

  void SetCrashes()
  {
    mGroup.RestartCrashedWorkers(milliseconds(500 * (1 + Choose(16))),
                                 mTroubles.mRestarts && Choose(2) == 0);
    mGroup.Oracle().mCrashesWorker = [this](const task_ref& aTask) {
      return IsCrashing(aTask);
    };
    mGroup.Oracle().mOnStart = [this](const run_ref& aRun) {
      mAccount.mCrashingStarts += IsCrashing(aRun.mTask) ? 1 : 0;
    };
  }

  void AddWorker()
  {
    const std::size_t made = mGroup.AddWorker(
      "w" + std::to_string(mWorkers.size()), Choose(2) == 0 ? 0 : 0.02);
    mGroup.Worker(made).mTaskSize = testing::Step(1, 2'000).mSize;
    mGroup.Worker(made).mWorkTime = milliseconds(100 + 100 * Choose(20));
    mGroup.Worker(made).mFailsFirstAttempts = Choose(3) == 0;
    mWorkers.push_back(made);
  }

  void LetTimePass()
  {
    if (mTroubles.mBusy) {
      constexpr std::uint64_t kBusyOf = 3; // one span in three is busy
      const bool busy = Choose(kBusyOf) == 0;
      mGroup.SetOrderDelay(milliseconds(busy ? 100 + 100 * Choose(30) : 0));
      mGroup.SetSyncTime(milliseconds(busy ? 10 + 100 * Choose(10) : 9));
    }
    mGroup.Run(milliseconds(50 * (1 + Choose(40))));
  }

  void Submit()
  {
    constexpr const char* kHex = "0123456789abcdef";
    // A job that reused the id of one without an answer would be the same job,
    // and crash as that one does.
    const std::size_t number = mTroubles.mCrashing ? mSent++ : mJobs.size();
    if (number >= 16) {
      return;
    }
    const std::string id = std::string(15, '0') + kHex[number];
    step_spec first =
      testing::Step(1 + static_cast<std::uint32_t>(Choose(5)), 2'000);
    first.mGang = Choose(4) == 0;
    step_spec second = testing::Step(2, 2'000);
    second.mDependsOn = { 0 };
    constexpr std::uint64_t kCrashingOf = 5; // one job in five
    if (mTroubles.mCrashing && Choose(kCrashingOf) == 0) {
      // The members of a gang end together, so all of them crash.
      mCrashing[id] = first.mGang || Choose(4) == 0;
    }
    const auto answer = mGroup.SendRequest(job_submission{
      { "jobs.example", "/fees/" + id }, { "", { first, second }, {} } });
    if (answer) {
      mJobs[id] = false;
    }
  }

  void Cancel()
  {
    if (mJobs.empty()) {
      return;
    }
    auto job = mJobs.begin();
    std::advance(job, static_cast<long>(Choose(mJobs.size())));
    job->second = true; // also if the answer is lost
    mGroup.SendRequest(
      job_cancellation{ { "jobs.example", "/fees/" + job->first } });
  }

  void Kill() { mGroup.Kill(Choose(kNodes), Choose(2) == 0); }

  // Only one disk is lost, and only while the other nodes are up and in the
  // group. A node that was silent for 20 s has been removed from the group; a
  // disk that is lost before it has rejoined is a second loss.
  void Wipe()
  {
    const std::size_t chosen = Choose(kNodes);
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (node != chosen && !mGroup.IsUp(node)) {
        return;
      }
    }
    const auto leader = mGroup.Leader();
    if (mWiped || !leader || *leader == chosen ||
        mGroup.Core(*leader).Raft().Members().mVoters.size() < kNodes) {
      return;
    }
    mWiped = true;
    mGroup.Wipe(chosen);
  }

  void Restart()
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      mGroup.Restart(node);
      mGroup.Pause(node, false);
    }
  }

  void Pause() { mGroup.Pause(Choose(kNodes), true); }
  void Cut() { mGroup.Cut(Choose(kNodes), Choose(2) == 0); }
  void CutWorker()
  {
    mGroup.CutWorker(mWorkers[Choose(mWorkers.size())], Choose(2) == 0);
  }
  void LoseOrders() { mGroup.SetLateShare(Choose(2) == 0 ? 0.0 : 0.4); }
  void Crash()
  {
    constexpr std::size_t kMostWorkers = 8;
    if (mWorkers.size() < kMostWorkers) {
      mGroup.Worker(mWorkers[Choose(mWorkers.size())]).Crash(mGroup.Now());
      AddWorker();
    }
  }
  // The new process's first heartbeat is delayed, and even more if the worker
  // is partitioned.
  void RestartWorker()
  {
    const std::size_t chosen = mWorkers[Choose(mWorkers.size())];
    if (mGroup.Worker(chosen).IsUp()) {
      mGroup.Worker(chosen).mForgetsOnHigherCursor = Choose(2) == 0;
      mGroup.RestartWorker(chosen, milliseconds(100 * Choose(15)));
    }
  }
  // Sets a capacity between nothing and the original one.
  void Resize()
  {
    fake_worker& chosen = mGroup.Worker(mWorkers[Choose(mWorkers.size())]);
    constexpr std::int64_t kQuarters = 4;
    const auto quarters = static_cast<std::int64_t>(Choose(kQuarters + 1));
    cell::resources capacity = testing::Worker("w").mCapacity;
    capacity.mMilliProcessors =
      capacity.mMilliProcessors * quarters / kQuarters;
    chosen.SetCapacity(capacity, mGroup.Now());
  }
  void HoldOrders()
  {
    const std::uint64_t kind = Choose(5); // 4: of any kind
    mGroup.HoldOrders([kind](const worker_order& aOrder) {
      return kind == 4 || aOrder.mBody.index() == kind;
    });
  }
  void ReleaseOrders() { mGroup.ReleaseOrders(); }
  void Drain()
  {
    const std::size_t chosen = Choose(mWorkers.size());
    if (chosen > 0) {
      mGroup.Worker(mWorkers[chosen]).mDraining = true;
      AddWorker();
    }
  }

  std::optional<std::string> CheckEnd(const std::string& aId, bool aCancelled)
  {
    const auto state = [&]() { return mGroup.StateOf(aId); };
    if (mCrashing.contains(aId)) {
      // The next start must wait until the worker has restarted.
      mGroup.RunUntil(
        [&]() { return state() == "failed" || state() == "cancelled"; },
        seconds(60));
    }
    const std::string last = state();
    Count(aId, last);
    if (MayEndAs(aId, aCancelled, last)) {
      return std::nullopt;
    }
    std::string broken = "in the end a job is '";
    broken.append(last).append("': ").append(aId);
    return broken;
  }

  bool MayEndAs(const std::string& aId,
                bool aCancelled,
                const std::string& aState)
  {
    if (aState == "cancelled") {
      return aCancelled;
    }
    if (aState.empty()) { // it ended while other jobs were awaited
      return !mCrashing.empty();
    }
    if (mCrashing.contains(aId)) {
      return aState == "failed";
    }
    return aState == "done" ||
           (aState == "failed" && MostCrashesUnder(aId) >= 2);
  }

  [[nodiscard]] std::size_t MostCrashesUnder(const std::string& aId)
  {
    std::size_t most = 0;
    constexpr std::uint32_t kMostTasks = 6;
    for (std::uint32_t at = 0; at < 2 * kMostTasks; ++at) {
      const task_ref task{ job_id(aId), 0, at / kMostTasks, at % kMostTasks };
      most = std::max(most, mGroup.Oracle().CrashCount(task));
    }
    return most;
  }

  void Count(const std::string& aId, const std::string& aState)
  {
    if (mCrashing.contains(aId)) {
      ++mAccount.mCrashingJobs;
    } else {
      ++mAccount.mNormalJobs;
      mAccount.mFailedNormalJobs += aState == "failed" ? 1 : 0;
    }
  }

  std::optional<std::string> Finish()
  {
    mGroup.SetLateShare(0);
    mGroup.ReleaseOrders();
    mGroup.SetOrderDelay(milliseconds(0));
    mGroup.SetSyncTime(milliseconds(9));
    for (std::size_t node = 0; node < kNodes; ++node) {
      mGroup.Cut(node, false);
    }
    Restart();
    for (const std::size_t worker : mWorkers) {
      mGroup.CutWorker(worker, false);
      if (mTroubles.mShrinking) {
        mGroup.Worker(worker).SetCapacity(testing::Worker("w").mCapacity,
                                          mGroup.Now());
      }
    }
    for (int extra = 0; extra < 2; ++extra) {
      AddWorker();
    }
    mGroup.Run(seconds(45));
    if (!mGroup.Oracle().Violations().empty()) {
      return mGroup.Oracle().Violations().front();
    }
    for (const auto& [id, cancelled] : mJobs) {
      if (auto broken = CheckEnd(id, cancelled)) {
        return broken;
      }
    }
    return std::nullopt;
  }

  const flow_choices& mChoose;
  history_faults mTroubles;
  history_counts& mAccount;
  fake_group mGroup;
  std::vector<std::size_t> mWorkers;
  std::map<std::string, bool> mJobs; // whether a cancel was sent
  // Jobs with tasks that crash their workers; true if all tasks of the step do.
  std::map<std::string, bool> mCrashing;
  std::size_t mSent = 0; // submitted jobs, answered or not
  bool mWiped = false;
  std::vector<action_function> mActions = {
    &player::LetTimePass, &player::LetTimePass, &player::LetTimePass,
    &player::LetTimePass, &player::Submit,      &player::Submit,
    &player::Submit,      &player::Cancel,      &player::Kill,
    &player::Wipe,        &player::Restart,     &player::Restart,
    &player::Pause,       &player::Cut,         &player::CutWorker,
    &player::LoseOrders,  &player::Crash,       &player::Drain,
  };
};

} // namespace

std::optional<std::string>
PlayFlowHistory(const flow_choices& aChoose,
                int aMost,
                flow_options aOptions,
                history_faults aTroubles,
                history_counts* aAccount)
{
  const std::uint64_t seed = aChoose(1U << 16U).value_or(1);
  history_counts account;
  auto broken = player(aChoose, seed, aOptions, aTroubles, account).Play(aMost);
  if (aAccount != nullptr) {
    *aAccount = account;
  }
  return broken;
}

std::optional<std::string>
PlayFlowSeed(std::uint64_t aSeed,
             int aMost,
             flow_options aOptions,
             history_faults aTroubles,
             history_counts* aAccount)
{
  random_source random(aSeed);
  const flow_choices choose =
    [&](std::uint64_t aBound) -> std::optional<std::uint64_t> {
    return random.Below(aBound);
  };
  return PlayFlowHistory(choose, aMost, aOptions, aTroubles, aAccount);
}

} // namespace oriolewalk::flow
