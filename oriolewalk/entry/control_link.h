#pragma once

// Sends requests to the current leader of the control processes.
//
//   link.Send(claim, until, [](result<protocol::answer_body> aAnswer) {...});
//
// A request that fails is retried at the next control process until its
// timeout; every request is idempotent (protocol/messages.h). The delay between
// attempts is jittered so that the entries do not all reach a new leader at
// once. Any thread may call; the callback runs on a thread of the io_context or
// of the RPC node.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/observe/event_log.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/wire/leader_choice.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::entry {

using control_answer = result<protocol::answer_body>;
using control_callback = std::function<void(control_answer)>;

class control_link
{
public:
  control_link(boost::asio::io_context& aContext,
               observe::event_log& aEvents,
               std::vector<std::string> aControls,
               std::uint64_t aSeed);

  // Errors: Timeout if no answer arrived by aUntil, in which case the request
  // may or may not have been executed; otherwise the leader's error.
  void Send(protocol::request_body aBody,
            time_point aUntil,
            control_callback aDone);

  // Number of attempts that were repeated.
  [[nodiscard]] std::uint64_t Retries() const { return mRetries; }
  void Stop() { mRpc.Stop(); }

private:
  struct pending_request
  {
    protocol::request_body mBody;
    time_point mStartedAt;
    time_point mUntil;
    control_callback mDone;
  };

  void SendAttempt(const std::shared_ptr<pending_request>& aRequest);
  void OnReply(const std::shared_ptr<pending_request>& aRequest,
               const std::string& aPeer,
               result<bytes> aReply);
  void RetryAfter(const std::shared_ptr<pending_request>& aRequest,
                  duration aDelay);
  duration RetryDelay();

  boost::asio::io_context& mContext;
  observe::event_log& mEvents;
  std::mutex mMutex; // guards mChoice and mRandom
  wire::leader_choice mChoice;
  random_source mRandom;
  std::atomic<std::uint64_t> mRetries = 0;
  wire::rpc_node mRpc; // last, because its callbacks use the other members
};

} // namespace oriolewalk::entry
