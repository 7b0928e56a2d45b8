#pragma once

// Writes the core's batches to storage on a separate thread, so that the
// control thread never waits for a disk.
//
//   storage_thread writer(std::move(folder), OnDone);
//   writer.Write(std::move(batch));   // calls OnDone after it is durable
//
// Uses group commit: all batches queued during a sync are written together with
// one sync. Under load more batches share a sync, and a single write without
// load starts at once.

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/consensus/types.h"
#include "oriolewalk/storage/data_folder.h"
#include "oriolewalk/voter/write_batch.h"

namespace oriolewalk::voter {

// The result of one sync. Either everything up to mTicket is durable, or
// mFailure holds the error after which nothing more will become durable.
struct write_done
{
  consensus::ticket_t mTicket = 0;
  std::shared_ptr<const consensus::snapshot> mSnapshot;
  std::size_t mBatches = 0;
  duration mElapsed{};
  std::optional<error> mFailure;
};

// Call Write from a single thread. The callback runs on the storage thread.
class storage_thread
{
public:
  using done_function = std::function<void(write_done)>;

  storage_thread(std::unique_ptr<storage::data_folder> aFolder,
                 done_function aOnDone);
  // Writes the queued batches, then stops the thread.
  ~storage_thread();
  storage_thread(const storage_thread&) = delete;
  storage_thread& operator=(const storage_thread&) = delete;
  storage_thread(storage_thread&&) = delete;
  storage_thread& operator=(storage_thread&&) = delete;

  void Write(write_batch aBatch);

private:
  void Run();
  std::vector<write_batch> WaitForBatches();
  write_done WriteBatches(const std::vector<write_batch>& aBatches);
  result<void> WriteBatch(const write_batch& aBatch);

  std::unique_ptr<storage::data_folder> mFolder;
  done_function mOnDone;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::vector<write_batch> mQueue;
  bool mStopping = false;
  std::thread mThread;
};

// Convert between the log in memory and its stored form.
storage::log_record
ToRecord(const consensus::log_entry& aEntry);
storage::snapshot_record
ToRecord(const consensus::snapshot& aSnapshot);
result<consensus::restored_state>
FromRecovered(storage::recovered_state aRecovered);

} // namespace oriolewalk::voter
