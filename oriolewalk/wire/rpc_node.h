#pragma once

// One process's end of the RPC between our processes.
//
//   rpc_node node(rpc_options{});
//   node.Listen("127.0.0.1:7001", OnCall, OnDeliver);
//   node.Call("127.0.0.1:7002", kind, body, milliseconds(500),
//             [](result<bytes> aAnswer) {...});
//
// Cap'n Proto RPC over TCP. kj has its own event loop, so a node owns one
// thread; Call, Deliver and answers may come from any thread, and all
// callbacks run on the node's thread: they hand their value over and return.
//
// Until Stop(), every call ends exactly once: with the answer, the peer's
// error, Unavailable (surely not delivered) or Timeout (not known). Connections
// are made again with jittered backoff. A peer that is silent while calls wait
// for it is dropped without waiting for a reset: a cut network sends none.

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
  // Between data centres 1 ms apart a connection takes 2 ms; 500 ms covers a
  // lost SYN no better than the retry does.
  milliseconds mConnectTimeout{ 500 };
  // After a failed connection: doubles from least to most, with jitter of
  // half, so that seven entries do not knock on a new leader together.
  milliseconds mLeastBackoff{ 50 };
  milliseconds mMostBackoff{ 1000 };
  // Calls wait for this peer and nothing came for so long: drop it.
  milliseconds mSilence{ 1500 };
  // One-way messages not yet taken over by the peer; more are dropped.
  std::size_t mMostUndelivered = 512;
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

  // Dropped where the peer can't be reached now.
  void Deliver(std::string aPeer, bytes aMessage);

  // Closes all connections; no callback runs afterwards, so open calls get
  // no answer. The destructor does the same.
  void Stop();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace oriolewalk::wire
