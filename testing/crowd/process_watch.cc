#include "testing/crowd/process_watch.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include <boost/asio/ip/address_v4.hpp>
#include <unistd.h>

namespace oriolewalk::crowd {

namespace {

constexpr std::chrono::milliseconds kLook{ 10 };

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
FolderOf(const watched_process& aProcess)
{
  return "/proc/" + std::to_string(aProcess.mId);
}

// Zero: it has ended.
std::size_t
ResidentBytes(const watched_process& aProcess)
{
  std::istringstream pages(ReadFile(FolderOf(aProcess) + "/statm"));
  std::size_t all = 0;
  std::size_t resident = 0;
  pages >> all >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// The highest that the kernel has seen, also between two looks.
std::size_t
HighestResidentBytes(const watched_process& aProcess)
{
  constexpr std::size_t kKiB = 1024;
  std::istringstream status(ReadFile(FolderOf(aProcess) + "/status"));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return kKiB * std::strtoull(line.c_str() + 6, nullptr, 10);
    }
  }
  return 0;
}

std::size_t
CountDescriptors(const watched_process& aProcess)
{
  std::error_code problem;
  std::filesystem::directory_iterator files(FolderOf(aProcess) + "/fd",
                                            problem);
  return problem ? 0
                 : static_cast<std::size_t>(std::distance(
                     files, std::filesystem::directory_iterator()));
}

// As the kernel's table of sockets writes it: the bytes as one number of the
// machine's order.
std::string
HexOf(const std::string& aIp)
{
  const auto bytes = boost::asio::ip::make_address_v4(aIp).to_bytes();
  std::uint32_t number = 0;
  std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(&number));
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08X", number);
  return text.data();
}

// A line: "  12: 0107007F:1FE1 0101007F:8C2E 01 00000000:00001000 ...": local
// and remote address, state, bytes to send and bytes that weren't read.
std::size_t
UnreadBytes(std::string_view aSockets, const std::string& aIp)
{
  constexpr std::string_view kListening = "0A";
  const std::string host = HexOf(aIp) + ":";
  std::size_t unread = 0;
  std::istringstream lines{ std::string(aSockets) };
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    words >> number >> local >> remote >> state >> queues;
    const std::size_t colon = queues.find(':');
    if (local.starts_with(host) && state != kListening &&
        colon != std::string::npos) {
      unread += std::strtoull(queues.c_str() + colon + 1, nullptr, 16);
    }
  }
  return unread;
}

} // namespace

process_watch::process_watch(std::vector<watched_process> aProcesses)
  : mProcesses(std::move(aProcesses))
  , mThread([this]() { Run(); })
{
}

process_watch::~process_watch()
{
  Stop();
}

void
process_watch::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
process_watch::Run()
{
  bool last = false;
  while (!last) {
    last = mStopping;
    const std::string sockets = ReadFile("/proc/net/tcp");
    for (watched_process& one : mProcesses) {
      if (!one.mEnded) {
        Look(one, sockets);
        mAnyEnded = mAnyEnded || one.mEnded;
      }
    }
    std::this_thread::sleep_for(kLook);
  }
}

void
process_watch::Look(watched_process& aProcess, std::string_view aSockets)
{
  const std::size_t resident = ResidentBytes(aProcess);
  if (resident == 0) {
    aProcess.mEnded = true;
    return;
  }
  const std::size_t unread = UnreadBytes(aSockets, aProcess.mIp);
  aProcess.mPeakUnread = std::max(aProcess.mPeakUnread, unread);
  aProcess.mPeakBytes = std::max(
    { aProcess.mPeakBytes, resident + unread, HighestResidentBytes(aProcess) });
  aProcess.mPeakDescriptors =
    std::max(aProcess.mPeakDescriptors, CountDescriptors(aProcess));
  if (aProcess.mPeakBytes > aProcess.mMaxBytes) {
    aProcess.mOverMemory = true;
    aProcess.mEnded = true;
    ::kill(aProcess.mId, SIGKILL);
  }
}

std::vector<std::string>
process_watch::Violations() const
{
  std::vector<std::string> broken;
  for (const watched_process& one : mProcesses) {
    if (one.mOverMemory) {
      broken.push_back(one.mName + " held more than its memory");
    } else if (one.mEnded) {
      broken.push_back(one.mName + " ended by itself");
    }
    if (one.mPeakDescriptors > one.mMaxDescriptors) {
      broken.push_back(one.mName + " opened more than its descriptors");
    }
  }
  return broken;
}

} // namespace oriolewalk::crowd
