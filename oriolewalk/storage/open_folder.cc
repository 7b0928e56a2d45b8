#include "oriolewalk/storage/open_folder.h"

#include <string>
#include <string_view>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/owned_file.h"
#include "oriolewalk/storage/records.h"
#include "oriolewalk/storage/recovery.h"
#include "oriolewalk/storage/sealed_file.h"
#include "oriolewalk/storage/segment.h"

namespace oriolewalk::storage {
namespace {

std::string
ParentOf(const std::string& aPath)
{
  const auto slash = aPath.find_last_of('/');
  if (slash == std::string::npos) {
    return ".";
  }
  return slash == 0 ? "/" : aPath.substr(0, slash);
}

std::string
Name(const folder_identity& aIdentity)
{
  return "cluster '" + aIdentity.mCluster + "', node " +
         std::to_string(aIdentity.mNode);
}

// A process that was killed between write and sync leaves blocks that reading
// shows but that a power failure would still take; and after a failed sync the
// kernel counts pages as clean that never reached the disk. So the last block,
// the only one that can be in that state, is written and synced once more.
result<void>
SettleTail(file_system& aFiles,
           const std::string& aPath,
           const recovered_segment& aSegment)
{
  const auto file =
    OpenFile(aFiles, aPath + "/" + SegmentName(aSegment.mNumber));
  if (!file) {
    return Fail(file.error());
  }
  const auto header = SegmentHeader(aSegment.mNumber);
  return file->Resize(aSegment.mGoodEnd)
    .and_then([&] { return file->WriteAll(0, header); })
    .and_then([&] {
      return file->WriteAll(aSegment.mLastBlockAt, aSegment.mLastBlock);
    })
    .and_then([&] { return file->Sync(); });
}

} // namespace

result<owned_file>
LockFolder(file_system& aFiles, const std::string& aPath)
{
  auto made = aFiles.MakeFolder(aPath).and_then(
    [&] { return aFiles.SyncFolder(ParentOf(aPath)); });
  if (!made) {
    return Fail(made.error());
  }
  auto file = CreateFile(aFiles, aPath + "/" + std::string(kLockName));
  if (!file) {
    return Fail(file.error());
  }
  if (auto locked = file->Lock(); !locked) {
    error problem = locked.error();
    if (problem.mCode == error_code::Busy) {
      problem.mMessage = aPath + " is in use by another process";
    }
    return Fail(std::move(problem));
  }
  return file;
}

result<void>
ClaimIdentity(file_system& aFiles,
              const std::string& aPath,
              const folder_identity& aIdentity,
              const folder_contents& aContents)
{
  if (!aContents.mIdentity) {
    return ReplaceFile(aFiles,
                       aPath,
                       std::string(kIdentityName),
                       Seal(kIdentityKind, Encode(aIdentity)));
  }
  if (*aContents.mIdentity != aIdentity) {
    return Fail(error_code::InvalidArgument,
                "check identity",
                aPath + " belongs to " + Name(*aContents.mIdentity) +
                  ", not to " + Name(aIdentity));
  }
  return {};
}

result<void>
Repair(file_system& aFiles,
       const std::string& aPath,
       folder_contents& aContents)
{
  auto& segments = aContents.mSegments;
  if (!segments.empty() && segments.back().mGoodEnd == 0) {
    auto removed =
      RemoveDurably(aFiles, aPath, SegmentName(segments.back().mNumber));
    if (!removed) {
      return removed;
    }
    segments.pop_back();
  } else if (!segments.empty()) {
    if (auto done = SettleTail(aFiles, aPath, segments.back()); !done) {
      return done;
    }
  }
  for (const auto& name : aContents.mLeftovers) {
    std::string path = aPath;
    path += "/" + name;
    if (auto removed = aFiles.Remove(path); !removed) {
      return removed;
    }
  }
  return aFiles.SyncFolder(aPath);
}

result<void>
RemoveDurably(file_system& aFiles,
              const std::string& aPath,
              const std::string& aName)
{
  return aFiles.Remove(aPath + "/" + aName).and_then([&] {
    return aFiles.SyncFolder(aPath);
  });
}

} // namespace oriolewalk::storage
