// HTTP over loopback: one client and one server in a process, two threads.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::bench {

namespace {

constexpr std::size_t kRequests = 20'000;
constexpr std::size_t kBodyBytes = 64;

// Callers that each send their next request when the last one is answered.
// Runs on the client's one thread. Each caller's first request makes its
// connection; those are told apart from the rest.
class closed_loop
{
public:
  closed_loop(http::client& aClient, settings::address aTo)
    : mClient(aClient)
    , mTo(std::move(aTo))
  {
    mLatencies.reserve(kRequests);
  }

  void Start(std::size_t aCallers)
  {
    mCallers = aCallers;
    for (std::size_t count = 0; count < aCallers; ++count) {
      Next();
    }
  }
  void Wait() { mDone.get_future().wait(); }
  // Milliseconds.
  double Quantile(double aShare)
  {
    std::ranges::sort(mLatencies);
    const auto place = static_cast<std::size_t>(
      aShare * static_cast<double>(mLatencies.size() - 1));
    return std::chrono::duration<double, std::milli>(mLatencies[place]).count();
  }
  [[nodiscard]] std::size_t Lost() const { return mLost; }

private:
  void Next()
  {
    const time_point began = runtime_clock::now();
    mClient.Send(mTo,
                 { .mMethod = "POST",
                   .mTarget = "/echo",
                   .mBody = std::string(kBodyBytes, 'x') },
                 {},
                 [this, began](const http::send_outcome& aOutcome) {
                   Finish(aOutcome, began);
                 });
  }

  void Finish(const http::send_outcome& aOutcome, time_point aBegan)
  {
    mLost += std::holds_alternative<http::answered>(aOutcome) ? 0 : 1;
    ++mAnswers;
    if (mAnswers > mCallers) {
      mLatencies.push_back(runtime_clock::now() - aBegan);
    }
    if (mAnswers + mCallers <= kRequests) {
      Next();
    } else if (mAnswers == kRequests) {
      mDone.set_value();
    }
  }

  http::client& mClient;
  const settings::address mTo;
  std::size_t mCallers = 0;
  std::size_t mAnswers = 0;
  std::size_t mLost = 0;
  std::vector<duration> mLatencies;
  std::promise<void> mDone;
};

void
Measure(bench_report& aReport, std::size_t aCallers)
{
  boost::asio::io_context served(1);
  boost::asio::io_context called(1);
  http::server web(served,
                   { "127.0.0.1", 0 },
                   {},
                   [](http::request aRequest, const http::responder& aCall) {
                     aCall.Send({ .mBody = std::move(aRequest.mBody) });
                   });
  const auto port = web.Start();
  if (!port) {
    return;
  }
  http::client caller(called, { .mMaxConnections = aCallers });
  closed_loop loop(caller, { "127.0.0.1", *port });
  auto work = boost::asio::make_work_guard(called);
  loop.Start(aCallers);
  const time_point began = runtime_clock::now();
  std::thread server([&] { served.run(); });
  std::thread client([&] { called.run(); });
  loop.Wait();
  const double took =
    std::chrono::duration<double>(runtime_clock::now() - began).count();
  served.stop();
  called.stop();
  server.join();
  client.join();
  const std::string name = "http_" + std::to_string(aCallers) + "_callers_";
  aReport.Add(name + "rate", static_cast<double>(kRequests) / took, "1/s");
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  aReport.Add(name + "p50", loop.Quantile(kMedian), "ms");
  aReport.Add(name + "p99", loop.Quantile(kTail), "ms");
  aReport.Add(name + "lost", static_cast<double>(loop.Lost()), "requests");
}

const registered_bench kHttp("http", [](bench_report& aReport) {
  for (const std::size_t callers : { 1UL, 16UL, 256UL }) {
    Measure(aReport, callers);
  }
});

} // namespace

} // namespace oriolewalk::bench
