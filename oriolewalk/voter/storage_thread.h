#pragma once

// Writes what the core wants stored, on a thread of its own, so that the
// control thread never waits for a disk.
//
//   storage_thread writer(std::move(folder), OnDone);
//   writer.Write(std::move(batch));   // OnDone after it is durable
//
// Group commit: all batches that came while the last sync ran are written with
// one sync. Under load the batches grow by themselves, and a lone write waits
// for nobody.

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

// A sync is over: everything up to mTicket is durable, or mFailure says why
// nothing more will ever be.
struct write_done
{
  consensus::ticket_t mTicket = 0;
  std::shared_ptr<const consensus::snapshot> mSnapshot;
  std::size_t mBatches = 0;
  duration mElapsed{};
  std::optional<error> mFailure;
};

// Write from any one thread. The callback runs on the storage thread.
class storage_thread
{
public:
  using done_function = std::function<void(write_done)>;

  storage_thread(std::unique_ptr<storage::data_folder> aFolder,
                 done_function aOnDone);
  // Writes what is queued, then ends.
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

// The stored form of the log and back.
storage::log_record
ToRecord(const consensus::log_entry& aEntry);
storage::snapshot_record
ToRecord(const consensus::snapshot& aSnapshot);
result<consensus::restored_state>
FromRecovered(storage::recovered_state aRecovered);

} // namespace oriolewalk::voter
