#include "oriolewalk/storage/owned_file.h"

#include <cstdint>
#include <string>
#include <string_view>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"

namespace oriolewalk::storage {

result<void>
owned_file::WriteAll(std::uint64_t aOffset, std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const auto written = mFiles->Write(mHandle, aOffset, aBytes);
    if (!written) {
      return Fail(written.error());
    }
    if (*written == 0) {
      // Without this a disk that takes nothing would hold the thread for ever.
      return Fail(error_code::Io, "write file", "nothing was written");
    }
    aOffset += *written;
    aBytes.remove_prefix(*written);
  }
  return {};
}

result<owned_file>
CreateFile(file_system& aFiles, const std::string& aPath)
{
  return aFiles.Create(aPath).map(
    [&](file_handle aHandle) { return owned_file(aFiles, aHandle); });
}

result<owned_file>
OpenFile(file_system& aFiles, const std::string& aPath)
{
  return aFiles.OpenToWrite(aPath).map(
    [&](file_handle aHandle) { return owned_file(aFiles, aHandle); });
}

result<void>
ReplaceFile(file_system& aFiles,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aContent)
{
  const std::string target = aFolder + "/" + aName;
  const std::string temporary = target + std::string(kTemporarySuffix);
  const auto file = CreateFile(aFiles, temporary);
  if (!file) {
    return Fail(file.error());
  }
  return file->WriteAll(0, aContent)
    .and_then([&] { return file->Sync(); })
    .and_then([&] { return aFiles.Rename(temporary, target); })
    .and_then([&] { return aFiles.SyncFolder(aFolder); });
}

} // namespace oriolewalk::storage
