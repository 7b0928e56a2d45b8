// The log entries of a leader for the ends of runs, counted.

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/leader_core.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;
using testing::Step;
using testing::Worker;

constexpr std::uint32_t kWorkers = 3;

// A leader of workers that run a task each. Proposals are kept, not applied.
struct leader_fixture
{
  state_builder mBuilder;
  std::vector<run_start> mRuns;
  std::vector<command_body> mProposed;
  time_point mNow{ seconds(100) };
  std::optional<leader_core> mLeader;

  leader_fixture()
  {
    const job_id job = mBuilder.AddJob("j", { Step(kWorkers, 1'000) });
    for (std::uint32_t task = 0; task < kWorkers; ++task) {
      worker_description worker = Worker("w" + std::to_string(task));
      worker.mAddress = worker.mId.Value() + ":80";
      const worker_number number = mBuilder.AddWorker(worker);
      mRuns.push_back({ state_builder::Run(job, 1, task), number });
      mBuilder.Start(mRuns.back().mRun, number);
    }
    leader_port port;
    port.mPropose = [this](command_body aBody, const auto& /*aThen*/) {
      mProposed.push_back(std::move(aBody));
      return true;
    };
    port.mLogDecision = [](const decision&) {};
    port.mMembers = []() { return std::vector<std::string>{ "self" }; };
    mLeader.emplace(mBuilder.mState,
                    flow_options{},
                    std::move(port),
                    7,
                    instant{ mNow, 1'000 });
  }

  void TickEvery(milliseconds aInterval)
  {
    constexpr int kTicks = 100;
    for (int tick = 0; tick < kTicks; ++tick) {
      Tick(aInterval);
    }
  }

  void Tick(milliseconds aInterval)
  {
    mNow += aInterval;
    mLeader->SetTime({ mNow, 1'000 });
    mLeader->Tick();
  }

  // Each worker answers its poll with the end of its run.
  void AnswerPolls()
  {
    for (const worker_order& order : mLeader->TakeOrders()) {
      if (!std::holds_alternative<poll_order>(order.mBody)) {
        continue;
      }
      order_answer answer;
      answer.mResult = order_result::Done;
      answer.mClockMs = 0;
      for (const run_start& start : mRuns) {
        if (start.mWorker == order.mWorker) {
          answer.mEnded.push_back({ 1, { start.mRun, run_outcome::Done, {} } });
        }
      }
      mLeader->OnOrderAnswer(order.mId, answer);
    }
  }
};

} // namespace

TEST_CASE("ends are proposed at once by a leader that keeps up")
{
  leader_fixture fixture;
  fixture.TickEvery(milliseconds(10));
  fixture.AnswerPolls();
  REQUIRE(fixture.mProposed.size() == kWorkers);
  CHECK(std::holds_alternative<end_runs>(fixture.mProposed.front()));
}

TEST_CASE(
  "a leader that falls behind proposes the ends of all workers together")
{
  // Guards against a log that takes the processor that the leader lacks.
  leader_fixture fixture;
  fixture.TickEvery(milliseconds(40));
  fixture.AnswerPolls();
  CHECK(fixture.mProposed.empty());
  fixture.Tick(milliseconds(40));
  REQUIRE(fixture.mProposed.size() == 1);
  const auto* ends =
    std::get_if<end_runs_on_workers>(&fixture.mProposed.front());
  REQUIRE(ends != nullptr);
  CHECK(ends->mWorkers.size() == kWorkers);
}

} // namespace oriolewalk::flow
