#include "testing/flow/fake_group.h"

#include <algorithm>
#include <utility>

#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

constexpr milliseconds kStep{ 5 };
constexpr milliseconds kWay{ 1 };
constexpr milliseconds kHandOverBound{ 400 };
constexpr milliseconds kBeatEvery{ 1'500 };
constexpr milliseconds kLeastLate{ 2'000 };
constexpr std::uint64_t kLateSpanMs = 10'000;

} // namespace

fake_group::fake_group(std::size_t aNodes,
                       std::size_t aFounders,
                       std::uint64_t aSeed,
                       std::size_t aMostVoters,
                       flow_options aOptions)
  : mRandom(aSeed)
  , mFounders(aFounders)
  , mMostVoters(aMostVoters)
  , mOptions(aOptions)
  , mNodes(aNodes)
{
  for (std::size_t node = 0; node < aNodes; ++node) {
    mNodes[node].mFresh = node >= aFounders;
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
  config.mMaxVoters = mMostVoters;
  config.mFlow = mOptions;
  consensus::restored_state restored = made.mDisk.Content();
  restored.mMayVote = !made.mFresh;
  if (!made.mFresh) {
    // Every initial member starts with the same membership, whatever changed
    // later.
    for (std::size_t founder = 0; founder < mFounders; ++founder) {
      config.mInitialMembers.PutVoter(
        { Id(founder), "n" + std::to_string(founder), 0, false, std::nullopt });
    }
  }
  ++made.mLife;
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
  Returns();
  Beats();
  Joins();
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    if (mNodes[node].mCore != nullptr && !mNodes[node].mPaused) {
      if (const auto ticket = mNodes[node].mDisk.SyncUntil(mNow)) {
        mNodes[node].mCore->Persisted(*ticket, At());
      }
      mNodes[node].mCore->Tick(At());
      Pump(node);
    }
  }
}

void
fake_group::Pump(std::size_t aNode)
{
  process& one = mNodes[aNode];
  constexpr int kMostRounds = 4; // applying entries makes proposals
  for (int round = 0; round < kMostRounds; ++round) {
    flow_effects out = one.mCore->TakeEffects(At());
    for (const consensus::message& message : out.mRaft.mMessages) {
      Deliver(aNode, message);
    }
    if (out.mRaft.mTicket != 0) {
      one.mDisk.Write(out.mRaft, mNow + mSync);
    }
    if (out.mSnapshot) {
      one.mDisk.Store(*out.mSnapshot);
      one.mCore->SnapshotStored(*out.mSnapshot);
    }
    for (const worker_order& order : out.mOrders) {
      Order(aNode, order);
    }
    for (const decision& note : out.mDecisions) {
      ++mCounts[std::string(note.mEvent)];
    }
    std::ranges::move(out.mReplies, std::back_inserter(one.mReplies));
    if (out.mRaft.mCommitted.empty()) {
      return;
    }
  }
}

void
fake_group::Deliver(std::size_t aFrom, const consensus::message& aMessage)
{
  const std::size_t to = aMessage.mTo.Value() - 1;
  if (to >= mNodes.size() || mNodes[aFrom].mCut || mNodes[to].mCut) {
    return;
  }
  const std::uint64_t life = mNodes[to].mLife;
  At(kWay, [this, to, life, aMessage]() {
    process& one = mNodes[to];
    if (one.mCore != nullptr && !one.mPaused && one.mLife == life &&
        !one.mCut) {
      one.mCore->Receive(aMessage, At());
    }
  });
}

// A leader that was killed or restarted since gets no answer; the worker
// executes the order nevertheless.
void
fake_group::Order(std::size_t aFrom, const worker_order& aOrder)
{
  const std::uint64_t life = mNodes[aFrom].mLife;
  const auto answer =
    [this, aFrom, life, id = aOrder.mId](const order_answer& aAnswer) {
      process& one = mNodes[aFrom];
      if (one.mCore != nullptr && one.mLife == life) {
        one.mCore->OnOrderAnswer(id, aAnswer, At());
      }
    };
  const auto place = std::ranges::find_if(mWorkers, [&](const auto& aPlace) {
    return aPlace.mWorker->Description().mAddress == aOrder.mAddress;
  });
  const milliseconds wait{ 600 };
  if (place == mWorkers.end() || place->mCut || !HandOver(aFrom, aOrder)) {
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  const auto worker = static_cast<std::size_t>(place - mWorkers.begin());
  if (mHoldsBack && mHoldsBack(aOrder)) {
    mHeld.emplace_back(worker, aOrder);
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  if (mRandom.Fraction() < mLateShare) {
    // The order is lost if the worker's process ends before it is executed.
    const std::int64_t born =
      mWorkers[worker].mWorker->Description().mProcessStartMs;
    At(kLeastLate + milliseconds(mRandom.Below(kLateSpanMs)),
       [this, worker, aOrder, born]() {
         fake_worker& late = *mWorkers[worker].mWorker;
         if (late.Description().mProcessStartMs == born) {
           late.mHandlesLateOrder = true;
           Arrive(worker, aOrder);
           late.mHandlesLateOrder = false;
         }
       });
    At(wait, [answer]() { answer(order_answer{}); });
    return;
  }
  const auto delay = [this]() {
    return mOrderDelay.count() == 0
             ? kWay
             : kWay + milliseconds(mRandom.Below(
                        static_cast<std::uint64_t>(mOrderDelay.count())));
  };
  const milliseconds there = delay();
  const milliseconds back = delay();
  At(there, [this, worker, aOrder, answer, back, there, wait]() {
    const order_answer got = Arrive(worker, aOrder);
    if (there + back < wait) {
      At(back, [answer, got]() { answer(got); });
    }
  });
  if (there + back >= wait) { // timed out, but is executed nevertheless
    At(wait, [answer]() { answer(order_answer{}); });
  }
}

order_answer
fake_group::Arrive(std::size_t aWorker, const worker_order& aOrder)
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
  worker_order question = aOrder;
  question.mProcessStartMs = 0;
  question.mLeaseClockMs.reset();
  question.mBody = poll_order{};
  const order_answer told = worker.Handle(question, mNow);
  order_answer refusal;
  refusal.mProcessStartMs = told.mProcessStartMs;
  refusal.mResult =
    told.mResult == order_result::Done ? order_result::NotSent : told.mResult;
  return refusal;
}

void
fake_group::HoldOrders(std::function<bool(const worker_order&)> aWhich)
{
  mHoldsBack = std::move(aWhich);
}

void
fake_group::ReleaseOrders()
{
  mHoldsBack = nullptr;
  for (const auto& [worker, order] : std::exchange(mHeld, {})) {
    Arrive(worker, order);
  }
}

bool
fake_group::HandOver(std::size_t aFrom, const worker_order& aOrder)
{
  if (aOrder.mRelay.empty()) {
    return true;
  }
  ++mCounts["order.carried"];
  const std::size_t carrier = std::stoul(aOrder.mRelay.substr(1));
  const process& one = mNodes[carrier];
  if (one.mCore != nullptr && !one.mPaused && !one.mCut &&
      !mNodes[aFrom].mCut) {
    return true;
  }
  At(kHandOverBound, [this, aFrom, name = aOrder.mRelay]() {
    if (mNodes[aFrom].mCore != nullptr) {
      mNodes[aFrom].mCore->OnRelayFailure(name, At());
    }
  });
  return false;
}

void
fake_group::Beats()
{
  for (worker_place& place : mWorkers) {
    if (place.mCut || !place.mWorker->IsUp() || mNow < place.mBeatAt) {
      continue;
    }
    place.mBeatAt = mNow + kBeatEvery;
    SendRequest(worker_heartbeat{ place.mWorker->Description(),
                                  place.mWorker->mDraining,
                                  0,
                                  place.mWorker->ClockMs(mNow),
                                  ++place.mBeat });
  }
}

void
fake_group::RestartCrashedWorkers(milliseconds aAway, bool aUnderTheirIds)
{
  mAway = aAway;
  mBackUnderTheirIds = aUnderTheirIds;
}

void
fake_group::Returns()
{
  for (worker_place& place : mWorkers) {
    if (place.mWorker->IsUp() || !mAway) {
      place.mBackAt.reset();
      continue;
    }
    place.mBackAt = place.mBackAt.value_or(mNow + *mAway);
    if (mNow < *place.mBackAt) {
      continue;
    }
    place.mBeat = 0;
    place.mBeatAt = mNow;
    if (mBackUnderTheirIds) {
      place.mWorker->Restart(mNow);
    } else {
      const std::string& id = place.mWorker->Description().mId.Value();
      place.mWorker->RestartAs(id.substr(0, id.find('~')) + "~" +
                                 std::to_string(++place.mLives),
                               mNow);
    }
  }
}

void
fake_group::Joins()
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
fake_group::AddWorker(const std::string& aId, double aSlow)
{
  worker_description facts = testing::Worker(aId);
  facts.mAddress = "w" + std::to_string(mWorkers.size()) + ":1";
  facts.mProcessStartMs = At().mWallMs;
  worker_place& place = mWorkers.emplace_back();
  place.mWorker = std::make_unique<fake_worker>(facts, aSlow, mOracle);
  return mWorkers.size() - 1;
}

void
fake_group::RestartWorker(std::size_t aWorker, duration aSilence)
{
  worker_place& place = mWorkers[aWorker];
  place.mWorker->Restart(mNow);
  place.mBeat = 0;
  place.mBeatAt = mNow + aSilence;
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
    one.mFresh = one.mDisk.IsWiped() || (aNode >= mFounders && isEmpty);
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
  constexpr int kMostSteps = 40;
  for (int step = 0; step < kMostSteps && !answer; ++step) {
    if (mNodes[*leader].mCore == nullptr || mNodes[*leader].mPaused) {
      return std::nullopt;
    }
    Pump(*leader);
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
fake_group::StateOf(const std::string& aId)
{
  const auto answer =
    SendRequest(job_query{ { "jobs.example", "/fees/" + aId } });
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
