#pragma once

// Asks the leading control process, whoever it is.
//
//   link.Ask(claim, until, [](result<protocol::answer_body> aAnswer) {...});
//
// A question is asked again of the next control process while the time lasts:
// every question is safe to ask twice (protocol/messages.h). The pause between
// two tries is jittered, so that entries do not fall on a new leader together.
// Any thread; the answer comes on a thread of the io_context or of the RPC.

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

  // Errors: Timeout, if nobody answered until then (not known whether the
  // question was heard); otherwise what the leader said.
  void Ask(protocol::request_body aBody,
           time_point aUntil,
           control_callback aDone);

  // Questions that had to be asked again.
  [[nodiscard]] std::uint64_t Retries() const { return mRetries; }
  void Stop() { mRpc.Stop(); }

private:
  struct question
  {
    protocol::request_body mBody;
    time_point mAskedAt;
    time_point mUntil;
    control_callback mDone;
  };

  void Try(const std::shared_ptr<question>& aQuestion);
  void OnReply(const std::shared_ptr<question>& aQuestion,
               const std::string& aPeer,
               result<bytes> aReply);
  void TryLater(const std::shared_ptr<question>& aQuestion, duration aPause);
  duration Pause();

  boost::asio::io_context& mContext;
  observe::event_log& mEvents;
  std::mutex mMutex; // of the two below
  wire::leader_choice mChoice;
  random_source mRandom;
  std::atomic<std::uint64_t> mRetries = 0;
  wire::rpc_node mRpc; // last: its callbacks use the rest
};

} // namespace oriolewalk::entry
