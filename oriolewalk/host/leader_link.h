#pragma once

// Asks the leading control process of the workflow rooms, whoever it is.
//
//   leader_link link(context, rpc, { "10.0.0.1:7720" }, seed);
//   link.Ask(submission, until, [](result<flow_answer> aAnswer) {...});
//
// A question is asked again, of the leader that is named or of the next control
// process, while the time lasts: every question is safe to ask twice. The end
// says what is known: Unavailable, if the question was surely not taken up;
// Timeout, if it may have been.
//
// The load it answers: a leader that died, and callers who go on asking. Each
// question that was sent to it and not answered can't be refused truthfully any
// more, so that its caller can't safely go elsewhere. Hence a leader that said
// nothing for kFresh is first asked whether it is there, by a question that may
// be lost; and a caller is refused soon while nobody leads, but one whose
// question may have been taken up is kept until the next leader knows.
//
// Threads: that of the io_context, which also runs the callbacks.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/host/outage_watch.h"
#include "oriolewalk/wire/leader_choice.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::host {

using flow_callback = std::function<void(result<flow::flow_answer>)>;

class leader_link
{
public:
  using local_ask =
    std::function<void(const flow::flow_request&, flow_callback)>;

  leader_link(boost::asio::io_context& aContext,
              wire::rpc_node& aRpc,
              std::vector<std::string> aControls,
              std::uint64_t aSeed);

  // Questions to aAddress go to aAsk: this process is a control process too.
  void SetLocal(std::string aAddress, local_ask aAsk);
  // Addresses of control processes that were learnt.
  void Learn(const std::vector<std::string>& aControls);
  void Ask(flow::flow_request aRequest, time_point aUntil, flow_callback aDone);
  // When a caller who is refused now should come back.
  [[nodiscard]] milliseconds ComeBackAfter() const;
  // Since a leader's last answer to this process.
  [[nodiscard]] duration SilentFor() const;
  // The leader says so itself.
  void Told(const std::string& aLeader);
  // Who answered as the leader of late; empty if nobody did.
  [[nodiscard]] std::string Leader() const;
  // Who answered last, or was named the leader.
  [[nodiscard]] const std::string& Current() const { return mChoice.Current(); }

private:
  struct question
  {
    flow::flow_request mRequest;
    bytes mEncoded;
    time_point mUntil;
    time_point mRefuseAt; // if it was surely not taken up by then
    bool mMaybeTaken = false;
    flow_callback mDone;

    [[nodiscard]] time_point End() const
    {
      return mMaybeTaken ? mUntil : std::min(mUntil, mRefuseAt);
    }
  };

  void Try(const std::shared_ptr<question>& aQuestion);
  void Probe(const std::shared_ptr<question>& aQuestion,
             const std::string& aPeer);
  void Send(const std::shared_ptr<question>& aQuestion,
            const std::string& aPeer);
  // Notes what a failure says of the peer; how long to pause before the next
  // try.
  void NoteProblem(const std::string& aPeer, const error& aProblem);
  void OnReply(const std::shared_ptr<question>& aQuestion,
               const std::string& aPeer,
               result<flow::flow_answer> aReply);
  duration Pause();
  void TryLater(const std::shared_ptr<question>& aQuestion, duration aPause);

  boost::asio::io_context& mContext;
  wire::rpc_node& mRpc;
  wire::leader_choice mChoice;
  random_source mRandom;
  // Who last answered as the leader, and when that was.
  std::string mAnsweredBy;
  outage_watch mOutage;
  std::string mLocalAddress;
  local_ask mLocalAsk;
};

} // namespace oriolewalk::host
