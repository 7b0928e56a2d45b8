#include "oriolewalk/control/control_metrics.h"

#include <chrono>
#include <string>
#include <utility>

namespace oriolewalk::control {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

} // namespace

// What the core counts since its start, or since it leads: a smaller value
// than before means that the count began anew.
void
control_metrics::total::Show(std::uint64_t aValue)
{
  mCounter.Add(aValue >= mShown ? aValue - mShown : aValue);
  mShown = aValue;
}

control_metrics::control_metrics()
  : mCalls{ mRegistry.Counter("oriole_control_calls_total",
                              "questions of entries that arrived") }
  , mNotLeader{ mRegistry.Counter(
      "oriole_control_not_leader_total",
      "questions refused because this process does not lead") }
  , mApplied{ mRegistry.Counter("oriole_control_applied_total",
                                "commands of the log that were applied") }
  , mSnapshots{ mRegistry.Counter("oriole_control_snapshots_total",
                                  "snapshots that were written") }
  , mGranted{ mRegistry.Counter("oriole_control_granted_total",
                                "claims that were granted") }
  , mKnown{ mRegistry.Counter("oriole_control_known_total",
                              "requests answered from the ledger") }
  , mBusy{ mRegistry.Counter("oriole_control_busy_total",
                             "requests refused as busy") }
  , mNotRun{ mRegistry.Counter("oriole_control_not_run_total",
                               "requests that ended as not run") }
  , mEntriesLost{ mRegistry.Counter(
      "oriole_control_entries_lost_total",
      "lives of entries whose requests became unknown") }
  , mLeading(
      mRegistry.Gauge("oriole_control_leading", "1 while this process leads"))
  , mLeaderKnown(mRegistry.Gauge("oriole_control_leader_known",
                                 "1 while this process knows a leader"))
  , mTerm(mRegistry.Gauge("oriole_control_term", "the election's number"))
  , mCommit(mRegistry.Gauge("oriole_control_commit_index",
                            "last committed entry of the log"))
  , mLog(mRegistry.Gauge("oriole_control_log_entries",
                         "entries of the log that are kept in memory"))
  , mRemembered(mRegistry.Gauge("oriole_control_ledger_requests",
                                "requests that the ledger remembers"))
  , mWaiting(mRegistry.Gauge("oriole_control_waiting_requests",
                             "requests that wait for a place"))
  , mRunning(mRegistry.Gauge("oriole_control_running_requests",
                             "requests that hold a slot"))
  , mSync(mRegistry.Quantiles("oriole_control_sync_ms",
                              "milliseconds to write and sync a batch"))
{
}

control_metrics::~control_metrics()
{
  if (mServer) {
    mServer->Close();
  }
  mKeep.reset();
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

result<void>
control_metrics::Listen(const settings::address& aAddress,
                        const connection_limits& aLimits)
{
  mServer = std::make_unique<http::server>(
    mContext,
    aAddress,
    http::Within(aLimits),
    [this](const http::request& aRequest, const http::responder& aResponder) {
      Handle(aRequest, aResponder);
    });
  if (const auto port = mServer->Start(); !port) {
    return Fail(port.error().At("listening for metrics"));
  }
  mKeep.emplace(mContext.get_executor());
  mThread = std::thread([this]() { mContext.run(); });
  return {};
}

void
control_metrics::Handle(const http::request& aRequest,
                        const http::responder& aResponder)
{
  http::response answer;
  if (aRequest.Path() == "/metrics") {
    answer.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
    answer.mBody = mRegistry.Render();
  } else if (aRequest.Path() == "/healthz") {
    const bool known = mLeaderKnown.Value() > 0;
    answer.mStatus = known ? 200 : kUnavailable;
    answer.mBody = known ? "ok\n" : "no leader is known\n";
  } else {
    answer.mStatus = kNotFound;
  }
  aResponder.Send(std::move(answer));
}

void
control_metrics::Update(control_core& aCore)
{
  const control_counters& counted = aCore.Counters();
  mCalls.Show(counted.mCalls);
  mNotLeader.Show(counted.mNotLeader);
  mApplied.Show(counted.mApplied);
  mSnapshots.Show(counted.mSnapshots);
  const consensus::raft_node& raft = aCore.Raft();
  mLeading.Set(aCore.IsLeading() ? 1 : 0);
  mLeaderKnown.Set(raft.Leader() ? 1 : 0);
  mTerm.Set(static_cast<double>(raft.Term()));
  mCommit.Set(static_cast<double>(raft.CommitIndex()));
  mLog.Set(static_cast<double>(raft.LastIndex() - raft.BaseIndex()));
  mRemembered.Set(static_cast<double>(aCore.State().Ledger().Size()));
  const bool leads = aCore.IsLeading();
  mWaiting.Set(leads ? static_cast<double>(aCore.Live().Waiting()) : 0);
  mRunning.Set(leads ? static_cast<double>(aCore.Live().Running()) : 0);
  if (leads) {
    if (std::exchange(mLiveTerm, raft.Term()) != raft.Term()) {
      UpdateLive({});
    }
    UpdateLive(aCore.Live().Counters());
  }
}

void
control_metrics::UpdateLive(const live_counters& aLive)
{
  mGranted.Show(aLive.mGranted);
  mKnown.Show(aLive.mKnown);
  mBusy.Show(aLive.mBusy);
  mNotRun.Show(aLive.mNotRun);
  mEntriesLost.Show(aLive.mOwnersLost);
}

void
control_metrics::NoteWrite(const voter::write_done& aDone)
{
  mSync.Add(std::chrono::duration<double, std::milli>(aDone.mElapsed).count());
}

} // namespace oriolewalk::control
