#include "oriolewalk/base/clock.h"

#include <algorithm>
#include <atomic>
#include <ctime>

namespace oriolewalk {

namespace {

constexpr std::int64_t kRunning = -1;
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

// kRunning, or the nanoseconds at which tests hold the clock.
std::atomic<std::int64_t> sPausedAt{ kRunning };

std::int64_t
ReadSystem() noexcept
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return value.tv_sec * kNanosPerSecond + value.tv_nsec;
}

} // namespace

runtime_clock::time_point
runtime_clock::now() noexcept
{
  const std::int64_t paused = sPausedAt.load(std::memory_order_relaxed);
  return time_point(duration(paused == kRunning ? ReadSystem() : paused));
}

bool
runtime_clock::IsPaused() noexcept
{
  return sPausedAt.load(std::memory_order_relaxed) != kRunning;
}

std::int64_t
WallMilliseconds() noexcept
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since).count();
}

paused_clock::paused_clock()
{
  sPausedAt.store(ReadSystem());
}

paused_clock::~paused_clock()
{
  sPausedAt.store(kRunning);
}

void
paused_clock::Advance(duration aStep) noexcept
{
  sPausedAt.fetch_add(std::max<std::int64_t>(aStep.count(), 0));
}

} // namespace oriolewalk
