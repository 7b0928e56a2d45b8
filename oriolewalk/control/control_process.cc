#include "oriolewalk/control/control_process.h"

#include <csignal>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/descriptor_budget.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/control/control_core.h"
#include "oriolewalk/control/control_metrics.h"
#include "oriolewalk/observe/event_log.h"
#include "oriolewalk/observe/log.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/voter/storage_thread.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::control {

namespace {

using observe::Log;
using observe::log_level;

constexpr milliseconds kTick{ 10 };
constexpr std::uint64_t kTicksPerUpdate = 10; // of the metrics
// A planned stop waits so long at most for another voter to lead.
constexpr seconds kHandOverBound{ 3 };
constexpr std::size_t kMegabyte = 1'000'000;

// A replication message with the stamp that keeps the time line in order.
struct peer_message
{
  observe::stamp mStamp;
  consensus::message mMessage;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mStamp, mMessage);
  }
};

consensus::membership
Founders(const control_settings& aSettings)
{
  consensus::membership founders;
  if (aSettings.mRejoin) {
    return founders;
  }
  for (const settings::peer& peer : aSettings.mPeers) {
    founders.PutVoter({ consensus::node_id(peer.mId),
                        peer.mAddress.ToString(),
                        0,
                        false,
                        std::nullopt });
  }
  return founders;
}

storage::folder_identity
Identity(const control_settings& aSettings)
{
  return { aSettings.mCluster, aSettings.mId };
}

class control_process
{
public:
  control_process(control_settings aSettings,
                  std::unique_ptr<control_core> aCore,
                  std::unique_ptr<storage::data_folder> aFolder,
                  std::unique_ptr<observe::event_log> aEvents)
    : mSettings(std::move(aSettings))
    , mTimer(mContext)
    , mSignals(mContext, SIGTERM, SIGINT)
    , mCore(std::move(aCore))
    , mEvents(std::move(aEvents))
    , mBudget(BudgetOf(
        { DescriptorLimit(0), MemoryLimit(kMegabyte * mSettings.mMemoryMb) },
        connection_use::MostlyOutgoing))
    , mRpc({ .mMaxIncoming = mBudget.mMaxPeers,
             .mMaxReceivingBytes = mBudget.mMaxPeerBytes,
             .mSeed = std::random_device{}() })
    , mStorage(std::move(aFolder), [this](voter::write_done aDone) {
      boost::asio::post(mContext,
                        [this, done = std::move(aDone)]() { OnWritten(done); });
    })
  {
    for (const settings::peer& peer : mSettings.mPeers) {
      mAddresses[consensus::node_id(peer.mId)] = peer.mAddress.ToString();
    }
  }

  int Run()
  {
    if (const auto bound = Listen(); !bound) {
      Log(log_level::Error,
          "cannot listen",
          { { "problem", bound.error().Describe() } });
      return 1;
    }
    Log(log_level::Info,
        "started",
        { { "listen", mSettings.mListen.ToString() },
          { "last_index", std::to_string(mCore->Raft().LastIndex()) } });
    mSignals.async_wait([this](const auto& aProblem, int /*aSignal*/) {
      if (!aProblem) {
        StartStopping();
      }
    });
    ArmTick();
    mContext.run();
    mRpc.Stop();
    Log(log_level::Info, "stopped", {});
    return mExitCode;
  }

private:
  result<void> Listen()
  {
    if (!mSettings.mMetricsListen.mHost.empty()) {
      if (auto shown = mMetrics.Listen(mSettings.mMetricsListen, mBudget.mPage);
          !shown) {
        return shown;
      }
    }
    const auto port = mRpc.Listen(
      mSettings.mListen.ToString(),
      [this](
        std::uint16_t aKind, const bytes& aBody, wire::reply_function aReply) {
        OnCall(aKind, aBody, std::move(aReply));
      },
      [this](const bytes& aMessage) { OnDeliver(aMessage); });
    if (!port) {
      return Fail(port.error());
    }
    return {};
  }

