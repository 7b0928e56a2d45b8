#include "testing/flow/fake_group.h"

#include <algorithm>
#include <utility>

#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

constexpr milliseconds kStep{ 5 };
constexpr milliseconds kTransitTime{ 1 };
constexpr milliseconds kRelayTimeout{ 400 };
constexpr milliseconds kHeartbeatInterval{ 1'500 };
constexpr milliseconds kMinLateDelay{ 2'000 };
constexpr std::uint64_t kLateSpanMs = 10'000;

} // namespace

fake_group::fake_group(std::size_t aNodes,
                       std::size_t aInitialMembers,
                       std::uint64_t aSeed,
                       std::size_t aMaxVoters,
                       flow_options aOptions)
  : mRandom(aSeed)
  , mInitialMembers(aInitialMembers)
  , mMaxVoters(aMaxVoters)
  , mOptions(aOptions)
  , mNodes(aNodes)
{
  for (std::size_t node = 0; node < aNodes; ++node) {
    mNodes[node].mFresh = node >= aInitialMembers;
    Make(node);
  }
  RunUntil([this]() { return Leader().has_value(); }, seconds(10));
  queue_table table;
  table.mVersion = 1;
  table.mQueues = { testing::Queue("fees", 0) };
  table.mServices = { { service_id("pay"), false, false } };
  SendRequest(table_change{ table, "source" });
}

consensus::node_id
fake_group::Id(std::size_t aNode)
{
  return consensus::node_id(aNode + 1);
}

instant
fake_group::At() const
{
  return {
    mNow,
    std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count()
  };
}

void
fake_group::Make(std::size_t aNode)
{
  process& made = mNodes[aNode];
  flow_config config;
  config.mSelf = Id(aNode);
  config.mAddress = "n" + std::to_string(aNode);
  config.mMaxVoters = mMaxVoters;
  config.mFlow = mOptions;
  consensus::restored_state restored = made.mDisk.Content();
  restored.mMayVote = !made.mFresh;
  if (!made.mFresh) {
    // Every initial member starts with the same membership, whatever changed
    // later.
    for (std::size_t member = 0; member < mInitialMembers; ++member) {
      config.mInitialMembers.PutVoter(
        { Id(member), "n" + std::to_string(member), 0, false, std::nullopt });
    }
  }
  ++made.mIncarnation;
  auto core =
    flow_core::Make(config, std::move(restored), mRandom.Bits(), mNow);
  made.mCore = std::move(*core);
}

void
fake_group::At(duration aAfter, std::function<void()> aDo)
{
  mEvents.emplace(mNow + aAfter, std::move(aDo));
}

void
fake_group::Run(duration aFor)
{
  for (const time_point until = mNow + aFor; mNow < until;) {
    Step();
  }
}

bool
fake_group::RunUntil(const std::function<bool()>& aDone, duration aAtMost)
{
  for (const time_point until = mNow + aAtMost; mNow < until;) {
    if (aDone()) {
      return true;
    }
    Step();
  }
  return aDone();
}

void
fake_group::Step()
{
  mNow += kStep;
  while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
    const auto next = mEvents.extract(mEvents.begin());
    next.mapped()();
  }
  for (worker_place& place : mWorkers) {
    place.mWorker->Advance(mNow);
  }
  RestartDueWorkers();
  SendHeartbeats();
  SendJoinRequests();
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    if (mNodes[node].mCore != nullptr && !mNodes[node].mPaused) {
      if (const auto ticket = mNodes[node].mDisk.SyncUntil(mNow)) {
        mNodes[node].mCore->Persisted(*ticket, At());
      }
      mNodes[node].mCore->Tick(At());
      ForwardEffects(node);
    }
  }
}

