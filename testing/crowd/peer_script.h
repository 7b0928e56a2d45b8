#pragma once

// What peers send that keep to no limit, a line or two a case.
//
//   for (const peer_script& one : PeerScripts()) { ... one.mName ... }
//
// Values only; peer_crowd plays them.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolewalk::crowd {

// Which listening address of the system the peers connect to, or, for Worker,
// where they wait for its calls.
enum class place : std::uint8_t
{
  Callers,
  Readiness,
  Metrics,
  Control,
  Internal, // between the system's own processes
  Worker,
};

// Whose requests they are.
enum class system_kind : std::uint8_t
{
  Any,
  Platform,
  Cell,
};

struct peer_script
{
  std::string mName;
  place mPlace = place::Callers;
  std::string mOpening{};  // sent once
  std::string mRepeated{}; // sent until mBytes are out; empty: nothing
  std::size_t mConnections = 4;
  std::size_t mBytes = 0; // of mRepeated on one connection, at most
  bool mReads = true;     // takes what comes
  // A connection that is closed is opened again, so often in all.
  std::size_t mReopens = 0;
  system_kind mFor = system_kind::Any;
  // Bytes of the table in force that no process reads.
  std::size_t mTablePadding = 0;
};

// A worker's heartbeat as the system's users write it.
std::string
WriteHeartbeat(std::string_view aService,
               std::string_view aAddress,
               std::uint64_t aSequence);

std::vector<peer_script>
PeerScripts();

// Those that leave nothing behind in the system's state.
std::vector<peer_script>
SoakScripts();

} // namespace oriolewalk::crowd
