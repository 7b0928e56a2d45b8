#pragma once

// The shell of a control process of the workflow rooms: one thread of Asio
// around a flow_core, with the RPC node's and the storage's own threads.
//
//   control_host host(context, options, ports, log);
//   if (auto started = host.Start(); !started) { ... }
//   host.Ask(request, until, [](result<flow_answer> aAnswer) {...});
//   context.run();
//
// Who founds: only a process whose folder is empty and that is told that the
// whole system starts for the first time counts the founders as its group.
// Any other one with an empty folder may not vote, and asks to be taken in.
//
// A disk that fails: what was written last is unknown, so the core is dropped
// and made again from what the folder holds, once it can be read and written.
// Until then this process answers like one that leads nobody. Ending instead
// would make the platform restart it many times a second of a full disk.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/flow/flow_core.h"
#include "oriolewalk/flow/heartbeat_aggregator.h"
#include "oriolewalk/host/address_book.h"
#include "oriolewalk/host/leader_link.h"
#include "oriolewalk/host/machine_port.h"
#include "oriolewalk/host/order_relay.h"
#include "oriolewalk/host/policy_port.h"
#include "oriolewalk/observe/decision_log.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/voter/storage_thread.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::host {

struct control_options
{
  std::string mCluster;
  std::uint64_t mNode = 0;
  std::string mAddress; // of our RPC, "IP:PORT", as others call it
  std::string mListen;  // where it is bound; empty: the same
  std::string mDataFolder;
  bool mFirstStart = false; // of the whole system, with empty disks
  std::size_t mMostVoters = 9;
  // The founders' RPC addresses with their numbers.
  std::map<std::uint64_t, std::string> mFounders;
  flow::flow_options mFlow;
  connection_budget mBudget; // of the process
};

class control_host
{
public:
  control_host(boost::asio::io_context& aContext,
               control_options aOptions,
               worker_port aWorkers,
               policy_port aPolicy,
               machine_port aMachines,
               observe::decision_log& aLog);
  ~control_host();
  control_host(const control_host&) = delete;
  control_host& operator=(const control_host&) = delete;
  control_host(control_host&&) = delete;
  control_host& operator=(control_host&&) = delete;

  // Errors: what keeps it from starting (address, a folder that is damaged or
  // another's). A folder that can't be written now is tried again.
  result<void> Start();
  // Of the leader, here or elsewhere.
  void Ask(flow::flow_request aRequest, time_point aUntil, flow_callback aDone);
  // A worker's heartbeat: answered here if it says nothing new to the leader,
  // which is told later.
  void Ask(const flow::worker_heartbeat& aBeat,
           time_point aUntil,
           flow_callback aDone);
  // Whether workers may send their heartbeats here, to whoever leads.
  [[nodiscard]] bool GathersBeats() const
  {
    return mBeats.IsAggregating(runtime_clock::now());
  }
  // Control processes that the settings name since.
  void Learn(const std::vector<std::string>& aControls)
  {
    mSeeds = aControls;
    mLink.Learn(aControls);
  }
  // Hands leadership over, then calls aDone.
  void Stop(std::function<void()> aDone);
  // Called if the process must end; the reason is in the log.
  void OnBroken(std::function<void()> aBroken)
  {
    mOnBroken = std::move(aBroken);
  }
  // Empty if none is known. A spare isn't told by the group who leads it, but
  // has just asked the leader to be taken in.
  [[nodiscard]] std::string LeaderAddress() const
  {
    const std::string told = mCore ? mCore->LeaderAddress() : std::string();
    return told.empty() ? mLink.Leader() : told;
  }
  [[nodiscard]] std::uint64_t Term() const
  {
    return mCore ? mCore->Raft().Term() : 0;
  }
  [[nodiscard]] std::size_t LiveJobs() const
  {
    return mCore ? mCore->State().LiveJobs().size() : 0;
  }
  [[nodiscard]] flow::decision_counts Counts() const
  {
    return mCore ? mCore->Counts() : flow::decision_counts{};
  }
  // What the organisations have running, by the replicated state.
  [[nodiscard]] const organisations::quota_accounts& Accounts() const
  {
    static const organisations::quota_accounts sNone;
    return mCore ? mCore->State().Accounts() : sNone;
  }
  [[nodiscard]] bool Leads() const { return mCore && mCore->Raft().IsLeader(); }

private:
  result<void> OpenFolder();
  result<void> Found(storage::data_folder& aFolder,
                     consensus::restored_state& aState) const;
  result<void> Listen();
  void OnCall(std::uint16_t aKind,
              const bytes& aBody,
              const wire::reply_function& aReply);
  // Refuses (Full) beyond a few at once.
  void AskTable(time_point aUntil, flow_callback aDone);
  void OnFlowCall(const flow::flow_request& aRequest,
                  wire::reply_function aReply);
  void OnAdviceCall(const flow::advice_request& aRequest,
                    wire::reply_function aReply);
  void OnDeliver(const bytes& aMessage);
  // Decodes aBody, answers, and hands it to aThen on the control thread.
  template<class Message, class Then>
  void TakeOver(const bytes& aBody,
                const wire::reply_function& aReply,
                Then aThen);
  void OnWritten(const voter::write_done& aDone);
  void AskLocal(const flow::flow_request& aRequest, flow_callback aDone);
  void SchedulePump();
  void Pump();
  bool Handle(flow::flow_effects aEffects);
  void SendToPeer(const consensus::message& aMessage);
  void SendOrder(const flow::worker_order& aOrder);
  void SendQuestion(const flow::advice_call& aOrder);
  void SendMachineCall(const machines::machine_call& aCall);
  void QueryContacts();
  void ArmTick();
  void AskToJoin();
  void TellBeats();
  void TellSeeds();
  void PublishServing();
  [[nodiscard]] bool IsServing() const;
  void Broken(std::string_view aWhat, const error& aError);
  // Drops the core; it is made again from the folder in a while.
  void Halt(const error& aError);
  void TryReopen();
  [[nodiscard]] static flow::instant Now();

  boost::asio::io_context& mContext;
  control_options mOptions;
  policy_port mPolicy;
  machine_port mMachines;
  observe::decision_log& mLog;
  storage::posix_file_system mFiles;
  std::unique_ptr<flow::flow_core> mCore;
  std::unique_ptr<voter::storage_thread> mStorage;
  runtime_timer mTimer;
  std::map<flow::call_number, flow_callback> mCalls;
  flow::call_number mLastCall = 0;
  std::size_t mTableReads = 0; // under way
  std::uint64_t mLife = 0; // of mCore: late answers to an older one are dropped
  bool mPumpScheduled = false;
  // Until when this process certainly leads; for the RPC node's thread, which
  // says so to whoever asks while the control thread has other work.
  std::atomic<time_point> mServesUntil{ time_point::min() };
  time_point mJoinAt{};
  time_point mReopenAt{};
  std::function<void()> mOnStopped;
  time_point mStopAt{};
  std::function<void()> mOnBroken;
  address_book mAddresses;
  std::vector<std::string> mSeeds; // as the settings name them now
  time_point mSeedsToldAt{};
  wire::rpc_node mRpc;
  leader_link mLink;
  order_relay mOrders;
  flow::heartbeat_aggregator mBeats;
};

} // namespace oriolewalk::host