void
fake_group::ForwardEffects(std::size_t aNode)
{
  process& one = mNodes[aNode];
  constexpr int kMaxRounds = 4; // applying entries makes proposals
  for (int round = 0; round < kMaxRounds; ++round) {
    one.mCore->Plan(At());
    flow_effects out = one.mCore->TakeEffects(At());
    for (const consensus::message& message : out.mRaft.mMessages) {
      Deliver(aNode, message);
    }
    if (out.mRaft.mTicket != 0) {
      one.mDisk.Write(out.mRaft, mNow + mSyncTime);
    }
    if (out.mSnapshot) {
      one.mDisk.Store(*out.mSnapshot);
      one.mCore->SnapshotStored(*out.mSnapshot);
    }
    for (const worker_order& order : out.mOrders) {
      SendOrder(aNode, order);
    }
    for (const machines::machine_call& call : out.mMachineCalls) {
      CallMachineService(aNode, call);
    }
    for (const decision& note : out.mDecisions) {
      ++mCounts[std::string(note.mEvent)];
      mLog.append(note.mEvent);
      for (const auto& [name, value] : note.mFields) {
        mLog.append(" ").append(name).append("=").append(value);
      }
      mLog.append("\n");
    }
    for (const flow_reply& reply : out.mReplies) {
      if (!reply.mAnswer) {
        mLog.append(reply.mAnswer.error().Describe()).append("\n");
      }
    }
    if (out.mQueriesContacts) {
      QueryContacts(aNode);
    }
    for (flow_reply& reply : out.mReplies) {
      if (!PassContacts(aNode, reply) && !PassDeregistration(reply)) {
        one.mReplies.push_back(std::move(reply));
      }
    }
    if (out.mRaft.mCommitted.empty()) {
      return;
    }
  }
}

void
fake_group::QueryContacts(std::size_t aNode)
{
  const std::string leader = mNodes[aNode].mCore->LeaderAddress();
  if (leader.empty() || mNodes[aNode].mCut) {
    return;
  }
  const std::size_t to = std::stoul(leader.substr(1));
  const contact_call asked{ aNode, mNodes[aNode].mIncarnation, mNow };
  At(kTransitTime, [this, to, asked]() {
    process& one = mNodes[to];
    if (one.mCore != nullptr && !one.mPaused && !one.mCut) {
      mContactCalls[++mLastCall] = asked;
      one.mCore->HandleRequest(mLastCall, contact_query{}, At());
    }
  });
}

bool
fake_group::PassContacts(std::size_t aLeader, const flow_reply& aReply)
{
  const auto call = mContactCalls.extract(aReply.mCall);
  if (call.empty()) {
    return false;
  }
  const auto* contacts =
    aReply.mAnswer ? std::get_if<worker_contacts>(&*aReply.mAnswer) : nullptr;
  if (contacts != nullptr && !mNodes[aLeader].mCut) {
    At(kTransitTime, [this, asked = call.mapped(), told = *contacts]() {
      process& one = mNodes[asked.mNode];
      if (one.mCore != nullptr && one.mIncarnation == asked.mIncarnation &&
          !one.mCut) {
        one.mCore->OnContacts(told, asked.mQueriedAt);
      }
    });
  }
  return true;
}

void
fake_group::Deregister(std::size_t aWorker, duration aEndsAnyway)
{
  worker_place& place = mWorkers[aWorker];
  if (!place.mWorker->IsUp() || place.mHasDeregistered) {
    return;
  }
  place.mHasDeregistered = true;
  const worker_description& own = place.mWorker->Description();
  const deregistration_call call{ aWorker, own.mProcessStartMs };
  At(aEndsAnyway, [this, call]() { EndProcess(call); });
  if (const auto leader = Leader()) {
    mDeregistrationCalls[++mLastCall] = call;
    mNodes[*leader].mCore->HandleRequest(
      mLastCall, worker_deregistration{ own.mId, own.mProcessStartMs }, At());
  }
}

bool
fake_group::PassDeregistration(const flow_reply& aReply)
{
  const auto call = mDeregistrationCalls.extract(aReply.mCall);
  if (call.empty()) {
    return false;
  }
  if (aReply.mAnswer && !mWorkers[call.mapped().mWorker].mCut) {
    At(kTransitTime, [this, left = call.mapped()]() { EndProcess(left); });
  }
  return true;
}

void
fake_group::EndProcess(const deregistration_call& aCall)
{
  fake_worker& worker = *mWorkers[aCall.mWorker].mWorker;
  if (worker.IsUp() &&
      worker.Description().mProcessStartMs == aCall.mProcessStartMs) {
    worker.Leave(mNow);
  }
}

