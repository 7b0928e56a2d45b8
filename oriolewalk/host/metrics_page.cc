#include "oriolewalk/host/metrics_page.h"

#include <chrono>
#include <utility>

namespace oriolewalk::host {

namespace {

double
ToMs(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

// A counter that follows a total kept elsewhere.
void
Follow(observe::counter& aCounter, std::uint64_t aTotal)
{
  if (aTotal > aCounter.Value()) {
    aCounter.Add(aTotal - aCounter.Value());
  }
}

// Organisations with a row of their own; each has six series.
constexpr std::size_t kMaxOrganisations = 20;

} // namespace

metrics_page::metrics_page(boost::asio::io_context& aContext,
                           settings::address aListen,
                           const connection_limits& aLimits)
  : mCallMs(mRegistry.Quantiles("oriole_flow_call_ms",
                                "milliseconds from a call to its answer"))
  , mOrderMs(mRegistry.Quantiles(
      "oriole_flow_order_ms",
      "milliseconds from an order to a worker to its answer"))
  , mLeading(
      mRegistry.Gauge("oriole_flow_leading", "1 while this process leads"))
  , mTerm(mRegistry.Gauge("oriole_flow_term", "the election's number"))
  , mLiveJobs(mRegistry.Gauge("oriole_flow_live_jobs",
                              "jobs that have not ended, in this copy"))
  , mPlans(
      mRegistry.Gauge("oriole_flow_plans", "plans since this process leads"))
  , mPlannedWorkers(
      mRegistry.Gauge("oriole_flow_planned_workers",
                      "workers that those plans looked at, in all"))
  , mPlannedTasks(mRegistry.Gauge("oriole_flow_planned_tasks",
                                  "waiting tasks that those plans considered"))
  , mComparisons(mRegistry.Gauge("oriole_flow_plan_comparisons",
                                 "how often plans weighed a worker for a task"))
  , mEvaluatedWorkers(
      mRegistry.Gauge("oriole_flow_evaluated_workers",
                      "workers whose free capacity was determined anew"))
  , mTickedWorkers(mRegistry.Gauge("oriole_flow_ticked_workers",
                                   "workers that ticks visited"))
  , mDropped(mRegistry.Counter("oriole_flow_log_dropped_total",
                               "log lines dropped for a slow reader"))
  , mOrganisations(kMaxOrganisations)
  , mServer(
      aContext,
      std::move(aListen),
      http::Within(aLimits),
      [this](const http::request& aRequest, const http::responder& aResponder) {
        if (aRequest.Path() == "/metrics") {
          aResponder.Send(
            { .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
              .mBody = mRegistry.Render() });
        } else {
          aResponder.Send({ .mStatus = 404 });
        }
      })
{
}

result<void>
metrics_page::Start()
{
  if (auto port = mServer.Start(); !port) {
    return Fail(port.error().At("listening for metrics"));
  }
  return {};
}

void
metrics_page::NoteCall(const std::string& aMethod,
                       unsigned aStatus,
                       duration aTook)
{
  const std::string status = std::to_string(aStatus);
  observe::counter*& counter = mCalls[aMethod + status];
  if (counter == nullptr) {
    counter =
      &mRegistry.Counter("oriole_flow_calls_total",
                         "calls that were answered",
                         { { "method", aMethod }, { "status", status } });
  }
  counter->Add();
  mCallMs.Add(ToMs(aTook));
}

void
metrics_page::NoteOrder(duration aTook)
{
  mOrderMs.Add(ToMs(aTook));
}

void
metrics_page::ShowDecisions(const observe::decision_log& aLog)
{
  for (const auto& [event, count] : aLog.Counts()) {
    observe::counter*& counter = mDecisions[event];
    if (counter == nullptr) {
      counter = &mRegistry.Counter("oriole_flow_decisions_total",
                                   "decisions by event, logged or dropped",
                                   { { "event", event } });
    }
    Follow(*counter, count);
  }
  Follow(mDropped, aLog.Dropped());
}

bool
metrics_page::ShowConnections(const std::string& aDirection,
                              connection_use aUse)
{
  const auto set = [&](const char* aName, const char* aHelp, std::size_t aTo) {
    mRegistry.Gauge(aName, aHelp, { { "direction", aDirection } })
      .Set(static_cast<double>(aTo));
  };
  set("oriole_connections_open", "connections, busy and idle", aUse.mOpen);
  set("oriole_connections_most",
      "the share of descriptors and memory",
      aUse.mMost);
  set("oriole_connections_closed_for_room",
      "connections that were closed or refused for others",
      aUse.mClosedForRoom);
  set("oriole_connections_held_bytes",
      "what requests and answers hold",
      aUse.mHeldBytes);
  return aUse.mOpen >= aUse.mMost || aUse.mClosedForRoom > 0;
}

void
metrics_page::ShowControl(bool aLeads,
                          std::uint64_t aTerm,
                          std::size_t aLiveJobs)
{
  mLeading.Set(aLeads ? 1 : 0);
  mTerm.Set(static_cast<double>(aTerm));
  mLiveJobs.Set(static_cast<double>(aLiveJobs));
}

void
metrics_page::ShowDecisionCounts(const flow::decision_counts& aCounts)
{
  mPlans.Set(static_cast<double>(aCounts.mPlans));
  mPlannedWorkers.Set(static_cast<double>(aCounts.mPlannedWorkers));
  mPlannedTasks.Set(static_cast<double>(aCounts.mPlannedTasks));
  mComparisons.Set(static_cast<double>(aCounts.mComparisons));
  mEvaluatedWorkers.Set(static_cast<double>(aCounts.mEvaluatedWorkers));
  mTickedWorkers.Set(static_cast<double>(aCounts.mTickedWorkers));
}

void
metrics_page::ShowOrganisations(const organisations::quota_accounts& aAccounts)
{
  if (aAccounts.empty()) {
    return;
  }
  const auto set = [this](const char* aName,
                          const char* aHelp,
                          const std::string& aOrganisation,
                          const cell::resources& aAmounts) {
    const auto amounts = aAmounts.Amounts();
    for (std::size_t at = 0; at < amounts.size(); ++at) {
      const auto dimension = static_cast<cell::dimension>(at);
      mRegistry
        .Gauge(aName,
               aHelp,
               { { "organisation", aOrganisation },
                 { "dimension", std::string(cell::ToString(dimension)) } })
        .Set(static_cast<double>(amounts.at(at)));
    }
  };
  for (const auto& use : mOrganisations.Update(aAccounts)) {
    const bool isRest = use.mName.Value().empty();
    const std::string name = isRest ? "(rest)" : use.mName.Value();
    set("oriole_organisation_running",
        "what its tasks take that may be running",
        name,
        use.mRunning);
    if (!isRest) {
      set("oriole_organisation_maximum",
          "what its tasks may take together; 0: no limit",
          name,
          use.mMaximum);
    }
  }
}

} // namespace oriolewalk::host
