// oriole-bench path: requests through a running cell beside the same straight
// to a target. scripts/bench-path starts the cell and names both by
// ORIOLE_BENCH_ENTRY and ORIOLE_BENCH_TARGET.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::bench {
namespace {

constexpr std::array<std::size_t, 3> kCallers = { 1, 16, 256 };
// Enough for a steady rate, and a few seconds in all.
constexpr std::size_t kRequestsPerCaller = 60;
constexpr std::size_t kLeastRequests = 3000;
constexpr std::size_t kBody = 64;

struct load_result
{
  double mPerSecond = 0;
  double mP50 = 0;
  double mP99 = 0;
  std::size_t mFailed = 0;
};

// Callers in a closed loop: each sends its next request when it has the answer
// to its last.
class closed_loop
{
public:
  closed_loop(settings::address aTo, std::string aPath, std::size_t aCallers)
    : mTo(std::move(aTo))
    , mPath(std::move(aPath))
    , mCallers(aCallers)
    , mTotal(std::max(aCallers * kRequestsPerCaller, kLeastRequests))
    , mClient(mContext, { .mMaxConnections = aCallers + 1 })
    , mPrefix(std::to_string(WallMilliseconds()) + "-" +
              std::to_string(aCallers) + "-")
  {
    mSamples.reserve(mTotal);
  }

  load_result Run()
  {
    const time_point start = runtime_clock::now();
    for (std::size_t caller = 0; caller < mCallers; ++caller) {
      Next();
    }
    mContext.run();
    const std::chrono::duration<double> took = runtime_clock::now() - start;
    std::ranges::sort(mSamples);
    return { static_cast<double>(mTotal) / took.count(),
             Quantile(0.5),
             Quantile(0.99),
             mFailed };
  }

private:
  void Next()
  {
    if (mStarted == mTotal) {
      if (mEnded == mTotal) {
        mClient.Close();
      }
      return;
    }
    http::request request;
    request.mMethod = "POST";
    request.mTarget = mPath;
    request.mHeaders = { { "Idempotency-Key",
                           mPrefix + std::to_string(++mStarted) } };
    request.mBody = bytes(kBody, 'x');
    const time_point sent = runtime_clock::now();
    mClient.Send(mTo,
                 std::move(request),
                 {},
                 [this, sent](const http::send_outcome& aOutcome) {
                   ++mEnded;
                   Note(aOutcome, runtime_clock::now() - sent);
                   Next();
                 });
  }

  void Note(const http::send_outcome& aOutcome, duration aTook)
  {
    const auto* answer = std::get_if<http::answered>(&aOutcome);
    if (answer == nullptr || answer->mResponse.mStatus != 200) {
      ++mFailed;
      return;
    }
    mSamples.push_back(
      std::chrono::duration<double, std::milli>(aTook).count());
  }

  [[nodiscard]] double Quantile(double aPart) const
  {
    if (mSamples.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(mSamples.size() - 1);
    return mSamples[static_cast<std::size_t>(last * aPart)];
  }

  settings::address mTo;
  std::string mPath;
  std::size_t mCallers;
  std::size_t mTotal;
  boost::asio::io_context mContext{ 1 };
  http::client mClient;
  std::string mPrefix;
  std::size_t mStarted = 0;
  std::size_t mEnded = 0;
  std::size_t mFailed = 0;
  std::vector<double> mSamples;
};

void
AddLoad(bench_report& aReport,
        const std::string& aName,
        const load_result& aLoad)
{
  aReport.Add(aName + "_rate", aLoad.mPerSecond, "1/s");
  aReport.Add(aName + "_p50", aLoad.mP50, "ms");
  aReport.Add(aName + "_p99", aLoad.mP99, "ms");
  aReport.Add(
    aName + "_failed", static_cast<double>(aLoad.mFailed), "requests");
}

void
RunPath(bench_report& aReport)
{
  const char* entryText = std::getenv("ORIOLE_BENCH_ENTRY");
  const char* targetText = std::getenv("ORIOLE_BENCH_TARGET");
  if (entryText == nullptr || targetText == nullptr) {
    std::fputs("path: no running cell is named; use scripts/bench-path\n",
               stderr);
    return;
  }
  const auto entry = settings::ParseAddress(entryText);
  const auto target = settings::ParseAddress(targetText);
  if (!entry || !target) {
    std::fputs("path: ORIOLE_BENCH_ENTRY and ORIOLE_BENCH_TARGET must be "
               "IP:PORT\n",
               stderr);
    return;
  }
  for (const std::size_t callers : kCallers) {
    const std::string suffix = "_" + std::to_string(callers);
    const load_result straight = closed_loop(*target, "/check", callers).Run();
    const load_result cell =
      closed_loop(*entry, "/services/fees/check", callers).Run();
    AddLoad(aReport, "path_straight" + suffix, straight);
    AddLoad(aReport, "path_cell" + suffix, cell);
    aReport.Add("path_added_p50" + suffix, cell.mP50 - straight.mP50, "ms");
    aReport.Add(
      "path_rate_ratio" + suffix,
      straight.mPerSecond == 0 ? 0 : cell.mPerSecond / straight.mPerSecond,
      "ratio");
  }
}

const registered_bench kPath("path", RunPath);

} // namespace
} // namespace oriolewalk::bench
