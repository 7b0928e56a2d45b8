#include "testing/storage/faulty_disk.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace oriolewalk::storage {
namespace {

constexpr std::size_t kPage = 512;

tl::unexpected<error>
Broken(std::string_view aStep, std::string_view aReason)
{
  return Fail(error_code::Io, aStep, std::string(aReason));
}

bool
IsIn(const std::string& aFolder, const std::string& aPath)
{
  return aPath.starts_with(aFolder + "/") &&
         aPath.find('/', aFolder.size() + 1) == std::string::npos;
}

} // namespace

void
faulty_disk::FailAt(std::uint64_t aCalls, fault aFault)
{
  mFailAt = mCalls + aCalls;
  mFault = aFault;
}

std::optional<faulty_disk::fault>
faulty_disk::Next(std::initializer_list<fault> aFitting)
{
  ++mCalls;
  if (mPowerLost) {
    return fault::PowerLoss;
  }
  const bool due = mFailAt != 0 && mCalls >= mFailAt;
  if (due && mFault == fault::PowerLoss) {
    mPowerLost = true;
    return fault::PowerLoss;
  }
  if (due && std::ranges::find(aFitting, mFault) != aFitting.end()) {
    mFailAt = 0;
    return mFault;
  }
  return std::nullopt;
}

void
faulty_disk::LosePages(inode& aInode, random_source& aRandom)
{
  const auto size = std::max(aInode.mNow.size(), aInode.mSynced.size());
  bytes after = aInode.mSynced;
  for (std::size_t at = 0; at < size; at += kPage) {
    if (aRandom.Below(2) == 0) {
      continue; // This page never reached the disk.
    }
    const auto now =
      at < aInode.mNow.size() ? aInode.mNow.substr(at, kPage) : bytes();
    if (after.size() < at + now.size()) {
      after.resize(at + now.size(), '\0');
    }
    after.replace(at, now.size(), now);
  }
  if (aInode.mNow.size() < aInode.mSynced.size() && aRandom.Below(2) == 0) {
    after.resize(aInode.mNow.size()); // The cut survived.
  }
  aInode.mNow = after;
  aInode.mSynced = after;
}

void
faulty_disk::Crash(random_source& aRandom)
{
  std::set<std::string> changed;
  for (const auto& [path, node] : mNow) {
    changed.insert(path);
  }
  for (const auto& [path, node] : mDurable) {
    changed.insert(path);
  }
  names after;
  for (const auto& path : changed) {
    const auto old = mDurable.find(path);
    const auto now = mNow.find(path);
    const bool keepNew = aRandom.Below(2) == 0;
    if (keepNew && now != mNow.end()) {
      after[path] = now->second;
    } else if (!keepNew && old != mDurable.end()) {
      after[path] = old->second;
    }
  }
  std::set<inode*> seen;
  for (const auto& [path, node] : after) {
    if (seen.insert(node.get()).second) {
      LosePages(*node, aRandom);
    }
  }
  mNow = after;
  mDurable = after;
  Kill();
}

void
faulty_disk::Kill()
{
  mOpen.clear();
  for (const auto& [path, node] : mNow) {
    node->mLocked = false;
  }
  mFailAt = 0;
  mFull = false;
  mPowerLost = false;
}

bytes&
faulty_disk::Content(const std::string& aPath)
{
  return mNow.at(aPath)->mNow;
}

std::vector<std::string>
faulty_disk::Paths() const
{
  std::vector<std::string> paths;
  std::ranges::copy(mNow | std::views::keys, std::back_inserter(paths));
  return paths;
}

faulty_disk::inode_ptr
faulty_disk::Of(file_handle aFile)
{
  const auto place = mOpen.find(aFile.Value());
  return place == mOpen.end() ? nullptr : place->second.mInode;
}

result<void>
faulty_disk::MakeFolder(const std::string& /*aPath*/)
{
  if (Next({})) {
    return Broken("make folder", "no power");
  }
  return {};
}

result<std::vector<std::string>>
faulty_disk::List(const std::string& aPath)
{
  std::vector<std::string> found;
  for (const auto& [path, node] : mNow) {
    if (IsIn(aPath, path)) {
      found.push_back(path.substr(aPath.size() + 1));
    }
  }
  return found;
}

