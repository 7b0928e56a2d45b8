#pragma once

// The metrics of a process of the workflow rooms, and the page that shows them.
//
//   metrics_page page(context, { "10.0.0.1", 9470 });
//   page.Start();                       // GET /metrics
//   page.NoteCall("POST", 200, took);
//   page.ShowDecisions(log);            // now and then
//
// Owned by the process's shell; its thread.

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/observe/decision_log.h"
#include "oriolewalk/observe/metrics.h"
#include "oriolewalk/organisations/usage_report.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::host {

// Connections of one direction.
struct connection_use
{
  std::size_t mOpen = 0;
  std::size_t mMost = 0;
  std::size_t mClosedForRoom = 0; // since the beginning
  std::size_t mHeldBytes = 0;     // of messages
};

class metrics_page
{
public:
  metrics_page(boost::asio::io_context& aContext,
               settings::address aListen,
               const connection_limits& aLimits);

  // Errors: Io. A process serves on without its page.
  result<void> Start();
  // A call of a caller, worker or operator that was answered.
  void NoteCall(const std::string& aMethod, unsigned aStatus, duration aTook);
  // An order to a worker that was answered or given up.
  void NoteOrder(duration aTook);
  // Decisions by event, and lines that were dropped.
  void ShowDecisions(const observe::decision_log& aLog);
  // True: the share is full, or was.
  bool ShowConnections(const std::string& aDirection, connection_use aUse);
  void ShowControl(bool aLeads, std::uint64_t aTerm, std::size_t aLiveJobs);
  // How many workers the leader's decisions looked at.
  void ShowDecisionCounts(const flow::decision_counts& aCounts);
  // Running and maximum of the largest organisations, and of the rest together.
  void ShowOrganisations(const organisations::quota_accounts& aAccounts);

private:
  observe::metric_registry mRegistry;
  observe::quantiles& mCallMs;
  observe::quantiles& mOrderMs;
  observe::gauge& mLeading;
  observe::gauge& mTerm;
  observe::gauge& mLiveJobs;
  observe::gauge& mPlans;
  observe::gauge& mPlannedWorkers;
  observe::gauge& mPlannedTasks;
  observe::gauge& mComparisons;
  observe::gauge& mEvaluatedWorkers;
  observe::gauge& mTickedWorkers;
  observe::counter& mDropped;
  organisations::usage_report mOrganisations;
  std::map<std::string, observe::counter*> mCalls;
  std::map<std::string, observe::counter*, std::less<>> mDecisions;
  http::server mServer;
};

} // namespace oriolewalk::host
