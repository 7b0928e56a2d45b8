#include "testing/consensus/fake_cluster.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolewalk::consensus {

fake_cluster::fake_cluster(const cluster_options& aOptions)
  : mOptions(aOptions)
  , mRandom(mOptions.mSeed)
  , mNow(seconds(10))
{
  for (std::uint64_t id = 1; id <= mOptions.mNodes; ++id) {
    mFounders.PutVoter(
      { node_id(id), "node" + std::to_string(id), 0, false, std::nullopt });
  }
  for (const member& founder : mFounders.mVoters) {
    mHosts[founder.mId].mRate =
      1.0 + mOptions.mDrift * (2.0 * mRandom.Fraction() - 1.0);
    Start(founder.mId);
  }
}

void
fake_cluster::Run(duration aSpan)
{
  const time_point end = mNow + aSpan;
  while (mNow < end) {
    Step();
  }
}

bool
fake_cluster::RunUntil(const condition& aCondition, duration aLimit)
{
  const time_point end = mNow + aLimit;
  while (!aCondition()) {
    if (mNow >= end) {
      return false;
    }
    Step();
  }
  return true;
}

std::optional<node_id>
fake_cluster::WaitForLeader(duration aLimit)
{
  RunUntil([this] { return Serving().has_value(); }, aLimit);
  return Serving();
}

node_id
fake_cluster::MustLead()
{
  const auto leader = WaitForLeader();
  if (!leader) {
    mOracle.Violate("no leader came up");
  }
  return leader.value_or(node_id(1));
}

std::optional<node_id>
fake_cluster::Serving() const
{
  const auto found = std::ranges::find_if(mHosts, [this](const auto& aPair) {
    const host& each = aPair.second;
    return each.mNode && !IsPaused(each) &&
           each.mNode->MayServe(LocalTime(aPair.first));
  });
  return found == mHosts.end() ? std::nullopt : std::optional(found->first);
}

