#include "testing/flow/flow_history.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/random.h"
#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"
#include "testing/flow/organisation_oracle.h"

namespace oriolewalk::flow {

namespace {

// Control processes; the first mVoters of them form the group.
struct group_size
{
  std::size_t mNodes = 3;
  std::size_t mVoters = 3;
  std::size_t mMaxVoters = 9;
};

// As in a deployment of thousands of workers.
constexpr group_size kWithSpares{ 15, 5, 5 };
constexpr std::size_t kWorkers = 3;
constexpr milliseconds kNormalWorkTime{ 300 };
constexpr std::int64_t kTaskMilliProcessors = 2'000;
// A few copies fit into the share of the cell that copies may take.
constexpr std::int64_t kSmallTaskMilliProcessors = 300;

class player
{
public:
  player(const flow_choices& aChoose,
         std::uint64_t aSeed,
         flow_options aOptions,
         history_faults aFaults,
         history_counts& aCounts)
    : mChoose(aChoose)
    , mFaults(aFaults)
    , mCounts(aCounts)
    , mSize(aFaults.mSpares ? kWithSpares : group_size{})
    , mTaskMilliProcessors(aFaults.mCopies ? kSmallTaskMilliProcessors
                                           : kTaskMilliProcessors)
    , mGroup(mSize.mNodes, mSize.mVoters, aSeed, mSize.mMaxVoters, aOptions)
  {
    if (mFaults.mRestarts) {
      mActions.push_back(&player::RestartWorker);
      mActions.push_back(&player::RestartWorker);
    }
    if (mFaults.mLeaving) {
      mActions.insert(mActions.end(), 3, &player::Drain);
      mActions.insert(mActions.end(), 4, &player::Deregister);
    }
    if (mFaults.mHolds) {
      mActions.push_back(&player::HoldOrders);
      mActions.push_back(&player::ReleaseOrders);
    }
    if (mFaults.mShrinking) {
      mActions.insert(mActions.end(), 3, &player::Resize);
    }
    if (mFaults.mCrashing) {
      EnableCrashes();
    }
    if (mFaults.mOrganisations) {
      EnableOrganisations();
    }
    if (mFaults.mCopies) {
      EnableCopies();
    }
    if (mFaults.mFull) {
      mActions.insert(mActions.end(), 12, &player::Submit);
      mActions.insert(mActions.end(), 4, &player::SubmitAgain);
    }
    CheckStartsOfRefused();
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      AddWorker();
    }
    mGroup.Run(seconds(2));
  }

