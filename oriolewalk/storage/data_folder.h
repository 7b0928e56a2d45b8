#pragma once

// The one folder in which a voter keeps what must survive: its vote, the log
// and a snapshot.
//
//   posix_file_system files;
//   auto opened = data_folder::Open(files, "/var/lib/oriole",
//                                   { "cell-1", 3 }, {});
//   if (!opened) { /* locked, another's, damaged: say so and stop */ }
//   Use(opened->mState);
//   data_folder& folder = *opened->mFolder;
//   folder.Append(records);      // buffered
//   folder.SaveVote(vote);       // buffered
//   if (folder.Sync()) { /* only now may anybody be told */ }
//
// Format: docs/STORAGE.md.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/entry.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/owned_file.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {

struct folder_options
{
  // A segment that has grown past this is followed by a new one. Smaller
  // segments free space sooner after a snapshot; each costs three syncs.
  std::uint64_t mSegmentBytes = 16UL * 1024UL * 1024UL;
  // What is buffered past this is written (and synced) in a block of its own.
  // Bounds the memory of one write and what a torn block can hold.
  std::uint64_t mBlockBytes = 4UL * 1024UL * 1024UL;
};

struct folder_contents; // recovery.h
class data_folder;

struct opened_folder
{
  std::unique_ptr<data_folder> mFolder;
  recovered_state mState;
};

// Owned by the storage thread, which alone may call it. Locked against other
// processes while it lives.
//
// After the first failed write or sync the folder is failed for good: every
// later call returns the first error. What the disk holds after such an error
// is unknown until the folder is opened again, so that nothing may be
// acknowledged on the strength of it.
class data_folder
{
public:
  // Makes the folder if it isn't there. Cuts a torn tail (what a crash left of
  // the one write that had not been synced) and makes all that it returns
  // durable. Cost: reads the whole folder once. Errors: Busy (locked by
  // another process), InvalidArgument (another's identity or a newer format),
  // Corrupt (damage, with file and offset; nothing was changed), Io.
  static result<opened_folder> Open(file_system& aFiles,
                                    const std::string& aPath,
                                    const folder_identity& aIdentity,
                                    const folder_options& aOptions);

  data_folder(const data_folder&) = delete;
  data_folder& operator=(const data_folder&) = delete;
  data_folder(data_folder&&) = delete;
  data_folder& operator=(data_folder&&) = delete;
  ~data_folder() = default;

  // The next records, without a gap. Errors: InvalidArgument (a gap or an
  // overlap; nothing was taken), or the error that failed the folder.
  result<void> Append(std::span<const log_record> aRecords);
  // Drops the records from aIndex on; past the end it does nothing. Errors:
  // InvalidArgument below the snapshot.
  result<void> TruncateFrom(std::uint64_t aIndex);
  // Replaces the saved vote.
  result<void> SaveVote(std::string_view aVote);
  // Makes everything above durable: one write and one fdatasync, unless a new
  // segment starts or the buffer is larger than a block. Nothing to do: free.
  result<void> Sync();
  // Makes the snapshot durable (with all that is buffered), then removes the
  // older one and the segments that it covers; records past it stay. One that
  // is not past the present snapshot has nothing to add and is left out: it may
  // have waited while a newer one was installed. Cost: the body is written
  // once; two file syncs and up to one folder sync for each file removed.
  result<void> SaveSnapshot(const snapshot_record& aSnapshot);
  // The same for a snapshot from the leader: it replaces the whole log, also
  // the records past it. They belong to a branch that was never committed; were
  // they kept, the leader's next records would not fit.
  result<void> InstallSnapshot(const snapshot_record& aSnapshot);

  // The index of the last record or of the snapshot; 0 if there is none.
  [[nodiscard]] std::uint64_t LastIndex() const { return mLastIndex; }
  [[nodiscard]] const std::optional<error>& Failure() const { return mFailure; }

private:
  struct sealed_segment
  {
    std::uint64_t mNumber = 0;
    std::uint64_t mHighestIndex = 0;
  };

  data_folder(file_system& aFiles,
              std::string aPath,
              const folder_options& aOptions,
              owned_file aLock);

  void Adopt(const folder_contents& aContents);
  result<void> Buffer(entry aEntry);
  result<void> WriteBlock();
  result<void> StartSegment();
  result<void> WriteSnapshotFile(const snapshot_record& aSnapshot);
  result<void> RemoveCovered();
  // What opens a segment, before anything else is in it.
  [[nodiscard]] std::vector<entry> Opening() const;
  void RememberWritten();
  // Keeps the first error and gives back aStep's view of it.
  result<void> Failed(const error& aError, std::string_view aStep);

  file_system& mFiles;
  std::string mPath;
  folder_options mOptions;
  owned_file mLock;
  std::optional<error> mFailure;

  std::vector<entry> mBuffer;
  std::uint64_t mBufferedBytes = 0;

  // The segment that is written to; none until the first write after Open.
  owned_file mSegment;
  std::uint64_t mSegmentNumber = 0;
  std::uint64_t mSegmentSize = 0;
  std::uint64_t mSegmentHighest = 0;
  std::uint64_t mNextBlock = 0;
  std::deque<sealed_segment> mSealed; // Oldest first.

  std::uint64_t mLastIndex = 0; // With what is buffered.
  std::uint64_t mSnapshotIndex = 0;
  // As of the last block written: what a new segment must open with.
  position_entry mWritten;
  bytes mWrittenVote;
};

} // namespace oriolewalk::storage
