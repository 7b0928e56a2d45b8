#pragma once

// The logic of a control process of the workflow scheduler, without sockets,
// files and threads.
//
//   flow_core core(config, restored, seed, now);
//   core.Receive(message, at);              // replication
//   core.HandleRequest(call, request, at);  // a request to the leader
//   core.OnOrderAnswer(order, answer, at);  // a worker's answer
//   core.Tick(at);                          // about every 10 ms
//   core.Plan(at);                          // after each batch of events
//   flow_effects out = core.TakeEffects(at);
//
// It combines the replicated log, the replicated state and, while this node
// leads, a leader_core, which makes the decisions. Followers only apply
// commands. One thread at a time.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/processor_time.h"
#include "oriolewalk/consensus/raft_node.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/options.h"

namespace oriolewalk::flow {

// Returns the number of voters that tolerates the simultaneous loss of
// aLostInstances instances: twice that number plus one, between 3 and 9. If a
// whole data centre may be lost (aMayLoseDataCentre) or aLostInstances is 0,
// which means that it isn't configured, all control processes vote, up to 9,
// since the group doesn't know which of them share a data centre. Fewer voters
// mean fewer messages of the leader, which limit the scheduler.
std::size_t
MaxVoters(std::uint32_t aLostInstances, bool aMayLoseDataCentre);

struct flow_config
{
  consensus::node_id mSelf;
  std::string mAddress; // RPC address of this node
  consensus::raft_options mRaft;
  consensus::membership mInitialMembers; // empty: join an existing group
  flow_options mFlow;
  // The number of log entries from one snapshot to the next. An entry is about
  // 300 bytes, so the log stays under a few MB, which fits a small disk.
  std::uint64_t mSnapshotEvery = 8'000;
  std::size_t mMaxVoters = 9;                         // see MaxVoters
  std::function<processor_times()> mProcessorTimes{}; // see leader_port
};

struct flow_reply
{
  call_number mCall = 0;
  result<flow_answer> mAnswer;
};

struct flow_effects
{
  consensus::effects mRaft; // messages to send, state to store
  std::shared_ptr<const consensus::snapshot> mSnapshot; // this node's, to store
  std::vector<flow_reply> mReplies;
  std::vector<worker_order> mOrders;
  std::vector<advice_call> mAdviceCalls;
  std::vector<machines::machine_call> mMachineCalls;
  // A contact query for the leader; its answer goes to OnContacts.
  bool mQueriesContacts = false;
  std::vector<decision> mDecisions;
  std::optional<error> mFatalError; // the process must stop
};

class flow_core
{
public:
  // Errors: Corrupt, if the restored state can't be read.
  static result<std::unique_ptr<flow_core>> Make(
    const flow_config& aConfig,
    consensus::restored_state aRestored,
    std::uint64_t aSeed,
    time_point aNow);

  void Receive(const consensus::message& aMessage, instant aAt);
  void HandleRequest(call_number aCall,
                     const flow_request& aRequest,
                     instant aAt);
  void OnOrderAnswer(std::uint64_t aOrder,
                     const order_answer& aAnswer,
                     instant aAt);
  void OnAdviceAnswer(std::uint64_t aOrder,
                      const result<approvals>& aAnswer,
                      instant aAt);
  void OnMachineAnswer(std::uint64_t aCall,
                       const machines::call_answer& aAnswer,
                       instant aAt);
  // aQueriedAt: when the query was sent, on this process's clock.
  void OnContacts(const worker_contacts& aContacts, time_point aQueriedAt);
  // Orders could not be forwarded to this control process.
  void OnRelayFailure(const std::string& aAddress, instant aAt);
  void Tick(instant aAt);
  void Persisted(consensus::ticket_t aTicket, instant aAt);
  void SnapshotStored(const consensus::snapshot& aSnapshot);
  // Makes a plan if this node leads and one is due. The time until
  // TakeEffects() counts as the time that the plan took.
  void Plan(instant aAt);
  flow_effects TakeEffects(instant aAt);
  // Transfers the leadership to the most up-to-date voter, for a planned stop.
  void HandOver(instant aAt);

  [[nodiscard]] const flow_state& State() const { return mState; }
  // Of this process's leadership; zeros while it doesn't lead.
  [[nodiscard]] decision_counts Counts() const
  {
    return mLeader ? mLeader->Counts() : decision_counts{};
  }
  [[nodiscard]] const consensus::raft_node& Raft() const { return *mRaft; }
  // Until when this process leads and answers requests without hearing more
  // from its group; none if it doesn't.
  [[nodiscard]] std::optional<time_point> ServesUntil(time_point aNow) const
  {
    return mLeader ? mRaft->LeaseEnd(aNow) : std::nullopt;
  }
  // The leader's RPC address; empty if none is known.
  [[nodiscard]] std::string LeaderAddress() const;
  // Whether this node should request to join: it is not in the group, or it has
  // not heard from a leader recently.
  [[nodiscard]] bool ShouldJoin(time_point aNow) const;

private:
  flow_core(flow_config aConfig, std::uint64_t aSeed);

  void SetTime(instant aAt);
  bool Propose(command_body aBody, leader_port::on_applied aThen);
  void Answer(call_number aCall, result<flow_answer> aAnswer);
  void UpdateLeader();
  void StepDown();
  void ApplyEntry(const consensus::log_entry& aEntry);
  void StartSnapshot();
  void MaintainMembers();
  void Admit(const join_request& aJoin);
  [[nodiscard]] duration SilenceDuration(
    const consensus::peer_status& aPeer) const;
  [[nodiscard]] std::vector<std::string> ReachableMembers() const;
  leader_port Port();

  flow_config mConfig;
  std::unique_ptr<consensus::raft_node> mRaft;
  flow_state mState;
  std::unique_ptr<leader_core> mLeader;
  consensus::term_t mLeaderTerm = 0;
  time_point mLeaderSince{};
  // For the case that this process leads next. By the answers of leaders, which
  // tell ages: whoever takes a message for new that was long on its way would
  // overrate what it says.
  heard_workers mHeard;
  time_point mContactsQueriedAt{};
  consensus::log_index mAppliedIndex = 0;
  consensus::log_index mSnapshotIndex = 0;
  bool mIsSnapshotInProgress = false;
  instant mAt;
  time_point mLeaderHeardAt{};
  time_point mMembersCheckedAt{};
  std::optional<time_point> mPlanBeganAt; // of the plan just made
  struct proposal
  {
    consensus::term_t mTerm = 0;
    leader_port::on_applied mThen;
  };
  std::map<consensus::log_index, proposal> mProposals;
  std::set<call_number> mOpenCalls; // requests without an answer

  std::vector<flow_reply> mReplies;
  std::vector<decision> mDecisions;
  std::shared_ptr<const consensus::snapshot> mSnapshotToStore;
  std::optional<error> mFatalError;
};

} // namespace oriolewalk::flow
