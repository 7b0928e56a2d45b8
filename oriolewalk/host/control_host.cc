#include "oriolewalk/host/control_host.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <ranges>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/base/processor_time.h"

namespace oriolewalk::host {

namespace {

constexpr milliseconds kTick{ 10 };
// Append messages on their way to one follower. What is proposed meanwhile goes
// with the next one: with sixteen, a calm day of 48 workers took 20.7 s of
// processor instead of 17.1 s.
constexpr std::size_t kAppendsUnderWay = 1;
// A planned stop waits so long at most for another voter to lead.
constexpr seconds kHandOverBound{ 2 };
// The next contact query follows by then.
constexpr milliseconds kContactQueryBound{ 500 };
constexpr milliseconds kJoinEvery{ 500 };
// How often a leader tells the seeds outside its group; as often as spares ask.
constexpr milliseconds kTellEvery{ 500 };
// A failed disk is tried again so often: each try reads the folder once.
constexpr milliseconds kReopenEvery{ 1'000 };

// A connection of ours that is silent for this long is dropped; four times the
// longest commit on a sound disk, and well under an election's patience twice.
constexpr milliseconds kPeerSilence{ 800 };
// Under an election's time, so that a restarted process is found at once.
constexpr milliseconds kMostBackoff{ 250 };

// What goes between control processes.
struct peer_message
{
  std::string mAddress; // of the sender's RPC
  consensus::message mMessage;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAddress, mMessage);
  }
};

std::vector<std::string>
Addresses(const control_options& aOptions)
{
  std::vector<std::string> all{ aOptions.mAddress };
  for (const auto& [number, address] : aOptions.mFounders) {
    if (address != aOptions.mAddress) {
      all.push_back(address);
    }
  }
  return all;
}

consensus::membership
Founders(const control_options& aOptions)
{
  consensus::membership founders;
  for (const auto& [number, address] : aOptions.mFounders) {
    founders.PutVoter(
      { consensus::node_id(number), address, 0, false, std::nullopt });
  }
  return founders;
}

} // namespace

control_host::control_host(boost::asio::io_context& aContext,
                           control_options aOptions,
                           worker_port aWorkers,
                           policy_port aPolicy,
                           machine_port aMachines,
                           observe::decision_log& aLog)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mPolicy(std::move(aPolicy))
  , mMachines(std::move(aMachines))
  , mLog(aLog)
  , mTimer(aContext)
  , mAddresses(mOptions.mFounders)
  , mRpc({ .mMaxBackoff = kMostBackoff,
           .mSilenceTimeout = kPeerSilence,
           .mMaxIncoming = mOptions.mBudget.mMaxPeers,
           .mMaxReceivingBytes = mOptions.mBudget.mMaxPeerBytes,
           .mSeed = std::random_device{}() })
  , mLink(aContext, mRpc, Addresses(mOptions), std::random_device{}())
  , mOrders(aContext,
            mRpc,
            mOptions.mAddress,
            std::move(aWorkers),
            mOptions.mFlow,
            [this](const std::string& aCarrier) {
              if (mCore) {
                mCore->OnRelayFailure(aCarrier, Now());
              }
            })
{
  std::ranges::copy(mOptions.mFounders | std::views::values,
                    std::back_inserter(mSeeds));
  mLink.SetLocal(
    mOptions.mAddress,
    [this](const flow::flow_request& aRequest, flow_callback aDone) {
      AskLocal(aRequest, std::move(aDone));
    });
}

control_host::~control_host()
{
  mRpc.Stop();
}

flow::instant
control_host::Now()
{
  return { runtime_clock::now(), WallMilliseconds() };
}

result<void>
control_host::Start()
{
  if (auto opened = OpenFolder(); !opened) {
    if (opened.error().mCode != error_code::Io) {
      return opened;
    }
    Halt(opened.error());
  }
  if (auto bound = Listen(); !bound) {
    return bound;
  }
  ArmTick();
  return {};
}

