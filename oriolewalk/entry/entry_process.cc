#include "oriolewalk/entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/descriptor_budget.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/entry/control_link.h"
#include "oriolewalk/entry/heartbeat_loop.h"
#include "oriolewalk/entry/http_handler.h"
#include "oriolewalk/entry/live_call.h"
#include "oriolewalk/entry/serving_state.h"
#include "oriolewalk/observe/event_log.h"
#include "oriolewalk/observe/log.h"
#include "oriolewalk/observe/metrics.h"
#include "oriolewalk/protocol/policy_map.h"

namespace oriolewalk::entry {

namespace {

using observe::Log;
using observe::log_level;

constexpr milliseconds kStopPollInterval{ 20 };
constexpr std::size_t kMegabyte = 1'000'000;

std::uint64_t
DrawSeed()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{ device() } << kHalfBits) | device();
}

std::vector<std::string>
ToStrings(const std::vector<settings::address>& aAddresses)
{
  std::vector<std::string> strings;
  std::ranges::transform(
    aAddresses, std::back_inserter(strings), &settings::address::ToString);
  return strings;
}

class entry_process
{
public:
  entry_process(const entry_settings& aSettings,
                std::unique_ptr<observe::event_log> aEvents)
    : mSettings(aSettings)
    , mEvents(std::move(aEvents))
    , mSignals(mControl, SIGTERM, SIGINT)
    , mStopTimer(mControl)
    , mLink(mTraffic, *mEvents, ToStrings(aSettings.mControls), DrawSeed())
    , mBudget(BudgetOf(
        { DescriptorLimit(0), MemoryLimit(kMegabyte * aSettings.mMemoryMb) },
        connection_use::MostlyIncoming))
    , mClient(mTraffic,
              http::Within(mBudget.mOut,
                           http::client_limits{
                             .mMaxConnections = aSettings.mTargetConnections }))
    , mLimits(DrawSeed())
    , mServices{ mLink,
                 mClient,
                 mLimits,
                 *mEvents,
                 mMetrics.Quantiles(
                   "oriole_entry_added_ms",
                   "milliseconds from arrival to answer less the target's"),
                 mMetrics.Counter("oriole_entry_forwarded_total",
                                  "attempts sent to targets"),
                 mMetrics.Counter(
                   "oriole_entry_late_reports_total",
                   "ends of attempts reported after the caller's answer") }
    , mHandler({ OwningEntry(), data_centre_id(aSettings.mDataCentre) },
               mServices,
               mServing,
               mMetrics,
               DrawSeed())
    , mServer(
        mTraffic,
        aSettings.mListen,
        http::Within(mBudget.mIn),
        [this](http::request aRequest, const http::responder& aResponder) {
          mHandler.Handle(std::move(aRequest), aResponder);
        })
    , mHeartbeats(
        mControl,
        mLink,
        mServing,
        InitialHeartbeat(),
        [this](const weights::weights_table& aTable) {
          mLimits.SetPolicy(protocol::SharePolicy(aTable));
        },
        [this]() { return mServer.Active(); })
  {
  }

  int Run()
  {
    if (const auto port = mServer.Start(); !port) {
      Log(log_level::Error,
          "cannot listen",
          { { "problem", port.error().Describe() } });
      return 1;
    }
    Log(log_level::Info,
        "started",
        { { "listen", mSettings.mListen.ToString() } });
    mSignals.async_wait([this](const auto& aProblem, int /*aSignal*/) {
      if (!aProblem) {
        StartShutdown();
      }
    });
    mHeartbeats.Start();
    const auto workGuard = boost::asio::make_work_guard(mTraffic);
    std::vector<std::thread> threads;
    for (std::uint64_t index = 0; index < mSettings.mThreads; ++index) {
      threads.emplace_back([this]() { mTraffic.run(); });
    }
    mControl.run();
    mServer.Close();
    mLink.Stop();
    mTraffic.stop();
    std::ranges::for_each(threads, &std::thread::join);
    Log(log_level::Info, "stopped", {});
    return 0;
  }

private:
  // The wall clock at the start distinguishes the incarnations of an instance.
  ledger::owning_entry OwningEntry()
  {
    if (mBoot == 0) {
      mBoot = static_cast<std::uint64_t>(WallMilliseconds());
    }
    return { instance_id(mSettings.mInstance), mBoot };
  }

  protocol::heartbeat InitialHeartbeat()
  {
    protocol::heartbeat heartbeat;
    heartbeat.mOwner = OwningEntry();
    heartbeat.mAddress = mSettings.mListen.ToString();
    heartbeat.mDataCentre = data_centre_id(mSettings.mDataCentre);
    return heartbeat;
  }

  // Keeps accepting connections until the balancer has noticed the failing
  // health check. A connection refused earlier would lose a caller's request.
  void StartShutdown()
  {
    Log(log_level::Info,
        "stopping",
        { { "in_progress", std::to_string(mServer.Active()) } });
    mServing.StartDraining();
    mStopTimer.expires_after(mSettings.mBalancerNotice);
    mStopTimer.async_wait([this](const auto& aProblem) {
      if (!aProblem) {
        mServer.StopAccepting();
        mStopAt = runtime_clock::now() + mSettings.mStopBound;
        WaitForRequests();
      }
    });
  }

  void WaitForRequests()
  {
    const std::size_t active = mServer.Active();
    if (active == 0 || runtime_clock::now() >= mStopAt) {
      Log(active == 0 ? log_level::Info : log_level::Warning,
          "requests ended",
          { { "cut", std::to_string(active) } });
      mControl.stop();
      return;
    }
    mStopTimer.expires_after(kStopPollInterval);
    mStopTimer.async_wait([this](const auto& aProblem) {
      if (!aProblem) {
        WaitForRequests();
      }
    });
  }

  entry_settings mSettings;
  std::uint64_t mBoot = 0;
  std::unique_ptr<observe::event_log> mEvents;
  observe::metric_registry mMetrics;
  serving_state mServing;
  boost::asio::io_context mControl{ 1 };
  boost::asio::io_context mTraffic;
  boost::asio::signal_set mSignals;
  runtime_timer mStopTimer;
  time_point mStopAt{};
  control_link mLink;
  const connection_budget mBudget;
  http::client mClient;
  shared_limits mLimits;
  call_services mServices;
  http_handler mHandler;
  http::server mServer;
  heartbeat_loop mHeartbeats;
};

} // namespace

int
RunEntry(const entry_settings& aSettings)
{
  auto events = observe::event_log::Open({ .mPath = aSettings.mEventFile,
                                           .mProcess = "oriole-entry",
                                           .mInstance = aSettings.mInstance });
  if (!events) {
    Log(log_level::Error,
        "cannot start",
        { { "problem", events.error().Describe() } });
    return 1;
  }
  entry_process process(aSettings, std::move(*events));
  return process.Run();
}

} // namespace oriolewalk::entry
