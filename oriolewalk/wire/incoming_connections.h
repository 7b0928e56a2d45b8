#pragma once

// Connections that a node takes, bounded in number and in the bytes of messages
// that are on their way. Inside wire only.
//
//   incoming_connections open({ 48, 8 << 20, 4 << 20 });
//   server.accept(open.Add(kj::mv(stream)));
//
// Whoever reaches the machine reaches the port, and the RPC library allocates
// what a message's first bytes announce. Where a bound is reached, a connection
// is cut: among too many the oldest one that has not sent a whole message, and
// only where there is none the one that has been silent for longest; among too
// large messages the one that is longest under way. Our own processes send
// theirs within milliseconds and connect again.
//
// The thread of the event loop.

#include <cstddef>
#include <cstdint>
#include <map>

#include <kj/async-io.h>

namespace oriolewalk::wire {

struct incoming_limits
{
  std::size_t mMaxConnections = 0;
  std::size_t mMaxReceivingBytes = 0; // of all connections together
  std::size_t mMaxMessageBytes = 0;
};

class incoming_connections
{
public:
  explicit incoming_connections(incoming_limits aLimits);

  // The same stream, counted until it goes. Must go before this does.
  kj::Own<kj::AsyncIoStream> Add(kj::Own<kj::AsyncIoStream> aStream);

  [[nodiscard]] std::size_t Open() const
  {
    return mStrangers.size() + mKnown.size();
  }
  // Cut for the others, since the beginning.
  [[nodiscard]] std::size_t Cut() const { return mCut; }

private:
  class counted_stream;
  // In the order of a running number, the lowest first.
  using stream_order = std::map<std::uint64_t, counted_stream*>;

  void CutFirst(const stream_order& aOrder);
  void Forget(std::uint64_t aActivity);

  incoming_limits mLimits;
  stream_order mStrangers; // that sent no whole message, by their begin
  stream_order mKnown;     // the others, by their last bytes
  stream_order mReceiving; // those amid a message, by its begin
  std::size_t mReceivingBytes = 0;
  std::uint64_t mLast = 0;
  std::size_t mCut = 0;
};

} // namespace oriolewalk::wire
