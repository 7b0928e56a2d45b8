#include "oriolewalk/flow/flow_core.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolewalk::flow {

namespace {

// The interval at which the leader checks the group's members.
constexpr milliseconds kMemberCheckInterval{ 250 };
// A voter that has been silent for this long may be replaced by a joining node.
constexpr milliseconds kReplaceVoterAfter{ 2'500 };
// A voter that has been silent for this long, which exceeds any restart, is
// removed.
constexpr seconds kRemoveVoterAfter{ 20 };
// A learner that dies while it replaces a voter keeps the next joining node
// from doing so. Since a learner counts in no majority, it is removed after a
// silence that exceeds any pause but is shorter than a restart.
constexpr seconds kRemoveLearnerAfter{ 5 };
// A node that has heard from no leader for this long requests to join: several
// elections have failed, or it was removed.
constexpr milliseconds kJoinAfter{ 2'000 };

// A third of a heartbeat interval: what the next leader knows is as much older.
constexpr milliseconds kContactQueryInterval{ 500 };

} // namespace

std::size_t
MaxVoters(std::uint32_t aLostInstances, bool aMayLoseDataCentre)
{
  constexpr std::size_t kMinVoters = 3;
  constexpr std::size_t kMaxVoters = 9;
  if (aLostInstances == 0 || aMayLoseDataCentre) {
    return kMaxVoters;
  }
  return std::clamp(
    2 * std::size_t{ aLostInstances } + 1, kMinVoters, kMaxVoters);
}

flow_core::flow_core(flow_config aConfig, std::uint64_t aSeed)
  : mConfig(std::move(aConfig))
  , mState(aSeed)
{
}

result<std::unique_ptr<flow_core>>
flow_core::Make(const flow_config& aConfig,
                consensus::restored_state aRestored,
                std::uint64_t aSeed,
                time_point aNow)
{
  if (const auto sound = consensus::CheckRestored(aRestored); !sound) {
    return Fail(sound.error());
  }
  std::unique_ptr<flow_core> core(new flow_core(aConfig, aSeed));
  core->mLeaderHeardAt = aNow;
  if (aRestored.mSnapshot) {
    if (const auto read = core->mState.Restore(aRestored.mSnapshot->mState);
        !read) {
      return Fail(read.error());
    }
    core->mAppliedIndex = aRestored.mSnapshot->mIndex;
    core->mSnapshotIndex = core->mAppliedIndex;
  }
  core->mRaft = std::make_unique<consensus::raft_node>(aConfig.mSelf,
                                                       aConfig.mRaft,
                                                       std::move(aRestored),
                                                       aConfig.mInitialMembers,
                                                       aSeed,
                                                       aNow);
  return core;
}

void
flow_core::SetTime(instant aAt)
{
  mAt = aAt;
  if (mLeader) {
    mLeader->SetTime(aAt);
  }
}

leader_port
flow_core::Port()
{
  return { .mPropose =
             [this](command_body aBody, leader_port::on_applied aThen) {
               return Propose(std::move(aBody), std::move(aThen));
             },
           .mAnswer =
             [this](call_number aCall, flow_answer aAnswer) {
               Answer(aCall, std::move(aAnswer));
             },
           .mFail =
             [this](call_number aCall, const error& aError) {
               Answer(aCall, Fail(aError));
             },
           .mLogDecision =
             [this](decision aDecision) {
               mDecisions.push_back(std::move(aDecision));
             },
           .mMembers = [this]() { return ReachableMembers(); },
           .mProcessorTimes = mConfig.mProcessorTimes };
}

std::vector<std::string>
flow_core::ReachableMembers() const
{
  std::vector<std::string> addresses{ mConfig.mAddress };
  for (const consensus::peer_status& peer : mRaft->Peers()) {
    const consensus::member* member = mRaft->Members().Find(peer.mId);
    if (member != nullptr && mAt.mNow < peer.mHeardAt + seconds(1)) {
      addresses.push_back(member->mAddress);
    }
  }
  return addresses;
}

void
flow_core::Receive(const consensus::message& aMessage, instant aAt)
{
  SetTime(aAt);
  mRaft->Receive(aMessage, aAt.mNow);
}

void
flow_core::Persisted(consensus::ticket_t aTicket, instant aAt)
{
  SetTime(aAt);
  mRaft->Persisted(aTicket, aAt.mNow);
}

std::string
flow_core::LeaderAddress() const
{
  const auto leader = mRaft->Leader();
  const consensus::member* member =
    leader ? mRaft->Members().Find(*leader) : nullptr;
  return member == nullptr ? std::string() : member->mAddress;
}

bool
flow_core::ShouldJoin(time_point aNow) const
{
  return !mRaft->IsLeader() && aNow >= mLeaderHeardAt + kJoinAfter;
}

void
flow_core::HandleRequest(call_number aCall,
                         const flow_request& aRequest,
                         instant aAt)
{
  SetTime(aAt);
  mOpenCalls.insert(aCall);
  UpdateLeader();
  // A leader that can't be certain that it still leads answers no request:
  // another leader may have accepted changes that it doesn't know.
  if (!mLeader || !mRaft->MayServe(aAt.mNow)) {
    const std::string leader = mRaft->IsLeader() ? "" : LeaderAddress();
    Answer(aCall, Fail(error{ error_code::NotLeader, "ask", {}, leader }));
    return;
  }
  if (const auto* join = std::get_if<join_request>(&aRequest)) {
    Admit(*join);
  }
  mLeader->HandleRequest(aCall, aRequest);
}

void
flow_core::OnOrderAnswer(std::uint64_t aOrder,
                         const order_answer& aAnswer,
                         instant aAt)
{
  SetTime(aAt);
  if (mLeader) {
    mLeader->OnOrderAnswer(aOrder, aAnswer);
  }
}

void
flow_core::OnAdviceAnswer(std::uint64_t aOrder,
                          const result<approvals>& aAnswer,
                          instant aAt)
{
  SetTime(aAt);
  if (mLeader) {
    mLeader->OnAdviceAnswer(aOrder, aAnswer);
  }
}

void
flow_core::OnMachineAnswer(std::uint64_t aCall,
                           const machines::call_answer& aAnswer,
                           instant aAt)
{
  SetTime(aAt);
  if (mLeader) {
    mLeader->OnMachineAnswer(aCall, aAnswer);
  }
}

void
flow_core::OnContacts(const worker_contacts& aContacts, time_point aQueriedAt)
{
  mHeard.clear();
  for (const worker_contact& contact : aContacts.mWorkers) {
    mHeard[contact.mWorker] = aQueriedAt - milliseconds(contact.mAgeMs);
  }
}

void
flow_core::OnRelayFailure(const std::string& aAddress, instant aAt)
{
  SetTime(aAt);
  if (mLeader) {
    mLeader->OnRelayFailure(aAddress);
  }
}

bool
flow_core::Propose(command_body aBody, leader_port::on_applied aThen)
{
  const auto position =
    mRaft->Propose(Encode(command{ mAt.mWallMs, std::move(aBody) }), mAt.mNow);
  if (!position) {
    return false;
  }
  if (aThen) {
    mProposals.insert_or_assign(position->mIndex,
                                proposal{ position->mTerm, std::move(aThen) });
  }
  return true;
}

void
flow_core::Answer(call_number aCall, result<flow_answer> aAnswer)
{
  if (mOpenCalls.erase(aCall) != 0) {
    mReplies.push_back({ aCall, std::move(aAnswer) });
  }
}

void
flow_core::Tick(instant aAt)
{
  SetTime(aAt);
  mRaft->Tick(aAt.mNow);
  if (mRaft->Leader()) {
    mLeaderHeardAt = aAt.mNow;
  }
  UpdateLeader();
  if (!mLeader) {
    return;
  }
  if (mRaft->MayServe(aAt.mNow)) {
    mLeader->Tick();
  }
  if (aAt.mNow >= mMembersCheckedAt + kMemberCheckInterval) {
    mMembersCheckedAt = aAt.mNow;
    MaintainMembers();
  }
}

// Promotes learners that have caught up to voters, and removes voters that have
// been silent for longer than a restart takes, so that they don't count in
// majorities.
void
flow_core::MaintainMembers()
{
  const consensus::membership members = mRaft->Members();
  for (const consensus::member& learner : members.mLearners) {
    if (!learner.mPromote && members.mVoters.size() < mConfig.mMaxVoters &&
        mRaft->Promote(learner.mId, mAt.mNow)) {
      mDecisions.push_back(
        { "member.promoted", { { "address", learner.mAddress } } });
      return;
    }
  }
  for (const consensus::peer_status& peer : mRaft->Peers()) {
    const consensus::member* member = members.Find(peer.mId);
    const duration bound =
      peer.mVoter ? duration(kRemoveVoterAfter) : duration(kRemoveLearnerAfter);
    if (member == nullptr || SilenceDuration(peer) < bound) {
      continue;
    }
    const std::string address = member->mAddress;
    if (mRaft->Remove(peer.mId, mAt.mNow)) {
      mDecisions.push_back({ "member.removed", { { "address", address } } });
      return;
    }
  }
}

// A new leader has not heard from any peer yet. Silence counts from the start
// of its leadership at the earliest; otherwise it would remove peers that
// answer slightly later than the others.
duration
flow_core::SilenceDuration(const consensus::peer_status& aPeer) const
{
  return mAt.mNow - std::max(aPeer.mHeardAt, mLeaderSince);
}

void
flow_core::Admit(const join_request& aJoin)
{
  const consensus::node_id id(aJoin.mNode);
  if (mRaft->Members().Find(id) != nullptr) {
    return;
  }
  for (const consensus::peer_status& peer : mRaft->Peers()) {
    if (peer.mVoter && SilenceDuration(peer) >= kReplaceVoterAfter &&
        mRaft->Replace(peer.mId, id, aJoin.mAddress, mAt.mNow)) {
      mDecisions.push_back(
        { "member.joins", { { "address", aJoin.mAddress } } });
      return;
    }
  }
  const consensus::membership& members = mRaft->Members();
  if (members.mVoters.size() + members.mLearners.size() >= mConfig.mMaxVoters) {
    return; // it remains a spare until a voter is silent
  }
  // Refused while another change is in progress; the node requests it again.
  if (mRaft->AddLearner(id, aJoin.mAddress, mAt.mNow)) {
    mDecisions.push_back({ "member.joins", { { "address", aJoin.mAddress } } });
  }
}

void
flow_core::HandOver(instant aAt)
{
  SetTime(aAt);
  // The result is ignored: it fails if no other voter is reachable.
  static_cast<void>(mRaft->TransferLeadership(aAt.mNow));
}

// The leader_core exists while this node leads and has applied an entry of its
// own term: the state then contains everything that was ever acknowledged.
void
flow_core::UpdateLeader()
{
  const bool sameTerm = mRaft->IsLeader() && mLeaderTerm == mRaft->Term();
  if (mLeader && !sameTerm) {
    StepDown();
  }
  const auto barrier = mRaft->ReadBarrier();
  const bool leads = mRaft->IsLeader() && barrier && mAppliedIndex >= *barrier;
  if (!mLeader && leads) {
    mLeaderTerm = mRaft->Term();
    mLeaderSince = mAt.mNow;
    mLeader = std::make_unique<leader_core>(
      mState, mConfig.mFlow, Port(), mLeaderTerm, mAt, mHeard);
    mDecisions.push_back(
      { "leading", { { "term", std::to_string(mLeaderTerm) } } });
  }
}

// Proposed commands may still be committed. Open requests therefore fail with
// an unknown outcome (Timeout), and the callers retry at the next leader.
void
flow_core::StepDown()
{
  mLeader.reset();
  mProposals.clear();
  mDecisions.push_back(
    { "stepped.down", { { "term", std::to_string(mLeaderTerm) } } });
  const std::set<call_number> open = mOpenCalls;
  for (const call_number call : open) {
    Answer(call, Fail(error_code::Timeout, "ask", "the leader stepped down"));
  }
}

void
flow_core::Plan(instant aAt)
{
  SetTime(aAt);
  UpdateLeader();
  if (mLeader && mRaft->MayServe(aAt.mNow) && mLeader->PlanIfDue()) {
    mPlanBeganAt = aAt.mNow;
  }
}

flow_effects
flow_core::TakeEffects(instant aAt)
{
  SetTime(aAt);
  flow_effects out;
  const auto planBeganAt = std::exchange(mPlanBeganAt, std::nullopt);
  if (mLeader && planBeganAt) {
    mLeader->OnPlanTook(aAt.mNow - *planBeganAt);
  }
  UpdateLeader();
  out.mRaft = mRaft->TakeEffects();
  if (out.mRaft.mSnapshot) {
    if (const auto read = mState.Restore(out.mRaft.mSnapshot->mState); !read) {
      mFatalError = read.error();
    }
    mAppliedIndex = out.mRaft.mSnapshot->mIndex;
    mSnapshotIndex = mAppliedIndex;
  }
  for (const consensus::log_entry& entry : out.mRaft.mCommitted) {
    ApplyEntry(entry);
  }
  if (!mIsSnapshotInProgress &&
      mAppliedIndex - mSnapshotIndex >= mConfig.mSnapshotEvery) {
    StartSnapshot();
  }
  // Orders grant leases, so only a leader that may serve sends them.
  if (mLeader && mRaft->MayServe(aAt.mNow)) {
    out.mOrders = mLeader->TakeOrders();
    out.mAdviceCalls = mLeader->TakeAdviceCalls();
    out.mMachineCalls = mLeader->TakeMachineCalls();
  }
  if (mRaft->Leader() && !mRaft->IsLeader() &&
      aAt.mNow >= mContactsQueriedAt + kContactQueryInterval) {
    mContactsQueriedAt = aAt.mNow;
    out.mQueriesContacts = true;
  }
  out.mSnapshot = std::exchange(mSnapshotToStore, nullptr);
  out.mReplies = std::exchange(mReplies, {});
  out.mDecisions = std::exchange(mDecisions, {});
  out.mFatalError = mFatalError;
  return out;
}

void
flow_core::ApplyEntry(const consensus::log_entry& aEntry)
{
  mAppliedIndex = aEntry.mIndex;
  if (aEntry.mKind != consensus::entry_kind::Command) {
    return;
  }
  const auto decoded = Decode<command>(aEntry.mPayload, "applying the log");
  if (!decoded) {
    // Skipping the entry would make this replica diverge unnoticed.
    mFatalError = decoded.error();
    return;
  }
  const apply_outcome outcome = mState.Apply(*decoded);
  leader_port::on_applied then;
  if (auto found = mProposals.extract(aEntry.mIndex);
      !found.empty() && found.mapped().mTerm == aEntry.mTerm) {
    then = std::move(found.mapped().mThen);
  }
  if (mLeader) {
    mLeader->OnApplied(decoded->mBody, outcome);
    if (then) {
      then(outcome);
    }
  }
}

void
flow_core::StartSnapshot()
{
  auto made = mRaft->MakeSnapshot(mAppliedIndex, mState.Save());
  if (!made) {
    mFatalError = made.error();
    return;
  }
  mIsSnapshotInProgress = true;
  mSnapshotToStore =
    std::make_shared<const consensus::snapshot>(std::move(*made));
}

void
flow_core::SnapshotStored(const consensus::snapshot& aSnapshot)
{
  mIsSnapshotInProgress = false;
  mSnapshotIndex = aSnapshot.mIndex;
  mRaft->Compact(aSnapshot);
}

} // namespace oriolewalk::flow
