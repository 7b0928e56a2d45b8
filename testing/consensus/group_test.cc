// What an operator and a proposer see of a group: repair, hand-over, cuts,
// pauses, snapshots. Over fakes, in simulated time.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "testing/consensus/fake_cluster.h"

using namespace oriolewalk;
using namespace oriolewalk::consensus;

namespace {

std::vector<node_id>
Others(const fake_cluster& aCluster, node_id aNode)
{
  std::vector<node_id> others = aCluster.Ids();
  std::erase(others, aNode);
  return others;
}

bool
Commits(fake_cluster& aCluster,
        const bytes& aCommand,
        duration aLimit = seconds(5))
{
  return aCluster.RunUntil(
           [&] { return aCluster.Serving() && aCluster.Propose(aCommand); },
           aLimit) &&
         aCluster.RunUntil([&] { return aCluster.IsAcknowledged(aCommand); },
                           aLimit);
}

void
Fill(fake_cluster& aCluster, int aCount)
{
  for (int each = 0; each < aCount; ++each) {
    REQUIRE(aCluster.Propose("fill" + std::to_string(each)));
    aCluster.Run(milliseconds(1));
  }
  aCluster.Run(milliseconds(100));
}

// Whether aNode is a voter whose present disk counts.
bool
IsFullVoter(fake_cluster& aCluster, node_id aNode)
{
  const auto leader = aCluster.Serving();
  if (!leader || !aCluster.IsUp(aNode)) {
    return false;
  }
  const member* voter = aCluster.Node(*leader).Members().FindVoter(aNode);
  return voter != nullptr &&
         voter->mIncarnation == aCluster.Node(aNode).Incarnation();
}

} // namespace

TEST_CASE("A lone founder commits what is durable, not before")
{
  fake_cluster cluster({ .mNodes = 1, .mSync = milliseconds(20) });
  REQUIRE(cluster.WaitForLeader());
  REQUIRE(cluster.Propose("x"));
  cluster.Run(milliseconds(18));
  CHECK_FALSE(cluster.IsCommitted("x"));
  cluster.Run(milliseconds(5));
  CHECK(cluster.IsAcknowledged("x"));
}

// One voter's disk is lost while another voter lacks a committed entry. If the
// empty one could vote, the lagging one would lead and the entry be gone. The
// caller sees no leader until the third is back, and then its entry.
TEST_CASE("An empty voter doesn't help a lagging one to lead")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  const std::vector<node_id> others = Others(cluster, leader);
  cluster.Cut(others[0]);
  REQUIRE(Commits(cluster, "x"));
  cluster.Crash(leader, 0);
  cluster.LoseDisk(others[1]);
  cluster.Start(others[1]);
  cluster.Heal();
  cluster.Run(seconds(10));
  CHECK_FALSE(cluster.Leader());
  cluster.Start(leader);
  CHECK(Commits(cluster, "y"));
  CHECK(cluster.IsCommitted("x"));
  CHECK(cluster.Violation() == std::nullopt);
}

// A voter comes back with an empty disk; the leader makes it a learner, fills
// it and makes it a voter again, with nobody watching. Right after that
// another voter is lost for good: the group goes on with all it had.
TEST_CASE("A lost disk is repaired and a second loss right after survives")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  Fill(cluster, 50);
  const std::vector<node_id> others = Others(cluster, leader);
  cluster.LoseDisk(others[0]);
  cluster.Run(milliseconds(300));
  cluster.Start(others[0]);
  REQUIRE(cluster.RunUntil([&] { return IsFullVoter(cluster, others[0]); },
                           seconds(5)));
  cluster.LoseDisk(GENERATE_COPY(values({ leader, others[1] })));
  CHECK(Commits(cluster, "after"));
  CHECK(cluster.IsCommitted("fill49"));
  CHECK(cluster.Violation() == std::nullopt);
}

