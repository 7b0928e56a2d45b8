// Every fault at every step of a request, judged by what the caller sees.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testing/system/fake_cell.h"

namespace oriolewalk::testing {
namespace {

constexpr seconds kElection{ 3 };
constexpr seconds kLong{ 30 };

std::unique_ptr<fake_cell>
MakeCell(std::uint64_t aSeed = 1, std::size_t aControls = 3)
{
  auto cell = std::make_unique<fake_cell>(aControls, aSeed);
  cell->AddEntry("e1");
  cell->AddEntry("e2");
  cell->AddTarget("t1", 8);
  cell->AddTarget("t2", 8);
  cell->Run(kElection);
  REQUIRE(cell->Leader());
  return cell;
}

bool
RunToAnswer(fake_cell& aCell, std::size_t aCall)
{
  return aCell.RunUntil([&]() { return aCell.Answer(aCall).has_value(); },
                        kLong);
}

TEST_CASE("a request is served, and its resend gets the same answer")
{
  auto cell = MakeCell();
  const std::size_t first = cell->Send("e1", {});
  REQUIRE(RunToAnswer(*cell, first));
  CHECK(cell->Outcome(first) == "completed");
  const std::size_t resend = cell->Send("e2", {});
  REQUIRE(RunToAnswer(*cell, resend));
  CHECK(cell->Outcome(resend) == "completed");
  CHECK(cell->Answer(resend)->Find("Oriole-Replayed") == "yes");
  CHECK(cell->RunsOf("k") == 1);
  CHECK(cell->Audit().empty());
}

TEST_CASE("a leader goes on leading while it commits")
{
  // The commit index runs ahead of what is applied for a moment with each
  // commit. A leader that took this for the start of a term dropped all that
  // waited, forgot its targets, and refused the next two seconds of requests.
  auto cell = MakeCell();
  for (int request = 0; request < 50; ++request) {
    send_request next;
    next.mKey = "k" + std::to_string(request);
    const std::size_t call = cell->Send("e1", next);
    REQUIRE(RunToAnswer(*cell, call));
    REQUIRE(cell->Outcome(call) == "completed");
  }
  CHECK(std::ranges::count(cell->Events(), "leads ") == 1);
}

struct fault
{
  std::string mName;
  std::function<void(fake_cell&)> mStart;
  std::function<void(fake_cell&)> mEnd; // after ten seconds
};

std::vector<fault>
Faults()
{
  static std::size_t sLeader = 0;
  const auto leader = [](fake_cell& aCell) {
    sLeader = aCell.Leader().value_or(0);
    return sLeader;
  };
  const auto nothing = [](fake_cell&) {};
  return {
    { "none", nothing, nothing },
    { "leader killed",
      [leader](fake_cell& aCell) { aCell.Crash(leader(aCell)); },
      [](fake_cell& aCell) { aCell.Restart(sLeader); } },
    { "leader killed, disk lost",
      [leader](fake_cell& aCell) {
        aCell.Crash(leader(aCell));
        aCell.LoseDisk(sLeader);
      },
      [](fake_cell& aCell) { aCell.Restart(sLeader); } },
    { "leader cut off",
      [leader](fake_cell& aCell) { aCell.Cut(leader(aCell), true); },
      [](fake_cell& aCell) { aCell.Cut(sLeader, false); } },
    { "leader paused",
      [leader](fake_cell& aCell) { aCell.Pause(leader(aCell), true); },
      [](fake_cell& aCell) { aCell.Pause(sLeader, false); } },
    { "all control killed",
      [](fake_cell& aCell) {
        for (std::size_t control = 0; control < 3; ++control) {
          aCell.Crash(control);
        }
      },
      [](fake_cell& aCell) {
        for (std::size_t control = 0; control < 3; ++control) {
          aCell.Restart(control);
        }
      } },
    { "entry killed",
      [](fake_cell& aCell) { aCell.CrashEntry("e1"); },
      nothing },
    { "entry paused",
      [](fake_cell& aCell) { aCell.PauseEntry("e1", true); },
      [](fake_cell& aCell) { aCell.PauseEntry("e1", false); } },
    { "target refuses",
      [](fake_cell& aCell) {
        aCell.SetMood("t1", target_mood::Refuses);
        aCell.SetMood("t2", target_mood::Refuses);
      },
      [](fake_cell& aCell) {
        aCell.SetMood("t1", target_mood::Serves);
        aCell.SetMood("t2", target_mood::Serves);
      } },
    { "target cuts the answer",
      [](fake_cell& aCell) {
        aCell.SetMood("t1", target_mood::CutsAnswers);
        aCell.SetMood("t2", target_mood::CutsAnswers);
      },
      [](fake_cell& aCell) {
        aCell.SetMood("t1", target_mood::Serves);
        aCell.SetMood("t2", target_mood::Serves);
      } },
  };
}

const std::array<std::string, 4> kSteps = { "claiming",
                                            "forwarding",
                                            "reporting",
                                            "answered" };

struct matrix_cell
{
  std::string mFirst;
  std::string mDuring; // a resend while the fault lasts
  std::string mAfter;  // a resend after it
  std::size_t mRuns = 0;

