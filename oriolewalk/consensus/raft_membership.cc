// Who takes part: one change at a time, repairs that the leader carries on by
// itself, and handing over the lead.

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

// Two changes at once, or one before this term's first commit, could make two
// majorities that share no voter.
result<void>
raft_node::CheckChange(std::string_view aStep) const
{
  if (!IsLeader()) {
    return Fail(NotLeaderError(aStep));
  }
  if (mTransferTo) {
    return Fail(
      error_code::Unavailable, aStep, "leadership is being handed over");
  }
  if (IsMutated(mutation::ChangeWhileChanging)) {
    return {};
  }
  if (mCommit < mTermStart) {
    return Fail(
      error_code::Busy, aStep, "the new leader has not committed an entry yet");
  }
  if (mLog.MembersIndex() > mCommit) {
    return Fail(error_code::Busy, aStep, "another change is under way");
  }
  return {};
}

bool
raft_node::IsHeard(node_id aId) const
{
  const auto found = mProgress.find(aId);
  return found != mProgress.end() &&
         found->second.mHeardAt > mNow - mOptions.mElectionMax;
}

bool
raft_node::IsCaughtUp(node_id aId) const
{
  if (IsMutated(mutation::PromoteWithoutCatchUp)) {
    return true;
  }
  const auto found = mProgress.find(aId);
  return found != mProgress.end() && found->second.mMatch > 0 &&
         found->second.mMatch + mOptions.mCatchUpEntries >= LastIndex();
}

// Whether a majority of the changed voters is there and nearly caught up.
// Without this, a change could be accepted that never commits, or leaves the
// group hanging on a voter that is still empty.
bool
raft_node::HasData(const membership& aNext) const
{
  const auto ready =
    std::ranges::count_if(aNext.mVoters, [this](const member& aVoter) {
      return Counts(aVoter) &&
             (aVoter.mId == mSelf ||
              (IsHeard(aVoter.mId) && IsCaughtUp(aVoter.mId)));
    });
  return static_cast<std::size_t>(ready) >= aNext.Quorum() ||
         IsMutated(mutation::PromoteWithoutCatchUp);
}

result<log_position>
raft_node::Change(const membership& aNext, std::string_view aStep)
{
  if (aNext.mVoters.empty()) {
    return Fail(
      error_code::InvalidArgument, aStep, "the last voter cannot leave");
  }
  if (!HasData(aNext)) {
    return Fail(error_code::Unavailable,
                aStep,
                "a majority of the changed voters is not heard or lacks data");
  }
  const log_position place =
    AppendOwn(entry_kind::Configuration, Encode(aNext));
  UpdateProgress();
  return place;
}

result<log_position>
raft_node::AddLearner(node_id aId, std::string aAddress, time_point aNow)
{
  constexpr auto kStep = "add a learner";
  Observe(aNow);
  if (auto allowed = CheckChange(kStep); !allowed) {
    return Fail(allowed.error());
  }
  if (Members().Find(aId) != nullptr) {
    return Fail(error_code::Conflict, kStep, "it is a member already");
  }
  membership next = Members();
  next.PutLearner({ aId, std::move(aAddress), 0, false, std::nullopt });
  return Change(next, kStep);
}

result<log_position>
raft_node::Promote(node_id aId, time_point aNow)
{
  constexpr auto kStep = "promote a learner";
  Observe(aNow);
  if (auto allowed = CheckChange(kStep); !allowed) {
    return Fail(allowed.error());
  }
  const member* learner = Members().FindLearner(aId);
  if (learner == nullptr) {
    return Fail(error_code::NotFound, kStep, "it is not a learner");
  }
  if (!IsHeard(aId) || !IsCaughtUp(aId)) {
    return Fail(error_code::Unavailable, kStep, "it has not caught up yet");
  }
  member voter = *learner;
  voter.mPromote = false;
  voter.mIncarnation = mProgress.at(aId).mIncarnation.value_or(0);
  membership next = Members();
  next.PutVoter(std::move(voter));
  return Change(next, kStep);
}

result<log_position>
raft_node::Remove(node_id aId, time_point aNow)
{
  constexpr auto kStep = "remove a member";
  Observe(aNow);
  if (auto allowed = CheckChange(kStep); !allowed) {
    return Fail(allowed.error());
  }
  if (Members().Find(aId) == nullptr) {
    return Fail(error_code::NotFound, kStep, "it is not a member");
  }
  membership next = Members();
  next.Remove(aId);
  return Change(next, kStep);
}

result<log_position>
raft_node::Replace(node_id aOld,
                   node_id aNew,
                   std::string aAddress,
                   time_point aNow)
{
  constexpr auto kStep = "replace a voter";
  Observe(aNow);
  if (auto allowed = CheckChange(kStep); !allowed) {
    return Fail(allowed.error());
  }
  if (Members().FindVoter(aOld) == nullptr) {
    return Fail(error_code::NotFound, kStep, "the old one is not a voter");
  }
  if (Members().Find(aNew) != nullptr) {
    return Fail(error_code::Conflict, kStep, "the new one is a member already");
  }
  membership next = Members();
  // Two newcomers for one that goes would leave a voter too many.
  const auto replaces = [&](const member& aOne) {
    return aOne.mReplaces == aOld;
  };
  if (std::ranges::any_of(next.mLearners, replaces) ||
      std::ranges::any_of(next.mVoters, replaces)) {
    return Fail(
      error_code::Conflict, kStep, "another one takes its place already");
  }
  next.PutLearner({ aNew, std::move(aAddress), 0, true, aOld });
  return Change(next, kStep);
}

