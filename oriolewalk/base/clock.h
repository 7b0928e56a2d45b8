#pragma once

// The runtime's clock. Shells read it and pass time points to the cores as
// values; no core reads a clock. A test pauses it and moves it by hand:
//
//   paused_clock clock;             // every runtime_clock::now() stands still
//   clock.Advance(milliseconds(5)); // and Asio timers on runtime_timer follow
//
// runtime_clock is steady (CLOCK_BOOTTIME: it also counts while the machine is
// suspended, so that a lease cannot outlive a suspended holder).

#include <chrono>
#include <cstdint>

namespace oriolewalk {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

struct runtime_clock
{
  using duration = nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<runtime_clock>;
  static constexpr bool is_steady = true; // NOLINT

  // Any thread. Cost: one vDSO call.
  static time_point now() noexcept;
  static bool IsPaused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

// Milliseconds since the epoch by the wall clock: for records that must mean
// the same on another machine or after a restart, never for measuring spans.
std::int64_t
WallMilliseconds() noexcept;

// Stops runtime_clock for its own lifetime. One at a time; tests only.
class paused_clock
{
public:
  paused_clock();
  ~paused_clock();
  paused_clock(const paused_clock&) = delete;
  paused_clock& operator=(const paused_clock&) = delete;
  paused_clock(paused_clock&&) = delete;
  paused_clock& operator=(paused_clock&&) = delete;

  // Moves time forward; a negative step is ignored.
  static void Advance(duration aStep) noexcept;
};

} // namespace oriolewalk
