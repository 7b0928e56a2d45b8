#pragma once

// Control processes and workers in one thread and in simulated time. Messages,
// syncs and orders take milliseconds, and may be blocked, lost or executed
// late.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/random.h"
#include "oriolewalk/flow/flow_core.h"
#include "testing/consensus/fake_disk.h"
#include "testing/flow/fake_worker.h"

namespace oriolewalk::flow {

class fake_group
{
public:
  // The first aInitialMembers of aNodes form the group; the others request to
  // join.
  fake_group(std::size_t aNodes,
             std::size_t aInitialMembers,
             std::uint64_t aSeed,
             std::size_t aMaxVoters = 9,
             flow_options aOptions = {});

  // Advances the time by aFor, in steps of 5 ms.
  void Run(duration aFor);
  // Runs until aDone() is true, for at most aAtMost. Returns whether it is.
  bool RunUntil(const std::function<bool()>& aDone, duration aAtMost);

  std::size_t AddWorker(const std::string& aId, double aClockDrift = 0);
  // Restarts its process under its id; the first heartbeat follows aSilence
  // later.
  void RestartWorker(std::size_t aWorker, duration aSilence = {});
  // Restarts each worker aDelay after its process died: under its id, or under
  // another id at its address. Without this it stays down.
  void RestartCrashedWorkers(milliseconds aDelay, bool aUnderSameId);
  void Kill(std::size_t aNode, bool aLoseUnsynced = false);
  void Wipe(std::size_t aNode); // also kills the node
  void Restart(std::size_t aNode);
  void Pause(std::size_t aNode, bool aPaused);
  // Partitions the node from the other control processes, not from the workers.
  void Cut(std::size_t aNode, bool aCut);
  void CutWorker(std::size_t aWorker, bool aCut);
  // The worker deregisters, also if it is cut off. Its process ends when it
  // receives the answer, and after aEndsAnyway without one.
  void Deregister(std::size_t aWorker, duration aEndsAnyway);
  // Sets the share of orders that get no answer and are executed up to 12 s
  // later.
  void SetLateShare(double aShare) { mLateShare = aShare; }
  // Delays each order and each answer by up to aMax, at random, as in the
  // leader's queues. An order whose time to be sent is over when it comes out
  // of the queue is dropped; the worker executes every order that arrives.
  void SetOrderDelay(milliseconds aMax) { mOrderDelay = aMax; }
  // Holds the orders that aWhich selects, without an answer, until
  // ReleaseOrders() delivers them to whichever process is there by then, unless
  // their time to be sent is over. This simulates a relay that is suspended.
  void HoldOrders(std::function<bool(const worker_order&)> aWhich);
  void ReleaseOrders();
  // Sets what the machine service answers; none: the answer is lost. Without
  // it a call to the service is a violation.
  using machine_service = std::function<std::optional<machines::call_answer>(
    const machines::call_body&,
    time_point)>;
  void SetMachineService(machine_service aService)
  {
    mMachineService = std::move(aService);
  }
  // Sets how long a write to a disk takes.
  void SetSyncTime(milliseconds aTime) { mSyncTime = aTime; }

  // Sends the request to the leader and runs until it is answered, except for a
  // heartbeat, which may be answered later. None: no leader, or no answer in
  // time.
  std::optional<flow_answer> SendRequest(const flow_request& aRequest);
  void Submit(const std::string& aId, std::vector<step_spec> aSteps);
  // aKey: of the organisation that owns the job; empty: nobody does.
  std::string StateOf(const std::string& aId, const std::string& aKey = {});
  std::optional<std::size_t> Leader() const;

  [[nodiscard]] flow_core& Core(std::size_t aNode)
  {
    return *mNodes[aNode].mCore;
  }
  [[nodiscard]] bool IsUp(std::size_t aNode) const
  {
    return mNodes[aNode].mCore != nullptr;
  }
  [[nodiscard]] std::size_t Size() const { return mNodes.size(); }
  [[nodiscard]] fake_worker& Worker(std::size_t aWorker)
  {
    return *mWorkers[aWorker].mWorker;
  }
  [[nodiscard]] run_oracle& Oracle() { return mOracle; }
  [[nodiscard]] time_point Now() const { return mNow; }
  // Everything that was logged, and the errors of answers.
  [[nodiscard]] const std::string& Log() const { return mLog; }
  // How many decisions with this event were logged since the beginning.
  [[nodiscard]] std::size_t Count(const std::string& aEvent) const;

private:
  struct process
  {
    consensus::fake_disk mDisk;
    std::unique_ptr<flow_core> mCore;
    bool mPaused = false;
    bool mCut = false;
    bool mFresh = false;
    std::uint64_t mIncarnation = 0;
    std::vector<flow_reply> mReplies;
  };
  struct worker_place
  {
    std::unique_ptr<fake_worker> mWorker;
    bool mCut = false;
    bool mHasDeregistered = false; // it sends no more heartbeats
    std::int64_t mLastHeartbeat = 0;
    time_point mNextHeartbeatAt{};
    std::optional<time_point> mRestartAt{};
    int mIncarnations = 1;
  };

  struct deregistration_call
  {
    std::size_t mWorker = 0;
    std::int64_t mProcessStartMs = 0;
  };

  struct contact_call
  {
    std::size_t mNode = 0;
    std::uint64_t mIncarnation = 0;
    time_point mQueriedAt{};
  };

  [[nodiscard]] instant At() const;
  void Make(std::size_t aNode);
  void Step();
  void ForwardEffects(std::size_t aNode);
  void Deliver(std::size_t aFrom, const consensus::message& aMessage);
  void SendOrder(std::size_t aFrom, const worker_order& aOrder);
  void CallMachineService(std::size_t aFrom,
                          const machines::machine_call& aCall);
  // Delivers the order to the worker's current process.
  order_answer DeliverOrder(std::size_t aWorker, const worker_order& aOrder);
  // Returns false if the order's relay can't be reached; the leader learns it
  // later.
  bool PassToRelay(std::size_t aFrom, const worker_order& aOrder);
  void SendHeartbeats();
  void RestartDueWorkers();
  void SendJoinRequests();
  void QueryContacts(std::size_t aNode);
  // Returns whether the reply answers a contact query.
  bool PassContacts(std::size_t aLeader, const flow_reply& aReply);
  // Returns whether the reply answers a deregistration.
  bool PassDeregistration(const flow_reply& aReply);
  // Ends the worker's process, unless it has ended.
  void EndProcess(const deregistration_call& aCall);
  void At(duration aAfter, std::function<void()> aDo);
  static consensus::node_id Id(std::size_t aNode);

  random_source mRandom;
  std::size_t mInitialMembers;
  std::size_t mMaxVoters;
  flow_options mOptions;
  time_point mNow{ seconds(1'000) };
  std::vector<process> mNodes;
  std::vector<worker_place> mWorkers;
  std::multimap<time_point, std::function<void()>> mEvents;
  run_oracle mOracle;
  std::function<bool(const worker_order&)> mHoldsOrder;
  machine_service mMachineService;
  // With the index of the worker.
  std::vector<std::pair<std::size_t, worker_order>> mHeldOrders;
  std::optional<milliseconds> mRestartDelay;
  bool mRestartsUnderSameId = false;
  double mLateShare = 0;
  milliseconds mOrderDelay{ 0 };
  milliseconds mSyncTime{ 9 };
  call_number mLastCall = 0;
  std::map<call_number, contact_call> mContactCalls;
  std::map<call_number, deregistration_call> mDeregistrationCalls;
  std::map<std::string, std::size_t> mCounts;
  std::string mLog;
};

} // namespace oriolewalk::flow