// The next step of a repair, read from the membership itself, so that a new
// leader goes on where the old one stopped.
std::optional<membership>
raft_node::NextRepair() const
{
  const membership& now = Members();
  const auto lostDisk =
    std::ranges::find_if(now.mVoters, [&](const member& aVoter) {
      return aVoter.mId != mSelf && IsHeard(aVoter.mId) && !Counts(aVoter);
    });
  membership next = now;
  if (lostDisk != now.mVoters.end()) {
    member learner = *lostDisk;
    learner.mPromote = true;
    learner.mIncarnation = mProgress.at(learner.mId).mIncarnation.value_or(0);
    next.PutLearner(std::move(learner));
    return next;
  }
  const auto ready =
    std::ranges::find_if(now.mLearners, [&](const member& aOne) {
      return aOne.mPromote && IsHeard(aOne.mId) && IsCaughtUp(aOne.mId);
    });
  if (ready != now.mLearners.end()) {
    member voter = *ready;
    voter.mPromote = false;
    voter.mIncarnation = mProgress.at(voter.mId).mIncarnation.value_or(0);
    next.PutVoter(std::move(voter));
    return next;
  }
  for (const member& voter : now.mVoters) {
    if (voter.mReplaces) {
      member replacement = voter;
      replacement.mReplaces.reset();
      next.Remove(*voter.mReplaces);
      next.PutVoter(std::move(replacement));
      return next;
    }
  }
  return std::nullopt;
}

// Nobody watches after hours: a voter that comes back with an empty disk is
// made a learner, caught up and made a voter again, each by a committed change.
void
raft_node::Repair()
{
  constexpr auto kStep = "repair";
  if (!CheckChange(kStep)) {
    return;
  }
  if (auto next = NextRepair()) {
    // Refused while a majority isn't there; the next tick tries again.
    static_cast<void>(Change(*next, kStep));
  }
}

std::optional<node_id>
raft_node::BestVoter() const
{
  std::optional<node_id> best;
  for (const member& voter : Members().mVoters) {
    if (voter.mId == mSelf || !Counts(voter) || !IsHeard(voter.mId)) {
      continue;
    }
    if (!best || mProgress.at(voter.mId).mMatch > mProgress.at(*best).mMatch) {
      best = voter.mId;
    }
  }
  return best;
}

result<void>
raft_node::TransferLeadership(node_id aTo, time_point aNow)
{
  constexpr auto kStep = "hand over leadership";
  Observe(aNow);
  if (!IsLeader()) {
    return Fail(NotLeaderError(kStep));
  }
  if (mTransferTo) {
    return Fail(error_code::Busy, kStep, "it is being handed over already");
  }
  const member* voter = Members().FindVoter(aTo);
  if (voter == nullptr || aTo == mSelf) {
    return Fail(error_code::NotFound, kStep, "it is not another voter");
  }
  if (!Counts(*voter) || !IsHeard(aTo)) {
    return Fail(error_code::Unavailable, kStep, "the other is not heard");
  }
  mTransferTo = aTo;
  mTransferDeadline = mNow + mOptions.mElectionMin;
  CheckTransfer();
  return {};
}

result<void>
raft_node::TransferLeadership(time_point aNow)
{
  Observe(aNow);
  const auto best = IsLeader() ? BestVoter() : std::nullopt;
  if (IsLeader() && !best) {
    return Fail(error_code::Unavailable,
                "hand over leadership",
                "no other voter is heard");
  }
  return TransferLeadership(best.value_or(mSelf), aNow);
}

// A timeout_now may arrive late, so once it has left the lease is no longer
// this node's for the rest of the term. If nobody takes over, stepping down
// lets the voters elect.
void
raft_node::CheckTransfer()
{
  if (!mTransferTo) {
    return;
  }
  const auto found = mProgress.find(*mTransferTo);
  if (!mAskedToLead && found != mProgress.end() &&
      found->second.mMatch == LastIndex()) {
    mAskedToLead = true;
    mTransferDeadline = mNow + mOptions.mElectionMin;
    Send(*mTransferTo, timeout_now{});
    return;
  }
  if (mNow < mTransferDeadline) {
    return;
  }
  if (mAskedToLead) {
    BecomeFollower(mHardState.mTerm, std::nullopt);
  } else {
    mTransferTo.reset();
  }
}

void
raft_node::LeaveIfRemoved()
{
  if (mLog.MembersIndex() > mCommit || Members().FindVoter(mSelf) != nullptr) {
    return;
  }
  if (const auto best = BestVoter()) {
    Send(*best, timeout_now{});
  }
  BecomeFollower(mHardState.mTerm, std::nullopt);
}

} // namespace oriolewalk::consensus
