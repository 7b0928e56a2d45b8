#pragma once

// The few file operations that storage needs, so that tests can crash, fill
// and break a disk.
//
//   posix_file_system files;
//   auto file = files.Create("/data/a");
//   files.Write(*file, 0, "text");
//   files.Sync(*file);
//   files.SyncFolder("/data"); // only now does the name survive a crash
//
// This is an abstract class and not a std::variant, against the house style:
// the set of implementations is open. The faulty disk of the tests (and a
// user's own test bench) lives outside of the product, and a variant would
// have to name it here. The call is beside a system call, so that its cost
// doesn't matter.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::storage {

using file_handle = strong_id<struct file_handle_tag, int>;

// Paths are plain strings with '/' between their parts. Errors are Io with the
// system's reason, NotFound where a file isn't there, Busy for a lock that
// another holds. One thread at a time.
class file_system
{
public:
  file_system() = default;
  file_system(const file_system&) = delete;
  file_system& operator=(const file_system&) = delete;
  file_system(file_system&&) = delete;
  file_system& operator=(file_system&&) = delete;
  virtual ~file_system() = default;

  // Makes the folder if it isn't there; its parent must be.
  virtual result<void> MakeFolder(const std::string& aPath) = 0;
  // Names (without the path) of the files in a folder, sorted.
  virtual result<std::vector<std::string>> List(const std::string& aPath) = 0;
  // Makes an empty file, or empties the one that is there.
  virtual result<file_handle> Create(const std::string& aPath) = 0;
  virtual result<file_handle> OpenToWrite(const std::string& aPath) = 0;
  virtual result<bytes> ReadAll(const std::string& aPath) = 0;
  // Returns how much was written, which may be less than was given.
  virtual result<std::size_t> Write(file_handle aFile,
                                    std::uint64_t aOffset,
                                    std::string_view aBytes) = 0;
  virtual result<void> Resize(file_handle aFile, std::uint64_t aSize) = 0;
  // Content and length survive a crash once this returns without an error.
  // After an error nothing is known, and a second try would report success
  // without having written (the kernel drops the failed pages): give up.
  virtual result<void> Sync(file_handle aFile) = 0;
  // Holds the file against others until it is closed. Errors: Busy.
  virtual result<void> Lock(file_handle aFile) = 0;
  virtual void Close(file_handle aFile) = 0;
  virtual result<void> Rename(const std::string& aFrom,
                              const std::string& aTo) = 0;
  virtual result<void> Remove(const std::string& aPath) = 0;
  // Names made, renamed and removed in the folder survive a crash after this.
  virtual result<void> SyncFolder(const std::string& aPath) = 0;
};

// The machine's files. Stateless: any thread, if each uses its own files.
class posix_file_system final : public file_system
{
public:
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
};

} // namespace oriolewalk::storage
