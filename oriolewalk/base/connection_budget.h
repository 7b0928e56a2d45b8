#pragma once

// How a process shares out descriptors and memory among its connections.
//
//   const connection_budget budget =
//     BudgetOf({ DescriptorLimit(0), MemoryLimit(256 << 20) },
//              connection_use::MostlyOutgoing);
//   server api(context, address, http::Within(budget.mIn), ...);
//   client web(context, http::Within(budget.mOut, client_limits{}));
//   rpc_node node({ .mMaxIncoming = budget.mMaxPeers,
//                   .mMaxReceivingBytes = budget.mMaxPeerBytes });
//
// The failure it prevents: each connection kept to its own limits, but nobody
// counted what all of them held together, and peers that sent much and
// finished nothing made the process run out of memory. Each kind of connection
// has a share of its own, so that one that is full leaves the others alone. An
// eighth of the memory is left for the process's own state where all are full.
//
// Pure, but for MemoryLimit.

#include <cstddef>
#include <cstdint>

namespace oriolewalk {

// The defaults are for a process that has the machine to itself.
struct connection_limits
{
  std::size_t mMaxConnections = 1024;
  // Of messages, on all connections.
  std::size_t mMaxHeldBytes = 64UL * 1024 * 1024;
  // Of a connection's receive buffer, in bytes.
  std::size_t mReceiveWindow = 64UL * 1024;
};

struct process_resources
{
  std::size_t mDescriptors = 0;
  std::size_t mMemoryBytes = 0;
};

// Which connections a process has more of, besides those to our own processes.
enum class connection_use : std::uint8_t
{
  Incoming,       // it opens next to none
  MostlyIncoming, // a few to each target
  MostlyOutgoing, // several to each worker, which opens one
};

struct connection_budget
{
  connection_limits mIn;        // callers, workers, operators
  connection_limits mPage;      // readiness and metrics, each
  connection_limits mOut;       // those that we open, but to our own processes
  std::size_t mMaxPeers = 1024; // connections from our own processes
  std::size_t mMaxPeerBytes = 64UL * 1024 * 1024; // of messages on those
};

// One message within its own limits fits into each share, however small the
// resources are.
connection_budget
BudgetOf(process_resources aResources, connection_use aUse);

// The smaller one of what the settings say (0: nothing) and what the machine
// has. Bytes.
std::size_t
MemoryLimit(std::size_t aSettingsSay);

} // namespace oriolewalk
