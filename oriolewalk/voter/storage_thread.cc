#include "oriolewalk/voter/storage_thread.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::voter {

namespace {

consensus::log_entry
FromRecord(storage::log_record& aRecord)
{
  return { aRecord.mIndex,
           aRecord.mTerm,
           static_cast<consensus::entry_kind>(aRecord.mKind),
           std::move(aRecord.mPayload) };
}

} // namespace

storage::log_record
ToRecord(const consensus::log_entry& aEntry)
{
  return { aEntry.mIndex,
           aEntry.mTerm,
           static_cast<std::uint8_t>(aEntry.mKind),
           aEntry.mPayload };
}

storage::snapshot_record
ToRecord(const consensus::snapshot& aSnapshot)
{
  return { aSnapshot.mIndex, aSnapshot.mTerm, Encode(aSnapshot) };
}

result<consensus::restored_state>
FromRecovered(storage::recovered_state aRecovered)
{
  consensus::restored_state restored;
  if (!aRecovered.mVote.empty()) {
    auto vote =
      Decode<consensus::hard_state>(aRecovered.mVote, "reading the vote");
    if (!vote) {
      return Fail(vote.error());
    }
    restored.mHardState = *vote;
  }
  if (aRecovered.mSnapshot) {
    auto snapshot = Decode<consensus::snapshot>(aRecovered.mSnapshot->mBody,
                                                "reading the snapshot");
    if (!snapshot) {
      return Fail(snapshot.error());
    }
    restored.mSnapshot = std::move(*snapshot);
  }
  std::ranges::transform(
    aRecovered.mRecords, std::back_inserter(restored.mEntries), FromRecord);
  return restored;
}

storage_thread::storage_thread(std::unique_ptr<storage::data_folder> aFolder,
                               done_function aOnDone)
  : mFolder(std::move(aFolder))
  , mOnDone(std::move(aOnDone))
  , mThread([this]() { Run(); })
{
}

storage_thread::~storage_thread()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_one();
  mThread.join();
}

void
storage_thread::Write(write_batch aBatch)
{
  {
    const std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aBatch));
  }
  mWake.notify_one();
}

std::vector<write_batch>
storage_thread::WaitForBatches()
{
  std::unique_lock lock(mMutex);
  mWake.wait(lock, [this]() { return mStopping || !mQueue.empty(); });
  return std::exchange(mQueue, {});
}

void
storage_thread::Run()
{
  for (;;) {
    const std::vector<write_batch> batches = WaitForBatches();
    if (batches.empty()) {
      return;
    }
    write_done done = WriteBatches(batches);
    const bool failed = done.mFailure.has_value();
    mOnDone(std::move(done));
    if (failed) {
      return;
    }
  }
}

write_done
storage_thread::WriteBatches(const std::vector<write_batch>& aBatches)
{
  const time_point start = runtime_clock::now();
  write_done done;
  done.mBatches = aBatches.size();
  for (const write_batch& batch : aBatches) {
    if (const auto written = WriteBatch(batch); !written) {
      done.mFailure = written.error().At("storing");
      return done;
    }
    done.mTicket = std::max(done.mTicket, batch.mTicket);
    if (batch.mSnapshot) {
      done.mSnapshot = batch.mSnapshot;
    }
  }
  if (const auto synced = mFolder->Sync(); !synced) {
    done.mFailure = synced.error().At("storing");
  }
  done.mElapsed = runtime_clock::now() - start;
  return done;
}

result<void>
storage_thread::WriteBatch(const write_batch& aBatch)
{
  result<void> outcome;
  if (aBatch.mHardState) {
    outcome = mFolder->SaveVote(Encode(*aBatch.mHardState));
  }
  if (outcome && aBatch.mInstalled) {
    outcome = mFolder->InstallSnapshot(ToRecord(*aBatch.mInstalled));
  }
  if (outcome && aBatch.mTruncateFrom) {
    outcome = mFolder->TruncateFrom(*aBatch.mTruncateFrom);
  }
  if (outcome && !aBatch.mAppend.empty()) {
    std::vector<storage::log_record> records;
    std::ranges::transform(aBatch.mAppend,
                           std::back_inserter(records),
                           [](const auto& aEntry) { return ToRecord(aEntry); });
    outcome = mFolder->Append(records);
  }
  if (outcome && aBatch.mSnapshot) {
    outcome = mFolder->SaveSnapshot(ToRecord(*aBatch.mSnapshot));
  }
  return outcome;
}

} // namespace oriolewalk::voter
