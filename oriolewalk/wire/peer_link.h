#pragma once

// The connection to one peer, on the RPC node's kj thread only. Not installed
// for use outside: rpc_node is the public part.

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

  // kj's own name for its hook.
  void taskFailed(kj::Exception&& aException) // NOLINT
    override;

  void Connect();
  void Connected(kj::Own<kj::AsyncIoStream> aStream);
  void ConnectFailed(const std::string& aReason);
  void Send(outgoing_call aCall);
  void Drop(std::uint64_t aGeneration);
  void NoteTimeout(std::uint64_t aGeneration);
  [[nodiscard]] error Problem(error_code aCode, std::string aMessage) const;

  const std::string mPeer;
  const rpc_options& mOptions;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  random_source mRandom;
  kj::Maybe<kj::Own<connection>> mConnection;
  bool mConnecting = false;
  std::uint64_t mGeneration = 0; // of the connection
  kj::TimePoint mNextTry;
  kj::TimePoint mLastHeard;
  int mFailures = 0;
  std::vector<outgoing_call> mWaiting; // for the connection
  std::size_t mUndelivered = 0;
  kj::TaskSet mTasks; // last: its promises refer to the rest
};

} // namespace oriolewalk::wire
