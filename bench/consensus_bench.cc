// oriole-bench consensus: what the log's core costs, without disk and network
// (commits a second, messages and bytes a commit), and how long a group is
// without a leader, in simulated time over many seeds.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bench/report.h"
#include "testing/consensus/fake_cluster.h"

namespace oriolewalk::bench {

namespace {

using namespace oriolewalk::consensus;

constexpr std::size_t kCommandBytes = 128;

// A group whose messages arrive and whose syncs end at once.
class instant_group
{
public:
  explicit instant_group(std::uint64_t aNodes)
  {
    membership founders;
    for (std::uint64_t id = 1; id <= aNodes; ++id) {
      founders.PutVoter({ node_id(id), {}, 0, false, std::nullopt });
    }
    for (const member& founder : founders.mVoters) {
      mNodes.try_emplace(founder.mId,
                         founder.mId,
                         raft_options{},
                         restored_state{},
                         founders,
                         founder.mId.Value(),
                         mNow);
    }
    mNow += seconds(1);
    Leader().Tick(mNow);
    Settle();
  }

  // Commits aBatches batches; returns commits a second of wall time.
  double Commit(int aBatches, int aBatchSize)
  {
    const std::vector<bytes> commands(static_cast<std::size_t>(aBatchSize),
                                      bytes(kCommandBytes, 'x'));
    const log_index before = Leader().CommitIndex();
    const auto start = std::chrono::steady_clock::now();
    for (int batch = 0; batch < aBatches; ++batch) {
      mNow += microseconds(1);
      static_cast<void>(Leader().Propose(commands, mNow));
      Settle();
      if (Leader().CommitIndex() - Leader().BaseIndex() > kCompactEvery) {
        Compact();
      }
    }
    const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
    return static_cast<double>(Leader().CommitIndex() - before) / spent.count();
  }

  void CountBytes(bool aCount) { mCount = aCount; }
  [[nodiscard]] const network_counters& Counters() const { return mCounters; }

private:
  static constexpr log_index kCompactEvery = 20000;

  raft_node& Leader() { return mNodes.at(node_id(1)); }

  void Compact()
  {
    for (auto& [id, node] : mNodes) {
      if (auto made = node.MakeSnapshot(node.CommitIndex(), {})) {
        node.Compact(std::move(*made));
      }
    }
  }

  // Carries effects out until nothing is left to do.
  void Settle()
  {
    for (bool busy = true; busy;) {
      busy = false;
      for (auto& [id, node] : mNodes) {
        effects out = node.TakeEffects();
        for (message& each : out.mMessages) {
          Count(each);
          mQueue.push_back(std::move(each));
        }
        if (out.mTicket != 0) {
          node.Persisted(out.mTicket, mNow);
        }
        busy = busy || out.mTicket != 0 || !mQueue.empty();
      }
      while (!mQueue.empty()) {
        const message each = std::move(mQueue.front());
        mQueue.pop_front();
        mNodes.at(each.mTo).Receive(each, mNow);
      }
    }
  }

  void Count(const message& aMessage)
  {
    if (mCount) {
      ++mCounters.mMessages;
      mCounters.mBytes += Encode(aMessage).size();
    }
  }

  std::map<node_id, raft_node> mNodes;
  std::deque<message> mQueue;
  time_point mNow{ seconds(1) };
  bool mCount = false;
  network_counters mCounters;
};

void
MeasureCommits(bench_report& aReport, std::uint64_t aNodes, int aBatchSize)
{
  constexpr int kCommits = 100000;
  constexpr int kCounted = 100;
  const std::string name = "consensus.voters_" + std::to_string(aNodes) +
                           ".batch_" + std::to_string(aBatchSize) + ".";
  instant_group group(aNodes);
  const double rate = group.Commit(kCommits / aBatchSize, aBatchSize);
  aReport.Add(name + "commit_rate", rate, "1/s");
  group.CountBytes(true);
  group.Commit(kCounted, aBatchSize);
  const double commits = static_cast<double>(kCounted) * aBatchSize;
  const auto perCommit = [&](std::uint64_t aCount) {
    return static_cast<double>(aCount) / commits;
  };
  aReport.Add(name + "messages_per_commit",
              perCommit(group.Counters().mMessages),
              "messages");
  aReport.Add(
    name + "bytes_per_commit", perCommit(group.Counters().mBytes), "B");
}

double
Milliseconds(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

void
AddQuantiles(bench_report& aReport,
             const std::string& aName,
             std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  const auto at = [&](double aShare) {
    return aValues[static_cast<std::size_t>(
      aShare * static_cast<double>(aValues.size() - 1))];
  };
  aReport.Add(aName + ".p50", at(0.5), "ms");
  aReport.Add(aName + ".p99", at(0.99), "ms");
  aReport.Add(aName + ".max", aValues.back(), "ms");
}

// From the crash or hand-over until another node may serve.
std::vector<double>
Gaps(std::uint64_t aNodes, int aSeeds, bool aPlanned)
{
  std::vector<double> gaps;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    fake_cluster cluster(
      { .mNodes = aNodes, .mSeed = static_cast<std::uint64_t>(seed) });
    const node_id leader = cluster.MustLead();
    cluster.Run(milliseconds(200 + seed % 50));
    const time_point start = cluster.Now();
    if (aPlanned) {
      static_cast<void>(
        cluster.Node(leader).TransferLeadership(cluster.LocalTime(leader)));
      cluster.CarryOut(leader);
    } else {
      cluster.Crash(leader, 0);
    }
    cluster.WaitForLeader();
    gaps.push_back(Milliseconds(cluster.Now() - start));
  }
  return gaps;
}

// What the leader costs the network when nothing happens.
void
MeasureIdle(bench_report& aReport, std::uint64_t aNodes)
{
  constexpr int kSeconds = 20;
  fake_cluster cluster({ .mNodes = aNodes, .mEncode = true });
  cluster.MustLead();
  cluster.Run(seconds(1));
  const network_counters before = cluster.Counters();
  cluster.Run(seconds(kSeconds));
  const auto perNode = [&](std::uint64_t aCount) {
    return static_cast<double>(aCount) / kSeconds / static_cast<double>(aNodes);
  };
  const std::string name =
    "consensus.voters_" + std::to_string(aNodes) + ".idle.";
  aReport.Add(name + "messages_per_node",
              perNode(cluster.Counters().mMessages - before.mMessages),
              "1/s");
  aReport.Add(name + "bytes_per_node",
              perNode(cluster.Counters().mBytes - before.mBytes),
              "B/s");
}

void
Measure(bench_report& aReport)
{
  constexpr int kSeeds = 1000;
  for (const std::uint64_t nodes : { 3U, 5U }) {
    for (const int batch : { 1, 16, 256 }) {
      MeasureCommits(aReport, nodes, batch);
    }
    const std::string name = "consensus.voters_" + std::to_string(nodes);
    AddQuantiles(
      aReport, name + ".leaderless_after_crash", Gaps(nodes, kSeeds, false));
    AddQuantiles(
      aReport, name + ".leaderless_at_transfer", Gaps(nodes, kSeeds, true));
    MeasureIdle(aReport, nodes);
  }
}

const registered_bench kConsensusBench("consensus", Measure);

} // namespace

} // namespace oriolewalk::bench