result<void>
control_host::OpenFolder()
{
  auto opened = storage::data_folder::Open(
    mFiles, mOptions.mDataFolder, { mOptions.mCluster, mOptions.mNode }, {});
  if (!opened) {
    return Fail(opened.error());
  }
  const bool fresh = opened->mState.mFresh;
  const bool founds =
    mOptions.mFirstStart && mOptions.mFounders.contains(mOptions.mNode);
  auto restored = voter::FromRecovered(std::move(opened->mState));
  if (!restored) {
    return Fail(restored.error());
  }
  if (fresh && founds) {
    if (auto founded = Found(*opened->mFolder, *restored); !founded) {
      return founded;
    }
  }
  restored->mMayVote = !fresh || founds;
  mLog.Write("storage.opened",
             { { "fresh", fresh ? "yes" : "no" },
               { "founds", founds ? "yes" : "no" },
               { "entries", std::to_string(restored->mEntries.size()) },
               { "term", std::to_string(restored->mHardState.mTerm) } });
  flow::flow_config config;
  config.mSelf = consensus::node_id(mOptions.mNode);
  config.mAddress = mOptions.mAddress;
  config.mFlow = mOptions.mFlow;
  config.mRaft.mMaxInflight = kAppendsUnderWay;
  config.mMaxVoters = mOptions.mMostVoters;
  config.mProcessorTimes = ReadProcessorTimes;
  auto core = flow::flow_core::Make(
    config, std::move(*restored), std::random_device{}(), runtime_clock::now());
  if (!core) {
    return Fail(core.error());
  }
  mCore = std::move(*core);
  ++mLife;
  mStorage = std::make_unique<voter::storage_thread>(
    std::move(opened->mFolder), [this, life = mLife](voter::write_done aDone) {
      boost::asio::post(mContext, [this, life, done = std::move(aDone)]() {
        if (life == mLife) {
          OnWritten(done);
        }
      });
    });
  return {};
}

// The founders' group stands in the log as its first entry, the same at each
// of them. Were it taken from the settings at each start, a founder that is
// started again with other seeds would believe in another group.
result<void>
control_host::Found(storage::data_folder& aFolder,
                    consensus::restored_state& aState) const
{
  constexpr consensus::term_t kFirstTerm = 1;
  aState.mHardState.mTerm = kFirstTerm;
  aState.mEntries = { { 1,
                        kFirstTerm,
                        consensus::entry_kind::Configuration,
                        Encode(Founders(mOptions)) } };
  const std::vector<storage::log_record> records{ voter::ToRecord(
    aState.mEntries.front()) };
  if (auto saved = aFolder.SaveVote(Encode(aState.mHardState)); !saved) {
    return saved;
  }
  if (auto appended = aFolder.Append(records); !appended) {
    return appended;
  }
  return aFolder.Sync();
}

result<void>
control_host::Listen()
{
  const auto port = mRpc.Listen(
    mOptions.mListen.empty() ? mOptions.mAddress : mOptions.mListen,
    [this](std::uint16_t aKind,
           const bytes& aBody,
           const wire::reply_function& aReply) {
      OnCall(aKind, aBody, aReply);
    },
    [this](const bytes& aMessage) { OnDeliver(aMessage); });
  if (!port) {
    return Fail(port.error());
  }
  return {};
}

void
control_host::OnDeliver(const bytes& aMessage)
{
  auto received = Decode<peer_message>(aMessage, "deliver");
  if (!received) {
    return;
  }
  boost::asio::post(mContext, [this, got = std::move(*received)]() {
    mAddresses.Heard(got.mMessage.mFrom.Value(), got.mAddress);
    if (mCore) {
      mCore->Receive(got.mMessage, Now());
      SchedulePump();
    }
  });
}

void
control_host::OnWritten(const voter::write_done& aDone)
{
  if (!mCore) {
    return; // of the storage that was given up
  }
  if (aDone.mFailure) {
    // A voter that can't store must not go on: whatever it acknowledged next
    // could be lost.
    Halt(*aDone.mFailure);
    return;
  }
  if (aDone.mTicket != 0) {
    mCore->Persisted(aDone.mTicket, Now());
  }
  if (aDone.mSnapshot) {
    mCore->SnapshotStored(*aDone.mSnapshot);
  }
  SchedulePump();
}

void
control_host::Broken(std::string_view aWhat, const error& aError)
{
  mLog.Write(aWhat, { { "problem", aError.Describe() } });
  mLog.Flush();
  if (mOnBroken) {
    mOnBroken();
  }
}