  [[nodiscard]] std::string ToString() const
  {
    return mFirst + " / " + mDuring + " / " + mAfter + " / " +
           std::to_string(mRuns);
  }
};

matrix_cell
RunCell(const fault& aFault, const std::string& aStep, bool aRepeatable)
{
  auto cell = MakeCell();
  send_request request;
  request.mRepeatable = aRepeatable;
  const std::size_t first = cell->Send("e1", request);
  REQUIRE(
    cell->RunUntil([&]() { return cell->StepOf(first) == aStep; }, kLong));
  aFault.mStart(*cell);
  cell->Run(seconds(4));
  const std::size_t during = cell->Send("e2", request);
  cell->Run(seconds(6));
  aFault.mEnd(*cell);
  cell->Run(seconds(10));
  const std::size_t after = cell->Send("e2", request);
  cell->Run(seconds(10));
  INFO(aFault.mName << " at " << aStep);
  CHECK(cell->Audit().empty());
  CHECK(cell->Audit() == "");
  // Whatever happened, the last resend is answered, and the cell serves others.
  CHECK(cell->Answer(after));
  send_request other;
  other.mKey = "other";
  const std::size_t later = cell->Send("e2", other);
  CHECK(RunToAnswer(*cell, later));
  CHECK(cell->Outcome(later) == "completed");
  return { cell->Outcome(first),
           cell->Outcome(during),
           cell->Outcome(after),
           cell->RunsOf("k") };
}

std::string
MatrixText()
{
  std::string text =
    "| fault | step | first answer / resend during / resend after / runs |\n"
    "| --- | --- | --- |\n";
  for (const fault& one : Faults()) {
    for (const std::string& step : kSteps) {
      text += "| " + one.mName + " | " + step + " | " +
              RunCell(one, step, false).ToString() + " |\n";
    }
  }
  return text;
}

TEST_CASE("fault matrix of a request that must not run twice")
{
  // For each fault at each step: what its caller got, what a resend with the
  // same key through another entry got during the fault and after it, and how
  // often the work ran. The audit in RunCell holds for every cell; the table
  // is compared with the page, so that a change of behaviour is seen.
  const std::string text = MatrixText();
  if (const char* path = std::getenv("ORIOLE_WRITE_MATRIX")) {
    std::ofstream(path) << text;
  }
  std::ifstream page(std::string(ORIOLE_SOURCE_FOLDER) +
                     "/docs/FAULTS-REQUESTS.md");
  const std::string whole((std::istreambuf_iterator<char>(page)), {});
  CHECK(whole.find(text) != std::string::npos);
}

TEST_CASE("faults at a repeatable request keep the promises too")
{
  for (const fault& one : Faults()) {
    for (const std::string& step : kSteps) {
      RunCell(one, step, true);
    }
  }
}

TEST_CASE("a target that leaves gets nothing new, what runs goes on")
{
  auto cell = MakeCell();
  const std::size_t first = cell->Send("e1", {});
  REQUIRE(cell->RunUntil([&]() { return cell->StepOf(first) == "forwarding"; },
                         kLong));
  cell->LeaveTarget("t1");
  cell->LeaveTarget("t2");
  cell->Run(milliseconds(10));
  const std::size_t runs = cell->Runs().size();
  for (int request = 0; request < 20; ++request) {
    send_request next;
    next.mKey = "k" + std::to_string(request);
    next.mDeadline = milliseconds(500);
    cell->Send("e2", next);
  }
  cell->Run(seconds(2));
  CHECK(cell->Runs().size() == runs);
  CHECK(cell->Outcome(first) == "completed");
}

TEST_CASE("nothing runs on the word of a leader that cannot commit")
{
  // All messages between the control processes are lost, and the leader does
  // not know it yet. A caller's request is claimed by it, and it is killed. If
  // it had granted the claim before a majority had it, the target would have
  // run the payment, and the next leader, which has never heard of the key,
  // would run it again for the resend.
  auto cell = MakeCell();
  cell->DisturbNetwork(1, 0);
  const std::size_t first = cell->Send("e1", {});
  cell->Run(milliseconds(150));
  CHECK(cell->RunsOf("k") == 0);
  const std::size_t old = cell->Leader().value_or(0);
  cell->Crash(old);
  cell->DisturbNetwork(0, 0);
  cell->Run(seconds(5));
  const std::size_t resend = cell->Send("e2", {});
  REQUIRE(RunToAnswer(*cell, resend));
  CHECK(cell->Outcome(resend) == "completed");
  CHECK(cell->Outcome(first) == "completed");
  CHECK(cell->RunsOf("k") == 1);
  CHECK(cell->Audit() == "");
}

// Fills both targets with work of e1 that goes on for twelve seconds. Quick
// work comes first: while nothing is measured, the policy keeps half of the
// slots from work that may turn out long.
void
FillTargets(fake_cell& aCell)
{
  for (int request = 0; request < 40; ++request) {
    send_request quick;
    quick.mKey = "q" + std::to_string(request);
    quick.mClass = traffic::work_class::Urgent;
    REQUIRE(RunToAnswer(aCell, aCell.Send("e1", quick)));
  }
  const std::size_t before = aCell.Runs().size();
  aCell.SetMood("t1", target_mood::Stalls);
  aCell.SetMood("t2", target_mood::Stalls);
  for (int request = 0; request < 16; ++request) {
    send_request stalled;
    stalled.mKey = "s" + std::to_string(request);
    stalled.mDeadline = seconds(12);
    stalled.mClass = traffic::work_class::Urgent;
    aCell.Send("e1", stalled);
  }
  aCell.Run(milliseconds(200));
  REQUIRE(aCell.Runs().size() == before + 16);
  aCell.SetMood("t1", target_mood::Serves);
  aCell.SetMood("t2", target_mood::Serves);
}

// Sends as much again through e2: none of it may come on top.
void
CheckNothingOnTop(fake_cell& aCell)
{
  for (int request = 0; request < 16; ++request) {
    send_request next;
    next.mKey = "n" + std::to_string(request);
    next.mDeadline = seconds(2);
    next.mClass = traffic::work_class::Urgent;
    aCell.Send("e2", next);
  }
  aCell.Run(seconds(3));
  CHECK(aCell.Audit() == "");
  aCell.Run(seconds(5));
  send_request last;
  last.mKey = "last";
  const std::size_t served = aCell.Send("e2", last);
  REQUIRE(RunToAnswer(aCell, served));
  CHECK(aCell.Outcome(served) == "completed");
}

TEST_CASE("a slot stays taken until a lost entry's deadline has passed")
{
  // An entry is killed with requests on its targets. After the grace the
  // ledger says "unknown", but the targets still work on them: another entry's
  // requests must not come on top, or a target has more work than slots.
  auto cell = MakeCell();
  FillTargets(*cell);
  cell->CrashEntry("e1");
  cell->Run(seconds(7));
  CheckNothingOnTop(*cell);
}

TEST_CASE("a new leader knows which slots the old one's claims hold")
{
  // The leader is killed while the targets are full. The next one hears the
  // targets' renewals, which say nothing of what they run: it must take that
  // from the ledger, or it gives every slot away a second time.
  auto cell = MakeCell();
  FillTargets(*cell);
  cell->Crash(cell->Leader().value_or(0));
  cell->Run(seconds(4));
  CheckNothingOnTop(*cell);
}

TEST_CASE("a leader that was paused answers nothing before it knows better")
{
  // A leader is stopped for a second and gets an operator's question as the
  // first thing when it wakes, before its own tick. Another leader may have
  // accepted a new table meanwhile: it must not answer from its old state.
  auto cell = MakeCell();
  const std::size_t leader = cell->Leader().value_or(0);
  control::control_core& core = cell->Core(leader);
  const time_point woken = cell->Now() + seconds(1);
  protocol::operator_request read;
  read.mMethod = "GET";
  read.mPath = "/v1/weights";
  const control::call_id call(1'000'000);
  core.Ask(call, read, woken, 1'700'000'100'000);
  const control::control_effects out =
    core.TakeEffects(woken, 1'700'000'100'000);
  const auto reply =
    std::ranges::find(out.mReplies, call, &control::call_reply::mCall);
  REQUIRE(reply != out.mReplies.end());
  REQUIRE_FALSE(reply->mAnswer);
  CHECK(reply->mAnswer.error().mCode == error_code::NotLeader);
}

TEST_CASE("what expires in the queue is told not-run, and never runs later")
{
  // All slots are held by a stalled target; the request's deadline passes in
  // the queue. Its caller is told "not-run", which is on record; when the
  // target serves again, a late copy of the request must not run.
  auto cell = MakeCell();
  cell->SetMood("t1", target_mood::Stalls);
  cell->SetMood("t2", target_mood::Stalls);
  for (int request = 0; request < 16; ++request) {
    send_request blocker;
    blocker.mKey = "b" + std::to_string(request);
    cell->Send("e1", blocker);
  }
  cell->Run(milliseconds(50));
  send_request request;
  request.mDeadline = milliseconds(400);
  const std::size_t first = cell->Send("e1", request);
  REQUIRE(RunToAnswer(*cell, first));
  cell->Run(seconds(5));
  cell->SetMood("t1", target_mood::Serves);
  cell->SetMood("t2", target_mood::Serves);
  const std::size_t second = cell->Send("e2", request);
  REQUIRE(RunToAnswer(*cell, second));
  if (cell->Outcome(first) == "not-run") {
    CHECK(cell->Outcome(second) == "not-run");
    CHECK(cell->RunsOf("k") == 0);
  } else {
    CHECK(cell->Outcome(first) == "busy");
  }
  CHECK(cell->Audit() == "");
}

} // namespace
} // namespace oriolewalk::testing
