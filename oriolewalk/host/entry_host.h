#pragma once

// The shell of an entry of the workflow rooms: it holds no state but what the
// control processes told it, and carries questions to the leader and, for the
// leader, to the policy service.
//
//   entry_host host(context, options, policy, log);
//   if (auto started = host.Start(); !started) { ... }
//   host.Ask(request, until, [](result<flow_answer> aAnswer) {...});
//
// One thread, that of the io_context.

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/host/leader_link.h"
#include "oriolewalk/host/policy_port.h"
#include "oriolewalk/observe/decision_log.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::host {

struct entry_options
{
  std::string mAddress;               // of our RPC, as others call it
  std::string mListen;                // where it is bound; empty: the same
  std::vector<std::string> mControls; // RPC addresses, at least one
  connection_budget mBudget;          // of the process
};

class entry_host
{
public:
  entry_host(boost::asio::io_context& aContext,
             entry_options aOptions,
             policy_port aPolicy,
             observe::decision_log& aLog);
  ~entry_host();
  entry_host(const entry_host&) = delete;
  entry_host& operator=(const entry_host&) = delete;
  entry_host(entry_host&&) = delete;
  entry_host& operator=(entry_host&&) = delete;

  result<void> Start();
  void Ask(flow::flow_request aRequest, time_point aUntil, flow_callback aDone);
  // Control processes that the settings name since.
  void Learn(const std::vector<std::string>& aControls)
  {
    mLink.Learn(aControls);
  }
  // Called with what the table in force allows callers, at each beat.
  void OnLimits(std::function<void(const flow::entry_limits&)> aLimits)
  {
    mOnLimits = std::move(aLimits);
  }
  [[nodiscard]] milliseconds ComeBackAfter() const
  {
    return mLink.ComeBackAfter();
  }
  // The control process that questions go to, and how long ago a leader last
  // answered.
  [[nodiscard]] const std::string& Leader() const { return mLink.Current(); }
  [[nodiscard]] duration SilentFor() const { return mLink.SilentFor(); }
  // Whether callers are served here: the leader answered of late, and there is
  // a table.
  [[nodiscard]] bool IsReady() const;

private:
  void OnCall(std::uint16_t aKind,
              const bytes& aBody,
              const wire::reply_function& aReply);
  void Beat();
  void BeatAnswered(const result<flow::flow_answer>& aAnswer);
  void ArmBeat();

  boost::asio::io_context& mContext;
  entry_options mOptions;
  policy_port mPolicy;
  observe::decision_log& mLog;
  runtime_timer mTimer;
  std::function<void(const flow::entry_limits&)> mOnLimits;
  time_point mHeardAt{};
  bool mConfigured = false;
  bool mInTouch = false;
  wire::rpc_node mRpc;
  leader_link mLink;
};

} // namespace oriolewalk::host
