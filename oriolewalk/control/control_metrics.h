#pragma once

// The metrics of a control process, and the small HTTP server that shows them.
//
// The control thread sets them ten times a second; the server has a thread of
// its own, so that a slow reader of metrics takes nothing from control.

#include <cstdint>
#include <memory>
#include <optional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/control/control_core.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/observe/metrics.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/voter/storage_thread.h"

namespace oriolewalk::control {

class control_metrics
{
public:
  control_metrics();
  ~control_metrics();
  control_metrics(const control_metrics&) = delete;
  control_metrics& operator=(const control_metrics&) = delete;
  control_metrics(control_metrics&&) = delete;
  control_metrics& operator=(control_metrics&&) = delete;

  // GET /metrics and /healthz (200 while this process knows a leader).
  result<void> Listen(const settings::address& aAddress,
                      const connection_limits& aLimits);

  // Control thread.
  void Update(control_core& aCore);
  void NoteWrite(const voter::write_done& aDone);

private:
  // A total that the core counts, shown as a counter.
  struct total
  {
    observe::counter& mCounter;
    std::uint64_t mShown = 0;
    void Show(std::uint64_t aValue);
  };

  void UpdateLive(const live_counters& aLive);
  void Handle(const http::request& aRequest, const http::responder& aResponder);

  observe::metric_registry mRegistry;
  total mCalls;
  total mNotLeader;
  total mApplied;
  total mSnapshots;
  total mGranted;
  total mKnown;
  total mBusy;
  total mNotRun;
  total mEntriesLost;
  observe::gauge& mLeading;
  observe::gauge& mLeaderKnown;
  observe::gauge& mTerm;
  observe::gauge& mCommit;
  observe::gauge& mLog;
  observe::gauge& mRemembered;
  observe::gauge& mWaiting;
  observe::gauge& mRunning;
  observe::quantiles& mSync;
  boost::asio::io_context mContext;
  std::optional<
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
    mKeep;
  std::unique_ptr<http::server> mServer;
  std::thread mThread;
  // Of the leader's term, whose counters start anew.
  consensus::term_t mLiveTerm = 0;
};

} // namespace oriolewalk::control
