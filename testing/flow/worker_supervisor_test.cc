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
struct supervisor_fixture
{
  state_builder mBuilder;
  worker_number mWorker = mBuilder.AddWorker(Worker("w"));
  job_id mJob = mBuilder.AddJob("00", { Step(4, 1'000) });
  flow_options mOptions;
  time_point mNow{ seconds(100) };
  worker_supervisor mSupervisor{ mBuilder.mState, mOptions, 7, mNow };
  std::vector<worker_order> mOrders;
  std::vector<command_body> mCommands;

  void Advance(duration aBy)
  {
    constexpr milliseconds kTick{ 10 };
    for (const time_point until = mNow + aBy; mNow < until;) {
      mNow += kTick;
      mSupervisor.Tick(mNow);
      Take();
    }
  }

  void Take()
  {
    for (worker_order& order : mSupervisor.TakeOrders()) {
      mOrders.push_back(std::move(order));
    }
    for (command_body& body : mSupervisor.TakeCommands()) {
      mCommands.push_back(std::move(body));
    }
  }

  // Removes and returns the oldest order of that kind.
  template<class Body>
  std::optional<worker_order> Next()
  {
    Take();
    const auto found = std::ranges::find_if(mOrders, [](const auto& aOrder) {
      return std::holds_alternative<Body>(aOrder.mBody);
    });
    if (found == mOrders.end()) {
      return std::nullopt;
    }
    worker_order order = *found;
    mOrders.erase(found);
    return order;
  }

  void Answer(const worker_order& aOrder, order_answer aAnswer)
  {
    aAnswer.mClockMs = 5'000;
    mSupervisor.OnAnswer(aOrder.mId, aAnswer, mNow);
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

  // Answers the first poll under this fence, after a heartbeat.
  void Sync()
  {
    mSupervisor.OnHeartbeat(mWorker, 0, 0, mNow);
    Advance(milliseconds(10));
    Answer(*Next<poll_order>(), Showing({}));
    mCommands.clear();
  }

  run_ref Begin(std::uint32_t aIndex = 0)
  {
    run_ref run = state_builder::Run(mJob, 1, aIndex);
    mBuilder.Start(run, mWorker);
    mSupervisor.OnStartCommitted({ run, mWorker }, "ticket", mNow);
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
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.BeginRunning();
  order_answer shown = supervisor_fixture::Showing({ run });
  shown.mRunning[0].mCheckpoint = "half";
  fixture.Answer(*fixture.Next<poll_order>(), shown);
  fixture.Advance(milliseconds(10));
  fixture.mCommands.clear();
  fixture.Answer(*fixture.Next<poll_order>(),
                 supervisor_fixture::With(order_result::OtherIncarnation));
  REQUIRE(fixture.mCommands.size() == 3);
  const auto& save = std::get<save_checkpoints>(fixture.mCommands[0]);
  REQUIRE(save.mRuns.size() == 1);
  CHECK(save.mRuns[0].mRun == run);
  CHECK(save.mRuns[0].mCheckpoint == "half");
  CHECK(std::holds_alternative<record_worker_crash>(fixture.mCommands[1]));
  CHECK(std::holds_alternative<remove_worker>(fixture.mCommands[2]));
}

TEST_CASE("the log shows what ran at a worker whose incarnation ended")
{
  // Guards against a crash that leaves no log line about the runs that were
  // there.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.BeginRunning();
  fixture.Advance(milliseconds(500));
  fixture.Answer(*fixture.Next<poll_order>(),
                 supervisor_fixture::Showing({ run }));
  fixture.Advance(milliseconds(20));
  fixture.mSupervisor.TakeDecisions();
  fixture.Answer(*fixture.Next<poll_order>(),
                 supervisor_fixture::With(order_result::OtherIncarnation));
  const std::vector<decision> decisions = fixture.mSupervisor.TakeDecisions();
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].mEvent == "worker.over");
  const auto& ended = decisions[0].mFields;
  CHECK(std::ranges::count(ended,
                           std::pair<std::string_view, std::string>(
                             "known_by", "later life")) == 1);
  CHECK(decisions[1].mEvent == "run.lost");
  const auto& lost = decisions[1].mFields;
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
  supervisor_fixture fixture;
  fixture.Advance(milliseconds(10));
  const worker_order earlier = *fixture.Next<poll_order>();
  const run_ref run = state_builder::Run(fixture.mJob, 1);
  fixture.mBuilder.Start(run, fixture.mWorker);
  worker_supervisor next(
    fixture.mBuilder.mState, fixture.mOptions, 9, fixture.mNow);
  next.Tick(fixture.mNow);
  REQUIRE(next.TakeOrders().size() == 1);
  next.OnAnswer(earlier.mId, supervisor_fixture::Showing({}), fixture.mNow);
  CHECK(next.TakeCommands().empty());
  CHECK_FALSE(next.IsUsable(fixture.mWorker, fixture.mNow));
}

TEST_CASE("a poll sent before a start was answered drops no run")
{
  // Guards against a task that starts a second time elsewhere: answers on two
  // connections overtake each other, and a poll that was sent before the start
  // was answered may not show the run yet.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.Begin();
  fixture.Advance(milliseconds(10));
  const worker_order start = *fixture.Next<start_order>();
  const worker_order poll = *fixture.Next<poll_order>();
  fixture.Answer(start, supervisor_fixture::With(order_result::Done));
  fixture.Answer(poll, supervisor_fixture::Showing({}));
  CHECK_FALSE(fixture.IsDropped(run));
  fixture.Advance(milliseconds(10));
  fixture.Answer(*fixture.Next<poll_order>(), supervisor_fixture::Showing({}));
  CHECK(fixture.IsDropped(run));
}

TEST_CASE("an unanswered start is withdrawn before its task starts again")
{
  // Guards against a task that runs twice: the worker leaves the order
  // unanswered and executes it seconds later. The stop prevents the attempt
  // there; the task may start elsewhere only after the stop was answered and a
  // later poll doesn't show the run.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.Begin();
  fixture.Answer(*fixture.Next<start_order>(),
                 supervisor_fixture::With(order_result::NoAnswer));
  fixture.Advance(fixture.mOptions.mStartTimeout + milliseconds(20));
  const worker_order poll = *fixture.Next<poll_order>();
  fixture.Answer(poll, supervisor_fixture::Showing({}));
  CHECK_FALSE(fixture.IsDropped(run));
  const auto stop = fixture.Next<stop_order>();
  REQUIRE(stop);
  fixture.Answer(*stop, supervisor_fixture::With(order_result::NoAnswer));
  fixture.Advance(fixture.mOptions.mStopRetryDelay + milliseconds(20));
  const auto again = fixture.Next<stop_order>();
  REQUIRE(again);
  fixture.Answer(*again, supervisor_fixture::With(order_result::Done));
  CHECK_FALSE(fixture.IsDropped(run));
  fixture.Advance(milliseconds(20));
  for (auto next = fixture.Next<poll_order>(); next;
       next = fixture.Next<poll_order>()) {
    fixture.Answer(*next, supervisor_fixture::Showing({}));
  }
  fixture.Advance(milliseconds(20));
  for (auto next = fixture.Next<poll_order>(); next;
       next = fixture.Next<poll_order>()) {
    fixture.Answer(*next, supervisor_fixture::Showing({}));
  }
  CHECK(fixture.IsDropped(run));
}

TEST_CASE("an unanswered start whose run a poll shows is kept")
{
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.Begin();
  fixture.Answer(*fixture.Next<start_order>(),
                 supervisor_fixture::With(order_result::NoAnswer));
  fixture.Advance(milliseconds(10));
  fixture.Answer(*fixture.Next<poll_order>(),
                 supervisor_fixture::Showing({ run }));
  fixture.Advance(fixture.mOptions.mStartTimeout + milliseconds(20));
  CHECK_FALSE(fixture.Next<stop_order>());
  // If a later poll doesn't show the run, it is dropped.
  fixture.Answer(*fixture.Next<poll_order>(), supervisor_fixture::Showing({}));
  CHECK(fixture.IsDropped(run));
}

TEST_CASE("a refused start drops its run at once")
{
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.Begin();
  fixture.Answer(*fixture.Next<start_order>(),
                 supervisor_fixture::With(order_result::TicketInvalid));
  CHECK(fixture.IsDropped(run));
  CHECK(fixture.mSupervisor.TakeTicketRefusals().size() == 1);
}

TEST_CASE("runs on an unreachable worker are kept until their lease is over")
{
  // Guards against a task that runs twice: the worker is partitioned and its
  // runs go on. They may start elsewhere only when the lease is over on a clock
  // that may be slow, and a poll that might still reach the worker must not
  // renew the lease.
  supervisor_fixture fixture;
  fixture.Sync();
  fixture.Advance(seconds(7)); // leases of an earlier leader are over
  const run_ref run = fixture.BeginRunning();
  const worker_order first = *fixture.Next<poll_order>();
  CHECK(first.mLeaseClockMs);
  const time_point given = fixture.mNow;
  fixture.Answer(first, supervisor_fixture::With(order_result::NoAnswer));
  while (fixture.mNow < given + fixture.mOptions.mLease * 1.02) {
    fixture.Advance(milliseconds(50));
    while (const auto poll = fixture.Next<poll_order>()) {
      CHECK_FALSE(poll->mLeaseClockMs);
      fixture.Answer(*poll, supervisor_fixture::With(order_result::NoAnswer));
    }
    CHECK_FALSE(fixture.IsDropped(run));
  }
  CHECK_FALSE(fixture.mSupervisor.IsUsable(fixture.mWorker, fixture.mNow));
  fixture.Advance(milliseconds(200));
  CHECK(fixture.IsDropped(run));
}

TEST_CASE("a delayed leader drops no run of a worker in contact")
{
  // Guards against tasks that start again after their end as done was listed:
  // the leader has no time to read the answers, and mistakes its own delay for
  // the worker's silence.
  enum class heartbeats : std::uint8_t
  {
    None,
    DuringPolls,
    BetweenPolls,
  };
  const bool isDelayed = GENERATE(false, true);
  const auto contact = GENERATE(
    heartbeats::None, heartbeats::DuringPolls, heartbeats::BetweenPolls);
  CAPTURE(isDelayed, contact);
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.BeginRunning();
  const milliseconds tick(isDelayed ? 400 : 10);
  const milliseconds bound =
    fixture.mOptions.mAnswerMargin + fixture.mOptions.mLongPollWait;
  std::int64_t heartbeat = 0;
  for (int polls = 0; polls < 8 && !fixture.IsDropped(run); ++polls) {
    const auto poll = fixture.Next<poll_order>();
    for (const time_point until = fixture.mNow + bound; fixture.mNow < until;) {
      fixture.mNow += tick;
      fixture.mSupervisor.Tick(fixture.mNow);
      fixture.Take();
    }
    if (contact == heartbeats::DuringPolls) {
      fixture.mSupervisor.OnHeartbeat(
        fixture.mWorker, ++heartbeat, 5'000, fixture.mNow);
    }
    if (poll) {
      fixture.Answer(*poll, supervisor_fixture::With(order_result::NoAnswer));
    }
    if (contact == heartbeats::BetweenPolls) {
      fixture.mSupervisor.OnHeartbeat(
        fixture.mWorker, ++heartbeat, 5'000, fixture.mNow);
    }
  }
  CHECK(fixture.IsDropped(run) == (!isDelayed || contact == heartbeats::None));
  if (isDelayed && contact == heartbeats::DuringPolls) {
    const auto poll = fixture.Next<poll_order>();
    REQUIRE(poll);
    CHECK(poll->mLeaseClockMs);
  }
}

TEST_CASE("a new leader inherits runs that a poll shows and drops the others")
{
  // The old leader committed two starts and died, and one of them reached the
  // worker. Under the new fence the other can no longer start.
  supervisor_fixture fixture;
  const run_ref running = state_builder::Run(fixture.mJob, 1, 0);
  const run_ref notStarted = state_builder::Run(fixture.mJob, 1, 1);
  fixture.mBuilder.Start(running, fixture.mWorker);
  fixture.mBuilder.Start(notStarted, fixture.mWorker);
  worker_supervisor next(
    fixture.mBuilder.mState, fixture.mOptions, 8, fixture.mNow);
  next.Tick(fixture.mNow);
  const auto orders = next.TakeOrders();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].mFence == FenceOf(8, fixture.mWorker));
  CHECK_FALSE(next.IsUsable(fixture.mWorker, fixture.mNow));
  next.OnAnswer(
    orders[0].mId, supervisor_fixture::Showing({ running }), fixture.mNow);
  const auto commands = next.TakeCommands();
  REQUIRE(commands.size() == 1);
  CHECK(std::get<drop_runs>(commands[0]).mRuns == std::vector{ notStarted });
}

TEST_CASE("a new leader waits for the longest lease of a silent worker")
{
  supervisor_fixture fixture;
  fixture.mBuilder.Start(state_builder::Run(fixture.mJob, 1), fixture.mWorker);
  worker_supervisor next(
    fixture.mBuilder.mState, fixture.mOptions, 8, fixture.mNow);
  const time_point begun = fixture.mNow;
  const auto dropped = [&]() { return !next.TakeCommands().empty(); };
  for (time_point now = begun; now < begun + fixture.mOptions.mMaxLease * 1.02;
       now += milliseconds(50)) {
    next.Tick(now);
    for (const worker_order& order : next.TakeOrders()) {
      next.OnAnswer(
        order.mId, supervisor_fixture::With(order_result::NoAnswer), now);
    }
    CHECK_FALSE(dropped());
  }
  next.Tick(begun + fixture.mOptions.mMaxLease + milliseconds(300));
  CHECK(dropped());
}

TEST_CASE("an end is acknowledged to its worker only when it is committed")
{
  // Guards against a finished task that starts again: its end is acknowledged
  // and then lost with the leader.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.BeginRunning();
  order_answer ended = supervisor_fixture::Showing({});
  ended.mEnded.push_back({ 3, { run, run_outcome::Done, {} } });
  fixture.Answer(*fixture.Next<poll_order>(), ended);
  REQUIRE(fixture.mCommands.size() == 1);
  fixture.Advance(milliseconds(500));
  CHECK_FALSE(fixture.Next<poll_order>()); // no poll until the ends are applied
  fixture.mBuilder.Apply(fixture.mCommands[0]);
  fixture.mSupervisor.OnEndsApplied(fixture.mWorker, fixture.mNow);
  fixture.Advance(milliseconds(10));
  const auto poll = fixture.Next<poll_order>();
  REQUIRE(poll);
  CHECK(std::get<poll_order>(poll->mBody).mCursor == 3);
}

TEST_CASE("a later incarnation's lists drop no run of an earlier one")
{
  // Guards against a task that runs twice: the worker has restarted under its
  // id, and its first heartbeat is in transit. Its lists don't show runs whose
  // start is still in flight; applied to the former incarnation, they would let
  // those tasks start elsewhere at once.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.Begin();
  worker_description description = Worker("w");
  description.mProcessStartMs = 9'000;
  fixture.mBuilder.Apply(register_worker{ description, false });
  fixture.mSupervisor.OnRemoved(fixture.mWorker);
  fixture.mWorker = fixture.mBuilder.mState.NumberOf(description.mId);
  fixture.mSupervisor.OnRegistered(fixture.mWorker, fixture.mNow);
  fixture.mOrders.clear();
  order_answer later = supervisor_fixture::Showing({});
  later.mProcessStartMs = 12'000; // it has restarted again since
  for (int polls = 0; polls < 3; ++polls) {
    fixture.Advance(fixture.mOptions.mPollRetryDelay + milliseconds(20));
    const auto poll = fixture.Next<poll_order>();
    REQUIRE(poll);
    CHECK_FALSE(poll->mLeaseClockMs);
    fixture.Answer(*poll, later);
    CHECK_FALSE(fixture.IsDropped(run));
    CHECK_FALSE(fixture.mSupervisor.IsUsable(fixture.mWorker, fixture.mNow));
  }
  fixture.Advance(fixture.mOptions.mPollRetryDelay + milliseconds(20));
  const auto poll = fixture.Next<poll_order>();
  REQUIRE(poll);
  order_answer own = supervisor_fixture::Showing({});
  own.mProcessStartMs = 9'000;
  fixture.Answer(*poll, own);
  CHECK(fixture.IsDropped(run));
}

TEST_CASE("the cursor is sent only while its ends are still listed")
{
  // Guards against lost ends: a worker may restart at any moment, and the new
  // process would forget ends of its own up to a cursor of its former process.
  // So the cursor is sent only right after the worker listed the ends.
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref run = fixture.BeginRunning();
  order_answer ended = supervisor_fixture::Showing({});
  ended.mEnded.push_back({ 3, { run, run_outcome::Done, {} } });
  const run_ref next = fixture.Begin(1);
  fixture.Answer(*fixture.Next<poll_order>(), ended);
  fixture.mBuilder.Apply(fixture.mCommands.back());
  fixture.mSupervisor.OnEndsApplied(fixture.mWorker, fixture.mNow);
  const auto cursorOfNextPoll = [&](const order_answer& aAnswer) {
    fixture.Advance(fixture.mOptions.mPollRetryDelay + milliseconds(20));
    const auto poll = fixture.Next<poll_order>();
    REQUIRE(poll);
    const std::uint64_t cursor = std::get<poll_order>(poll->mBody).mCursor;
    fixture.Answer(*poll, aAnswer);
    return cursor;
  };
  CHECK(cursorOfNextPoll(supervisor_fixture::With(order_result::NoAnswer)) ==
        3);
  // That poll or its worker may have been lost, so the worker must list the
  // ends again.
  CHECK(cursorOfNextPoll(ended) == 0);
  CHECK(cursorOfNextPoll(supervisor_fixture::Showing({ next })) == 3);
  CHECK(cursorOfNextPoll(supervisor_fixture::Showing({ next })) == 0);
}

TEST_CASE("another incarnation at the address ends the old one")
{
  supervisor_fixture fixture;
  fixture.Sync();
  fixture.Begin();
  fixture.Answer(*fixture.Next<start_order>(),
                 supervisor_fixture::With(order_result::OtherIncarnation));
  REQUIRE(fixture.mCommands.size() == 2);
  CHECK(std::get<record_worker_crash>(fixture.mCommands[0]).mWorker ==
        fixture.mWorker);
  CHECK(std::get<remove_worker>(fixture.mCommands[1]).mWorker ==
        fixture.mWorker);
}

TEST_CASE("a run that the state doesn't hold is stopped")
{
  supervisor_fixture fixture;
  fixture.Sync();
  const run_ref known = fixture.BeginRunning();
  const run_ref stray = state_builder::Run(fixture.mJob, 9, 2);
  fixture.Answer(*fixture.Next<poll_order>(),
                 supervisor_fixture::Showing({ known, stray }));
  const auto stop = fixture.Next<stop_order>();
  REQUIRE(stop);
  CHECK(std::get<stop_order>(stop->mBody).mRun == stray);
}

} // namespace oriolewalk::flow