// A voter is dead for good and is replaced by a new instance. The leader is
// lost while the new one catches up: its successor carries the repair on.
TEST_CASE("A replacement goes on over a change of leader")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  Fill(cluster, 20);
  const std::vector<node_id> others = Others(cluster, leader);
  cluster.Crash(others[0], 0);
  const node_id joining(4);
  cluster.Join(joining);
  REQUIRE(cluster.Node(leader).Replace(
    others[0], joining, "d", cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  cluster.Run(milliseconds(4));
  cluster.Crash(leader, 0);
  cluster.Start(leader);
  REQUIRE(cluster.RunUntil(
    [&] {
      const auto now = cluster.Serving();
      return now && cluster.Node(*now).Members().Find(others[0]) == nullptr &&
             IsFullVoter(cluster, joining);
    },
    seconds(10)));
  CHECK(Commits(cluster, "after"));
  CHECK(cluster.Violation() == std::nullopt);
}

// Two newcomers ask while the same voter is silent. Were both let in for it,
// the group would have a voter too many: a majority of four is harder to reach
// than one of three.
TEST_CASE("One voter is replaced by one newcomer")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  const std::vector<node_id> others = Others(cluster, leader);
  cluster.Crash(others[0], 0);
  for (const node_id joining : { node_id(4), node_id(5) }) {
    cluster.Join(joining);
  }
  REQUIRE(cluster.Node(leader).Replace(
    others[0], node_id(4), "d", cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  cluster.Run(milliseconds(100));
  const auto second = cluster.Node(leader).Replace(
    others[0], node_id(5), "e", cluster.LocalTime(leader));
  CHECK_FALSE(second);
  cluster.Run(seconds(3));
  CHECK(cluster.Node(leader).Members().mVoters.size() == 3);
}

TEST_CASE("A change that would leave a majority without the data is refused")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  const std::vector<node_id> others = Others(cluster, leader);
  cluster.Run(milliseconds(200));
  cluster.Crash(others[0], 0);
  cluster.Run(seconds(1));
  const auto refused =
    cluster.Node(leader).Remove(others[1], cluster.LocalTime(leader));
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::Unavailable);
  CHECK(cluster.Node(leader).Remove(others[0], cluster.LocalTime(leader)));
}

TEST_CASE("A leader that removes itself leaves the lead to another")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.Node(leader).Remove(leader, cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  CHECK(cluster.RunUntil(
    [&] { return cluster.Serving() && cluster.Serving() != leader; },
    milliseconds(100)));
  CHECK(Commits(cluster, "after"));
  cluster.Run(seconds(3));
  CHECK(cluster.Violation() == std::nullopt);
}

// The leader is stopped for a minute and wakes up believing that it leads. A
// proposal to it is refused at once, before any message reached it, and it
// serves nothing.
TEST_CASE("A leader that was stopped for a minute does nothing before it asks")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  cluster.Cut(leader);
  cluster.Pause(leader, seconds(60));
  cluster.Run(seconds(60) - milliseconds(1));
  CHECK(cluster.Node(leader).IsLeader());
  const time_point woken = cluster.LocalTime(leader) + milliseconds(1);
  CHECK_FALSE(cluster.Node(leader).MayServe(woken));
  const auto refused = cluster.Node(leader).Propose("late", woken);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::NotLeader);
  cluster.Heal();
  CHECK(Commits(cluster, "after"));
  CHECK(cluster.Violation() == std::nullopt);
}

