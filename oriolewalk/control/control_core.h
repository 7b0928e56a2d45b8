#pragma once

// A control process without its sockets, files and threads.
//
//   control_core core(config, restored, seed, now, wallMs);
//   core.Receive(message, now, wallMs);       // replication
//   core.Ask(call, request, now, wallMs);     // an entry's question
//   core.Tick(now, wallMs);                   // about every 10 ms
//   control_effects out = core.TakeEffects(now, wallMs);
//   // send out.mMessages, answer out.mReplies, store out.mWrites, sync,
//   core.Persisted(ticket, now, wallMs);
//
// It joins the replicated log, the replicated state and, while it leads, the
// desks that decide: live requests, workers, weights, operators. Followers
// only apply. The same core runs in the daemon, in tests and in the fault
// matrix. One thread at a time.

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
#include "oriolewalk/control/call.h"
#include "oriolewalk/control/entry_registry.h"
#include "oriolewalk/control/live_requests.h"
#include "oriolewalk/control/operator_desk.h"
#include "oriolewalk/control/replicated_state.h"
#include "oriolewalk/control/target_registry.h"
#include "oriolewalk/control/weights_desk.h"
#include "oriolewalk/control/worker_desk.h"
#include "oriolewalk/observe/event.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/voter/write_batch.h"

namespace oriolewalk::control {

struct control_config
{
  consensus::node_id mSelf;
  consensus::raft_options mRaft;
  consensus::membership mFounders;
  // A snapshot after so many log entries: at the peak of 3,000 requests a
  // second (two entries each) one every few seconds would cost more than the
  // replay it saves; 50,000 entries replay in well under a second.
  std::uint64_t mSnapshotEvery = 50'000;
};

struct control_effects
{
  std::vector<consensus::message> mMessages;
  std::vector<call_reply> mReplies;
  voter::write_batch mWrites;
  std::vector<observe::event> mEvents;
  std::optional<consensus::leadership> mLeadership; // if it changed
  std::optional<error> mBroken; // the process must stop: state can't be read
};

struct control_counters
{
  std::uint64_t mCalls = 0;
  std::uint64_t mNotLeader = 0;
  std::uint64_t mProposed = 0;
  std::uint64_t mApplied = 0;
  std::uint64_t mSnapshots = 0;
};

class control_core
{
public:
  // Errors: Corrupt, if the restored snapshot can't be read.
  static result<std::unique_ptr<control_core>> Make(
    const control_config& aConfig,
    consensus::restored_state aRestored,
    std::uint64_t aSeed,
    time_point aNow);

  void Receive(const consensus::message& aMessage, time_point aNow);
  void Ask(call_id aCall,
           const protocol::request_body& aRequest,
           time_point aNow,
           std::int64_t aWallMs);
  void Tick(time_point aNow, std::int64_t aWallMs);
  void Persisted(consensus::ticket_t aTicket, time_point aNow);
  void SnapshotStored(const consensus::snapshot& aSnapshot);
  control_effects TakeEffects(time_point aNow, std::int64_t aWallMs);

  // A planned stop: leadership goes to the voter that is furthest along.
  void HandOver(time_point aNow);

  using on_applied = std::function<void(const applied&, time_point)>;
  // For the desks: proposes; the function is called when the command is
  // applied here while this node still leads. False: nothing was proposed.
  bool Propose(command_body aBody, on_applied aThen);
  void Answer(call_id aCall, protocol::answer_body aAnswer);
  void AnswerError(call_id aCall, const error& aError);

  [[nodiscard]] bool IsLeading() const { return mLeading != nullptr; }
  [[nodiscard]] const replicated_state& State() const { return mState; }
  [[nodiscard]] consensus::raft_node& Raft() { return *mRaft; }
  [[nodiscard]] const consensus::raft_node& Raft() const { return *mRaft; }
  [[nodiscard]] const control_counters& Counters() const { return mCounters; }
  [[nodiscard]] const entry_registry& Entries() const { return mEntries; }
  [[nodiscard]] target_registry& Targets() { return mTargets; }
  // Only while leading.
  [[nodiscard]] live_requests& Live() { return mLeading->mLive; }
  [[nodiscard]] worker_desk& Workers() { return mLeading->mWorkers; }
  [[nodiscard]] weights_desk& Weights() { return mLeading->mWeights; }

private:
  // What a leader has besides the shared state; made at the start of each term
  // and dropped at its end, so that nothing of an older term can act.
  struct leading_state
  {
    leading_state(control_core& aCore, time_point aNow, std::int64_t aWallMs);

    live_requests mLive;
    worker_desk mWorkers;
    weights_desk mWeights;
  };

  control_core(control_config aConfig, std::uint64_t aSeed);

  void Collect(control_effects& aOut, time_point aNow, std::int64_t aWallMs);
  void ApplyEntry(const consensus::log_entry& aEntry,
                  time_point aNow,
                  std::int64_t aWallMs);
  void Notify(const command& aCommand,
              const applied& aOutcome,
              time_point aNow,
              std::int64_t aWallMs);
  void UpdateLeading(time_point aNow, std::int64_t aWallMs);
  void StepDown();
  void UsePolicy(time_point aNow);
  void RefuseNotLeader(call_id aCall);
  void Route(call_id aCall,
             const protocol::request_body& aRequest,
             time_point aNow,
             std::int64_t aWallMs);
  void AnnounceTarget(call_id aCall,
                      const protocol::target_announcement& aTarget,
                      time_point aNow);
  void LeaveTarget(call_id aCall, const target_id& aTarget, time_point aNow);
  void Sweep(time_point aNow, std::int64_t aWallMs);
  void StartSnapshot();
  void SetTime(time_point aNow, std::int64_t aWallMs);

  control_config mConfig;
  std::uint64_t mSeed;
  std::unique_ptr<consensus::raft_node> mRaft;
  replicated_state mState;
  consensus::log_index mApplied = 0;
  consensus::log_index mSnapshotAt = 0;
  bool mSnapshotUnderWay = false;

  entry_registry mEntries;
  target_registry mTargets;
  operator_desk mOperators;
  std::unique_ptr<leading_state> mLeading;
  consensus::term_t mLeadingTerm = 0;
  struct proposed
  {
    consensus::term_t mTerm = 0;
    on_applied mThen;
  };
  std::map<consensus::log_index, proposed> mProposed;
  std::set<call_id> mOpen; // asked and not answered
  time_point mNow{};
  std::int64_t mWallMs = 0;
  time_point mSweepAt{};
  bool mPlanDue = false;

  std::vector<call_reply> mReplies;
  std::vector<observe::event> mEvents;
  std::shared_ptr<const consensus::snapshot> mToStore;
  std::optional<error> mBroken;
  control_counters mCounters;
};

} // namespace oriolewalk::control