  std::optional<std::string> Play(int aMaxActions)
  {
    for (int done = 0; done < aMaxActions; ++done) {
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

  void EnableCrashes()
  {
    mGroup.RestartCrashedWorkers(milliseconds(500 * (1 + Choose(16))),
                                 mFaults.mRestarts && Choose(2) == 0);
    mGroup.Oracle().mCrashesWorker = [this](const task_ref& aTask) {
      return IsCrashing(aTask);
    };
    mGroup.Oracle().mOnStart = [this](const run_ref& aRun) {
      mCounts.mCrashingStarts += IsCrashing(aRun.mTask) ? 1 : 0;
    };
  }

  [[nodiscard]] bool AllowsCopies(const task_ref& aTask) const
  {
    const auto found = mCopied.find(aTask.mJob.Value());
    return found != mCopied.end() && found->second.contains(aTask.mStep);
  }

  void EnableCopies()
  {
    mGroup.Oracle().mAllowsCopies = [this](const task_ref& aTask) {
      return AllowsCopies(aTask);
    };
    mActions.insert(mActions.end(), 3, &player::ChangeSpeed);
    mActions.insert(mActions.end(), 2, &player::ShowStates);
  }

  // Of one worker, for the runs that start there from now on.
  void ChangeSpeed()
  {
    constexpr std::uint64_t kSlowOneIn = 3;
    fake_worker& chosen = mGroup.Worker(mWorkers[Choose(mWorkers.size())]);
    chosen.mWorkTime = Choose(kSlowOneIn) == 0
                         ? milliseconds(1'000 * (2 + Choose(10)))
                         : milliseconds(100 + 50 * Choose(10));
    chosen.mFailsSecondAttempts = Choose(4) == 0;
  }

  void ShowStates()
  {
    for (const auto& [id, cancelled] : mJobs) {
      if (StateOf(id) == "done") {
        mGroup.Oracle().OnShownDone(job_id(id), mGroup.Now());
      }
    }
  }

  void EnableOrganisations()
  {
    mOrganisations.emplace(
      mGroup.Oracle(),
      [this](std::uint64_t aBound) { return Choose(aBound); },
      [this]() { return mGroup.Now(); },
      testing::Step(1, mTaskMilliProcessors).mSize);
    mActions.insert(mActions.end(), 4, &player::PutTable);
    mActions.insert(mActions.end(), 2, &player::Query);
    const auto first = mOrganisations->NextTable();
    while (!Put(first)) {
      mGroup.Run(seconds(1));
    }
  }

  // A job that its caller was told is refused never runs by that request.
  void CheckStartsOfRefused()
  {
    run_oracle& oracle = mGroup.Oracle();
    oracle.mOnStart = [this, former = oracle.mOnStart](const run_ref& aRun) {
      if (former) {
        former(aRun);
      }
      const std::string& id = aRun.mTask.mJob.Value();
      if (mRefused.contains(id)) {
        mGroup.Oracle().AddViolation("a refused job runs: " + id);
      }
    };
  }

  // Returns whether it was acknowledged.
  bool Put(const table_change_with_access& aChange)
  {
    const auto answer = mGroup.SendRequest(aChange);
    const bool isDone =
      answer && std::holds_alternative<acknowledgement>(*answer);
    if (isDone) {
      mOrganisations->OnAcknowledged(aChange.mChange.mTable.mVersion);
    }
    return isDone;
  }

  void PutTable() { Put(mOrganisations->NextTable()); }

  static std::optional<job_reply> ReplyOf(
    const std::optional<flow_answer>& aAnswer)
  {
    const auto* job = aAnswer ? std::get_if<job_answer>(&*aAnswer) : nullptr;
    return job == nullptr ? std::nullopt : std::optional(job->mReply);
  }

  // Reads any job with any key.
  void Query()
  {
    if (mJobs.empty()) {
      return;
    }
    auto job = mJobs.begin();
    std::advance(job, static_cast<long>(Choose(mJobs.size())));
    const std::string key = mOrganisations->AnyKey();
    const auto answer = mGroup.SendRequest(keyed_request{
      key, job_query{ { "jobs.example", "/fees/" + job->first } } });
    mOrganisations->OnQueried(job->first, key, ReplyOf(answer));
  }

  // Whether the job was accepted.
  bool Send(const std::string& aId, job_submission aJob)
  {
    mRefused.erase(aId);
    std::optional<job_reply> reply;
    if (mOrganisations) {
      const std::string key = mOrganisations->AnyKey();
      reply =
        ReplyOf(mGroup.SendRequest(keyed_request{ key, std::move(aJob) }));
      mOrganisations->OnSubmitted(aId, key, reply);
    } else {
      reply = ReplyOf(mGroup.SendRequest(std::move(aJob)));
    }
    const bool isAccepted = mOrganisations
                              ? reply == job_reply::Accepted
                              : reply && reply != job_reply::Refused;
    if (reply == job_reply::Refused) {
      ++mCounts.mRefusals;
      mRefused.insert(aId);
    }
    return isAccepted;
  }

  // A caller whose job was refused sends it again, at any time.
  void SubmitAgain()
  {
    if (mRefused.empty()) {
      return;
    }
    auto chosen = mRefused.begin();
    std::advance(chosen, static_cast<long>(Choose(mRefused.size())));
    const std::string id = *chosen;
    if (Send(id, mSubmissions.at(id))) {
      mJobs[id] = false;
    }
  }

  // Whether a cancellation may have been accepted.
  bool SendCancellation(const std::string& aId)
  {
    const job_cancellation cancel{ { "jobs.example", "/fees/" + aId } };
    if (!mOrganisations) {
      mGroup.SendRequest(cancel);
      return true;
    }
    const std::string key = mOrganisations->AnyKey();
    const auto reply =
      ReplyOf(mGroup.SendRequest(keyed_request{ key, cancel }));
    mOrganisations->OnQueried(aId, key, reply);
    return !reply || reply == job_reply::Cancelled;
  }

  std::string StateOf(const std::string& aId)
  {
    if (!mOrganisations) {
      return mGroup.StateOf(aId);
    }
    const std::string& owner = mOrganisations->OwnerOf(aId);
    return mGroup.StateOf(aId, organisation_oracle::FinalKeyOf(owner));
  }

  void AddWorker()
  {
    const std::size_t made = mGroup.AddWorker(
      "w" + std::to_string(mAddedWorkers++), Choose(2) == 0 ? 0 : 0.02);
    mGroup.Worker(made).mTaskSize =
      testing::Step(1, mTaskMilliProcessors).mSize;
    constexpr std::uint64_t kTenthsWhenFull = 3;
    mGroup.Worker(made).mWorkTime =
      milliseconds(100 + 100 * Choose(mFaults.mFull ? kTenthsWhenFull : 20));
    mGroup.Worker(made).mFailsFirstAttempts = Choose(3) == 0;
    mWorkers.push_back(made);
  }

  void AdvanceTime()
  {
    if (mFaults.mBusy) {
      constexpr std::uint64_t kBusyOneIn = 3; // one span in three is busy
      const bool busy = Choose(kBusyOneIn) == 0;
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
    const bool isEachNew = mFaults.mCrashing || mFaults.mOrganisations ||
                           mFaults.mCopies || mFaults.mFull;
    const std::size_t number = isEachNew ? mSubmittedJobs++ : mJobs.size();
    if (number >= 16) {
      return;
    }
    const std::string id = std::string(15, '0') + kHex[number];
    step_spec first = testing::Step(1 + static_cast<std::uint32_t>(Choose(5)),
                                    mTaskMilliProcessors);
    first.mGang = Choose(4) == 0;
    step_spec second = testing::Step(2, mTaskMilliProcessors);
    second.mDependsOn = { 0 };
    if (mFaults.mCopies) {
      first.mAllowsCopies = Choose(3) != 0;
      second.mAllowsCopies = Choose(3) != 0;
    }
    if (mFaults.mFull) {
      Widen(first, second);
    }
    if (first.mGang) {
      mGangs.insert(id);
    }
    // A gang has no copies, whatever its step says.
    if (first.MayHaveCopies()) {
      mCopied[id].insert(0);
    }
    if (second.MayHaveCopies()) {
      mCopied[id].insert(1);
    }
    constexpr std::uint64_t kCrashingOneIn = 5; // one job in five
    if (mFaults.mCrashing && Choose(kCrashingOneIn) == 0) {
      // The members of a gang end together, so all of them crash.
      mCrashing[id] = first.mGang || Choose(4) == 0;
    }
    mSubmissions[id] = { { "jobs.example", "/fees/" + id },
                         { "", { first, second }, {} } };
    if (Send(id, mSubmissions.at(id))) {
      mJobs[id] = false;
    }
  }

  // Makes a job of which a few are more than the workers can do in time.
  void Widen(step_spec& aFirst, step_spec& aSecond)
  {
    constexpr std::uint32_t kLeastTasks = 50;
    constexpr std::int64_t kEstimateMs = 200;
    aFirst.mGang = false; // the workers have no room for one of this size
    aFirst.mCount = kLeastTasks * (1 + static_cast<std::uint32_t>(Choose(2)));
    aFirst.mEstimateMs = kEstimateMs;
    aSecond.mEstimateMs = kEstimateMs;
  }

  void Cancel()
  {
    if (mJobs.empty()) {
      return;
    }
    auto job = mJobs.begin();
    std::advance(job, static_cast<long>(Choose(mJobs.size())));
    // Also if the answer is lost.
    job->second = SendCancellation(job->first) || job->second;
  }

  void Kill() { mGroup.Kill(Choose(mSize.mNodes), Choose(2) == 0); }

  // Only one disk is lost, and only while the other nodes are up and in the
  // group. A node that was silent for 20 s has been removed from the group; a
  // disk that is lost before it has rejoined is a second loss.
  void Wipe()
  {
    const std::size_t chosen = Choose(mSize.mNodes);
    for (std::size_t node = 0; node < mSize.mNodes; ++node) {
      if (node != chosen && !mGroup.IsUp(node)) {
        return;
      }
    }
    const auto leader = mGroup.Leader();
    if (mHasWipedDisk || !leader || *leader == chosen ||
        mGroup.Core(*leader).Raft().Members().mVoters.size() < mSize.mVoters) {
      return;
    }
    mHasWipedDisk = true;
    mGroup.Wipe(chosen);
  }

  void Restart()
  {
    for (std::size_t node = 0; node < mSize.mNodes; ++node) {
      mGroup.Restart(node);
      mGroup.Pause(node, false);
    }
  }

  void Pause() { mGroup.Pause(Choose(mSize.mNodes), true); }
  void Cut() { mGroup.Cut(Choose(mSize.mNodes), Choose(2) == 0); }
  void CutWorker()
  {
    mGroup.CutWorker(mWorkers[Choose(mWorkers.size())], Choose(2) == 0);
  }
  void LoseOrders() { mGroup.SetLateShare(Choose(2) == 0 ? 0.0 : 0.4); }
  void Crash()
  {
    constexpr std::size_t kMaxWorkers = 8;
    if (mWorkers.size() < kMaxWorkers) {
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

  // A worker that drains, if there is one. It may be cut off just before.
  void Deregister()
  {
    constexpr std::uint64_t kMaxTenthsOfSecond = 60;
    const auto drains = [this](std::size_t aWorker) {
      const fake_worker& worker = mGroup.Worker(aWorker);
      return worker.IsUp() && worker.mDraining;
    };
    const auto chosen = std::ranges::find_if(mWorkers, drains);
    if (chosen == mWorkers.end()) {
      return;
    }
    if (Choose(3) == 0) {
      mGroup.CutWorker(*chosen, true);
      mGroup.Run(milliseconds(10 * Choose(40)));
    }
    mGroup.Deregister(*chosen,
                      milliseconds(100 * (1 + Choose(kMaxTenthsOfSecond))));
    mWorkers.erase(chosen);
  }

  std::optional<std::string> CheckEnd(const std::string& aId, bool aCancelled)
  {
    if (mOrganisations && mOrganisations->OwnerOf(aId).empty()) {
      return std::nullopt; // it isn't certain whose key can read it
    }
    const auto state = [&]() { return StateOf(aId); };
    if (mCrashing.contains(aId)) {
      // The next start must wait until the worker has restarted.
      mGroup.RunUntil(
        [&]() { return state() == "failed" || state() == "cancelled"; },
        seconds(60));
    } else if (mFaults.mFull && mFaults.mCrashing) {
      // A hundred tasks that crash keep the workers down for most of the time.
      mGroup.RunUntil(
        [&]() { return state() != "queued" && state() != "running"; },
        seconds(60));
    }
    const std::string last = state();
    Count(aId, last);
    if (IsAllowedEnd(aId, aCancelled, last)) {
      return std::nullopt;
    }
    std::string violation = "at the end a job is '";
    violation.append(last).append("': ").append(aId);
    return violation;
  }

  bool IsAllowedEnd(const std::string& aId,
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
           (aState == "failed" &&
            (MaxCrashCount(aId) >= 2 || HasFailedTwice(aId)));
  }

  [[nodiscard]] std::vector<task_ref> TasksOf(const std::string& aId) const
  {
    std::vector<task_ref> tasks;
    const std::vector<step_spec>& steps = mSubmissions.at(aId).mSpec.mSteps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      for (std::uint32_t task = 0; task < steps[step].mCount; ++task) {
        tasks.push_back({ job_id(aId), 0, step, task });
      }
    }
    return tasks;
  }

  [[nodiscard]] std::size_t MaxCrashCount(const std::string& aId)
  {
    std::size_t max = 0;
    for (const task_ref& task : TasksOf(aId)) {
      max = std::max(max, mGroup.Oracle().CrashCount(task));
    }
    return max;
  }

  // Whether a task, or members of the gang together, failed twice. Second
  // attempts fail only with copies.
  [[nodiscard]] bool HasFailedTwice(const std::string& aId)
  {
    // The members of a gang that fail in one attempt count once.
    std::set<attempt_t> gangFailures;
    std::size_t most = 0;
    for (const task_ref& task : TasksOf(aId)) {
      const std::set<attempt_t> failures = mGroup.Oracle().FailedAttempts(task);
      if (mGangs.contains(aId) && task.mStep == 0) {
        gangFailures.insert(failures.begin(), failures.end());
      }
      most = std::max({ most, failures.size(), gangFailures.size() });
    }
    return mFaults.mCopies && most >= 2;
  }

  void Count(const std::string& aId, const std::string& aState)
  {
    if (mCrashing.contains(aId)) {
      ++mCounts.mCrashingJobs;
    } else {
      ++mCounts.mNormalJobs;
      mCounts.mFailedNormalJobs += aState == "failed" ? 1 : 0;
    }
  }

  std::optional<std::string> Finish()
  {
    mGroup.SetLateShare(0);
    mGroup.ReleaseOrders();
    mGroup.SetOrderDelay(milliseconds(0));
    mGroup.SetSyncTime(milliseconds(9));
    for (std::size_t node = 0; node < mSize.mNodes; ++node) {
      mGroup.Cut(node, false);
    }
    Restart();
    for (const std::size_t worker : mWorkers) {
      mGroup.CutWorker(worker, false);
      if (mFaults.mCopies) {
        mGroup.Worker(worker).mWorkTime = kNormalWorkTime;
      }
      if (mFaults.mShrinking) {
        mGroup.Worker(worker).SetCapacity(testing::Worker("w").mCapacity,
                                          mGroup.Now());
      }
    }
    for (int extra = 0; extra < 2; ++extra) {
      AddWorker();
    }
    if (mOrganisations) {
      mGroup.Run(seconds(5));
      const auto last = mOrganisations->FinalTable();
      mGroup.RunUntil([&]() { return Put(last); }, seconds(20));
    }
    mGroup.Run(seconds(45));
    mCounts.mStarts = mGroup.Oracle().Starts();
    mCounts.mSecondStarts = mGroup.Oracle().SecondStarts();
    if (!mGroup.Oracle().Violations().empty()) {
      return mGroup.Oracle().Violations().front();
    }
    for (const std::string& id : mRefused) {
      if (const std::string state = StateOf(id); !state.empty()) {
        std::string violation = "at the end a refused job is '";
        return violation.append(state).append("': ").append(id);
      }
    }
    for (const auto& [id, cancelled] : mJobs) {
      if (auto violation = CheckEnd(id, cancelled)) {
        return violation;
      }
    }
    return std::nullopt;
  }

  const flow_choices& mChoose;
  history_faults mFaults;
  history_counts& mCounts;
  group_size mSize;
  std::int64_t mTaskMilliProcessors;
  fake_group mGroup;
  std::optional<organisation_oracle> mOrganisations;
  std::vector<std::size_t> mWorkers; // except those that deregistered
  std::size_t mAddedWorkers = 0;
  std::map<std::string, bool> mJobs; // whether a cancel was sent
  std::map<std::string, job_submission> mSubmissions;
  std::set<std::string> mRefused; // by the last answer
  // Jobs with tasks that crash their workers; true if all tasks of the step do.
  std::map<std::string, bool> mCrashing;
  std::set<std::string> mGangs; // jobs whose first step is a gang
  // The steps that allow copies, by job.
  std::map<std::string, std::set<std::uint32_t>> mCopied;
  std::size_t mSubmittedJobs = 0; // submitted jobs, answered or not
  bool mHasWipedDisk = false;
  std::vector<action_function> mActions = {
    &player::AdvanceTime, &player::AdvanceTime, &player::AdvanceTime,
    &player::AdvanceTime, &player::Submit,      &player::Submit,
    &player::Submit,      &player::Cancel,      &player::Kill,
    &player::Wipe,        &player::Restart,     &player::Restart,
    &player::Pause,       &player::Cut,         &player::CutWorker,
    &player::LoseOrders,  &player::Crash,       &player::Drain,
  };
};

} // namespace

std::optional<std::string>
PlayFlowHistory(const flow_choices& aChoose,
                int aMaxActions,
                flow_options aOptions,
                history_faults aFaults,
                history_counts* aCounts)
{
  const std::uint64_t seed = aChoose(1U << 16U).value_or(1);
  history_counts counts;
  auto violation =
    player(aChoose, seed, aOptions, aFaults, counts).Play(aMaxActions);
  if (aCounts != nullptr) {
    *aCounts = counts;
  }
  return violation;
}

std::optional<std::string>
PlayFlowSeed(std::uint64_t aSeed,
             int aMaxActions,
             flow_options aOptions,
             history_faults aFaults,
             history_counts* aCounts)
{
  random_source random(aSeed);
  const flow_choices choose =
    [&](std::uint64_t aBound) -> std::optional<std::uint64_t> {
    return random.Below(aBound);
  };
  return PlayFlowHistory(choose, aMaxActions, aOptions, aFaults, aCounts);
}

} // namespace oriolewalk::flow
