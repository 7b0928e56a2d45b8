#pragma once

// Which faults a soak plays, and when: made from a seed, so that a seed that
// failed plays the same faults again.
//
//   for (const fault& one : MakeFaultPlan(seed, places, seconds(15))) { ... }
//
// Bounds: one control process at a time is frozen, cut off or has its disk
// lost, and a lost disk has time to be filled again, since more may not be
// borne; any number of entries and workers; now and then all control processes
// are killed at one moment with their disks kept. Pure.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::soak {

enum class fault_kind : std::uint8_t
{
  Kill,      // SIGKILL, and started again after mFor
  KillTorn,  // the same, with an unsynced piece at the end of its log
  Wipe,      // the same, with its disk lost
  KillAll,   // all control processes at once
  Terminate, // SIGTERM, and started again after mFor
  Freeze,    // SIGSTOP, SIGCONT after mFor
  Reload,    // SIGHUP
  HoldIn,    // the link to it keeps what comes, for mFor
  HoldOut,   // and what goes back
  HoldBoth,
  Slow,  // each piece on its link takes mDelay longer
  Reset, // its connections are reset
  Crash, // a worker's life ends at once; the next one begins after mFor
  Drain, // a worker says that it leaves, and does after mFor
};

enum class fault_place : std::uint8_t
{
  Control,
  Entry,
  Worker,
};

struct fault
{
  milliseconds mAt{ 0 };
  fault_kind mKind = fault_kind::Kill;
  fault_place mPlace = fault_place::Control;
  std::size_t mIndex = 0;
  milliseconds mFor{ 0 };
  milliseconds mDelay{ 0 };

  [[nodiscard]] std::string Describe() const;
};

struct fault_places
{
  std::size_t mControls = 3;
  std::size_t mEntries = 2;
  std::size_t mWorkers = 8;
};

// A fixed series that showed a fault once; empty for an unknown name.
// lost-seeds: with five control processes and one loss to be borne, seeds are
// away for long enough to be replaced, one after the other; then the third one
// loses its disk while all others are killed. Whoever starts anew knows the
// seeds alone, and none of them is a sound member any more.
std::vector<fault>
MakeScenario(std::string_view aName);

// In the order of their time; the last one is over before aSpan ends.
std::vector<fault>
MakeFaultPlan(std::uint64_t aSeed,
              const fault_places& aPlaces,
              milliseconds aSpan);

// Peers that keep to no limit, for a while beside the faults.
struct crowd_visit
{
  milliseconds mAt{ 0 };
  milliseconds mFor{ 0 };
  std::uint64_t mScript = 0; // of any number of scripts, and of places
  std::uint64_t mIndex = 0;
};

// Drawn apart from the faults, whose plans are the same with and without it.
std::vector<crowd_visit>
MakeCrowdPlan(std::uint64_t aSeed, milliseconds aSpan);

} // namespace oriolewalk::soak
