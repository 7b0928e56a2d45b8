#pragma once

// One process's endpoint of the RPC between the scheduler's processes.
//
//   rpc_node node(rpc_options{});
//   node.Listen("127.0.0.1:7001", OnCall, OnDeliver);
//   node.Call("127.0.0.1:7002", kind, body, milliseconds(500),
//             [](result<bytes> aAnswer) {...});
//
// Cap'n Proto RPC over TCP. kj has its own event loop, so a node owns one
// thread. Call, Deliver and answers may come from any thread; all callbacks run
// on the node's thread, and should pass their value on and return.
//
// Until Stop(), every call ends exactly once: with the answer, the peer's
// error, Unavailable (certainly not delivered) or Timeout (unknown). Lost
// connections are reopened with a jittered exponential backoff. A peer that is
// silent while calls to it are in flight is disconnected, since a network
// partition resets no connection.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"

namespace oriolewalk::wire {

struct rpc_options
{
  // A connection between data centres takes a few milliseconds. A lost SYN is
  // better repeated by the next attempt than waited for.
  milliseconds mConnectTimeout{ 500 };
  // Delay after a failed attempt: doubles from the minimum to the maximum, with
  // a jitter of half, so that entries don't connect to a new leader all at
  // once.
  milliseconds mMinBackoff{ 50 };
  milliseconds mMaxBackoff{ 1000 };
  // A peer that sends nothing for this long while a call to it times out is
  // disconnected.
  milliseconds mSilenceTimeout{ 1500 };
  // Further one-way messages that the peer hasn't acknowledged are dropped.
  std::size_t mMaxUndelivered = 512;
  // Connections from other processes; beyond, the one that was silent for
  // longest is cut.
  std::size_t mMaxIncoming = 1024;
  // A larger message cuts its connection. Several times the largest of ours: a
  // batch of log entries of 1 MiB, or one entry with a whole table.
  std::size_t mMaxMessageBytes = 16UL * 1024 * 1024;
  // Of messages that are being received on all of those connections; beyond,
  // the one that is longest under way is cut.
  std::size_t mMaxReceivingBytes = 64UL * 1024 * 1024;
  std::uint64_t mSeed = 1;
};

// Called once, from any thread.
using reply_function = std::function<void(result<bytes>)>;
using call_handler =
  std::function<void(std::uint16_t aKind, bytes aBody, reply_function aReply)>;
using deliver_handler = std::function<void(bytes aMessage)>;

class rpc_node
{
public:
  explicit rpc_node(rpc_options aOptions);
  ~rpc_node();
  rpc_node(const rpc_node&) = delete;
  rpc_node& operator=(const rpc_node&) = delete;
  rpc_node(rpc_node&&) = delete;
  rpc_node& operator=(rpc_node&&) = delete;

  // Blocks until the address is bound; returns the port. Errors: Io.
  result<std::uint16_t> Listen(const std::string& aAddress,
                               call_handler aOnCall,
                               deliver_handler aOnDeliver);

  void Call(std::string aPeer,
            std::uint16_t aKind,
            bytes aBody,
            duration aTimeout,
            reply_function aReply);

  // Drops the message if there is no connection to the peer.
  void Deliver(std::string aPeer, bytes aMessage);

  // Closes all connections. No callback runs afterwards, so calls in flight get
  // no answer. The destructor does the same.
  void Stop();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace oriolewalk::wire
