// Every fault at every step of a proposal, an election, a hand-over, a snapshot
// and a membership change, judged by what the proposer of "x" sees, and by
// when the next proposal is confirmed. `test_consensus "[.matrix]"` prints
// it; docs/FAULTS.md has it with the reading of its cells.

#include <array>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/consensus/fake_cluster.h"

using namespace oriolewalk;
using namespace oriolewalk::consensus;

namespace {

// One cell: a group of three, a proposal "x", a step, a fault, the aftermath.
// Messages take 2 ms and a sync 5 ms, so that each step has its millisecond.
class scene
{
public:
  scene()
    : mCluster(Options())
    , mLeader(mCluster.MustLead())
  {
    for (const node_id id : mCluster.Ids()) {
      if (id != mLeader) {
        mFollower = id;
      }
    }
    for (int each = 0; each < kBefore; ++each) {
      static_cast<void>(mCluster.Propose("before" + std::to_string(each)));
    }
    mCluster.Run(milliseconds(200));
  }

  void Propose(int aMilliseconds)
  {
    static_cast<void>(mCluster.Propose("x"));
    mCluster.Run(milliseconds(aMilliseconds));
  }

  void UntilConfirmed()
  {
    Propose(0);
    mCluster.RunUntil([this] { return mCluster.IsAcknowledged("x"); },
                      seconds(1));
  }

  void UntilAppliedByAll()
  {
    UntilConfirmed();
    mCluster.RunUntil(
      [this] {
        return mCluster.Applied(mFollower) == mCluster.Applied(mLeader);
      },
      seconds(1));
  }

  // The old leader stays away; the one that asks for votes is the subject.
  void UntilElection()
  {
    Propose(8);
    mCluster.Crash(mLeader, 0);
    mCluster.RunUntil(
      [this] {
        for (const node_id id : mCluster.Ids()) {
          const raft_node* node = mCluster.Find(id);
          if (node != nullptr && node->Role() == node_role::Candidate) {
            mLeader = id;
            return true;
          }
        }
        return false;
      },
      seconds(5));
    for (const node_id id : mCluster.Ids()) {
      mCluster.Start(id);
      mFollower = id != mLeader ? id : mFollower;
    }
  }

  void UntilHandOver()
  {
    Propose(12);
    static_cast<void>(mCluster.Node(mLeader).TransferLeadership(
      mFollower, mCluster.LocalTime(mLeader)));
    mCluster.CarryOut(mLeader);
    mCluster.Run(milliseconds(1));
  }

  void UntilSnapshot()
  {
    mCluster.Crash(mFollower, 0);
    for (int each = 0; each < kBefore; ++each) {
      static_cast<void>(mCluster.Propose("more" + std::to_string(each)));
    }
    mCluster.Run(milliseconds(50));
    mCluster.Compact(mLeader);
    bool sent = false;
    mCluster.SetFilter([&sent](const message& aMessage) {
      sent = sent || std::holds_alternative<install_request>(aMessage.mBody);
      return false;
    });
    mCluster.Start(mFollower);
    mCluster.RunUntil([&sent] { return sent; }, seconds(1));
    mCluster.SetFilter({});
    Propose(4);
  }

  void UntilReplacement()
  {
    const node_id joining(4);
    mCluster.Join(joining);
    static_cast<void>(mCluster.Node(mLeader).Replace(
      mFollower, joining, "new", mCluster.LocalTime(mLeader)));
    mCluster.CarryOut(mLeader);
    Propose(4);
  }

  void CrashLeader(std::size_t aKept) { mCluster.Crash(mLeader, aKept); }
  void CrashFollower() { mCluster.Crash(mFollower, 0); }
  void CrashAll()
  {
    for (const node_id id : mCluster.Ids()) {
      mCluster.Crash(id, 0);
    }
  }
  void LoseLeadersDisk() { mCluster.LoseDisk(mLeader); }
  void LoseFollowersDisk() { mCluster.LoseDisk(mFollower); }
  void PauseLeader() { mCluster.Pause(mLeader, seconds(60)); }
  void CutLeader() { mCluster.Cut(mLeader); }
  void Disturb(double aLoss, double aDuplicate, double aLate)
  {
    mCluster.SetLoss(aLoss, aDuplicate, aLate);
  }

  // Crashed processes come back after 300 ms; a cut, a pause and a disturbed
  // network last for a minute.
  std::string Aftermath()
  {
    const time_point start = mCluster.Now();
    int attempt = 0;
    bool confirmed = false;
    while (!confirmed && mCluster.Now() - start < seconds(5)) {
      const bytes command = "after" + std::to_string(++attempt);
      static_cast<void>(mCluster.Serving() && mCluster.Propose(command));
      confirmed = mCluster.RunUntil(
        [&] { return mCluster.IsAcknowledged(command); }, milliseconds(50));
      if (mCluster.Now() - start >= milliseconds(300)) {
        StartAll();
      }
    }
    const duration gap = mCluster.Now() - start;
    StartAll();
    mCluster.Run(seconds(61));
    mCluster.Heal();
    mCluster.SetLoss(0, 0, 0);
    mCluster.Run(seconds(3));
    if (mCluster.Violation()) {
      return mCluster.Violation().value_or("");
    }
    std::string told = "unknown, not done";
    if (mCluster.IsCommitted("x")) {
      told = mCluster.IsAcknowledged("x") ? "confirmed" : "unknown, done";
    }
    return !confirmed                 ? told + "; stuck"
           : gap < milliseconds(1500) ? told
                                      : told + "; next in 5 s";
  }

private:
  static constexpr int kBefore = 30;