std::optional<node_id>
fake_cluster::Leader() const
{
  const raft_node* best = nullptr;
  for (const node_id id : Ids()) {
    const raft_node* node = Find(id);
    if (node != nullptr && node->IsLeader() &&
        (best == nullptr || node->Term() > best->Term())) {
      best = node;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->Self());
}

result<log_position>
fake_cluster::Propose(bytes aCommand)
{
  const auto leader = Leader();
  if (!leader) {
    return Fail(error_code::NotLeader, "propose", "no leader");
  }
  return ProposeAt(*leader, std::move(aCommand));
}

result<log_position>
fake_cluster::ProposeAt(node_id aNode, bytes aCommand)
{
  host& target = mHosts.at(aNode);
  if (!target.mNode || IsPaused(target)) {
    return Fail(error_code::Timeout, "propose", "the node does not answer");
  }
  auto place = target.mNode->Propose(aCommand, LocalTime(aNode));
  if (place) {
    target.mProposed[*place] = std::move(aCommand);
  }
  CarryOut(aNode);
  return place;
}

bool
fake_cluster::IsCommitted(const bytes& aCommand) const
{
  return mOracle.IsCommitted(aCommand);
}

bool
fake_cluster::IsAcknowledged(const bytes& aCommand) const
{
  return mAcknowledged.contains(aCommand);
}

void
fake_cluster::Crash(node_id aNode, std::size_t aKept)
{
  host& target = mHosts.at(aNode);
  target.mNode.reset();
  target.mDisk.Crash(aKept);
  target.mProposed.clear();
  target.mPausedUntil = mNow;
}

void
fake_cluster::Start(node_id aNode)
{
  host& target = mHosts.at(aNode);
  if (target.mNode) {
    return;
  }
  restored_state restored = target.mDisk.Content();
  restored.mMayVote = target.mFounder && !target.mDisk.IsWiped();
  // A joined node's first start drew an incarnation; later ones remember it.
  if (restored.mHardState.mIncarnation != 0) {
    restored.mMayVote = true;
  }
  if (auto sound = CheckRestored(restored); !sound) {
    mOracle.Violate(sound.error().Describe());
    return;
  }
  target.mApplied = restored.mSnapshot ? restored.mSnapshot->mIndex : 0;
  target.mDigest = restored.mSnapshot ? restored.mSnapshot->mState : bytes{};
  target.mNextTick = mNow;
  target.mNode =
    std::make_unique<raft_node>(aNode,
                                mOptions.mRaft,
                                std::move(restored),
                                target.mFounder ? mFounders : membership{},
                                mRandom.Below(~std::uint64_t{ 0 }),
                                LocalTime(aNode));
  CarryOut(aNode);
}

void
fake_cluster::LoseDisk(node_id aNode)
{
  Crash(aNode, 0);
  mHosts.at(aNode).mDisk.Wipe();
}

void
fake_cluster::Pause(node_id aNode, duration aSpan)
{
  mHosts.at(aNode).mPausedUntil = mNow + aSpan;
}

void
fake_cluster::Cut(node_id aNode)
{
  for (const node_id other : Ids()) {
    CutLink(aNode, other);
    CutLink(other, aNode);
  }
}

void
fake_cluster::CutLink(node_id aFrom, node_id aTo)
{
  if (aFrom != aTo) {
    mCuts.emplace(aFrom, aTo);
  }
}

void
fake_cluster::Heal()
{
  mCuts.clear();
}

void
fake_cluster::Join(node_id aNode)
{
  mHosts[aNode].mFounder = false;
  Start(aNode);
}

void
fake_cluster::Compact(node_id aNode)
{
  host& target = mHosts.at(aNode);
  if (!target.mNode) {
    return;
  }
  auto made = target.mNode->MakeSnapshot(target.mApplied, target.mDigest);
  if (made) {
    target.mDisk.Store(*made);
    target.mNode->Compact(std::move(*made));
  }
}

void
fake_cluster::SetLoss(double aLoss, double aDuplicate, double aLate)
{
  mOptions.mLoss = aLoss;
  mOptions.mDuplicate = aDuplicate;
  mOptions.mLate = aLate;
}

void
fake_cluster::SetFilter(std::function<bool(const message&)> aFilter)
{
  mFilter = std::move(aFilter);
}

bool
fake_cluster::IsUp(node_id aNode) const
{
  return mHosts.at(aNode).mNode != nullptr;
}

raft_node&
fake_cluster::Node(node_id aNode)
{
  return *mHosts.at(aNode).mNode;
}

const raft_node*
fake_cluster::Find(node_id aNode) const
{
  return mHosts.at(aNode).mNode.get();
}

std::vector<node_id>
fake_cluster::Ids() const
{
  std::vector<node_id> ids;
  ids.reserve(mHosts.size());
  for (const auto& [id, each] : mHosts) {
    ids.push_back(id);
  }
  return ids;
}

const fake_disk&
fake_cluster::Disk(node_id aNode) const
{
  return mHosts.at(aNode).mDisk;
}

log_index
fake_cluster::Applied(node_id aNode) const
{
  return mHosts.at(aNode).mApplied;
}

time_point
fake_cluster::LocalTime(node_id aNode) const
{
  return time_point(std::chrono::duration_cast<duration>(
    mNow.time_since_epoch() * mHosts.at(aNode).mRate));
}

const std::optional<std::string>&
fake_cluster::Violation() const
{
  return mOracle.Violation();
}

bool
fake_cluster::IsPaused(const host& aHost) const
{
  return mNow < aHost.mPausedUntil;
}

void
fake_cluster::Step()
{
  mNow += milliseconds(1);
  Deliver();
  for (auto& [id, each] : mHosts) {
    StepHost(id, each);
  }
  Check();
}

void
fake_cluster::Deliver()
{
  const auto isReady = [this](const flight& aFlight) {
    return aFlight.mDue <= mNow && !IsPaused(mHosts.at(aFlight.mMessage.mTo));
  };
  const auto later = std::ranges::stable_partition(
    mFlights, [&](const flight& aFlight) { return !isReady(aFlight); });
  std::vector<flight> ready(std::make_move_iterator(later.begin()),
                            std::make_move_iterator(later.end()));
  mFlights.erase(later.begin(), later.end());
  std::ranges::sort(ready, {}, [](const flight& aFlight) {
    return std::pair(aFlight.mDue, aFlight.mOrder);
  });
  for (const flight& each : ready) {
    const node_id target = each.mMessage.mTo;
    if (auto& node = mHosts.at(target).mNode) {
      node->Receive(each.mMessage, LocalTime(target));
      CarryOut(target);
    }
  }
}

void
fake_cluster::StepHost(node_id aId, host& aHost)
{
  if (!aHost.mNode || IsPaused(aHost)) {
    return;
  }
  if (const auto ticket = aHost.mDisk.SyncUntil(mNow)) {
    aHost.mNode->Persisted(*ticket, LocalTime(aId));
    CarryOut(aId);
  }
  if (mNow >= aHost.mNextTick) {
    aHost.mNextTick = mNow + milliseconds(10);
    aHost.mNode->Tick(LocalTime(aId));
    CarryOut(aId);
  }
}

void
fake_cluster::CarryOut(node_id aNode)
{
  host& target = mHosts.at(aNode);
  effects out = target.mNode->TakeEffects();
  if (out.mTicket != 0) {
    target.mDisk.Write(out, mNow + mOptions.mSync);
  }
  if (out.mSnapshot) {
    target.mApplied = out.mSnapshot->mIndex;
    target.mDigest = out.mSnapshot->mState;
    mOracle.State(aNode, target.mApplied, target.mDigest);
  }
  for (const log_entry& entry : out.mCommitted) {
    Apply(aNode, target, entry);
  }
  for (message& each : out.mMessages) {
    Transmit(std::move(each));
  }
  mOracle.Role(*target.mNode);
  Check();
}

void
fake_cluster::Apply(node_id aId, host& aHost, const log_entry& aEntry)
{
  if (aEntry.mIndex != aHost.mApplied + 1) {
    mOracle.Violate("node " + std::to_string(aId.Value()) +
                    " applies out of order at " +
                    std::to_string(aEntry.mIndex));
  }
  mOracle.Committed(*aHost.mNode, aEntry);
  aHost.mApplied = aEntry.mIndex;
  aHost.mDigest = log_oracle::Digest(aHost.mDigest, aEntry);
  mOracle.State(aId, aHost.mApplied, aHost.mDigest);
  Settle(aHost, aEntry);
}

// What the proposers at this node are told.
void
fake_cluster::Settle(host& aHost, const log_entry& aEntry)
{
  while (!aHost.mProposed.empty() &&
         aHost.mProposed.begin()->first.mIndex <= aEntry.mIndex) {
    const auto& [place, command] = *aHost.mProposed.begin();
    if (place == log_position{ aEntry.mIndex, aEntry.mTerm }) {
      mAcknowledged.insert(command);
      mOracle.Acknowledged(command);
    } else if (place.mIndex == aEntry.mIndex) {
      mOracle.Refused(command);
    }
    aHost.mProposed.erase(aHost.mProposed.begin());
  }
}

void
fake_cluster::Transmit(message aMessage)
{
  if (mOptions.mEncode) {
    const bytes wire = Encode(aMessage);
    ++mCounters.mMessages;
    mCounters.mBytes += wire.size();
    auto decoded = Decode<message>(wire, "receiving");
    if (!decoded) {
      mOracle.Violate(decoded.error().Describe());
      return;
    }
    aMessage = std::move(*decoded);
  }
  const bool lost = mCuts.contains({ aMessage.mFrom, aMessage.mTo }) ||
                    !mHosts.contains(aMessage.mTo) ||
                    (mFilter && mFilter(aMessage)) ||
                    mRandom.Fraction() < mOptions.mLoss;
  if (lost) {
    return;
  }
  Fly(aMessage);
  if (mRandom.Fraction() < mOptions.mDuplicate) {
    Fly(aMessage);
  }
}

void
fake_cluster::Fly(const message& aMessage)
{
  const auto spread = static_cast<std::uint64_t>(
    (mOptions.mMaxDelay - mOptions.mMinDelay).count() + 1);
  duration delay = mOptions.mMinDelay +
                   duration(static_cast<duration::rep>(mRandom.Below(spread)));
  if (mRandom.Fraction() < mOptions.mLate) {
    delay += mOptions.mLateBy;
  }
  mFlights.push_back({ mNow + delay, mOrder++, aMessage });
}

// Also asks nodes that are paused: as if they woke up at this moment, before
// their next tick.
void
fake_cluster::Check()
{
  int serving = 0;
  std::optional<log_index> barrier;
  for (const node_id id : Ids()) {
    const raft_node* node = Find(id);
    if (node != nullptr && node->MayServe(LocalTime(id))) {
      ++serving;
      barrier = node->ReadBarrier();
    }
  }
  mOracle.Serving(serving, barrier);
}

} // namespace oriolewalk::consensus
