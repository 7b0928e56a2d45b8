#pragma once

// How a process shares out the descriptors that it may have open.
//
//   const descriptor_shares shares = SharesOf(DescriptorLimit(settingsSay));
//   client web(context, { .mMaxOpen = shares.mOutgoing });
//   server api(context, address, { .mMaxConnections = shares.mIncoming }, ...);
//
// The failure it prevents: connections of many workers took every descriptor,
// the log could not open its next segment, and the disk counted as failed; its
// process gave up leading, the next one opened all the connections again, and
// leaders changed 15 times a minute on a calm day. What must never want for a
// descriptor is reserved before connections get any, and a pool of connections
// that is full closes the one that was idle for longest instead of asking the
// system for more.
//
// Pure, but for DescriptorLimit.

#include <cstddef>

namespace oriolewalk {

struct descriptor_shares
{
  // The log and its snapshots, links between our processes, listening sockets,
  // logs and metrics.
  std::size_t mReserved = 0;
  std::size_t mOutgoing = 0; // connections that we open
  std::size_t mIncoming = 0; // connections that we take
};

// The shares of a limit; each at least one.
descriptor_shares
SharesOf(std::size_t aLimit);

// The smaller one of what the settings say (0: nothing) and what the system
// gives this process.
std::size_t
DescriptorLimit(std::size_t aSettingsSay);

} // namespace oriolewalk
