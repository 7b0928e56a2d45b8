#pragma once

// A control process of the workflow rooms without its sockets, files and
// threads.
//
//   flow_core core(config, restored, seed, now);
//   core.Receive(message, at);             // replication
//   core.Ask(call, request, at);           // a question
//   core.OrderAnswered(order, answer, at); // a worker's word
//   core.Tick(at);                         // about every 10 ms
//   flow_effects out = core.TakeEffects(at);
//
// It joins the replicated log, the state and, while this node leads, what
// decides. Followers only apply. One thread at a time.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/consensus/raft_node.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/options.h"

namespace oriolewalk::flow {

// How many voters bear the loss of aLostInstances at once: twice as many and
// one, from 3 to 9. Where a whole data centre may be lost (aLosesPlaces) or
// nothing is said, every control process votes, up to nine: the group doesn't
// know which of them share a data centre. Measured at 350 workers and nine
// control processes, two losses to be borne: with five voters a calm day takes
// 32.6 s of processor instead of 39.7 s, and the worth of a day with trouble
// rises from 0.70 to 0.79, since the leader's messages were what bound.
std::size_t
MaxVoters(std::uint32_t aLostInstances, bool aLosesPlaces);

struct flow_config
{
  consensus::node_id mSelf;
  std::string mAddress; // of this node's RPC
  consensus::raft_options mRaft;
  consensus::membership mInitialMembers; // empty: join a group that exists
  flow_options mFlow;
  // A snapshot after so many log entries. An entry is about 300 bytes, so the
  // log stays under a few MB on a small disk.
  std::uint64_t mSnapshotEvery = 8'000;
  std::size_t mMaxVoters = 9; // see MostVoters
};

struct flow_reply
{
  call_number mCall = 0;
  result<flow_answer> mAnswer;
};

struct flow_effects
{
  consensus::effects mRaft; // messages and what to store
  std::shared_ptr<const consensus::snapshot> mSnapshot; // our own, to store
  std::vector<flow_reply> mReplies;
  std::vector<worker_order> mOrders;
  std::vector<advice_call> mAdviceCalls;
  std::vector<decision> mDecisions;
  std::optional<error> mFatalError; // the process must stop
};

class flow_core
{
public:
  // Errors: Corrupt, if what was restored can't be read.
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
  // Orders could not be handed over to this control process.
  void OnRelayFailure(const std::string& aAddress, instant aAt);
  void Tick(instant aAt);
  void Persisted(consensus::ticket_t aTicket, instant aAt);
  void SnapshotStored(const consensus::snapshot& aSnapshot);
  flow_effects TakeEffects(instant aAt);
  // A planned stop: leadership goes to the voter that is furthest along.
  void HandOver(instant aAt);

  [[nodiscard]] const flow_state& State() const { return mState; }
  [[nodiscard]] const consensus::raft_node& Raft() const { return *mRaft; }
  // The leader's RPC address; empty if none is known.
  [[nodiscard]] std::string LeaderAddress() const;
  // Whether this node is out of the group, or has heard no leader of late, and
  // should ask to be taken in.
  [[nodiscard]] bool ShouldJoin(time_point aNow) const;

private:
  explicit flow_core(flow_config aConfig);

  void SetTime(instant aAt);
  bool Propose(command_body aBody, leader_port::on_applied aThen);
  void Answer(call_number aCall, result<flow_answer> aAnswer);
  void UpdateLeading();
  void NoteLed();
  void StepDown();
  void ApplyEntry(const consensus::log_entry& aEntry);
  void StartSnapshot();
  void TendMembers();
  void TakeIn(const join_request& aJoin);
  [[nodiscard]] duration SilenceOf(const consensus::peer_status& aPeer) const;
  [[nodiscard]] std::vector<std::string> HeardMembers() const;
  leader_port Port();

  flow_config mConfig;
  std::unique_ptr<consensus::raft_node> mRaft;
  flow_state mState;
  std::unique_ptr<leader_core> mLeading;
  consensus::term_t mLeadingTerm = 0;
  time_point mLeadingSince{};
  time_point mLedUntil = time_point::min(); // min(): not known
  time_point mLedAt{}; // when a leader was heard last, and since when
  time_point mLedSince{};
  std::uint64_t mLedTerm = 0;
  time_point mTickedAt{};
  time_point mReadsOldUntil = time_point::min();
  consensus::log_index mApplied = 0;
  consensus::log_index mSnapshotAt = 0;
  bool mSnapshotUnderWay = false;
  instant mAt;
  time_point mLeaderHeardAt{};
  time_point mMembersAt{};
  struct proposed
  {
    consensus::term_t mTerm = 0;
    leader_port::on_applied mThen;
  };
  std::map<consensus::log_index, proposed> mProposed;
  std::set<call_number> mOpen; // asked and not answered

  std::vector<flow_reply> mReplies;
  std::vector<decision> mNotes;
  std::shared_ptr<const consensus::snapshot> mToStore;
  std::optional<error> mBroken;
};

} // namespace oriolewalk::flow
