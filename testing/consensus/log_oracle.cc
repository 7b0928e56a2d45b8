#include "testing/consensus/log_oracle.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace oriolewalk::consensus {

namespace {

std::string
Name(node_id aNode)
{
  return "node " + std::to_string(aNode.Value());
}

} // namespace

void
log_oracle::Violate(std::string aWhat)
{
  if (!mViolation) {
    mViolation = std::move(aWhat);
  }
}

log_index
log_oracle::LastCommitted() const
{
  return mCommitted.empty() ? 0 : mCommitted.rbegin()->first;
}

bool
log_oracle::IsCommitted(const bytes& aCommand) const
{
  return mCommands.contains(aCommand);
}

void
log_oracle::Role(const raft_node& aNode)
{
  if (!aNode.IsLeader()) {
    return;
  }
  const auto [place, isNew] = mLeaders.emplace(aNode.Term(), aNode.Self());
  if (place->second != aNode.Self()) {
    Violate("two leaders in term " + std::to_string(aNode.Term()));
  }
  // A candidate may still win an old term by late votes when a newer leader
  // has committed more; it must have what was committed in terms before its.
  const auto missing =
    std::ranges::find_if(mCommitTerms, [&](const auto& aPair) {
      return aPair.first > aNode.LastIndex() && aPair.second < aNode.Term();
    });
  if (isNew && missing != mCommitTerms.end()) {
    Violate(Name(aNode.Self()) + " leads without committed entry " +
            std::to_string(missing->first));
  }
}

bytes
log_oracle::Digest(const bytes& aBefore, const log_entry& aEntry)
{
  if (aEntry.mKind != entry_kind::Command) {
    return aBefore;
  }
  return std::to_string(std::hash<bytes>{}(aBefore + aEntry.mPayload));
}

void
log_oracle::Committed(const raft_node& aNode, const log_entry& aEntry)
{
  const auto known = mCommitted.find(aEntry.mIndex);
  if (known != mCommitted.end()) {
    if (known->second != aEntry) {
      Violate(Name(aNode.Self()) + " applied another entry at " +
              std::to_string(aEntry.mIndex));
    }
    return;
  }
  if (aEntry.mIndex != LastCommitted() + 1) {
    Violate(Name(aNode.Self()) + " left out entries before " +
            std::to_string(aEntry.mIndex));
    return;
  }
  const bytes before =
    aEntry.mIndex == 1 ? bytes{} : mDigests[aEntry.mIndex - 1];
  mDigests[aEntry.mIndex] = Digest(before, aEntry);
  mCommitted.emplace(aEntry.mIndex, aEntry);
  mCommitTerms.emplace(aEntry.mIndex, aNode.Term());
  if (aEntry.mKind != entry_kind::Command) {
    return;
  }
  if (!mCommands.insert(aEntry.mPayload).second) {
    Violate("command " + aEntry.mPayload + " was committed twice");
  }
  if (mRefused.contains(aEntry.mPayload)) {
    Violate("command " + aEntry.mPayload + " was given up for good before");
  }
}

void
log_oracle::Acknowledged(const bytes& aCommand)
{
  if (!mCommands.contains(aCommand)) {
    Violate("command " + aCommand + " was acknowledged but isn't committed");
  }
}

void
log_oracle::Refused(const bytes& aCommand)
{
  mRefused.insert(aCommand);
  if (mCommands.contains(aCommand)) {
    Violate("command " + aCommand + " was given up but is committed");
  }
}

void
log_oracle::Serving(int aServing, std::optional<log_index> aBarrier)
{
  if (aServing > 1) {
    Violate(std::to_string(aServing) + " nodes may serve at once");
  }
  if (aBarrier && *aBarrier < LastCommitted()) {
    Violate("a read at " + std::to_string(*aBarrier) + " misses entry " +
            std::to_string(LastCommitted()));
  }
}

void
log_oracle::State(node_id aNode, log_index aIndex, const bytes& aDigest)
{
  const auto known = mDigests.find(aIndex);
  if (known == mDigests.end() || known->second != aDigest) {
    Violate(Name(aNode) + " has another state at " + std::to_string(aIndex));
  }
}

} // namespace oriolewalk::consensus
