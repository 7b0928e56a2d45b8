#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"

namespace oriolewalk::storage {

// An open file that closes itself. Empty after a move.
class owned_file
{
public:
  owned_file() = default;
  owned_file(file_system& aFiles, file_handle aHandle)
    : mFiles(&aFiles)
    , mHandle(aHandle)
  {
  }
  owned_file(const owned_file&) = delete;
  owned_file& operator=(const owned_file&) = delete;
  owned_file(owned_file&& aOther) noexcept
    : mFiles(std::exchange(aOther.mFiles, nullptr))
    , mHandle(aOther.mHandle)
  {
  }
  owned_file& operator=(owned_file&& aOther) noexcept
  {
    std::swap(mFiles, aOther.mFiles);
    std::swap(mHandle, aOther.mHandle);
    return *this;
  }
  ~owned_file()
  {
    if (mFiles != nullptr) {
      mFiles->Close(mHandle);
    }
  }

  [[nodiscard]] bool IsOpen() const { return mFiles != nullptr; }

  // Writes all of aBytes, in as many calls as the system needs. Errors: Io; a
  // part may then have been written.
  [[nodiscard]] result<void> WriteAll(std::uint64_t aOffset,
                                      std::string_view aBytes) const;
  [[nodiscard]] result<void> Resize(std::uint64_t aSize) const
  {
    return mFiles->Resize(mHandle, aSize);
  }
  [[nodiscard]] result<void> Sync() const { return mFiles->Sync(mHandle); }
  [[nodiscard]] result<void> Lock() const { return mFiles->Lock(mHandle); }

private:
  file_system* mFiles = nullptr;
  file_handle mHandle;
};

// Errors: as of file_system::Create.
result<owned_file>
CreateFile(file_system& aFiles, const std::string& aPath);
result<owned_file>
OpenFile(file_system& aFiles, const std::string& aPath);

// Ends the name of a file that isn't complete yet; Open removes leftovers.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

// Writes a whole file so that a crash leaves the old content or the new:
// a temporary file, its sync, a rename, the sync of the folder.
result<void>
ReplaceFile(file_system& aFiles,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aContent);

} // namespace oriolewalk::storage
