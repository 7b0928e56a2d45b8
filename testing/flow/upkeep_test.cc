#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"
#include "testing/machines/fake_machine_service.h"

// Waves of upkeep, from the operator's order to the machine service, with
// leaders that fail and answers that are lost.

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kJob = "00000000000000aa";
constexpr milliseconds kMaintenance{ 4'000 };

flow_options
Options()
{
  flow_options options;
  options.mUpkeep = { 2, 4, kMaintenance };
  return options;
}

// A group with a machine for each worker.
struct wave_scene
{
  explicit wave_scene(std::uint64_t aSeed, std::size_t aWorkers = 4)
    : mGroup(3, 3, aSeed, 9, Options())
  {
    for (std::size_t worker = 0; worker < aWorkers; ++worker) {
      mGroup.AddWorker("w" + std::to_string(worker), 0.02);
      mGroup.Worker(worker).mTaskSize = Step(1, 1'000).mSize;
      mService.Add(Machine(worker), "");
    }
    mGroup.RestartCrashedWorkers(kMaintenance, false);
    mService.mOnUpkeep = [this](const std::string& aMachine) {
      mGroup.Worker(std::stoul(aMachine.substr(1))).Crash(mGroup.Now());
    };
    mGroup.Run(seconds(2));
    // Until a wave is ordered a call to the service is a violation.
  }

  static std::string Machine(std::size_t aWorker)
  {
    return "m" + std::to_string(aWorker);
  }

  static wave_start Wave(std::size_t aMachines, std::uint32_t aMaxCount)
  {
    machines::wave_order order{ 1, {}, 20'000, aMaxCount };
    for (std::size_t machine = 0; machine < aMachines; ++machine) {
      order.mMachines.emplace_back(Machine(machine));
    }
    return { order };
  }

  void StartService()
  {
    mGroup.SetMachineService(
      [this](const machines::call_body& aBody, time_point aNow) {
        for (auto& [name, machine] : mService.mMachines) {
          machine.mWorker =
            mGroup.Worker(std::stoul(name.substr(1))).Description().mId.Value();
        }
        const bool isOrder =
          std::holds_alternative<machines::upkeep_request>(aBody);
        std::optional<machines::call_answer> answer =
          mService.Handle(aBody, aNow);
        if (isOrder && mLosesAnswers) {
          answer.reset();
        }
        return answer;
      });
  }

  std::optional<wave_reply> Send(const flow_request& aRequest)
  {
    const auto answer = mGroup.SendRequest(aRequest);
    const auto* wave = answer ? std::get_if<wave_answer>(&*answer) : nullptr;
    return wave == nullptr ? std::nullopt : std::optional(wave->mReply);
  }

  bool IsDoneWithin(duration aAtMost)
  {
    return mGroup.RunUntil(
      [&]() { return Send(wave_query{ 1 }) == wave_reply::Done; }, aAtMost);
  }

  fake_group mGroup;
  machines::testing::fake_machine_service mService{ kMaintenance };
  bool mLosesAnswers = false;
};

} // namespace

TEST_CASE("a wave's order is acknowledged, repeated, refused or unknown")
{
  wave_scene scene(1);
  scene.StartService();
  CHECK(scene.Send(wave_query{ 1 }) == wave_reply::NotFound);
  const wave_start order = wave_scene::Wave(2, 1);
  CHECK(scene.Send(order) == wave_reply::Accepted);
  CHECK(scene.Send(order) == wave_reply::Accepted);
  wave_start other = order;
  other.mOrder.mDurationMs += 1;
  CHECK(scene.Send(other) == wave_reply::Conflict);
  CHECK(scene.Send(wave_query{ 1 }) == wave_reply::Running);
  CHECK(scene.Send(wave_query{ 2 }) == wave_reply::NotFound);
  CHECK(scene.mGroup.Count("wave.accepted") == 1);
}

TEST_CASE("an acknowledged wave is known to the next leader")
{
  // The leader dies right after it acknowledged the order.
  wave_scene scene(2);
  scene.StartService();
  REQUIRE(scene.Send(wave_scene::Wave(2, 1)) == wave_reply::Accepted);
  scene.mGroup.Kill(*scene.mGroup.Leader(), true);
  scene.mGroup.Run(seconds(3));
  CHECK(scene.Send(wave_query{ 1 }) == wave_reply::Running);
  CHECK(scene.IsDoneWithin(seconds(40)));
  CHECK(scene.mService.Upkeeps() == 2);
}

TEST_CASE("a wave goes through its machines while work goes on")
{
  // Guards against work that is lost with a machine, and starts on a machine
  // that is about to go down.
  wave_scene scene(3);
  scene.mGroup.Submit(kJob, { Step(120, 1'000) });
  scene.mGroup.Run(milliseconds(200));
  scene.StartService();
  std::size_t crashed = 0;
  scene.mGroup.Oracle().mOnEnd = [&](const run_ref&, run_outcome aHow) {
    crashed += aHow == run_outcome::Lapsed ? 1 : 0;
  };
  REQUIRE(scene.Send(wave_scene::Wave(3, 1)) == wave_reply::Accepted);
  CHECK(scene.IsDoneWithin(seconds(20)));
  CHECK(scene.mGroup.RunUntil(
    [&]() { return scene.mGroup.StateOf(kJob) == "done"; }, seconds(30)));
  CHECK(scene.mService.Upkeeps() == 3);
  CHECK(scene.mService.mMostDown == 1);
  CHECK(crashed == 0);
  CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  CHECK(scene.mGroup.Count("upkeep.draining") >= 3);
  CHECK(scene.mGroup.Count("upkeep.ordered") == 3);
  CHECK(scene.mGroup.Count("wave.done") >= 1);
}

TEST_CASE("a wave survives leaders that die and answers that are lost")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    wave_scene scene(seed);
    scene.mLosesAnswers = seed % 2 == 0;
    scene.mGroup.Submit(kJob, { Step(60, 1'000) });
    scene.StartService();
    REQUIRE(scene.Send(wave_scene::Wave(3, 1)) == wave_reply::Accepted);
    scene.mGroup.Run(milliseconds(500 * seed));
    if (const auto leader = scene.mGroup.Leader()) {
      scene.mGroup.Kill(*leader, true);
      scene.mGroup.Run(seconds(2));
      scene.mGroup.Restart(*leader);
    }
    CHECK(scene.IsDoneWithin(seconds(80)));
    CHECK(scene.mService.Upkeeps() == 3);
    CHECK(scene.mService.mMostDown == 1);
    CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
  }
}

TEST_CASE("a wave ends no more tasks of a service than it may miss")
{
  // Guards against a service of which an upkeep takes two tasks at once. It is
  // down no longer than the tasks take to start elsewhere.
  wave_scene scene(5);
  for (std::size_t worker = 0; worker < 4; ++worker) {
    scene.mGroup.Worker(worker).mWorkTime = seconds(1'000);
  }
  step_spec service = Step(8, 1'000);
  service.mLongRunning = true;
  service.mHasMaxMisses = true;
  service.mMaxMisses = 1;
  service.mMaxPerWorker = 4;
  scene.mGroup.Submit(kJob, { service });
  scene.mGroup.Run(seconds(3));
  std::set<task_ref> away;
  std::size_t mostAway = 0;
  scene.mGroup.Oracle().mOnEnd = [&](const run_ref& aRun, run_outcome) {
    away.insert(aRun.mTask);
    mostAway = std::max(mostAway, away.size());
  };
  scene.mGroup.Oracle().mOnStart = [&](const run_ref& aRun) {
    away.erase(aRun.mTask);
  };
  scene.StartService();
  REQUIRE(scene.Send(wave_scene::Wave(4, 2)) == wave_reply::Accepted);
  CHECK(scene.IsDoneWithin(seconds(80)));
  CHECK(mostAway == 1);
  CHECK(away.empty());
  CHECK(scene.mService.Upkeeps() == 4);
  CHECK(scene.mService.mMostDown <= 2);
  CHECK(scene.mGroup.Oracle().Violations() == std::vector<std::string>{});
}

TEST_CASE("without a wave nothing is asked of the machine service")
{
  wave_scene scene(6);
  scene.mGroup.Submit(kJob, { Step(12, 1'000) });
  scene.mGroup.Run(seconds(5));
  CHECK(scene.mGroup.StateOf(kJob) == "done");
  CHECK(scene.mGroup.Oracle().Violations().empty());
}

} // namespace oriolewalk::flow