result<file_handle>
faulty_disk::Create(const std::string& aPath)
{
  if (Next({})) {
    return Broken("create file", "no power");
  }
  auto& node = mNow[aPath];
  if (!node) {
    node = std::make_shared<inode>();
  }
  node->mNow.clear();
  mOpen[mNextHandle] = { node, false };
  return file_handle(mNextHandle++);
}

result<file_handle>
faulty_disk::OpenToWrite(const std::string& aPath)
{
  const auto place = mNow.find(aPath);
  if (place == mNow.end()) {
    return Fail(error_code::NotFound, "open file", aPath);
  }
  mOpen[mNextHandle] = { place->second, false };
  return file_handle(mNextHandle++);
}

result<bytes>
faulty_disk::ReadAll(const std::string& aPath)
{
  const auto place = mNow.find(aPath);
  if (place == mNow.end()) {
    return Fail(error_code::NotFound, "read file", aPath);
  }
  return place->second->mNow;
}

result<std::size_t>
faulty_disk::Write(file_handle aFile,
                   std::uint64_t aOffset,
                   std::string_view aBytes)
{
  const auto met =
    Next({ fault::ShortWrite, fault::DiskFull, fault::WriteError });
  const auto node = Of(aFile);
  if (!node || mFull || met == fault::WriteError || met == fault::PowerLoss) {
    return Broken("write file", mFull ? "no space left on device" : "broken");
  }
  mFull = met == fault::DiskFull;
  const auto taken = met ? aBytes.size() / 2 : aBytes.size();
  if (node->mNow.size() < aOffset + taken) {
    node->mNow.resize(aOffset + taken, '\0');
  }
  node->mNow.replace(aOffset, taken, aBytes.substr(0, taken));
  return taken;
}

result<void>
faulty_disk::Resize(file_handle aFile, std::uint64_t aSize)
{
  const auto node = Of(aFile);
  if (Next({}) || !node) {
    return Broken("resize file", "no power");
  }
  node->mNow.resize(aSize, '\0');
  return {};
}

result<void>
faulty_disk::Sync(file_handle aFile)
{
  const auto met = Next({ fault::SyncError });
  const auto node = Of(aFile);
  ++mSyncs;
  if (met || !node) {
    return Broken("sync file", "input/output error");
  }
  node->mSynced = node->mNow;
  return {};
}

result<void>
faulty_disk::Lock(file_handle aFile)
{
  const auto node = Of(aFile);
  if (!node || node->mLocked) {
    return Fail(error_code::Busy, "lock file", "held");
  }
  node->mLocked = true;
  mOpen[aFile.Value()].mHoldsLock = true;
  return {};
}

void
faulty_disk::Close(file_handle aFile)
{
  const auto place = mOpen.find(aFile.Value());
  if (place == mOpen.end()) {
    return;
  }
  if (place->second.mHoldsLock) {
    place->second.mInode->mLocked = false;
  }
  mOpen.erase(place);
}

result<void>
faulty_disk::Rename(const std::string& aFrom, const std::string& aTo)
{
  const auto place = mNow.find(aFrom);
  if (Next({ fault::RenameError }) || place == mNow.end()) {
    return Broken("rename file", "broken");
  }
  mNow[aTo] = place->second;
  mNow.erase(aFrom);
  return {};
}

result<void>
faulty_disk::Remove(const std::string& aPath)
{
  if (Next({})) {
    return Broken("remove file", "no power");
  }
  mNow.erase(aPath);
  return {};
}

result<void>
faulty_disk::SyncFolder(const std::string& aPath)
{
  if (Next({ fault::FolderSyncError })) {
    return Broken("sync folder", "input/output error");
  }
  std::erase_if(mDurable,
                [&](const auto& aName) { return IsIn(aPath, aName.first); });
  for (const auto& [path, node] : mNow) {
    if (IsIn(aPath, path)) {
      mDurable[path] = node;
    }
  }
  return {};
}

} // namespace oriolewalk::storage