  // The RPC node's thread: decodes there, so that the control thread need not.
  void OnCall(std::uint16_t aKind,
              const bytes& aBody,
              wire::reply_function aReply)
  {
    if (aKind != protocol::kControlCall) {
      aReply(Fail(error_code::InvalidArgument, "call", "unknown kind"));
      return;
    }
    auto request = Decode<protocol::request>(aBody, "call");
    if (!request) {
      aReply(Fail(request.error()));
      return;
    }
    boost::asio::post(
      mContext,
      [this, asked = std::move(*request), reply = std::move(aReply)]() mutable {
        mEvents->Merge(asked.mStamp);
        const call_id call(++mLastCall);
        mCalls.emplace(call, std::move(reply));
        mCore->Ask(call, asked.mBody, runtime_clock::now(), WallMilliseconds());
        SchedulePump();
      });
  }

  void OnDeliver(const bytes& aMessage)
  {
    auto received = Decode<peer_message>(aMessage, "deliver");
    if (!received) {
      return;
    }
    boost::asio::post(mContext, [this, got = std::move(*received)]() {
      mEvents->Merge(got.mStamp);
      mCore->Receive(got.mMessage, runtime_clock::now());
      SchedulePump();
    });
  }

  void OnWritten(const voter::write_done& aDone)
  {
    if (aDone.mFailure) {
      Fatal("the disk failed", *aDone.mFailure);
      return;
    }
    mMetrics.NoteWrite(aDone);
    if (aDone.mTicket != 0) {
      mCore->Persisted(aDone.mTicket, runtime_clock::now());
    }
    if (aDone.mSnapshot) {
      mCore->SnapshotStored(*aDone.mSnapshot);
    }
    SchedulePump();
  }

  // A voter that can't store must not go on: whatever it acknowledged next
  // could be lost.
  void Fatal(std::string_view aWhat, const error& aError)
  {
    Log(log_level::Error, aWhat, { { "problem", aError.Describe() } });
    mExitCode = 1;
    mContext.stop();
  }

  void SchedulePump()
  {
    if (!std::exchange(mPumpScheduled, true)) {
      boost::asio::post(mContext, [this]() {
        mPumpScheduled = false;
        Pump();
      });
    }
  }

  void Pump()
  {
    control_effects out =
      mCore->TakeEffects(runtime_clock::now(), WallMilliseconds());
    if (out.mBroken) {
      Fatal("the shared state cannot be read", *out.mBroken);
      return;
    }
    const bool again =
      !out.mReplies.empty() || !out.mMessages.empty() || !out.mWrites.IsEmpty();
    for (const consensus::message& message : out.mMessages) {
      SendToPeer(message);
    }
    if (!out.mWrites.IsEmpty()) {
      mStorage.Write(std::move(out.mWrites));
    }
    for (observe::event& event : out.mEvents) {
      mEvents->Write(std::move(event));
    }
    for (call_reply& reply : out.mReplies) {
      Reply(reply);
    }
    if (out.mLeadership) {
      LogLeadership(*out.mLeadership);
    }
    if (again) {
      // Applying may have made new proposals.
      SchedulePump();
    }
  }

  void SendToPeer(const consensus::message& aMessage)
  {
    const consensus::member* member =
      mCore->Raft().Members().Find(aMessage.mTo);
    const std::string& address =
      member != nullptr ? member->mAddress : mAddresses[aMessage.mTo];
    if (!address.empty()) {
      mRpc.Deliver(address, Encode(peer_message{ mEvents->Stamp(), aMessage }));
    }
  }

  void Reply(call_reply& aReply)
  {
    auto found = mCalls.extract(aReply.mCall);
    if (found.empty()) {
      return;
    }
    if (!aReply.mAnswer) {
      found.mapped()(Fail(aReply.mAnswer.error()));
      return;
    }
    found.mapped()(
      Encode(protocol::answer{ mEvents->Stamp(), std::move(*aReply.mAnswer) }));
  }

  static void LogLeadership(const consensus::leadership& aLeadership)
  {
    const std::string leader = aLeadership.mLeader
                                 ? std::to_string(aLeadership.mLeader->Value())
                                 : "none";
    Log(
      log_level::Info,
      "leadership changed",
      { { "leader", leader }, { "term", std::to_string(aLeadership.mTerm) } });
  }

