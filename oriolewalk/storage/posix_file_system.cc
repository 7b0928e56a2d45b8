#include "oriolewalk/storage/file_system.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <unistd.h>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"

namespace oriolewalk::storage {
namespace {

// The data holds callers' keys.
constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr std::size_t kReadChunk = 256UL * 1024UL;

tl::unexpected<error>
FailErrno(std::string_view aStep, std::string_view aWhat)
{
  const int code = errno;
  const auto kind = code == ENOENT        ? error_code::NotFound
                    : code == EWOULDBLOCK ? error_code::Busy
                                          : error_code::Io;
  return Fail(kind,
              aStep,
              std::string(aWhat) + ": " +
                std::error_code(code, std::generic_category()).message());
}

// Calls again while a signal interrupts.
template<class Call>
auto
Uninterrupted(Call aCall)
{
  auto answer = aCall();
  while (answer < 0 && errno == EINTR) {
    answer = aCall();
  }
  return answer;
}

result<file_handle>
OpenWith(const std::string& aPath, int aFlags, std::string_view aStep)
{
  const int file = Uninterrupted([&] {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    return ::open(aPath.c_str(), aFlags | O_CLOEXEC, kFileMode);
  });
  if (file < 0) {
    return FailErrno(aStep, aPath);
  }
  return file_handle(file);
}

} // namespace

result<void>
posix_file_system::MakeFolder(const std::string& aPath)
{
  if (::mkdir(aPath.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return FailErrno("make folder", aPath);
  }
  return {};
}

result<std::vector<std::string>>
posix_file_system::List(const std::string& aPath)
{
  std::error_code problem;
  std::vector<std::string> names;
  std::filesystem::directory_iterator position(aPath, problem);
  while (!problem && position != std::filesystem::directory_iterator()) {
    names.push_back(position->path().filename().string());
    position.increment(problem);
  }
  if (problem) {
    const bool missing = problem == std::errc::no_such_file_or_directory;
    return Fail(missing ? error_code::NotFound : error_code::Io,
                "list folder",
                aPath + ": " + problem.message());
  }
  std::ranges::sort(names);
  return names;
}

result<file_handle>
posix_file_system::Create(const std::string& aPath)
{
  return OpenWith(aPath, O_RDWR | O_CREAT | O_TRUNC, "create file");
}

result<file_handle>
posix_file_system::OpenToWrite(const std::string& aPath)
{
  return OpenWith(aPath, O_RDWR, "open file");
}

result<bytes>
posix_file_system::ReadAll(const std::string& aPath)
{
  const auto file = OpenWith(aPath, O_RDONLY, "open file");
  if (!file) {
    return Fail(file.error());
  }
  bytes content;
  std::size_t used = 0;
  while (true) {
    content.resize(used + kReadChunk);
    const auto got = Uninterrupted(
      [&] { return ::read(file->Value(), content.data() + used, kReadChunk); });
    if (got < 0) {
      auto failure = FailErrno("read file", aPath);
      Close(*file);
      return failure;
    }
    used += static_cast<std::size_t>(got);
    if (got == 0) {
      break;
    }
  }
  Close(*file);
  content.resize(used);
  return content;
}

result<std::size_t>
posix_file_system::Write(file_handle aFile,
                         std::uint64_t aOffset,
                         std::string_view aBytes)
{
  const auto written = Uninterrupted([&] {
    return ::pwrite(
      aFile.Value(), aBytes.data(), aBytes.size(), static_cast<off_t>(aOffset));
  });
  if (written < 0) {
    return FailErrno("write file", "pwrite");
  }
  return static_cast<std::size_t>(written);
}

result<void>
posix_file_system::Resize(file_handle aFile, std::uint64_t aSize)
{
  const int answer = Uninterrupted(
    [&] { return ::ftruncate(aFile.Value(), static_cast<off_t>(aSize)); });
  if (answer != 0) {
    return FailErrno("resize file", "ftruncate");
  }
  return {};
}

result<void>
posix_file_system::Sync(file_handle aFile)
{
  if (::fdatasync(aFile.Value()) != 0) {
    return FailErrno("sync file", "fdatasync");
  }
  return {};
}

result<void>
posix_file_system::Lock(file_handle aFile)
{
  // NOLINTNEXTLINE(hicpp-signed-bitwise)
  if (::flock(aFile.Value(), LOCK_EX | LOCK_NB) != 0) {
    return FailErrno("lock file", "flock");
  }
  return {};
}

void
posix_file_system::Close(file_handle aFile)
{
  // What had to survive was synced before; a close error has no remedy.
  ::close(aFile.Value());
}

result<void>
posix_file_system::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return FailErrno("rename file", aFrom + " to " + aTo);
  }
  return {};
}

result<void>
posix_file_system::Remove(const std::string& aPath)
{
  if (::unlink(aPath.c_str()) != 0) {
    return FailErrno("remove file", aPath);
  }
  return {};
}

result<void>
posix_file_system::SyncFolder(const std::string& aPath)
{
  const auto folder = OpenWith(aPath, O_RDONLY | O_DIRECTORY, "open folder");
  if (!folder) {
    return Fail(folder.error());
  }
  if (::fsync(folder->Value()) != 0) {
    auto failure = FailErrno("sync folder", aPath);
    Close(*folder);
    return failure;
  }
  Close(*folder);
  return {};
}

} // namespace oriolewalk::storage