void
control_host::Halt(const error& aError)
{
  mLog.Write("storage.failed", { { "problem", aError.Describe() } });
  mReopenAt = runtime_clock::now() + kReopenEvery;
  mServesUntil = time_point::min();
  mStorage.reset();
  mCore.reset();
  for (auto& [call, done] : std::exchange(mCalls, {})) {
    done(Fail(error_code::Timeout, "ask", "the disk failed"));
  }
}

void
control_host::TryReopen()
{
  const time_point now = runtime_clock::now();
  if (mCore || now < mReopenAt) {
    return;
  }
  mReopenAt = now + kReopenEvery;
  if (const auto opened = OpenFolder(); !opened) {
    mLog.Write("storage.failed", { { "problem", opened.error().Describe() } });
  }
}

void
control_host::SchedulePump()
{
  if (!std::exchange(mPumpScheduled, true)) {
    boost::asio::post(mContext, [this]() {
      mPumpScheduled = false;
      Pump();
    });
  }
}

void
control_host::Pump()
{
  if (!mCore) {
    return;
  }
  mCore->Plan(Now());
  flow::flow_effects out = mCore->TakeEffects(Now());
  if (out.mFatalError) {
    Broken("state.unreadable", *out.mFatalError);
    return;
  }
  PublishServing();
  if (Handle(std::move(out))) {
    SchedulePump(); // applying may have made new proposals
  }
}

void
control_host::PublishServing()
{
  mServesUntil =
    mCore->ServesUntil(runtime_clock::now()).value_or(time_point::min());
}

bool
control_host::IsServing() const
{
  return runtime_clock::now() < mServesUntil.load();
}

bool
control_host::Handle(flow::flow_effects aEffects)
{
  consensus::effects& raft = aEffects.mRaft;
  const bool again = !raft.mCommitted.empty() || !aEffects.mReplies.empty() ||
                     !raft.mMessages.empty() || raft.mTicket != 0;
  for (const consensus::message& message : raft.mMessages) {
    SendToPeer(message);
  }
  voter::write_batch batch{
    raft.mTicket,       raft.mHardState,         std::move(raft.mSnapshot),
    raft.mTruncateFrom, std::move(raft.mAppend), std::move(aEffects.mSnapshot)
  };
  if (!batch.IsEmpty()) {
    mStorage->Write(std::move(batch));
  }
  for (const flow::decision& note : aEffects.mDecisions) {
    mLog.Write(note.mEvent, note.mFields);
  }
  for (flow::flow_reply& reply : aEffects.mReplies) {
    if (auto found = mCalls.extract(reply.mCall); !found.empty()) {
      found.mapped()(std::move(reply.mAnswer));
    }
  }
  for (const flow::worker_order& order : aEffects.mOrders) {
    SendOrder(order);
  }
  for (const flow::advice_call& order : aEffects.mAdviceCalls) {
    SendQuestion(order);
  }
  for (const machines::machine_call& call : aEffects.mMachineCalls) {
    SendMachineCall(call);
  }
  if (aEffects.mQueriesContacts) {
    QueryContacts();
  }
  if (raft.mLeadership) {
    mLog.Write("leader.changed",
               { { "leader", mCore->LeaderAddress() },
                 { "term", std::to_string(raft.mLeadership->mTerm) } });
  }
  return again;
}

void
control_host::SendToPeer(const consensus::message& aMessage)
{
  const std::string address =
    mAddresses.Find(aMessage.mTo, mCore->Raft().Members());
  if (!address.empty()) {
    mRpc.Deliver(address, Encode(peer_message{ mOptions.mAddress, aMessage }));
  }
}

void
control_host::SendOrder(const flow::worker_order& aOrder)
{
  mOrders.Send(
    aOrder,
    [this, id = aOrder.mId, life = mLife](const flow::order_answer& aAnswer) {
      if (mCore && life == mLife) {
        mCore->OnOrderAnswer(id, aAnswer, Now());
        SchedulePump();
      }
    });
}

