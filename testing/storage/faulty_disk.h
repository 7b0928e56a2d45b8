#pragma once

// A disk in memory that loses, fills up and breaks like a real one.
//
//   faulty_disk disk;
//   auto opened = data_folder::Open(disk, "/d", identity, {});
//   disk.FailAt(3, faulty_disk::fault::SyncError); // the third call from now
//   disk.Crash(random);  // what was not synced survives in part, by chance
//
// Rules: written bytes may be lost until Sync of the file (by pages of 512
// bytes, any subset of them); a length follows the last page that survived;
// names may be lost, each for itself, until SyncFolder.

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/random.h"
#include "oriolewalk/storage/file_system.h"

namespace oriolewalk::storage {

class faulty_disk final : public file_system
{
public:
  enum class fault : std::uint8_t
  {
    ShortWrite, // Half is written, and no error.
    DiskFull,   // Half is written, then ENOSPC on the next write.
    WriteError,
    SyncError, // And the pages are then dropped, as Linux does.
    RenameError,
    FolderSyncError,
    PowerLoss, // This and each later call fails until Crash.
  };

  // The aCalls-th changing call from now (1: the next) meets aFault; if the
  // call is of another kind, the next fitting one does.
  void FailAt(std::uint64_t aCalls, fault aFault);
  // Power goes: open files and locks are gone, unsynced things by chance.
  void Crash(random_source& aRandom);
  // The process is killed: files and locks go, but all that was written stays.
  void Kill();

  [[nodiscard]] std::uint64_t ChangingCalls() const { return mCalls; }
  [[nodiscard]] std::uint64_t Syncs() const { return mSyncs; }
  // For tests that damage a file by hand.
  bytes& Content(const std::string& aPath);
  [[nodiscard]] std::vector<std::string> Paths() const;

  result<void> MakeFolder(const std::string& aPath) override;
  result<std::vector<std::string>> List(const std::string& aPath) override;
  result<file_handle> Create(const std::string& aPath) override;
  result<file_handle> OpenToWrite(const std::string& aPath) override;
  result<bytes> ReadAll(const std::string& aPath) override;
  result<std::size_t> Write(file_handle aFile,
                            std::uint64_t aOffset,
                            std::string_view aBytes) override;
  result<void> Resize(file_handle aFile, std::uint64_t aSize) override;
  result<void> Sync(file_handle aFile) override;
  result<void> Lock(file_handle aFile) override;
  void Close(file_handle aFile) override;
  result<void> Rename(const std::string& aFrom,
                      const std::string& aTo) override;
  result<void> Remove(const std::string& aPath) override;
  result<void> SyncFolder(const std::string& aPath) override;

private:
  struct inode
  {
    bytes mNow;
    bytes mSynced;
    bool mLocked = false;
  };
  using inode_ptr = std::shared_ptr<inode>;
  using names = std::map<std::string, inode_ptr>;
  struct open_state
  {
    inode_ptr mInode;
    bool mHoldsLock = false;
  };

  // The fault that this call meets, if any.
  std::optional<fault> Next(std::initializer_list<fault> aFitting);
  inode_ptr Of(file_handle aFile);
  static void LosePages(inode& aInode, random_source& aRandom);

  names mNow;
  names mDurable; // Names as of the last SyncFolder.
  std::map<int, open_state> mOpen;
  int mNextHandle = 1;
  std::uint64_t mCalls = 0;
  std::uint64_t mSyncs = 0;
  std::uint64_t mFailAt = 0; // 0: never.
  fault mFault = fault::WriteError;
  bool mFull = false;
  bool mPowerLost = false;
};

} // namespace oriolewalk::storage
