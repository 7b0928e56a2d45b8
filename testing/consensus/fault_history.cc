#include "testing/consensus/fault_history.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolewalk::consensus {

fault_history::fault_history(choice_source aChoose, mutation aMutation)
  : mChoose(std::move(aChoose))
  , mCluster(Options(aMutation))
{
}

std::uint64_t
fault_history::Choose(std::uint64_t aBound)
{
  const auto chosen = mIsOver ? std::nullopt : mChoose(aBound);
  mIsOver = !chosen;
  return chosen.value_or(0);
}

// Small limits, so that short histories reach batches, pieces and tails.
cluster_options
fault_history::Options(mutation aMutation)
{
  cluster_options options;
  options.mNodes = Choose(2) == 0 ? 3 : 5;
  options.mSeed = Choose(1U << 16U);
  options.mDrift = Choose(2) == 0 ? 0 : 0.0049;
  options.mMaxDelay = milliseconds(1 + Choose(40));
  options.mSync = milliseconds(1 + Choose(30));
  options.mLateBy = milliseconds(50 + Choose(1450));
  options.mRaft.mCompactionTail = 3;
  options.mRaft.mMaxBatchEntries = 4;
  options.mRaft.mMaxInflight = 3;
  options.mRaft.mSnapshotChunkBytes = 5;
  options.mRaft.mCatchUpEntries = 4;
  options.mRaft.mMutation = aMutation;
  return options;
}

std::optional<std::string>
fault_history::Play(int aMostActions)
{
  for (int done = 0; done < aMostActions && !mIsOver; ++done) {
    Act();
    if (mCluster.Violation()) {
      return mCluster.Violation();
    }
  }
  Recover();
  return mCluster.Violation() || !mIsStuck
           ? mCluster.Violation()
           : std::optional<std::string>(
               "no progress after the faults were lifted");
}

node_id
fault_history::AnyNode()
{
  const std::vector<node_id> ids = mCluster.Ids();
  return ids[Choose(ids.size())];
}

void
fault_history::Act()
{
  switch (Choose(16)) {
    case 0:
    case 1:
      return mCluster.Run(milliseconds(1 + Choose(40)));
    case 2:
    case 3:
      return mCluster.Run(milliseconds(Choose(1000)));
    case 4:
    case 5:
      return Propose();
    case 6:
      return Crash();
    case 7:
    case 8:
      return mCluster.Start(AnyNode());
    case 9: {
      const node_id paused = AnyNode();
      return mCluster.Pause(paused, milliseconds(Choose(3000)));
    }
    case 10:
      return Cut();
    case 11:
      return mCluster.Heal();
    case 12: {
      const double loss = 0.1 * static_cast<double>(Choose(4));
      const double twice = 0.1 * static_cast<double>(Choose(4));
      return mCluster.SetLoss(
        loss, twice, 0.1 * static_cast<double>(Choose(4)));
    }
    case 13:
      return Transfer();
    case 14:
      return mCluster.Compact(AnyNode());
    default:
      return Change();
  }
}

void
fault_history::Crash()
{
  const node_id node = AnyNode();
  mCluster.Crash(node, Choose(4));
  if (Choose(2) == 0) {
    mCluster.Start(node);
  }
}

void
fault_history::Cut()
{
  const node_id from = AnyNode();
  if (Choose(2) == 0) {
    mCluster.Cut(from);
  } else {
    mCluster.CutLink(from, AnyNode());
  }
}

void
fault_history::Propose()
{
  const node_id node = AnyNode();
  const bool toLeader = Choose(2) == 0;
  const std::uint64_t count = 1 + Choose(6);
  for (std::uint64_t each = 0; each < count; ++each) {
    bytes command = "c" + std::to_string(++mCommands);
    if (toLeader) {
      static_cast<void>(mCluster.Propose(std::move(command)));
    } else {
      static_cast<void>(mCluster.ProposeAt(node, std::move(command)));
    }
  }
}

void
fault_history::Transfer()
{
  const node_id to = AnyNode();
  if (const auto leader = mCluster.Leader()) {
    static_cast<void>(mCluster.Node(*leader).TransferLeadership(
      to, mCluster.LocalTime(*leader)));
    mCluster.CarryOut(*leader);
  }
}

void
fault_history::Change()
{
  const std::uint64_t kind = Choose(5);
  const node_id node = AnyNode();
  if (kind == 0) {
    mIsWhole = false;
    mCluster.LoseDisk(node);
    if (Choose(2) == 0) {
      mCluster.Start(node);
    }
    return;
  }
  if (const auto leader = mCluster.Leader()) {
    mIsWhole = false;
    ChangeMembers(*leader, node, kind);
    mCluster.CarryOut(*leader);
  }
}

void
fault_history::ChangeMembers(node_id aLeader,
                             node_id aNode,
                             std::uint64_t aKind)
{
  constexpr std::size_t kMostNodes = 8;
  raft_node& raft = mCluster.Node(aLeader);
  const time_point now = mCluster.LocalTime(aLeader);
  if (aKind == 1) {
    static_cast<void>(raft.Remove(aNode, now));
  } else if (aKind == 2) {
    static_cast<void>(raft.Promote(aNode, now));
  } else if (mCluster.Ids().size() < kMostNodes) {
    const node_id joining(mCluster.Ids().size() + 1);
    mCluster.Join(joining);
    if (aKind == 3) {
      static_cast<void>(raft.AddLearner(joining, "joined", now));
    } else {
      static_cast<void>(raft.Replace(aNode, joining, "joined", now));
    }
  }
}

void
fault_history::Recover()
{
  mCluster.SetLoss(0, 0, 0);
  mCluster.Heal();
  for (const node_id id : mCluster.Ids()) {
    mCluster.Pause(id, duration::zero());
    mCluster.Start(id);
  }
  mCluster.Run(seconds(1));
  if (!mIsWhole || mCluster.Violation()) {
    return;
  }
  const bool moves =
    mCluster.WaitForLeader(seconds(20)) && mCluster.Propose("last") &&
    mCluster.RunUntil([this] { return mCluster.IsCommitted("last"); },
                      seconds(20));
  mIsStuck = !moves;
}

} // namespace oriolewalk::consensus
