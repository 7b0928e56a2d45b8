#pragma once

// A group of raft_nodes over a network and disks in memory, in simulated time.
// One seed repeats one run exactly.
//
//   fake_cluster cluster({ .mNodes = 3, .mSeed = 7 });
//   auto leader = cluster.WaitForLeader();
//   cluster.Propose("x");
//   cluster.Crash(*leader, 0);
//   cluster.Run(seconds(2));
//   REQUIRE(cluster.Violation() == std::nullopt);  // the oracle's word
//
// After every input to a node its effects are carried out and the oracle looks.
// One thread.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/random.h"
#include "oriolewalk/consensus/raft_node.h"
#include "testing/consensus/fake_disk.h"
#include "testing/consensus/log_oracle.h"

namespace oriolewalk::consensus {

struct cluster_options
{
  std::uint64_t mNodes = 3;
  std::uint64_t mSeed = 1;
  raft_options mRaft = {};
  duration mMinDelay = milliseconds(1);
  duration mMaxDelay = milliseconds(2);
  double mLoss = 0;
  double mDuplicate = 0;
  // Messages that take mLateBy more than the others: overtaken by them.
  double mLate = 0;
  duration mLateBy = milliseconds(100);
  duration mSync = milliseconds(2);
  // Clocks run between 1 - this and 1 + this times as fast as true time.
  double mDrift = 0;
  // Messages pass through the codec, and their bytes are counted.
  bool mEncode = false;
};

struct network_counters
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
};

class fake_cluster
{
public:
  using condition = std::function<bool()>;

  explicit fake_cluster(const cluster_options& aOptions);

  // Time goes on in steps of 1 ms.
  void Run(duration aSpan);
  // Whether aCondition came true within aLimit.
  bool RunUntil(const condition& aCondition, duration aLimit);
  // A leader that may serve.
  std::optional<node_id> WaitForLeader(duration aLimit = seconds(10));
  // The same where one must come up: otherwise a violation.
  node_id MustLead();
  [[nodiscard]] std::optional<node_id> Serving() const;
  // The node that leads in the highest term.
  [[nodiscard]] std::optional<node_id> Leader() const;
  [[nodiscard]] time_point Now() const { return mNow; }

  // To the leader, or to the one given.
  result<log_position> Propose(bytes aCommand);
  result<log_position> ProposeAt(node_id aNode, bytes aCommand);
  // Some node has shown the command as committed.
  [[nodiscard]] bool IsCommitted(const bytes& aCommand) const;
  [[nodiscard]] bool IsAcknowledged(const bytes& aCommand) const;

  // Stops the process; the first aKept unsynced writes survive.
  void Crash(node_id aNode, std::size_t aKept);
  void Start(node_id aNode);
  void LoseDisk(node_id aNode);
  void Pause(node_id aNode, duration aSpan);
  // No message passes between the node and the others, either way.
  void Cut(node_id aNode);
  void CutLink(node_id aFrom, node_id aTo);
  void Heal();
  // A node that isn't a founder.
  void Join(node_id aNode);
  void Compact(node_id aNode);
  void SetSync(duration aSync) { mOptions.mSync = aSync; }
  void SetLoss(double aLoss, double aDuplicate, double aLate);
  // True: the message is lost.
  void SetFilter(std::function<bool(const message&)> aFilter);

  [[nodiscard]] bool IsUp(node_id aNode) const;
  [[nodiscard]] raft_node& Node(node_id aNode);
  [[nodiscard]] const raft_node* Find(node_id aNode) const;
  [[nodiscard]] std::vector<node_id> Ids() const;
  [[nodiscard]] const fake_disk& Disk(node_id aNode) const;
  [[nodiscard]] log_index Applied(node_id aNode) const;
  // The node's own clock.
  [[nodiscard]] time_point LocalTime(node_id aNode) const;
  // After calling into a node directly.
  void CarryOut(node_id aNode);
  [[nodiscard]] const std::optional<std::string>& Violation() const;
  [[nodiscard]] const network_counters& Counters() const { return mCounters; }
  [[nodiscard]] const log_oracle& Oracle() const { return mOracle; }

private:
  struct host
  {
    std::unique_ptr<raft_node> mNode; // None: the process is down.
    fake_disk mDisk;
    bool mFounder = true;
    double mRate = 1;
    time_point mPausedUntil;
    time_point mNextTick;
    log_index mApplied = 0;
    bytes mDigest;
    std::map<log_position, bytes> mProposed;
  };
  struct flight
  {
    time_point mDue;
    std::uint64_t mOrder = 0;
    message mMessage;
  };

  void Step();
  void Deliver();
  void StepHost(node_id aId, host& aHost);
  void Transmit(message aMessage);
  void Fly(const message& aMessage);
  void Apply(node_id aId, host& aHost, const log_entry& aEntry);
  void Settle(host& aHost, const log_entry& aEntry);
  void Check();
  [[nodiscard]] bool IsPaused(const host& aHost) const;

  cluster_options mOptions;
  random_source mRandom;
  time_point mNow;
  std::uint64_t mOrder = 0;
  membership mFounders;
  std::map<node_id, host> mHosts;
  std::vector<flight> mFlights;
  std::set<std::pair<node_id, node_id>> mCuts;
  std::function<bool(const message&)> mFilter;
  std::set<bytes> mAcknowledged;
  log_oracle mOracle;
  network_counters mCounters;
};

} // namespace oriolewalk::consensus