TEST_CASE("A planned hand-over leaves less than 50 ms without a leader")
{
  fake_cluster cluster({ .mNodes = 5 });
  const node_id leader = cluster.MustLead();
  cluster.Run(milliseconds(200));
  const node_id next = Others(cluster, leader).back();
  REQUIRE(
    cluster.Node(leader).TransferLeadership(next, cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  CHECK(cluster.RunUntil([&] { return cluster.Serving() == next; },
                         milliseconds(50)));
  CHECK(cluster.Violation() == std::nullopt);
}

// The word to take over is lost. The old leader, which may no longer serve,
// gives up after a while and the group elects: no state in which nobody leads.
TEST_CASE("A hand-over whose word is lost ends in an election")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  cluster.Run(milliseconds(200));
  cluster.SetFilter([](const message& aMessage) {
    return std::holds_alternative<timeout_now>(aMessage.mBody);
  });
  REQUIRE(cluster.Node(leader).TransferLeadership(cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  CHECK_FALSE(cluster.Serving());
  CHECK(cluster.WaitForLeader(milliseconds(1500)));
  CHECK(cluster.Violation() == std::nullopt);
}

// A follower was down while the log before a snapshot was dropped. It gets the
// snapshot in many pieces, some of them lost or repeated, and then the rest.
TEST_CASE("A follower far behind gets the snapshot in pieces")
{
  cluster_options options;
  options.mRaft.mCompactionTail = 5;
  options.mRaft.mSnapshotChunkBytes = 2;
  fake_cluster cluster(options);
  const node_id leader = cluster.MustLead();
  const node_id behind = Others(cluster, leader).front();
  cluster.Crash(behind, 0);
  Fill(cluster, 60);
  cluster.Compact(leader);
  CHECK(cluster.Node(leader).BaseIndex() > 40);
  cluster.SetLoss(0.2, 0.2, 0);
  cluster.Start(behind);
  CHECK(cluster.RunUntil(
    [&] { return cluster.Applied(behind) == cluster.Applied(leader); },
    seconds(60)));
  CHECK(cluster.Violation() == std::nullopt);
}

TEST_CASE("A node starts again from its snapshot and the entries after it")
{
  cluster_options options;
  options.mRaft.mCompactionTail = 2;
  fake_cluster cluster(options);
  const node_id leader = cluster.MustLead();
  Fill(cluster, 30);
  for (const node_id id : cluster.Ids()) {
    cluster.Compact(id);
  }
  REQUIRE(Commits(cluster, "after the snapshot"));
  for (const node_id id : cluster.Ids()) {
    cluster.Crash(id, 0);
    cluster.Start(id);
  }
  CHECK(Commits(cluster, "after the start"));
  CHECK(cluster.Applied(leader) > 30);
  CHECK(cluster.Violation() == std::nullopt);
}

TEST_CASE("A cut-off leader's memory is bounded: more is refused as busy")
{
  cluster_options options;
  options.mRaft.mMaxUncommittedBytes = 100;
  fake_cluster cluster(options);
  const node_id leader = cluster.MustLead();
  cluster.Cut(leader);
  REQUIRE(cluster.Propose(bytes(60, 'a')));
  const auto refused = cluster.Propose(bytes(60, 'b'));
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::Busy);
}

TEST_CASE("A follower names the leader to who asks it")
{
  fake_cluster cluster({ .mNodes = 3 });
  const node_id leader = cluster.MustLead();
  cluster.Run(milliseconds(100));
  const auto refused = cluster.ProposeAt(Others(cluster, leader).front(), "x");
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mCode == error_code::NotLeader);
  CHECK(refused.error().mPeer == "node" + std::to_string(leader.Value()));
}

TEST_CASE("Stored state with a gap is refused before a node is made of it")
{
  restored_state restored;
  restored.mEntries = { { 1, 1, entry_kind::Noop, {} },
                        { 3, 1, entry_kind::Noop, {} } };
  REQUIRE_FALSE(CheckRestored(restored));
  CHECK(CheckRestored(restored).error().mCode == error_code::Corrupt);
  restored.mEntries.erase(restored.mEntries.begin());
  CHECK_FALSE(CheckRestored(restored));
  restored.mSnapshot = snapshot{ 2, 1, {}, {} };
  CHECK(CheckRestored(restored));
}

TEST_CASE("Options that cannot work together are refused")
{
  raft_options options;
  CHECK(options.Check());
  options.mElectionMax = options.mElectionMin;
  CHECK_FALSE(options.Check());
  options = {};
  options.mHeartbeat = options.mElectionMin;
  CHECK_FALSE(options.Check());
  options = {};
  options.mDriftBound = 1.0;
  CHECK_FALSE(options.Check());
}

TEST_CASE("Every message passes through the codec unchanged in meaning")
{
  cluster_options options;
  options.mEncode = true;
  options.mRaft.mCompactionTail = 1;
  fake_cluster cluster(options);
  const node_id leader = cluster.MustLead();
  cluster.Crash(Others(cluster, leader).front(), 0);
  Fill(cluster, 10);
  cluster.Compact(leader);
  cluster.Start(Others(cluster, leader).front());
  CHECK(Commits(cluster, "x"));
  REQUIRE(cluster.Node(leader).TransferLeadership(cluster.LocalTime(leader)));
  cluster.CarryOut(leader);
  CHECK(Commits(cluster, "y"));
  CHECK(cluster.Violation() == std::nullopt);
}