  static cluster_options Options()
  {
    cluster_options options;
    options.mMinDelay = milliseconds(2);
    options.mMaxDelay = milliseconds(2);
    options.mSync = milliseconds(5);
    options.mRaft.mCompactionTail = 2;
    options.mRaft.mSnapshotChunkBytes = 4;
    return options;
  }

  void StartAll()
  {
    for (const node_id id : mCluster.Ids()) {
      mCluster.Start(id);
    }
  }

  fake_cluster mCluster;
  node_id mLeader;
  node_id mFollower;
};

struct named_action
{
  std::string_view mName;
  std::function<void(scene&)> mDo;
};

const std::vector<named_action>&
Steps()
{
  static const std::vector<named_action> sSteps = {
    { "proposed", [](scene& aScene) { aScene.Propose(0); } },
    { "append sent", [](scene& aScene) { aScene.Propose(1); } },
    { "append stored", [](scene& aScene) { aScene.Propose(4); } },
    { "acknowledged", [](scene& aScene) { aScene.Propose(8); } },
    { "committed", &scene::UntilConfirmed },
    { "applied", &scene::UntilAppliedByAll },
    { "election", &scene::UntilElection },
    { "hand-over", &scene::UntilHandOver },
    { "snapshot", &scene::UntilSnapshot },
    { "replacement", &scene::UntilReplacement },
  };
  return sSteps;
}

const std::vector<named_action>&
Faults()
{
  static const std::vector<named_action> sFaults = {
    { "leader crashes", [](scene& aScene) { aScene.CrashLeader(9); } },
    { "leader crashes, unsynced lost",
      [](scene& aScene) { aScene.CrashLeader(0); } },
    { "follower crashes, unsynced lost", &scene::CrashFollower },
    { "all crash, unsynced lost", &scene::CrashAll },
    { "leader's disk lost", &scene::LoseLeadersDisk },
    { "follower's disk lost", &scene::LoseFollowersDisk },
    { "leader paused 60 s", &scene::PauseLeader },
    { "leader cut off silently", &scene::CutLeader },
    { "30 % of messages lost",
      [](scene& aScene) { aScene.Disturb(0.3, 0, 0); } },
    { "50 % of messages doubled",
      [](scene& aScene) { aScene.Disturb(0, 0.5, 0); } },
    { "30 % of messages 100 ms late",
      [](scene& aScene) { aScene.Disturb(0, 0, 0.3); } },
  };
  return sFaults;
}

// C, D and N as docs/FAULTS.md has them; anything else is a fault of ours.
std::string
Code(const std::string& aCell)
{
  if (aCell == "confirmed") {
    return "C";
  }
  if (aCell == "unknown, done") {
    return "D";
  }
  return aCell == "unknown, not done" ? "N" : aCell;
}

std::string
Row(const named_action& aFault)
{
  std::string row = "| " + std::string(aFault.mName);
  for (const named_action& step : Steps()) {
    scene played;
    step.mDo(played);
    aFault.mDo(played);
    row += " | " + Code(played.Aftermath());
  }
  return row + " |";
}

// In the order of Faults().
constexpr std::array kExpected = {
  std::string_view(
    "| leader crashes | D | D | D | D | C | C | D | C | D | D |"),
  std::string_view("| leader crashes, unsynced lost | D | D | D | D | C | C | "
                   "D | C | D | D |"),
  std::string_view("| follower crashes, unsynced lost | C | C | C | C | C | C "
                   "| D | C | C | C |"),
  std::string_view(
    "| all crash, unsynced lost | N | N | N | D | C | C | D | C | N | N |"),
  std::string_view(
    "| leader's disk lost | D | D | D | D | C | C | D | C | D | D |"),
  std::string_view(
    "| follower's disk lost | C | C | C | C | C | C | D | C | C | C |"),
  std::string_view(
    "| leader paused 60 s | C | C | C | C | C | C | D | C | C | C |"),
  std::string_view(
    "| leader cut off silently | C | C | C | C | C | C | D | C | C | C |"),
  std::string_view(
    "| 30 % of messages lost | C | C | C | C | C | C | D | C | C | C |"),
  std::string_view(
    "| 50 % of messages doubled | C | C | C | C | C | C | D | C | C | C |"),
  std::string_view("| 30 % of messages 100 ms late | C | C | C | C | C | C | D "
                   "| C | C | C |")
};

} // namespace

// The proposer's only answers: confirmed (and then it is there for good, which
// the oracle checks), or nothing, and then it may be done or not but never
// twice. In every cell the next proposal is confirmed while the fault lasts.
TEST_CASE("Every fault at every step keeps the proposer's word")
{
  const auto fault = GENERATE(range(std::size_t{ 0 }, kExpected.size()));
  REQUIRE(Faults().size() == kExpected.size());
  CHECK(Row(Faults()[fault]) == kExpected.at(fault));
}

TEST_CASE("print the matrix", "[.matrix]")
{
  std::string head = "| fault ";
  std::string rule = "| --- ";
  for (const named_action& step : Steps()) {
    head += "| " + std::string(step.mName) + " ";
    rule += "| --- ";
  }
  std::printf("%s|\n%s|\n", head.c_str(), rule.c_str());
  for (const named_action& fault : Faults()) {
    std::printf("%s\n", Row(fault).c_str());
  }
}
