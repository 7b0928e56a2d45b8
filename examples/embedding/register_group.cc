#include "register_group.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <type_traits>
#include <utility>

namespace example {

namespace {

template<class Value>
Value
Must(oriolewalk::result<Value> aResult)
{
  if (!aResult) {
    Stop(aResult.error().Describe());
  }
  if constexpr (!std::is_void_v<Value>) {
    return std::move(*aResult);
  }
}

consensus::restored_state
Restore(const storage::recovered_state& aFound)
{
  consensus::restored_state restored;
  if (!aFound.mVote.empty()) {
    restored.mHardState =
      Must(oriolewalk::Decode<consensus::hard_state>(aFound.mVote, "vote"));
  }
  for (const auto& record : aFound.mRecords) {
    restored.mEntries.push_back(
      Must(oriolewalk::Decode<consensus::log_entry>(record.mPayload, "entry")));
  }
  // These nodes found the group, so that an empty folder may vote. A node that
  // may have lost its folder must set mMayVote to false.
  Must(consensus::CheckRestored(restored));
  return restored;
}

// No snapshots: nothing here calls Compact, so that the log keeps all.
void
Store(storage::data_folder& aFolder, const consensus::effects& aOut)
{
  if (aOut.mHardState) {
    Must(aFolder.SaveVote(oriolewalk::Encode(*aOut.mHardState)));
  }
  if (aOut.mTruncateFrom) {
    Must(aFolder.TruncateFrom(*aOut.mTruncateFrom));
  }
  for (const auto& entry : aOut.mAppend) {
    const storage::log_record record{
      entry.mIndex, entry.mTerm, 0, oriolewalk::Encode(entry)
    };
    Must(aFolder.Append({ &record, 1 }));
  }
  Must(aFolder.Sync());
}

} // namespace

void
Stop(const std::string& aReason)
{
  std::cerr << aReason << '\n';
  std::exit(EXIT_FAILURE);
}

register_group::register_group(std::string aPath)
  : mPath(std::move(aPath))
{
  for (const std::uint64_t id : { 1, 2, 3 }) {
    mFounders.PutVoter({ node_id(id), {}, 0, false, {} });
  }
  for (const auto& founder : mFounders.mVoters) {
    Start(founder.mId);
  }
}

void
register_group::Start(node_id aId)
{
  const std::string path = mPath + std::to_string(aId.Value());
  auto opened = Must(
    storage::data_folder::Open(mFiles, path, { "example", aId.Value() }, {}));
  replica started;
  started.mFolder = std::move(opened.mFolder);
  started.mNode = std::make_unique<consensus::raft_node>(
    aId, mOptions, Restore(opened.mState), mFounders, ++mSeed, mNow);
  mReplicas[aId] = std::move(started);
}

void
register_group::Crash(node_id aId)
{
  mReplicas[aId] = {};
}

node_id
register_group::Leader()
{
  for (;; Step()) {
    const auto found = std::ranges::find_if(mReplicas, [this](auto& aEntry) {
      return aEntry.second.mNode && aEntry.second.mNode->MayServe(mNow);
    });
    if (found != mReplicas.end()) {
      return found->first;
    }
  }
}

void
register_group::Write(const std::string& aValue)
{
  const replica& leader = mReplicas[Leader()];
  const auto place = Must(leader.mNode->Propose(aValue, mNow));
  while (leader.mApplied.mIndex < place.mIndex) {
    Step();
  }
  // Another term in its place would mean that it never will be committed.
  if (leader.mApplied != place) {
    Stop("another entry was committed in its place");
  }
}

std::string
register_group::Read()
{
  return ReadAt(Leader());
}

std::string
register_group::ReadAt(node_id aId)
{
  return mReplicas[aId].mValue;
}

void
register_group::Step()
{
  mNow += oriolewalk::milliseconds(10);
  for (const auto& message : std::exchange(mMessages, {})) {
    if (const replica& to = mReplicas[message.mTo]; to.mNode) {
      to.mNode->Receive(message, mNow);
    }
  }
  for (auto& [id, each] : mReplicas) {
    if (each.mNode) {
      each.mNode->Tick(mNow);
      CarryOut(each);
    }
  }
}

void
register_group::CarryOut(replica& aReplica)
{
  for (;;) {
    consensus::effects out = aReplica.mNode->TakeEffects();
    std::ranges::move(out.mMessages, std::back_inserter(mMessages));
    for (const auto& entry : out.mCommitted) {
      aReplica.mApplied = { entry.mIndex, entry.mTerm };
      if (entry.mKind == consensus::entry_kind::Command) {
        aReplica.mValue = entry.mPayload;
      }
    }
    if (out.mTicket == 0) {
      return;
    }
    Store(*aReplica.mFolder, out);
    aReplica.mNode->Persisted(out.mTicket, mNow);
  }
}

} // namespace example
