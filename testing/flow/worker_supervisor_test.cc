#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/worker_supervisor.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;
using testing::Step;
using testing::Worker;

// One worker, one job, and a supervisor whose orders the test answers by hand.
struct keeper_scene
{
  state_builder mMade;
  worker_number mWorker = mMade.AddWorker(Worker("w"));
  job_id mJob = mMade.AddJob("00", { Step(4, 1'000) });
  flow_options mOptions;
  time_point mNow{ seconds(100) };
  worker_supervisor mKeeper{ mMade.mState, mOptions, 7, mNow, mNow };
  std::vector<worker_order> mSeen;
  std::vector<command_body> mCommands;

  void Advance(duration aBy)
  {
    constexpr milliseconds kTick{ 10 };
    for (const time_point until = mNow + aBy; mNow < until;) {
      mNow += kTick;
      mKeeper.Tick(mNow);
      Take();
    }
  }

  void Take()
  {
    for (worker_order& order : mKeeper.TakeOrders()) {
      mSeen.push_back(std::move(order));
    }
    for (command_body& body : mKeeper.TakeCommands()) {
      mCommands.push_back(std::move(body));
    }
  }

  // Removes and returns the oldest order of that kind.
  template<class Body>
  std::optional<worker_order> Next()
  {
    Take();
    const auto found = std::ranges::find_if(mSeen, [](const auto& aOrder) {
      return std::holds_alternative<Body>(aOrder.mBody);
    });
    if (found == mSeen.end()) {
      return std::nullopt;
    }
    worker_order order = *found;
    mSeen.erase(found);
    return order;
  }

  void Answer(const worker_order& aOrder, order_answer aAnswer)
  {
    aAnswer.mClockMs = 5'000;
    mKeeper.OnAnswer(aOrder.mId, aAnswer, mNow);
    Take();
  }

  static order_answer With(order_result aResult)
  {
    order_answer answer;
    answer.mResult = aResult;
    return answer;
  }

  static order_answer Showing(const std::vector<run_ref>& aRunning)
  {
    order_answer answer = With(order_result::Done);
    for (const run_ref& run : aRunning) {
      answer.mRunning.push_back({ run, {}, 100, 0 });
    }
    return answer;
  }

  // Answers the first poll under this fence.
  void Sync()
  {
    Advance(milliseconds(10));
    Answer(*Next<poll_order>(), Showing({}));
    mCommands.clear();
  }

  run_ref Begin(std::uint32_t aIndex = 0)
  {
    run_ref run = state_builder::Run(mJob, 1, aIndex);
    mMade.Start(run, mWorker);
    mKeeper.OnStartCommitted({ run, mWorker }, "ticket", mNow);
    return run;
  }

  // The start is answered as done, and the next poll is in flight.
  run_ref BeginRunning()
  {
    run_ref run = Begin();
    Answer(*Next<start_order>(), With(order_result::Done));
    Advance(milliseconds(10));
    return run;
  }

  [[nodiscard]] bool IsDropped(const run_ref& aRun) const
  {
    return std::ranges::any_of(mCommands, [&](const command_body& aBody) {
      const auto* drop = std::get_if<drop_runs>(&aBody);
      const auto* lost = std::get_if<mark_runs_lost>(&aBody);
      return (drop != nullptr && std::ranges::count(drop->mRuns, aRun) > 0) ||
             (lost != nullptr && std::ranges::count(lost->mRuns, aRun) > 0);
    });
  }
};

} // namespace

TEST_CASE("a run's checkpoint is saved before its worker is removed")
{
  // Guards against a task that restarts from the beginning: its worker dies
  // without listing an end, and the checkpoint from the last poll isn't
  // committed before the worker is removed.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.BeginRunning();
  order_answer shown = keeper_scene::Showing({ run });
  shown.mRunning[0].mCheckpoint = "half";
  scene.Answer(*scene.Next<poll_order>(), shown);
  scene.Advance(milliseconds(10));
  scene.mCommands.clear();
  scene.Answer(*scene.Next<poll_order>(),
               keeper_scene::With(order_result::OtherIncarnation));
  REQUIRE(scene.mCommands.size() == 3);
  const auto& keep = std::get<save_checkpoints>(scene.mCommands[0]);
  REQUIRE(keep.mRuns.size() == 1);
  CHECK(keep.mRuns[0].mRun == run);
  CHECK(keep.mRuns[0].mCheckpoint == "half");
  CHECK(std::holds_alternative<record_worker_crash>(scene.mCommands[1]));
  CHECK(std::holds_alternative<remove_worker>(scene.mCommands[2]));
}

TEST_CASE("the log shows what ran at a worker whose incarnation ended")
{
  // Guards against a crash that leaves no log line about the runs that were
  // there.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.BeginRunning();
  scene.Advance(milliseconds(500));
  scene.Answer(*scene.Next<poll_order>(), keeper_scene::Showing({ run }));
  scene.Advance(milliseconds(20));
  scene.mKeeper.TakeDecisions();
  scene.Answer(*scene.Next<poll_order>(),
               keeper_scene::With(order_result::OtherIncarnation));
  const std::vector<decision> notes = scene.mKeeper.TakeDecisions();
  REQUIRE(notes.size() == 2);
  CHECK(notes[0].mEvent == "worker.over");
  const auto& over = notes[0].mFields;
  CHECK(std::ranges::count(over,
                           std::pair<std::string_view, std::string>(
                             "known_by", "later life")) == 1);
  CHECK(notes[1].mEvent == "run.lost");
  const auto& lost = notes[1].mFields;
  CHECK(std::ranges::count(
          lost, std::pair<std::string_view, std::string>("ran_ms", "510")) ==
        1);
}

TEST_CASE("an answer to an order of an earlier term is ignored")
{
  // Guards against tasks that start a second time elsewhere: a process leads,
  // loses leadership and leads again while a poll of its first term waits at a
  // worker. The answer lists the worker's runs of that time; matched to an
  // order of the new term, it would show the current runs as absent.
  keeper_scene scene;
  scene.Advance(milliseconds(10));
  const worker_order earlier = *scene.Next<poll_order>();
  const run_ref run = state_builder::Run(scene.mJob, 1);
  scene.mMade.Start(run, scene.mWorker);
  worker_supervisor next(
    scene.mMade.mState, scene.mOptions, 9, scene.mNow, scene.mNow);
  next.Tick(scene.mNow);
  REQUIRE(next.TakeOrders().size() == 1);
  next.OnAnswer(earlier.mId, keeper_scene::Showing({}), scene.mNow);
  CHECK(next.TakeCommands().empty());
  CHECK_FALSE(next.IsUsable(scene.mWorker, scene.mNow));
}

TEST_CASE("a poll sent before a start was answered drops no run")
{
  // Guards against a task that starts a second time elsewhere: answers on two
  // connections overtake each other, and a poll that was sent before the start
  // was answered may not show the run yet.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.Begin();
  scene.Advance(milliseconds(10));
  const worker_order start = *scene.Next<start_order>();
  const worker_order look = *scene.Next<poll_order>();
  scene.Answer(start, keeper_scene::With(order_result::Done));
  scene.Answer(look, keeper_scene::Showing({}));
  CHECK_FALSE(scene.IsDropped(run));
  scene.Advance(milliseconds(10));
  scene.Answer(*scene.Next<poll_order>(), keeper_scene::Showing({}));
  CHECK(scene.IsDropped(run));
}

TEST_CASE("an unanswered start is withdrawn before its task starts again")
{
  // Guards against a task that runs twice: the worker leaves the order
  // unanswered and executes it seconds later. The stop prevents the attempt
  // there; the task may start elsewhere only after the stop was answered and a
  // later poll doesn't show the run.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.Begin();
  scene.Answer(*scene.Next<start_order>(),
               keeper_scene::With(order_result::NoAnswer));
  scene.Advance(scene.mOptions.mStartTimeout + milliseconds(20));
  const worker_order look = *scene.Next<poll_order>();
  scene.Answer(look, keeper_scene::Showing({}));
  CHECK_FALSE(scene.IsDropped(run));
  const auto stop = scene.Next<stop_order>();
  REQUIRE(stop);
  scene.Answer(*stop, keeper_scene::With(order_result::NoAnswer));
  scene.Advance(scene.mOptions.mStopRetryDelay + milliseconds(20));
  const auto again = scene.Next<stop_order>();
  REQUIRE(again);
  scene.Answer(*again, keeper_scene::With(order_result::Done));
  CHECK_FALSE(scene.IsDropped(run));
  scene.Advance(milliseconds(20));
  for (auto next = scene.Next<poll_order>(); next;
       next = scene.Next<poll_order>()) {
    scene.Answer(*next, keeper_scene::Showing({}));
  }
  scene.Advance(milliseconds(20));
  for (auto next = scene.Next<poll_order>(); next;
       next = scene.Next<poll_order>()) {
    scene.Answer(*next, keeper_scene::Showing({}));
  }
  CHECK(scene.IsDropped(run));
}

TEST_CASE("an unanswered start whose run a poll shows is kept")
{
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.Begin();
  scene.Answer(*scene.Next<start_order>(),
               keeper_scene::With(order_result::NoAnswer));
  scene.Advance(milliseconds(10));
  scene.Answer(*scene.Next<poll_order>(), keeper_scene::Showing({ run }));
  scene.Advance(scene.mOptions.mStartTimeout + milliseconds(20));
  CHECK_FALSE(scene.Next<stop_order>());
  // If a later poll doesn't show the run, it is dropped.
  scene.Answer(*scene.Next<poll_order>(), keeper_scene::Showing({}));
  CHECK(scene.IsDropped(run));
}

TEST_CASE("a refused start drops its run at once")
{
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.Begin();
  scene.Answer(*scene.Next<start_order>(),
               keeper_scene::With(order_result::TicketInvalid));
  CHECK(scene.IsDropped(run));
  CHECK(scene.mKeeper.TakeTicketRefusals().size() == 1);
}

TEST_CASE("runs on an unreachable worker are kept until their lease is over")
{
  // Guards against a task that runs twice: the worker is partitioned and its
  // runs go on. They may start elsewhere only when the lease is over on a clock
  // that may be slow, and a poll that might still reach the worker must not
  // renew the lease.
  keeper_scene scene;
  scene.Sync();
  scene.Advance(seconds(7)); // leases of an earlier leader are over
  const run_ref run = scene.BeginRunning();
  const worker_order first = *scene.Next<poll_order>();
  CHECK(first.mLeaseClockMs);
  const time_point given = scene.mNow;
  scene.Answer(first, keeper_scene::With(order_result::NoAnswer));
  while (scene.mNow < given + scene.mOptions.mLease * 1.02) {
    scene.Advance(milliseconds(50));
    while (const auto look = scene.Next<poll_order>()) {
      CHECK_FALSE(look->mLeaseClockMs);
      scene.Answer(*look, keeper_scene::With(order_result::NoAnswer));
    }
    CHECK_FALSE(scene.IsDropped(run));
  }
  CHECK_FALSE(scene.mKeeper.IsUsable(scene.mWorker, scene.mNow));
  scene.Advance(milliseconds(200));
  CHECK(scene.IsDropped(run));
}

TEST_CASE("a delayed leader drops no run of a worker in contact")
{
  // Guards against tasks that start again after their end as done was listed:
  // the leader has no time to read the answers, and mistakes its own delay for
  // the worker's silence.
  enum class heartbeats : std::uint8_t
  {
    None,
    DuringLooks,
    BetweenLooks,
  };
  const bool late = GENERATE(false, true);
  const auto heard = GENERATE(
    heartbeats::None, heartbeats::DuringLooks, heartbeats::BetweenLooks);
  CAPTURE(late, heard);
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.BeginRunning();
  const milliseconds tick(late ? 400 : 10);
  const milliseconds bound =
    scene.mOptions.mAnswerMargin + scene.mOptions.mLongPollWait;
  std::int64_t beat = 0;
  for (int looks = 0; looks < 8 && !scene.IsDropped(run); ++looks) {
    const auto look = scene.Next<poll_order>();
    for (const time_point until = scene.mNow + bound; scene.mNow < until;) {
      scene.mNow += tick;
      scene.mKeeper.Tick(scene.mNow);
      scene.Take();
    }
    if (heard == heartbeats::DuringLooks) {
      scene.mKeeper.OnHeartbeat(scene.mWorker, ++beat, 5'000, scene.mNow);
    }
    if (look) {
      scene.Answer(*look, keeper_scene::With(order_result::NoAnswer));
    }
    if (heard == heartbeats::BetweenLooks) {
      scene.mKeeper.OnHeartbeat(scene.mWorker, ++beat, 5'000, scene.mNow);
    }
  }
  CHECK(scene.IsDropped(run) == (!late || heard == heartbeats::None));
  if (late && heard == heartbeats::DuringLooks) {
    const auto look = scene.Next<poll_order>();
    REQUIRE(look);
    CHECK(look->mLeaseClockMs);
  }
}

TEST_CASE("a new leader inherits runs that a poll shows and drops the others")
{
  // The old leader committed two starts and died, and one of them reached the
  // worker. Under the new fence the other can no longer start.
  keeper_scene scene;
  const run_ref runs = state_builder::Run(scene.mJob, 1, 0);
  const run_ref never = state_builder::Run(scene.mJob, 1, 1);
  scene.mMade.Start(runs, scene.mWorker);
  scene.mMade.Start(never, scene.mWorker);
  worker_supervisor next(
    scene.mMade.mState, scene.mOptions, 8, scene.mNow, scene.mNow);
  next.Tick(scene.mNow);
  const auto orders = next.TakeOrders();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].mFence == FenceOf(8, scene.mWorker));
  CHECK_FALSE(next.IsUsable(scene.mWorker, scene.mNow));
  next.OnAnswer(orders[0].mId, keeper_scene::Showing({ runs }), scene.mNow);
  const auto commands = next.TakeCommands();
  REQUIRE(commands.size() == 1);
  CHECK(std::get<drop_runs>(commands[0]).mRuns == std::vector{ never });
}

TEST_CASE("a new leader waits for the longest lease of a silent worker")
{
  keeper_scene scene;
  scene.mMade.Start(state_builder::Run(scene.mJob, 1), scene.mWorker);
  worker_supervisor next(
    scene.mMade.mState, scene.mOptions, 8, scene.mNow, scene.mNow);
  const time_point begun = scene.mNow;
  const auto dropped = [&]() { return !next.TakeCommands().empty(); };
  for (time_point now = begun; now < begun + scene.mOptions.mMaxLease * 1.02;
       now += milliseconds(50)) {
    next.Tick(now);
    for (const worker_order& order : next.TakeOrders()) {
      next.OnAnswer(order.mId, keeper_scene::With(order_result::NoAnswer), now);
    }
    CHECK_FALSE(dropped());
  }
  next.Tick(begun + scene.mOptions.mMaxLease + milliseconds(300));
  CHECK(dropped());
}

TEST_CASE("an end is acknowledged to its worker only when it is committed")
{
  // Guards against a finished task that starts again: its end is acknowledged
  // and then lost with the leader.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.BeginRunning();
  order_answer ended = keeper_scene::Showing({});
  ended.mEnded.push_back({ 3, { run, run_outcome::Done, {} } });
  scene.Answer(*scene.Next<poll_order>(), ended);
  REQUIRE(scene.mCommands.size() == 1);
  scene.Advance(milliseconds(500));
  CHECK_FALSE(scene.Next<poll_order>()); // no poll until the ends are applied
  scene.mMade.Apply(scene.mCommands[0]);
  scene.mKeeper.OnEndsApplied(scene.mWorker, scene.mNow);
  scene.Advance(milliseconds(10));
  const auto look = scene.Next<poll_order>();
  REQUIRE(look);
  CHECK(std::get<poll_order>(look->mBody).mCursor == 3);
}

TEST_CASE("a later incarnation's lists drop no run of an earlier one")
{
  // Guards against a task that runs twice: the worker has restarted under its
  // id, and its first heartbeat is in transit. Its lists don't show runs whose
  // start is still in flight; applied to the former incarnation, they would let
  // those tasks start elsewhere at once.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.Begin();
  worker_description facts = Worker("w");
  facts.mProcessStartMs = 9'000;
  scene.mMade.Apply(register_worker{ facts, false });
  scene.mKeeper.OnRemoved(scene.mWorker);
  scene.mWorker = scene.mMade.mState.NumberOf(facts.mId);
  scene.mKeeper.OnRegistered(scene.mWorker, scene.mNow);
  scene.mSeen.clear();
  order_answer later = keeper_scene::Showing({});
  later.mProcessStartMs = 12'000; // it has restarted again since
  for (int looks = 0; looks < 3; ++looks) {
    scene.Advance(scene.mOptions.mPollRetryDelay + milliseconds(20));
    const auto look = scene.Next<poll_order>();
    REQUIRE(look);
    CHECK_FALSE(look->mLeaseClockMs);
    scene.Answer(*look, later);
    CHECK_FALSE(scene.IsDropped(run));
    CHECK_FALSE(scene.mKeeper.IsUsable(scene.mWorker, scene.mNow));
  }
  scene.Advance(scene.mOptions.mPollRetryDelay + milliseconds(20));
  const auto look = scene.Next<poll_order>();
  REQUIRE(look);
  order_answer own = keeper_scene::Showing({});
  own.mProcessStartMs = 9'000;
  scene.Answer(*look, own);
  CHECK(scene.IsDropped(run));
}

TEST_CASE("the cursor is sent only while its ends are still listed")
{
  // Guards against lost ends: a worker may restart at any moment, and the new
  // process would forget ends of its own up to a cursor of its former process.
  // So the cursor is sent only right after the worker listed the ends.
  keeper_scene scene;
  scene.Sync();
  const run_ref run = scene.BeginRunning();
  order_answer ended = keeper_scene::Showing({});
  ended.mEnded.push_back({ 3, { run, run_outcome::Done, {} } });
  const run_ref next = scene.Begin(1);
  scene.Answer(*scene.Next<poll_order>(), ended);
  scene.mMade.Apply(scene.mCommands.back());
  scene.mKeeper.OnEndsApplied(scene.mWorker, scene.mNow);
  const auto cursorOfNext = [&](const order_answer& aAnswer) {
    scene.Advance(scene.mOptions.mPollRetryDelay + milliseconds(20));
    const auto look = scene.Next<poll_order>();
    REQUIRE(look);
    const std::uint64_t named = std::get<poll_order>(look->mBody).mCursor;
    scene.Answer(*look, aAnswer);
    return named;
  };
  CHECK(cursorOfNext(keeper_scene::With(order_result::NoAnswer)) == 3);
  // That poll or its worker may have been lost, so the worker must list the
  // ends again.
  CHECK(cursorOfNext(ended) == 0);
  CHECK(cursorOfNext(keeper_scene::Showing({ next })) == 3);
  CHECK(cursorOfNext(keeper_scene::Showing({ next })) == 0);
}

TEST_CASE("another incarnation at the address ends the old one")
{
  keeper_scene scene;
  scene.Sync();
  scene.Begin();
  scene.Answer(*scene.Next<start_order>(),
               keeper_scene::With(order_result::OtherIncarnation));
  REQUIRE(scene.mCommands.size() == 2);
  CHECK(std::get<record_worker_crash>(scene.mCommands[0]).mWorker ==
        scene.mWorker);
  CHECK(std::get<remove_worker>(scene.mCommands[1]).mWorker == scene.mWorker);
}

TEST_CASE("a run that the state doesn't hold is stopped")
{
  keeper_scene scene;
  scene.Sync();
  const run_ref known = scene.BeginRunning();
  const run_ref stray = state_builder::Run(scene.mJob, 9, 2);
  scene.Answer(*scene.Next<poll_order>(),
               keeper_scene::Showing({ known, stray }));
  const auto stop = scene.Next<stop_order>();
  REQUIRE(stop);
  CHECK(std::get<stop_order>(stop->mBody).mRun == stray);
}

} // namespace oriolewalk::flow