void
control_host::SendQuestion(const flow::advice_call& aOrder)
{
  const std::uint64_t id = aOrder.mId;
  const auto done =
    [this, id, life = mLife](const result<flow::approvals>& aAnswer) {
      if (mCore && life == mLife) {
        mCore->OnAdviceAnswer(id, aAnswer, Now());
        SchedulePump();
      }
    };
  if (aOrder.mAdvisor == mOptions.mAddress) {
    mPolicy(aOrder.mRequest, done);
    return;
  }
  mRpc.Call(aOrder.mAdvisor,
            flow::kAdviceCall,
            Encode(aOrder.mRequest),
            milliseconds(aOrder.mRequest.mTimeoutMs),
            [this, done](result<bytes> aReply) {
              result<flow::approvals> answer =
                aReply ? Decode<flow::approvals>(*aReply, "reading advice")
                       : Fail(aReply.error());
              boost::asio::post(
                mContext, [done, got = std::move(answer)]() { done(got); });
            });
}

void
control_host::SendMachineCall(const machines::machine_call& aCall)
{
  mMachines(
    aCall,
    [this, id = aCall.mId, life = mLife](const machines::call_answer& aAnswer) {
      if (mCore && life == mLife) {
        mCore->OnMachineAnswer(id, aAnswer, Now());
        SchedulePump();
      }
    });
}

void
control_host::QueryContacts()
{
  const time_point now = runtime_clock::now();
  mRpc.Call(mCore->LeaderAddress(),
            flow::kFlowCall,
            Encode(flow::flow_request(flow::contact_query{})),
            kContactQueryBound,
            [this, now, life = mLife](const result<bytes>& aReply) {
              auto answer = aReply
                              ? Decode<flow::flow_answer>(*aReply, "contacts")
                              : Fail(aReply.error());
              const auto* contacts =
                answer ? std::get_if<flow::worker_contacts>(&*answer) : nullptr;
              if (contacts == nullptr) {
                return; // the next query follows
              }
              boost::asio::post(mContext, [this, now, life, got = *contacts]() {
                if (mCore && life == mLife) {
                  mCore->OnContacts(got, now);
                }
              });
            });
}

void
control_host::ArmTick()
{
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const auto& aProblem) {
    if (aProblem) {
      return;
    }
    TryReopen();
    mOrders.Tick(runtime_clock::now());
    TellBeats();
    if (mCore) {
      mCore->Tick(Now());
      SchedulePump();
      AskToJoin();
      TellSeeds();
    }
    if (mOnStopped && (!Leads() || runtime_clock::now() >= mStopAt)) {
      std::exchange(mOnStopped, nullptr)();
      return;
    }
    ArmTick();
  });
}

void
control_host::AskToJoin()
{
  const time_point now = runtime_clock::now();
  if (now < mJoinAt || !mCore->ShouldJoin(now)) {
    return;
  }
  mJoinAt = now + kJoinEvery;
  mLink.Ask(flow::join_request{ mOptions.mNode, mOptions.mAddress },
            now + kJoinEvery,
            [this](const result<flow::flow_answer>& aAnswer) {
              // Whether it helped is seen by a leader's voice. A spare keeps
              // the members' addresses, to find the next leader by them.
              const auto* beat =
                aAnswer ? std::get_if<flow::entry_heartbeat_answer>(&*aAnswer)
                        : nullptr;
              if (beat != nullptr) {
                mLink.Learn(beat->mMembers);
              }
            });
}

// Whoever starts anew knows the seeds alone. After a loss of power of all, with
// the seeds out of the group by then, nobody would find it: no member knows the
// seeds' processes as members, and those know nobody but each other.
void
control_host::TellSeeds()
{
  const time_point now = runtime_clock::now();
  if (!Leads() || now < mSeedsToldAt + kTellEvery) {
    return;
  }
  mSeedsToldAt = now;
  for (const std::string& seed :
       SeedsOutside(mSeeds, mCore->Raft().Members())) {
    mRpc.Call(seed,
              flow::kLeaderNotice,
              Encode(flow::leader_notice{ mOptions.mAddress }),
              kTellEvery,
              [](const result<bytes>& /*aReply*/) {
                // One that is down is told again.
              });
  }
}

void
control_host::Stop(std::function<void()> aDone)
{
  mOnStopped = std::move(aDone);
  mStopAt = runtime_clock::now() + kHandOverBound;
  if (mCore) {
    mCore->HandOver(Now());
    SchedulePump();
  }
}

} // namespace oriolewalk::host