void
fake_group::Deliver(std::size_t aFrom, const consensus::message& aMessage)
{
  const std::size_t to = aMessage.mTo.Value() - 1;
  if (to >= mNodes.size() || mNodes[aFrom].mCut || mNodes[to].mCut) {
    return;
  }
  const std::uint64_t incarnation = mNodes[to].mIncarnation;
  At(kTransitTime, [this, to, incarnation, aMessage]() {
    process& one = mNodes[to];
    if (one.mCore != nullptr && !one.mPaused &&
        one.mIncarnation == incarnation && !one.mCut) {
      one.mCore->Receive(aMessage, At());
    }
  });
}

// A leader that was killed or restarted since gets no answer; the worker
// executes the order nevertheless.
void
fake_group::SendOrder(std::size_t aFrom, const worker_order& aOrder)
{
  const std::uint64_t incarnation = mNodes[aFrom].mIncarnation;
  const auto answer =
    [this, aFrom, incarnation, id = aOrder.mId](const order_answer& aAnswer) {
      process& one = mNodes[aFrom];
      if (one.mCore != nullptr && one.mIncarnation == incarnation) {
        one.mCore->OnOrderAnswer(id, aAnswer, At());
      }
    };
  const auto place = std::ranges::find_if(mWorkers, [&](const auto& aPlace) {
    return aPlace.mWorker->Description().mAddress == aOrder.mAddress;
  });
  const milliseconds wait{ 600 };
  if (aOrder.IsExpired(mNow)) {
    order_answer dropped;
    dropped.mResult = order_result::NotSent;
    At(kTransitTime, [answer, dropped]() { answer(dropped); });
    return;
  }
  if (place == mWorkers.end() || place->mCut || !PassToRelay(aFrom, aOrder)) {
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  const auto worker = static_cast<std::size_t>(place - mWorkers.begin());
  if (mHoldsOrder && mHoldsOrder(aOrder)) {
    mHeldOrders.emplace_back(worker, aOrder);
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  if (mRandom.Fraction() < mLateShare) {
    // The order is lost if the worker's process ends before it is executed.
    const std::int64_t processStartMs =
      mWorkers[worker].mWorker->Description().mProcessStartMs;
    At(kMinLateDelay + milliseconds(mRandom.Below(kLateSpanMs)),
       [this, worker, aOrder, processStartMs]() {
         fake_worker& late = *mWorkers[worker].mWorker;
         if (late.Description().mProcessStartMs == processStartMs) {
           late.mHandlesLateOrder = true;
           DeliverOrder(worker, aOrder);
           late.mHandlesLateOrder = false;
         }
       });
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  const auto delay = [this]() {
    return mOrderDelay.count() == 0
             ? kTransitTime
             : kTransitTime +
                 milliseconds(mRandom.Below(
                   static_cast<std::uint64_t>(mOrderDelay.count())));
  };
  const milliseconds wayThere = delay();
  const milliseconds wayBack = delay();
  At(wayThere, [this, worker, aOrder, answer, wayBack, wayThere, wait]() {
    // Whoever sends it checks the time just before that.
    order_answer workerAnswer;
    if (aOrder.IsExpired(mNow - kTransitTime)) {
      workerAnswer.mResult = order_result::NotSent;
    } else {
      workerAnswer = DeliverOrder(worker, aOrder);
    }
    if (wayThere + wayBack < wait) {
      At(wayBack, [answer, workerAnswer]() { answer(workerAnswer); });
    }
  });
  if (wayThere + wayBack >= wait) { // timed out, but is executed nevertheless
    At(wait, [answer]() { answer(order_answer{}); });
  }
}

void
fake_group::CallMachineService(std::size_t aFrom,
                               const machines::machine_call& aCall)
{
  if (!mMachineService) {
    mOracle.AddViolation("a call to the machine service without a wave");
    return;
  }
  const auto answer = [this,
                       aFrom,
                       incarnation = mNodes[aFrom].mIncarnation,
                       id = aCall.mId](const machines::call_answer& aAnswer) {
    process& one = mNodes[aFrom];
    if (one.mCore != nullptr && one.mIncarnation == incarnation) {
      one.mCore->OnMachineAnswer(id, aAnswer, At());
    }
  };
  At(kTransitTime, [this, answer, body = aCall.mBody]() {
    const auto said = mMachineService(body, mNow);
    At(said ? duration(kTransitTime) : duration(machines::kOrderTimeout),
       [answer, said]() { answer(said.value_or(machines::call_answer{})); });
  });
}

order_answer
fake_group::DeliverOrder(std::size_t aWorker, const worker_order& aOrder)
{
  fake_worker& worker = *mWorkers[aWorker].mWorker;
  const bool forOther =
    aOrder.mProcessStartMs != 0 &&
    aOrder.mProcessStartMs != worker.Description().mProcessStartMs;
  if (!forOther || !worker.IsUp()) {
    return worker.Handle(aOrder, mNow);
  }
  if (mRandom.Below(2) == 0) {
    return {}; // sent over a connection to the former process, and lost with it
  }
  // Over a new connection, the current process is polled for its start time.
  worker_order poll = aOrder;
  poll.mProcessStartMs = 0;
  poll.mLeaseClockMs.reset();
  poll.mBody = poll_order{};
  const order_answer shown = worker.Handle(poll, mNow);
  order_answer refusal;
  refusal.mProcessStartMs = shown.mProcessStartMs;
  refusal.mResult =
    shown.mResult == order_result::Done ? order_result::NotSent : shown.mResult;
  return refusal;
}

void
fake_group::HoldOrders(std::function<bool(const worker_order&)> aWhich)
{
  mHoldsOrder = std::move(aWhich);
}

void
fake_group::ReleaseOrders()
{
  mHoldsOrder = nullptr;
  for (const auto& [worker, order] : std::exchange(mHeldOrders, {})) {
    if (!order.IsExpired(mNow)) { // the relay drops it when it wakes
      DeliverOrder(worker, order);
    }
  }
}

bool
fake_group::PassToRelay(std::size_t aFrom, const worker_order& aOrder)
{
  if (aOrder.mRelay.empty()) {
    return true;
  }
  ++mCounts["order.carried"];
  const std::size_t relay = std::stoul(aOrder.mRelay.substr(1));
  const process& one = mNodes[relay];
  if (one.mCore != nullptr && !one.mPaused && !one.mCut &&
      !mNodes[aFrom].mCut) {
    return true;
  }
  At(kRelayTimeout, [this, aFrom, name = aOrder.mRelay]() {
    if (mNodes[aFrom].mCore != nullptr) {
      mNodes[aFrom].mCore->OnRelayFailure(name, At());
    }
  });
  return false;
}

void
fake_group::SendHeartbeats()
{
  for (worker_place& place : mWorkers) {
    if (place.mCut || place.mHasDeregistered || !place.mWorker->IsUp() ||
        mNow < place.mNextHeartbeatAt) {
      continue;
    }
    place.mNextHeartbeatAt = mNow + kHeartbeatInterval;
    SendRequest(worker_heartbeat{ place.mWorker->Description(),
                                  place.mWorker->mDraining,
                                  0,
                                  place.mWorker->ClockMs(mNow),
                                  ++place.mLastHeartbeat });
  }
}

void
fake_group::RestartCrashedWorkers(milliseconds aDelay, bool aUnderSameId)
{
  mRestartDelay = aDelay;
  mRestartsUnderSameId = aUnderSameId;
}

void
fake_group::RestartDueWorkers()
{
  for (worker_place& place : mWorkers) {
    if (place.mWorker->IsUp() || !mRestartDelay) {
      place.mRestartAt.reset();
      continue;
    }
    place.mRestartAt = place.mRestartAt.value_or(mNow + *mRestartDelay);
    if (mNow < *place.mRestartAt) {
      continue;
    }
    place.mLastHeartbeat = 0;
    place.mNextHeartbeatAt = mNow;
    if (mRestartsUnderSameId) {
      place.mWorker->Restart(mNow);
    } else {
      const std::string& id = place.mWorker->Description().mId.Value();
      place.mWorker->RestartAs(id.substr(0, id.find('~')) + "~" +
                                 std::to_string(++place.mIncarnations),
                               mNow);
    }
  }
}

void
fake_group::SendJoinRequests()
{
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    const auto& one = mNodes[node];
    if (one.mCore != nullptr && !one.mPaused && !one.mCut &&
        one.mCore->ShouldJoin(mNow) && mRandom.Below(100) == 0) {
      SendRequest(join_request{ Id(node).Value(), "n" + std::to_string(node) });
    }
  }
}

std::size_t
fake_group::AddWorker(const std::string& aId, double aClockDrift)
{
  worker_description description = testing::Worker(aId);
  description.mAddress = "w" + std::to_string(mWorkers.size()) + ":1";
  description.mProcessStartMs = At().mWallMs;
  worker_place& place = mWorkers.emplace_back();
  place.mWorker =
    std::make_unique<fake_worker>(description, aClockDrift, mOracle);
  return mWorkers.size() - 1;
}

void
fake_group::RestartWorker(std::size_t aWorker, duration aSilence)
{
  worker_place& place = mWorkers[aWorker];
  place.mWorker->Restart(mNow);
  place.mHasDeregistered = false;
  place.mLastHeartbeat = 0;
  place.mNextHeartbeatAt = mNow + aSilence;
}

void
fake_group::Kill(std::size_t aNode, bool aLoseUnsynced)
{
  process& one = mNodes[aNode];
  one.mCore.reset();
  one.mReplies.clear();
  one.mPaused = false;
  // All writes stay in a killed process's files; a power loss keeps a part of
  // the unsynced ones.
  const std::size_t unsynced = one.mDisk.Unsynced();
  one.mDisk.Crash(aLoseUnsynced ? mRandom.Below(unsynced + 1) : unsynced);
}

void
fake_group::Wipe(std::size_t aNode)
{
  Kill(aNode);
  mNodes[aNode].mDisk.Wipe();
  mNodes[aNode].mFresh = true;
}

void
fake_group::Restart(std::size_t aNode)
{
  process& one = mNodes[aNode];
  if (one.mCore == nullptr) {
    // The contents of its disk decide, as for the real process.
    const bool isEmpty =
      one.mDisk.Content().mHardState == consensus::hard_state{};
    one.mFresh = one.mDisk.IsWiped() || (aNode >= mInitialMembers && isEmpty);
    Make(aNode);
  }
}

void
fake_group::Pause(std::size_t aNode, bool aPaused)
{
  mNodes[aNode].mPaused = aPaused;
}

void
fake_group::Cut(std::size_t aNode, bool aCut)
{
  mNodes[aNode].mCut = aCut;
}

void
fake_group::CutWorker(std::size_t aWorker, bool aCut)
{
  mWorkers[aWorker].mCut = aCut;
}

std::optional<std::size_t>
fake_group::Leader() const
{
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    const flow_core* one = mNodes[node].mCore.get();
    if (one != nullptr && !mNodes[node].mPaused && !mNodes[node].mCut &&
        one->Raft().MayServe(mNow)) {
      return node;
    }
  }
  return std::nullopt;
}

std::optional<flow_answer>
fake_group::SendRequest(const flow_request& aRequest)
{
  const auto leader = Leader();
  if (!leader) {
    return std::nullopt;
  }
  const call_number call = ++mLastCall;
  mNodes[*leader].mCore->HandleRequest(call, aRequest, At());
  std::optional<flow_answer> answer;
  constexpr int kMaxSteps = 40;
  for (int step = 0; step < kMaxSteps && !answer; ++step) {
    if (mNodes[*leader].mCore == nullptr || mNodes[*leader].mPaused) {
      return std::nullopt;
    }
    ForwardEffects(*leader);
    for (const flow_reply& reply : mNodes[*leader].mReplies) {
      if (reply.mCall == call && reply.mAnswer) {
        answer = *reply.mAnswer;
      }
    }
    if (!answer && std::holds_alternative<worker_heartbeat>(aRequest)) {
      return std::nullopt; // it may be answered later
    }
    if (!answer) {
      Step();
    }
  }
  mNodes[*leader].mReplies.clear();
  return answer;
}

void
fake_group::Submit(const std::string& aId, std::vector<step_spec> aSteps)
{
  job_submission job{ { "jobs.example", "/fees/" + aId }, {} };
  job.mSpec.mSteps = std::move(aSteps);
  SendRequest(job);
}

std::string
fake_group::StateOf(const std::string& aId, const std::string& aKey)
{
  const job_query query{ { "jobs.example", "/fees/" + aId } };
  const auto answer = aKey.empty() ? SendRequest(query)
                                   : SendRequest(keyed_request{ aKey, query });
  const auto* job = answer ? std::get_if<job_answer>(&*answer) : nullptr;
  return job == nullptr ? "" : job->mText;
}

std::size_t
fake_group::Count(const std::string& aEvent) const
{
  const auto found = mCounts.find(aEvent);
  return found == mCounts.end() ? 0 : found->second;
}

} // namespace oriolewalk::flow
