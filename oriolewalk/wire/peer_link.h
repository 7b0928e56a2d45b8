#pragma once

// The connection to one peer: connects with backoff, sends calls and one-way
// messages, and drops the connection of a silent peer.
//
// Private to rpc_node, which owns one for each peer and uses it on its kj
// thread only. Not installed.

#include "oriolewalk/wire/kj_compat.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include "oriolewalk/base/random.h"
#include "oriolewalk/wire/rpc_node.h"

#include <wire.capnp.h>

namespace oriolewalk::wire {

struct outgoing_call
{
  std::uint16_t mKind = 0;
  bytes mBody;
  kj::TimePoint mDeadline;
  reply_function mReply;
};

class peer_link final : private kj::TaskSet::ErrorHandler
{
public:
  peer_link(std::string aPeer,
            const rpc_options& aOptions,
            kj::Network& aNetwork,
            kj::Timer& aTimer,
            std::uint64_t aSeed);

  void Call(outgoing_call aCall);
  void Deliver(bytes aMessage);

private:
  struct connection
  {
    connection(kj::Own<kj::AsyncIoStream> aStream)
      : mStream(kj::mv(aStream))
      , mClient(*mStream)
      , mChannel(mClient.bootstrap().castAs<Channel>())
    {
    }
    kj::Own<kj::AsyncIoStream> mStream;
    capnp::TwoPartyClient mClient;
    Channel::Client mChannel;
  };

  // The name is kj's.
  void taskFailed(kj::Exception&& aException) // NOLINT
    override;

  void Connect();
  void Connected(kj::Own<kj::AsyncIoStream> aStream);
  void ConnectFailed(const std::string& aReason);
  void Send(outgoing_call aCall);
  void Drop(std::uint64_t aGeneration);
  void OnTimeout(std::uint64_t aGeneration);
  [[nodiscard]] error MakeError(error_code aCode, std::string aMessage) const;

  const std::string mPeer;
  const rpc_options& mOptions;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  random_source mRandom;
  kj::Maybe<kj::Own<connection>> mConnection;
  bool mConnecting = false;
  std::uint64_t mGeneration = 0; // of the connection
  kj::TimePoint mNextAttemptAt;
  kj::TimePoint mLastContactAt;
  int mFailedAttempts = 0;             // consecutive
  std::vector<outgoing_call> mPending; // until it is connected
  std::size_t mUndelivered = 0;        // one-way messages in flight
  kj::TaskSet mTasks;                  // last: its promises refer to the rest
};

} // namespace oriolewalk::wire
