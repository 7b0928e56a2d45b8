#include "oriolewalk/observe/event_log.h"

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <ios>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

#include "oriolewalk/base/error.h"
#include "oriolewalk/observe/event.h"
#include "oriolewalk/observe/hybrid_clock.h"

namespace oriolewalk::observe {

namespace {

constexpr std::string_view kStep = "opening the event file";

// The file's end, long enough to hold a whole last line.
std::string
ReadTail(const std::string& aPath)
{
  constexpr std::streamoff kTailBytes = 16384;
  std::ifstream file(aPath, std::ios::binary | std::ios::ate);
  if (!file) {
    return {};
  }
  const std::streamoff size = file.tellg();
  const std::streamoff start = size > kTailBytes ? size - kTailBytes : 0;
  file.seekg(start);
  std::string tail(static_cast<std::size_t>(size - start), '\0');
  file.read(tail.data(), static_cast<std::streamsize>(tail.size()));
  return tail;
}

// The last line of the text that is an event.
result<event_record>
LastEvent(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t end = aText.rfind('\n');
    if (end == std::string_view::npos) {
      return ParseJsonLine(aText);
    }
    if (auto record = ParseJsonLine(aText.substr(end + 1))) {
      return record;
    }
    aText = aText.substr(0, end);
  }
  return Fail(error_code::NotFound, kStep, "no event");
}

} // namespace

// mEventLock guards the clock and the buffer, mFileLock the file; the file
// lock is taken first where both are held, so that writing never holds up
// traffic.
class event_log::state
{
public:
  explicit state(event_log_options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  result<void> OpenFile();
  void Start();
  void Stop();
  void Write(event aEvent);
  stamp Stamp();
  void Merge(const stamp& aSeen);
  void WriteOut();
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  void Run();
  void Rotate();

  const event_log_options mOptions;
  std::mutex mEventLock;
  std::condition_variable mWake;
  hybrid_clock mClock;
  std::uint64_t mSequence = 0;
  std::string mBuffer;
  std::uint64_t mBuffered = 0; // events in mBuffer
  bool mStopping = false;
  std::mutex mFileLock;
  std::ofstream mFile;
  std::uint64_t mFileBytes = 0;
  std::atomic<std::uint64_t> mDropped = 0;
  std::thread mThread;
};

result<void>
event_log::state::OpenFile()
{
  const std::string tail = ReadTail(mOptions.mPath);
  if (const auto last = LastEvent(tail)) {
    mSequence = last->mSequence;
    mClock.Merge(last->mStamp, mOptions.mWallMilliseconds());
  }
  mFile.open(mOptions.mPath, std::ios::binary | std::ios::app);
  if (!mFile) {
    return Fail(error_code::Io,
                kStep,
                mOptions.mPath + ": " + std::generic_category().message(errno));
  }
  if (!tail.empty() && tail.back() != '\n') {
    mFile << '\n';
  }
  mFileBytes = static_cast<std::uint64_t>(mFile.tellp());
  return {};
}

void
event_log::state::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
event_log::state::Stop()
{
  {
    const std::scoped_lock lock(mEventLock);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  WriteOut();
}

void
event_log::state::Run()
{
  std::unique_lock lock(mEventLock);
  while (!mStopping) {
    mWake.wait_for(lock, mOptions.mFlushEvery);
    lock.unlock();
    WriteOut();
    lock.lock();
  }
}

void
event_log::state::Write(event aEvent)
{
  if (mOptions.mPath.empty()) {
    return;
  }
  event_record record{
    mOptions.mProcess, mOptions.mInstance, 0, {}, std::move(aEvent)
  };
  const std::scoped_lock lock(mEventLock);
  record.mSequence = ++mSequence;
  record.mStamp = mClock.Next(mOptions.mWallMilliseconds());
  if (mBuffer.size() > mOptions.mMaxBufferBytes) {
    ++mDropped;
    return;
  }
  mBuffer += ToJsonLine(record);
  mBuffer += '\n';
  ++mBuffered;
}

stamp
event_log::state::Stamp()
{
  const std::scoped_lock lock(mEventLock);
  return mClock.Next(mOptions.mWallMilliseconds());
}

void
event_log::state::Merge(const stamp& aSeen)
{
  const std::scoped_lock lock(mEventLock);
  mClock.Merge(aSeen, mOptions.mWallMilliseconds());
}

void
event_log::state::WriteOut()
{
  const std::scoped_lock fileLock(mFileLock);
  std::string lines;
  std::uint64_t count = 0;
  {
    const std::scoped_lock lock(mEventLock);
    lines.swap(mBuffer);
    count = std::exchange(mBuffered, 0);
  }
  if (lines.empty()) {
    return;
  }
  if (mFileBytes > 0 && mFileBytes + lines.size() > mOptions.mMaxBytes) {
    Rotate();
  }
  mFile.write(lines.data(), static_cast<std::streamsize>(lines.size()));
  mFile.flush();
  if (mFile) {
    mFileBytes += lines.size();
  } else {
    mDropped += count;
    mFile.clear();
  }
}

void
event_log::state::Rotate()
{
  mFile.close();
  const std::string before = mOptions.mPath + ".1";
  std::rename(mOptions.mPath.c_str(), before.c_str());
  mFile.open(mOptions.mPath, std::ios::binary | std::ios::trunc);
  mFileBytes = 0;
}

event_log::event_log(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

result<std::unique_ptr<event_log>>
event_log::Open(event_log_options aOptions)
{
  const bool writes = !aOptions.mPath.empty();
  auto fresh = std::make_unique<state>(std::move(aOptions));
  if (writes) {
    if (auto opened = fresh->OpenFile(); !opened) {
      return Fail(opened.error());
    }
    fresh->Start();
  }
  return std::unique_ptr<event_log>(new event_log(std::move(fresh)));
}

event_log::~event_log()
{
  mState->Stop();
}

void
event_log::Write(event aEvent)
{
  mState->Write(std::move(aEvent));
}

stamp
event_log::Stamp()
{
  return mState->Stamp();
}

void
event_log::Merge(const stamp& aSeen)
{
  mState->Merge(aSeen);
}

void
event_log::Flush()
{
  mState->WriteOut();
}

std::uint64_t
event_log::Dropped() const
{
  return mState->Dropped();
}

} // namespace oriolewalk::observe