  void ArmTick()
  {
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](const auto& aProblem) {
      if (aProblem) {
        return;
      }
      mCore->Tick(runtime_clock::now(), WallMilliseconds());
      SchedulePump();
      if (++mTicks % kTicksPerUpdate == 0) {
        mMetrics.Update(*mCore);
      }
      if (mStopping && MayStop()) {
        mContext.stop();
        return;
      }
      ArmTick();
    });
  }

  void StartStopping()
  {
    mStopping = true;
    mStopAt = runtime_clock::now() + kHandOverBound;
    Log(log_level::Info,
        "stopping",
        { { "hands_over", mCore->Raft().IsLeader() ? "yes" : "no" } });
    if (mCore->Raft().IsLeader()) {
      mCore->HandOver(runtime_clock::now());
      SchedulePump();
    }
  }

  [[nodiscard]] bool MayStop() const
  {
    return !mCore->Raft().IsLeader() || runtime_clock::now() >= mStopAt;
  }

  control_settings mSettings;
  boost::asio::io_context mContext{ 1 };
  runtime_timer mTimer;
  boost::asio::signal_set mSignals;
  std::unique_ptr<control_core> mCore;
  std::unique_ptr<observe::event_log> mEvents;
  control_metrics mMetrics;
  std::map<consensus::node_id, std::string> mAddresses;
  std::map<call_id, wire::reply_function> mCalls;
  std::uint64_t mLastCall = 0;
  std::uint64_t mTicks = 0;
  bool mPumpScheduled = false;
  bool mStopping = false;
  time_point mStopAt{};
  int mExitCode = 0;
  const connection_budget mBudget;
  wire::rpc_node mRpc;
  voter::storage_thread mStorage;
};

result<std::unique_ptr<control_process>>
MakeProcess(const control_settings& aSettings, storage::file_system& aFiles)
{
  auto opened = storage::data_folder::Open(
    aFiles, aSettings.mDataFolder, Identity(aSettings), {});
  if (!opened) {
    return Fail(opened.error());
  }
  for (const std::string& note : opened->mState.mNotes) {
    Log(log_level::Warning, "data folder repaired", { { "note", note } });
  }
  const bool fresh = opened->mState.mFresh;
  if (fresh && !aSettings.mRejoin) {
    return Fail(error_code::NotFound,
                "opening the data folder",
                "it is empty: --initialise it for a new cell, or start with "
                "--rejoin if this cell lives and the disk was lost");
  }
  auto restored = voter::FromRecovered(std::move(opened->mState));
  if (!restored) {
    return Fail(restored.error());
  }
  restored->mMayVote = !fresh;
  control_config config;
  config.mSelf = consensus::node_id(aSettings.mId);
  config.mFounders = Founders(aSettings);
  config.mSnapshotEvery = aSettings.mSnapshotEvery;
  auto core = control_core::Make(
    config, std::move(*restored), std::random_device{}(), runtime_clock::now());
  if (!core) {
    return Fail(core.error());
  }
  auto events = observe::event_log::Open(
    { .mPath = aSettings.mEventFile,
      .mProcess = "oriole-control",
      .mInstance = "c" + std::to_string(aSettings.mId) });
  if (!events) {
    return Fail(events.error());
  }
  return std::make_unique<control_process>(aSettings,
                                           std::move(*core),
                                           std::move(opened->mFolder),
                                           std::move(*events));
}

} // namespace

result<void>
InitialiseFolder(const control_settings& aSettings)
{
  storage::posix_file_system files;
  auto opened = storage::data_folder::Open(
    files, aSettings.mDataFolder, Identity(aSettings), {});
  if (!opened) {
    return Fail(opened.error());
  }
  if (!opened->mState.mFresh) {
    return Fail(error_code::Conflict,
                "initialising",
                aSettings.mDataFolder + " has data already");
  }
  // A vote on record makes the folder one that remembers.
  if (auto saved = opened->mFolder->SaveVote(Encode(consensus::hard_state{}));
      !saved) {
    return saved;
  }
  return opened->mFolder->Sync();
}

int
RunControl(const control_settings& aSettings)
{
  storage::posix_file_system files;
  auto process = MakeProcess(aSettings, files);
  if (!process) {
    Log(log_level::Error,
        "cannot start",
        { { "problem", process.error().Describe() } });
    return 1;
  }
  return (*process)->Run();
}

} // namespace oriolewalk::control
