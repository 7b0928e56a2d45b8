#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/machines/upkeep_planner.h"
#include "testing/machines/fake_machine_service.h"

namespace oriolewalk::machines {

namespace {

using testing::fake_machine_service;

constexpr milliseconds kMaintenance{ 4'000 };
constexpr milliseconds kStep{ 100 };
constexpr std::int64_t kWallOffsetMs = 1'000'000;

// A leader's planner with a machine service; a run that is stopped ends 200 ms
// later.
struct upkeep_scene
{
  explicit upkeep_scene(int aMachines)
  {
    for (int number = 1; number <= aMachines; ++number) {
      mService.Add(Machine(number), "w" + std::to_string(number));
    }
    // An order never comes while something runs on the machine.
    mService.mOnUpkeep = [this](const std::string& aMachine) {
      const auto runs = mRuns.find(mService.mMachines.at(aMachine).mWorker);
      mEndedByUpkeep += runs == mRuns.end() ? 0 : runs->second.size();
      mOrderOfUpkeeps.push_back(aMachine);
    };
    Lead();
  }

  static std::string Machine(int aNumber)
  {
    return "m" + std::to_string(aNumber);
  }

  // Another leader takes over; answers to the former one are lost.
  void Lead()
  {
    mAnswers.clear();
    std::set<std::uint64_t> open;
    for (const auto& [number, wave] : mWaves) {
      if (!wave.IsDone()) {
        open.insert(number);
      }
    }
    ++mTerm;
    mPlanner.emplace(mOptions, mTerm, mTerm * 1'000, open, mNow);
  }

  [[nodiscard]] std::int64_t WallMs() const
  {
    return kWallOffsetMs +
           std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch())
             .count();
  }

  wave_record& StartWave(int aMachines,
                         std::uint32_t aMaxCount,
                         seconds aDuration,
                         std::uint64_t aNumber = 1)
  {
    wave_record wave;
    wave.mOrder.mNumber = aNumber;
    for (int number = 1; number <= aMachines; ++number) {
      wave.mOrder.mMachines.emplace_back(Machine(number));
    }
    wave.mOrder.mDurationMs = milliseconds(aDuration).count();
    wave.mOrder.mMaxCount = aMaxCount;
    wave.mAcceptedWallMs = WallMs();
    return mWaves[aNumber] = wave;
  }

  void AddRun(const std::string& aWorker, run_kind aKind, std::uint64_t aKey)
  {
    mRuns[aWorker].push_back({ aKey, aKind });
  }

  void Step()
  {
    mNow += kStep;
    mService.Advance(mNow);
    for (auto& [key, at] : mStoppedAt) {
      if (mNow >= at + milliseconds(200)) {
        EndRun(key);
      }
    }
    for (auto due = mAnswers.begin();
         due != mAnswers.end() && due->first <= mNow;
         due = mAnswers.erase(due)) {
      mPlanner->OnAnswer(due->second.first, due->second.second, mNow);
    }
    upkeep_input input;
    input.mWaves = &mWaves;
    input.mRunsAt = [this](const worker_id& aWorker) {
      return mRuns[aWorker.Value()];
    };
    input.mGrant = [this](std::span<const std::uint64_t> aRuns) {
      return mGrant(aRuns);
    };
    input.mNow = mNow;
    input.mWallMs = WallMs();
    Act(mPlanner->Plan(input));
  }

  void Act(const upkeep_actions& aActions)
  {
    mDraining = aActions.mDraining;
    mDown = aActions.mDown;
    for (const std::uint64_t key : aActions.mStops) {
      mStoppedAt.try_emplace(key, mNow);
    }
    for (const settled_machine& settled : aActions.mRecords) {
      wave_record& wave = mWaves.at(settled.mWave);
      (settled.mHasLeft ? wave.mLeft : wave.mBegun).insert(settled.mMachine);
    }
    for (const upkeep_note& note : aActions.mNotes) {
      ++mNotes[std::string(note.mEvent)];
    }
    for (const machine_call& call : aActions.mCalls) {
      const bool isOrder = std::holds_alternative<upkeep_request>(call.mBody);
      call_answer answer;
      if (!isOrder || !mDropsOrders) {
        answer = mService.Handle(call.mBody, mNow);
      }
      if (isOrder && (mLosesAnswers || mDropsOrders)) {
        mAnswers.emplace(mNow + kOrderTimeout,
                         std::pair(call.mId, call_answer{}));
      } else {
        mAnswers.emplace(mNow + mLatency, std::pair(call.mId, answer));
      }
    }
  }

  void Run(duration aFor)
  {
    for (const time_point until = mNow + aFor; mNow < until;) {
      Step();
    }
  }

  bool RunUntilDone(duration aAtMost, std::uint64_t aWave = 1)
  {
    for (const time_point until = mNow + aAtMost; mNow < until;) {
      Step();
      if (mWaves.at(aWave).IsDone()) {
        return true;
      }
    }
    return false;
  }

  void EndRun(std::uint64_t aKey)
  {
    for (auto& [worker, runs] : mRuns) {
      std::erase_if(runs,
                    [&](const machine_run& aRun) { return aRun.mKey == aKey; });
    }
  }

  [[nodiscard]] bool IsStopped(std::uint64_t aKey) const
  {
    return mStoppedAt.contains(aKey);
  }

  upkeep_options mOptions{ 2, 4, kMaintenance };
  fake_machine_service mService{ kMaintenance };
  std::map<std::uint64_t, wave_record> mWaves;
  std::map<std::string, std::vector<machine_run>> mRuns;
  std::map<std::uint64_t, time_point> mStoppedAt;
  std::multimap<time_point, std::pair<std::uint64_t, call_answer>> mAnswers;
  std::function<std::vector<std::uint64_t>(std::span<const std::uint64_t>)>
    mGrant = [](std::span<const std::uint64_t> aRuns) {
      return std::vector<std::uint64_t>(aRuns.begin(), aRuns.end());
    };
  milliseconds mLatency{ 50 };
  bool mLosesAnswers = false; // of orders that take effect
  bool mDropsOrders = false;  // without effect and answer
  std::uint64_t mTerm = 0;
  time_point mNow{ seconds(1'000) };
  std::optional<upkeep_planner> mPlanner;
  std::set<worker_id> mDraining;
  std::set<worker_id> mDown;
  std::map<std::string, int> mNotes;
  std::vector<std::string> mOrderOfUpkeeps;
  std::size_t mEndedByUpkeep = 0;
};

// The most calls in any second.
std::size_t
MostInASecond(const std::vector<time_point>& aCalls)
{
  std::size_t most = 0;
  for (const time_point first : aCalls) {
    most = std::max(most,
                    static_cast<std::size_t>(
                      std::ranges::count_if(aCalls, [&](time_point aCall) {
                        return aCall >= first && aCall < first + seconds(1);
                      })));
  }
  return most;
}

} // namespace

TEST_CASE("without a wave the machine service is never called")
{
  upkeep_scene scene(3);
  scene.Run(seconds(10));
  CHECK(scene.mService.mPageCalls.empty());
  CHECK(scene.mService.mOrderCalls.empty());
  // Nor after the last wave is done.
  scene.StartWave(1, 1, seconds(20));
  REQUIRE(scene.RunUntilDone(seconds(20)));
  scene.Run(seconds(2));
  const std::size_t calls = scene.mService.mPageCalls.size();
  scene.Run(seconds(20));
  CHECK(scene.mService.mPageCalls.size() == calls);
}

TEST_CASE("no more machines are down than the wave allows")
{
  // Guards against a machine that is ordered while the one before is still
  // down, also where the deadline can't be met.
  for (const std::uint32_t maxCount : { 1U, 2U, 3U }) {
    CAPTURE(maxCount);
    upkeep_scene scene(8);
    scene.StartWave(7, maxCount, seconds(1));
    CHECK(scene.RunUntilDone(seconds(70)));
    CHECK(scene.mService.mMostDown == maxCount);
    CHECK(scene.mService.Upkeeps() == 7);
    CHECK(scene.mService.mMachines.at("m8").mUpkeeps == 0);
    CHECK(scene.mNotes["upkeep.late"] == 1);
  }
}

TEST_CASE("a wave that fits its time is done in time")
{
  upkeep_scene scene(8);
  scene.StartWave(6, 2, seconds(20));
  CHECK(scene.RunUntilDone(seconds(20)));
  CHECK(scene.mNotes["upkeep.late"] == 0);
  CHECK(scene.mNotes["upkeep.ordered"] == 6);
}

TEST_CASE("a machine is drained before its upkeep begins")
{
  // Guards against short work that is lost although there was time to wait, and
  // against an order while a start there isn't committed yet.
  upkeep_scene scene(1);
  scene.AddRun("w1", run_kind::Unsaved, 1);
  scene.AddRun("w1", run_kind::Starting, 2);
  scene.StartWave(1, 1, seconds(60));
  scene.Run(seconds(5));
  CHECK(scene.mDraining.contains(worker_id("w1")));
  CHECK(scene.mService.mOrderCalls.empty());
  CHECK_FALSE(scene.IsStopped(1));
  scene.EndRun(1);
  scene.Run(seconds(2));
  CHECK(scene.mService.mOrderCalls.empty());
  scene.EndRun(2);
  CHECK(scene.RunUntilDone(seconds(3)));
  CHECK(scene.mEndedByUpkeep == 0);
}

TEST_CASE("runs that saved a checkpoint are stopped at once")
{
  upkeep_scene scene(1);
  scene.AddRun("w1", run_kind::Saved, 1);
  scene.StartWave(1, 1, seconds(600));
  CHECK(scene.RunUntilDone(seconds(5)));
  CHECK(scene.IsStopped(1));
  CHECK(scene.mEndedByUpkeep == 0);
}

TEST_CASE("work without checkpoints is stopped for the deadline only")
{
  upkeep_scene scene(2);
  scene.AddRun("w1", run_kind::Unsaved, 1);
  scene.AddRun("w2", run_kind::Unsaved, 2);
  scene.StartWave(2, 1, seconds(20));
  scene.Run(seconds(10));
  CHECK(scene.mStoppedAt.empty());
  CHECK(scene.RunUntilDone(seconds(10)));
  CHECK(scene.mStoppedAt.size() == 2);
  CHECK(scene.mEndedByUpkeep == 0);
  CHECK(scene.mNotes["upkeep.late"] == 0);
}

TEST_CASE("a deadline doesn't end a long-running task beyond the budget")
{
  // Guards against a service that loses more tasks than its caller allows, for
  // the sake of a wave.
  upkeep_scene scene(2);
  scene.AddRun("w1", run_kind::LongRunning, 1);
  bool mayEnd = false;
  scene.mGrant = [&](std::span<const std::uint64_t> aRuns) {
    return mayEnd ? std::vector<std::uint64_t>(aRuns.begin(), aRuns.end())
                  : std::vector<std::uint64_t>{};
  };
  scene.StartWave(2, 1, seconds(5));
  scene.Run(seconds(30));
  CHECK_FALSE(scene.IsStopped(1));
  // The other machine isn't held up by the one that must wait.
  CHECK(scene.mWaves.at(1).mBegun.contains(machine_id("m2")));
  CHECK_FALSE(scene.mWaves.at(1).IsDone());
  mayEnd = true;
  CHECK(scene.RunUntilDone(seconds(10)));
  CHECK(scene.mEndedByUpkeep == 0);
}

TEST_CASE("a machine whose order got no answer counts as down")
{
  // Guards against a second machine that is ordered down while the first one
  // is, because its answer was lost.
  upkeep_scene scene(3);
  scene.mLosesAnswers = true;
  scene.StartWave(3, 1, seconds(20));
  CHECK(scene.RunUntilDone(seconds(80)));
  CHECK(scene.mService.mMostDown == 1);
  CHECK(scene.mService.Upkeeps() == 3);
}

TEST_CASE("an order that was lost is given again after the list was read")
{
  upkeep_scene scene(2);
  scene.mDropsOrders = true;
  scene.StartWave(2, 1, seconds(20));
  scene.Run(seconds(4));
  REQUIRE(scene.mNotes["upkeep.ordered"] >= 1);
  CHECK(scene.mWaves.at(1).mBegun.empty());
  scene.mDropsOrders = false;
  const std::size_t pages = scene.mService.mPageCalls.size();
  CHECK(scene.RunUntilDone(seconds(60)));
  CHECK(scene.mService.mPageCalls.size() > pages);
  CHECK(scene.mService.mMostDown == 1);
  CHECK(scene.mService.Upkeeps() == 2);
}

TEST_CASE("a late order that takes effect after its time counts as down")
{
  // Guards against two machines that are down at once because the service was
  // slow with the first order. The list shows the machine up in between.
  upkeep_scene scene(2);
  scene.mDropsOrders = true;
  scene.StartWave(2, 1, seconds(20));
  while (scene.mNotes["upkeep.ordered"] == 0) {
    scene.Step();
  }
  scene.Run(milliseconds(2'300));
  scene.mDropsOrders = false;
  scene.mService.Handle(upkeep_request{ 1, machine_id("m1"), scene.mTerm },
                        scene.mNow);
  CHECK(scene.RunUntilDone(seconds(60)));
  CHECK(scene.mService.mMostDown == 1);
}

TEST_CASE("calls keep half of the service's limits and back off when refused")
{
  upkeep_scene scene(12);
  scene.mService.mPageSize = 2;
  scene.StartWave(12, 12, seconds(30));
  CHECK(scene.RunUntilDone(seconds(60)));
  CHECK(MostInASecond(scene.mService.mOrderCalls) <= 2);
  CHECK(MostInASecond(scene.mService.mPageCalls) <= 4);
  CHECK(scene.mService.Upkeeps() == 12);

  upkeep_scene refused(2);
  refused.mService.mRefusesCalls = true;
  refused.StartWave(2, 1, seconds(30));
  refused.Run(seconds(31));
  CHECK(refused.mService.mPageCalls.size() <= 7); // after 1, 2, 4, 8 s
  refused.mService.mRefusesCalls = false;
  CHECK(refused.RunUntilDone(seconds(60)));
}

TEST_CASE("an order that is refused for its rate has not begun")
{
  // Guards against a wave that is done without the upkeep of a machine.
  upkeep_scene scene(1);
  scene.StartWave(1, 1, seconds(30));
  while (scene.mService.mPageCalls.empty()) {
    scene.Step();
  }
  scene.mService.mRefusesCalls = true;
  scene.Run(seconds(4));
  CHECK(scene.mNotes["upkeep.failed"] >= 1);
  CHECK_FALSE(scene.mWaves.at(1).IsDone());
  scene.mService.mRefusesCalls = false;
  CHECK(scene.RunUntilDone(seconds(40)));
  CHECK(scene.mService.Upkeeps() == 1);
}

TEST_CASE("a machine that left the list doesn't remain")
{
  // Guards against a wave that never ends, and against one that ends because a
  // single reading lacked a machine.
  upkeep_scene scene(3);
  scene.AddRun("w2", run_kind::Unsaved, 1);
  scene.StartWave(2, 1, seconds(60));
  scene.Run(seconds(6));
  CHECK(scene.mWaves.at(1).mBegun.contains(machine_id("m1")));
  const auto gone = scene.mService.mMachines.extract("m2");
  scene.Run(milliseconds(1'500));
  CHECK_FALSE(scene.mWaves.at(1).IsDone());
  CHECK(scene.RunUntilDone(seconds(5)));
  CHECK(scene.mWaves.at(1).mLeft.contains(machine_id("m2")));
}

TEST_CASE("a machine that is missing in one reading remains")
{
  upkeep_scene scene(1);
  scene.AddRun("w1", run_kind::Unsaved, 1);
  scene.StartWave(1, 1, seconds(60));
  for (int repeat = 0; repeat < 3; ++repeat) {
    scene.Run(seconds(2));
    auto gone = scene.mService.mMachines.extract("m1");
    const std::size_t pages = scene.mService.mPageCalls.size();
    while (scene.mService.mPageCalls.size() == pages) {
      scene.Step();
    }
    scene.mService.mMachines.insert(std::move(gone));
  }
  CHECK(scene.mWaves.at(1).mLeft.empty());
}

TEST_CASE("a page that names itself as the next one ends the reading")
{
  upkeep_scene scene(3);
  scene.mService.mPageSize = 0; // each page names its own first machine
  scene.StartWave(3, 1, seconds(60));
  scene.Run(seconds(30));
  CHECK(scene.mService.mOrderCalls.empty());
  CHECK(scene.mWaves.at(1).mLeft.empty());
  CHECK(scene.mService.mPageCalls.size() < 20);
}

TEST_CASE("the next leader goes on without exceeding the limit")
{
  // The leader dies after an order and before its record. The next one doesn't
  // know of the order.
  for (int after = 1; after <= 90; after += 4) {
    CAPTURE(after);
    upkeep_scene scene(4);
    scene.StartWave(4, 1, seconds(20));
    for (int step = 0; step < after; ++step) {
      scene.Step();
    }
    scene.Lead();
    CHECK(scene.RunUntilDone(seconds(80)));
    CHECK(scene.mService.mMostDown == 1);
    CHECK(scene.mService.Upkeeps() == 4);
  }
}

TEST_CASE("an order of the former leader that arrives late is waited for")
{
  // The former leader's order reaches the service after the next leader began
  // and read the list. That one must not order another machine at that time.
  upkeep_scene scene(2);
  scene.mDropsOrders = true;
  scene.StartWave(2, 1, seconds(20));
  while (scene.mNotes["upkeep.ordered"] == 0) {
    scene.Step();
  }
  const std::uint64_t former = scene.mTerm;
  scene.Lead();
  scene.mDropsOrders = false;
  scene.Run(milliseconds(1'500));
  scene.mService.Handle(upkeep_request{ 1, machine_id("m2"), former },
                        scene.mNow);
  CHECK(scene.RunUntilDone(seconds(60)));
  CHECK(scene.mService.mMostDown == 1);
  CHECK(scene.mService.Upkeeps() == 2);
}

TEST_CASE("an upkeep that was done before is recorded and holds up nothing")
{
  // The record of an upkeep was lost with the leader, and its machine has been
  // up again for long.
  upkeep_scene scene(2);
  scene.StartWave(2, 1, seconds(60));
  scene.mService.Handle(upkeep_request{ 1, machine_id("m1"), 1 }, scene.mNow);
  scene.mNow += seconds(20);
  scene.Lead();
  CHECK(scene.RunUntilDone(seconds(20)));
  CHECK(scene.mService.Upkeeps() == 2);
}

TEST_CASE("a machine that is busy is ordered again once the list shows it up")
{
  upkeep_scene scene(2);
  scene.StartWave(2, 2, seconds(60));
  scene.mService.mMachines.at("m1").mState = machine_state::Moving;
  scene.Run(seconds(8));
  CHECK(scene.mWaves.at(1).mBegun.size() == 1);
  scene.mService.mMachines.at("m1").mState = machine_state::Up;
  CHECK(scene.RunUntilDone(seconds(5)));
}

TEST_CASE("a machine that refuses its upkeep doesn't hold up the others")
{
  // Guards against a wave whose only place is taken by a machine that is up and
  // stays busy.
  upkeep_scene scene(3);
  scene.StartWave(3, 1, seconds(20));
  scene.mService.mBusy.insert("m1");
  scene.Run(seconds(30));
  CHECK(scene.mWaves.at(1).mBegun.size() == 2);
  scene.mService.mBusy.clear();
  CHECK(scene.RunUntilDone(seconds(20)));
  CHECK(scene.mService.mMostDown == 1);
}

TEST_CASE("no worker stays drained once the last wave is done")
{
  // Guards against an order whose end isn't seen, since nothing reads the list
  // without a wave. The machine's upkeep was done by the former leader.
  upkeep_scene scene(1);
  scene.StartWave(1, 1, seconds(60));
  scene.mService.Handle(upkeep_request{ 1, machine_id("m1"), 1 }, scene.mNow);
  scene.mNow += seconds(20);
  scene.Lead();
  CHECK(scene.RunUntilDone(seconds(20)));
  scene.Run(seconds(1));
  CHECK(scene.mDraining.empty());
  CHECK(scene.mDown.empty());
}

TEST_CASE("two waves with the same machine give it two upkeeps")
{
  // Guards against a wave that is done by the upkeep of another one.
  upkeep_scene scene(1);
  scene.StartWave(1, 1, seconds(20), 1);
  scene.StartWave(1, 1, seconds(20), 2);
  CHECK(scene.RunUntilDone(seconds(30), 1));
  CHECK(scene.RunUntilDone(seconds(30), 2));
  CHECK(scene.mService.Upkeeps() == 2);
}

TEST_CASE("a slow service delays a wave and breaks no limit")
{
  upkeep_scene scene(4);
  scene.mLatency = milliseconds(1'900);
  scene.StartWave(4, 2, seconds(20));
  CHECK(scene.RunUntilDone(seconds(60)));
  CHECK(scene.mService.mMostDown <= 2);
  CHECK(scene.mService.Upkeeps() == 4);
}

} // namespace oriolewalk::machines
