#pragma once

// Watches what processes of this machine hold, and ends one that holds more
// memory than it is given, as the platform does.
//
//   process_watch watch({ { "e1", 4711, "127.7.2.1", 64 << 20 } });
//   ...
//   watch.Stop();
//   for (const std::string& one : watch.Violations()) { ... }
//
// A thread of its own looks every few milliseconds. Memory is what is resident
// and what has arrived on the process's sockets and wasn't read.

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace oriolewalk::crowd {

struct watched_process
{
  std::string mName;
  int mId = 0;
  std::string mIp; // all of its sockets are there: 127.a.b.c
  std::size_t mMaxBytes = 0;
  std::size_t mMaxDescriptors = 0;
  // Seen so far.
  std::size_t mPeakBytes = 0;
  std::size_t mPeakUnread = 0;
  std::size_t mPeakDescriptors = 0;
  bool mEnded = false;
  bool mOverMemory = false;
};

class process_watch
{
public:
  explicit process_watch(std::vector<watched_process> aProcesses);
  ~process_watch();
  process_watch(const process_watch&) = delete;
  process_watch& operator=(const process_watch&) = delete;
  process_watch(process_watch&&) = delete;
  process_watch& operator=(process_watch&&) = delete;

  void Stop();
  // Any thread.
  [[nodiscard]] bool AnyEnded() const { return mAnyEnded; }
  // After Stop().
  [[nodiscard]] const std::vector<watched_process>& Processes() const
  {
    return mProcesses;
  }
  [[nodiscard]] std::vector<std::string> Violations() const;

private:
  void Run();
  static void Look(watched_process& aProcess, std::string_view aSockets);

  std::vector<watched_process> mProcesses;
  std::atomic<bool> mStopping = false;
  std::atomic<bool> mAnyEnded = false;
  std::thread mThread;
};

} // namespace oriolewalk::crowd
