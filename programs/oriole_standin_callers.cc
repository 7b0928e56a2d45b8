// oriole-standin callers: a bounded load of requests. Each answer is checked
// against its own request; busy and lost answers are sent again under the same
// key, as docs/PROTOCOLS.md tells callers to.

#include "programs/oriole_standin.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::standin {

namespace {

struct caller_settings
{
  std::vector<settings::address> mEntries;
  std::uint64_t mCount = 100;
  std::uint64_t mConcurrency = 8;
  std::string mService = "fees";
  std::string mMethod = "POST";
  std::string mPath = "/check";
  std::string mOrganisation = "default";
  std::string mClass = "normal";
  bool mRepeatable = false;
  milliseconds mDeadline{ 10'000 };
  milliseconds mBound{ 20'000 };
  std::uint64_t mBodyBytes = 64;
  std::uint64_t mSends = 1;
  std::string mKeyPrefix;
  std::vector<std::string> mExpect{ "completed" };
  std::string mLog;
};

settings::settings_parser
MakeParser(caller_settings& aSettings)
{
  settings::settings_parser parser("oriole-standin callers",
                                   "sends a bounded load of requests");
  parser.AddressList("entries", aSettings.mEntries, "entries, used in turn");
  parser.Require("entries");
  parser.Number(
    "count", aSettings.mCount, { 1, 10'000'000 }, "requests", "in all");
  parser.Number("concurrency",
                aSettings.mConcurrency,
                { 1, 4096 },
                "requests",
                "under way at once");
  parser.Text("service", aSettings.mService, "NAME", "the service called");
  parser.Text("method", aSettings.mMethod, "METHOD", "of each request");
  parser.Text("path", aSettings.mPath, "PATH", "below the service");
  parser.Text("organisation", aSettings.mOrganisation, "ID", "who pays");
  parser.Choice(
    "class", aSettings.mClass, { "urgent", "normal", "heavy" }, "of each");
  parser.Switch("repeatable",
                aSettings.mRepeatable,
                "the requests may run again after an attempt that ended");
  parser.Duration("deadline-ms", aSettings.mDeadline, {}, "sent with each");
  parser.Duration("bound-ms",
                  aSettings.mBound,
                  {},
                  "how long one key is sent again while it's busy, running or "
                  "its answer was lost");
  parser.Number("body-bytes",
                aSettings.mBodyBytes,
                { 1, 1'000'000 },
                "bytes",
                "least size of each body, which is made unique");
  parser.Number("same-key",
                aSettings.mSends,
                { 1, 100 },
                "sends",
                "of each key, one after the other by the next entry; all must "
                "get the same outcome and answer");
  parser.Text("key-prefix",
              aSettings.mKeyPrefix,
              "TEXT",
              "starts each key; none: made from the wall clock");
  parser.TextList("expect",
                  aSettings.mExpect,
                  "OUTCOME,…",
                  "outcomes that are right: completed, busy, not-run, running, "
                  "unknown, lost, refused; others make exit code 1");
  parser.Text("log",
              aSettings.mLog,
              "FILE",
              "a line 'OUTCOME ORGANISATION/KEY SENDS WALL-MS' for each key");
  return parser;
}

// A key and what has been learnt of it.
struct piece_of_work
{
  std::string mKey;
  std::string mBody;
  time_point mBegan;
  std::uint64_t mSends = 0; // final answers so far
  std::uint64_t mTries = 0; // requests sent so far
  std::string mOutcome;     // of the first final answer
};

// One thread. Cost of a request: one key, one body and one map look-up.
class load
{
public:
  load(const caller_settings& aSettings, run_log aLog)
    : mSettings(aSettings)
    , mLog(std::move(aLog))
    , mClient(mContext, { .mMaxConnections = aSettings.mConcurrency })
  {
  }

  bool Run()
  {
    const time_point began = runtime_clock::now();
    const auto together = std::min(mSettings.mConcurrency, mSettings.mCount);
    for (std::uint64_t count = 0; count < together; ++count) {
      StartNext();
    }
    mContext.run();
    return Report(runtime_clock::now() - began);
  }

private:
  using work = std::shared_ptr<piece_of_work>;

  void StartNext()
  {
    if (mStarted >= mSettings.mCount) {
      if (mFinished >= mSettings.mCount) {
        mClient.Close();
      }
      return;
    }
    auto fresh = std::make_shared<piece_of_work>();
    fresh->mKey = mSettings.mKeyPrefix + std::to_string(mStarted++);
    fresh->mBody = mSettings.mOrganisation + "/" + fresh->mKey + " ";
    fresh->mBody.resize(
      std::max<std::size_t>(fresh->mBody.size(), mSettings.mBodyBytes), '.');
    fresh->mBegan = runtime_clock::now();
    Send(fresh);
  }

  void Send(const work& aWork)
  {
    const auto& entries = mSettings.mEntries;
    const settings::address& to = entries[mTurn++ % entries.size()];
    ++aWork->mTries;
    http::request request{
      .mMethod = mSettings.mMethod,
      .mTarget = "/services/" + mSettings.mService + mSettings.mPath,
      .mHeaders = { { "Idempotency-Key", aWork->mKey },
                    { "Oriole-Organisation", mSettings.mOrganisation },
                    { "Oriole-Class", mSettings.mClass },
                    { "Oriole-Repeatable",
                      mSettings.mRepeatable ? "yes" : "no" },
                    { "Oriole-Deadline-Ms",
                      std::to_string(mSettings.mDeadline.count()) } },
      .mBody = aWork->mBody
    };
    constexpr milliseconds kSlack{ 2000 };
    mClient.Send(to,
                 std::move(request),
                 { .mTotalTimeout = mSettings.mDeadline + kSlack },
                 [this, aWork](const http::send_outcome& aOutcome) {
                   Handle(aWork, aOutcome);
                 });
  }

  void Handle(const work& aWork, const http::send_outcome& aOutcome)
  {
    const auto* answer = std::get_if<http::answered>(&aOutcome);
    if (answer == nullptr) {
      ++mResends["lost"];
      constexpr milliseconds kPause{ 50 };
      SendAgain(aWork, "lost", kPause);
      return;
    }
    const http::response& response = answer->mResponse;
    const std::string outcome(
      response.Find("Oriole-Outcome").value_or("refused"));
    if (outcome == "busy" || outcome == "running") {
      ++mResends[outcome];
      SendAgain(aWork, outcome, RetryAfter(response));
      return;
    }
    constexpr unsigned kGone = 410; // completed, but too large to keep
    if (outcome == "completed" && response.mStatus != kGone &&
        response.mBody != aWork->mBody) {
      ++mMismatched;
      mLog.Write("mismatched",
                 mSettings.mOrganisation + "/" + aWork->mKey,
                 std::to_string(aWork->mTries));
    }
    HandleFinal(aWork, outcome);
  }

  static milliseconds RetryAfter(const http::response& aResponse)
  {
    constexpr std::int64_t kElse = 1;
    constexpr std::size_t kMostDigits = 4;
    const std::string text(aResponse.Find("Retry-After").value_or(""));
    const bool number = !text.empty() && text.size() <= kMostDigits &&
                        std::ranges::all_of(text, [](char aDigit) {
                          return aDigit >= '0' && aDigit <= '9';
                        });
    return seconds(number ? std::stoll(text) : kElse);
  }

  void SendAgain(const work& aWork,
                 const std::string& aOutcome,
                 milliseconds aWait)
  {
    if (runtime_clock::now() + aWait > aWork->mBegan + mSettings.mBound) {
      HandleFinal(aWork, aOutcome);
      return;
    }
    auto timer = std::make_shared<runtime_timer>(mContext);
    timer->expires_after(aWait);
    timer->async_wait([this, timer, aWork](boost::system::error_code aCode) {
      if (!aCode) {
        Send(aWork);
      }
    });
  }

  void HandleFinal(const work& aWork, const std::string& aOutcome)
  {
    ++aWork->mSends;
    if (aWork->mSends == 1) {
      aWork->mOutcome = aOutcome;
      ++mOutcomes[aOutcome];
      mLatencies.push_back(runtime_clock::now() - aWork->mBegan);
    } else if (aWork->mOutcome != aOutcome) {
      ++mChanged;
    }
    if (aWork->mSends < mSettings.mSends) {
      aWork->mBegan = runtime_clock::now();
      Send(aWork);
      return;
    }
    ++mFinished;
    mLog.Write(aWork->mOutcome,
               mSettings.mOrganisation + "/" + aWork->mKey,
               std::to_string(aWork->mTries));
    StartNext();
  }

  [[nodiscard]] double LatencyMs(double aShare)
  {
    std::ranges::sort(mLatencies);
    const auto place = static_cast<std::size_t>(
      aShare * static_cast<double>(mLatencies.size() - 1));
    return std::chrono::duration<double, std::milli>(mLatencies[place]).count();
  }

  bool Report(duration aTook)
  {
    bool right = mMismatched == 0 && mChanged == 0;
    std::printf("requests %lu\n", mFinished);
    for (const auto& [outcome, count] : mOutcomes) {
      std::printf("outcome_%s %lu\n", outcome.c_str(), count);
      right = right && std::ranges::find(mSettings.mExpect, outcome) !=
                         mSettings.mExpect.end();
    }
    for (const auto& [reason, count] : mResends) {
      std::printf("sent_again_%s %lu\n", reason.c_str(), count);
    }
    const double took = std::chrono::duration<double>(aTook).count();
    std::printf("mismatched %lu\nchanged_outcome %lu\n", mMismatched, mChanged);
    std::printf("rate %.0f 1/s\np50 %.2f ms\np99 %.2f ms\n",
                static_cast<double>(mFinished) / took,
                LatencyMs(0.5),
                LatencyMs(0.99));
    std::printf("%s\n", right ? "right" : "WRONG");
    return right;
  }

  const caller_settings& mSettings;
  run_log mLog;
  boost::asio::io_context mContext{ 1 };
  http::client mClient;
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;
  std::size_t mTurn = 0;
  std::map<std::string, std::uint64_t> mOutcomes;
  std::map<std::string, std::uint64_t> mResends;
  std::uint64_t mMismatched = 0;
  std::uint64_t mChanged = 0; // a resend got another outcome than the first
  std::vector<duration> mLatencies;
};

} // namespace

int
RunCallers(int aCount, char** aArguments)
{
  caller_settings settings;
  settings::settings_parser parser = MakeParser(settings);
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  if (settings.mKeyPrefix.empty()) {
    settings.mKeyPrefix = std::to_string(WallMilliseconds()) + "-";
  }
  auto log = run_log::Open(settings.mLog);
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().Describe().c_str());
    return settings::kExitUsage;
  }
  load all(settings, *std::move(log));
  return all.Run() ? 0 : kExitWrong;
}

} // namespace oriolewalk::standin
