// oriole-standin target: announces itself, serves with slots and a seeded
// service time, echoes, and leaves on SIGTERM once nothing is in progress.

#include "programs/oriole_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/failover.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"
#include "programs/oriole_standin_faulty.h"

namespace oriolewalk::standin {

namespace {

constexpr std::uint64_t kPercent = 100;
constexpr milliseconds kLeaveBound{ 30'000 };
constexpr milliseconds kAskAgain{ 100 };

struct target_settings
{
  std::string mId = "t1";
  std::string mService = "fees";
  settings::address mListen{ "127.0.0.1", 0 };
  std::vector<settings::address> mEntries;
  std::string mDataCentre = "a";
  std::uint64_t mSlots = 8;
  std::uint64_t mConnections = 60;
  milliseconds mServiceTime{ 5 };
  std::uint64_t mSeed = 1;
  std::string mRunLog;
  std::string mFault = "none";
  std::uint64_t mFaultShare = kPercent;
  milliseconds mFaultTime{ 1000 };
};

settings::settings_parser
MakeParser(target_settings& aSettings)
{
  settings::settings_parser parser("oriole-standin target",
                                   "plays a target of one service");
  parser.Text("id", aSettings.mId, "ID", "this target's id");
  parser.Text("service", aSettings.mService, "NAME", "the service it serves");
  parser.Address(
    "listen", aSettings.mListen, "where it serves; port 0: a free one");
  parser.AddressList("entries", aSettings.mEntries, "entries, tried in turn");
  parser.Require("entries");
  parser.Text("data-centre", aSettings.mDataCentre, "ID", "its data centre");
  parser.Number(
    "slots", aSettings.mSlots, { 1, 10'000 }, "requests", "run at once");
  parser.Number("connections",
                aSettings.mConnections,
                { 1, 10'000 },
                "connections",
                "taken at once");
  parser.Duration("service-ms",
                  aSettings.mServiceTime,
                  { milliseconds(0), milliseconds(600'000) },
                  "mean service time; each is drawn from half to one and a "
                  "half of it");
  parser.Number("seed", aSettings.mSeed, {}, "seed", "of all that is drawn");
  parser.Text("run-log",
              aSettings.mRunLog,
              "FILE",
              "a line 'run ORGANISATION/KEY ATTEMPT WALL-MS' for each run");
  parser.Choice(
    "fault",
    aSettings.mFault,
    { "none", "slow", "fail", "cut", "late", "twice", "mismatched" },
    "what goes wrong: slow service, 500, an answer cut off, an answer after "
    "its deadline, sent twice, or to another request");
  parser.Number("fault-share",
                aSettings.mFaultShare,
                { 0, kPercent },
                "percent",
                "of the requests that meet the fault");
  parser.Duration(
    "fault-ms", aSettings.mFaultTime, {}, "added by slow and late");
  return parser;
}

// Announces, renews and leaves. One thread.
class announcer
{
public:
  announcer(boost::asio::io_context& aContext,
            const target_settings& aSettings,
            std::uint16_t aPort)
    : mSettings(aSettings)
    , mClient(aContext, {})
    , mEntries(mClient, aSettings.mEntries)
    , mTimer(aContext)
    , mTarget("/v1/targets/" + aSettings.mId)
    , mAddress(settings::address{ aSettings.mListen.mHost, aPort }.ToString())
  {
  }

  void Renew()
  {
    mEntries.Send(
      MakeRequest("PUT",
                  mTarget,
                  { { "service", mSettings.mService },
                    { "address", mAddress },
                    { "data_centre", mSettings.mDataCentre },
                    { "slots", mSettings.mSlots },
                    { "connections", mSettings.mConnections } }),
      kOptions,
      [this](const http::send_outcome& aOutcome) { HandleRenewed(aOutcome); });
  }

  // aDone is called when no entry knows of work in progress here, or when the
  // bound has passed.
  void Leave(std::function<void()> aDone)
  {
    if (!mLeaving) {
      mLeaving = true;
      mGiveUp = runtime_clock::now() + kLeaveBound;
      mTimer.cancel();
    }
    mEntries.Send(
      MakeRequest("DELETE", mTarget, {}),
      kOptions,
      [this, done = std::move(aDone)](const http::send_outcome& aOutcome) {
        HandleLeft(aOutcome, done);
      });
  }

private:
  static inline const http::send_options kOptions{ .mConnectTimeout =
                                                     milliseconds(500),
                                                   .mTotalTimeout =
                                                     milliseconds(1500) };

  void HandleRenewed(const http::send_outcome& aOutcome)
  {
    if (mLeaving) {
      return;
    }
    const auto answer = ReadAnswer(aOutcome);
    if (!answer) {
      mEntries.Skip();
    }
    if (answer.has_value() != mKnown) {
      mKnown = answer.has_value();
      std::fprintf(stderr,
                   "oriole-standin target %s: %s\n",
                   mSettings.mId.c_str(),
                   mKnown ? "announced" : answer.error().Describe().c_str());
    }
    constexpr std::int64_t kRenewMs = 500;
    const milliseconds wait(answer ? NumberIn(*answer, "renew_ms", kRenewMs)
                                   : kAskAgain.count());
    After(wait, [this] { Renew(); });
  }

  void HandleLeft(const http::send_outcome& aOutcome,
                  const std::function<void()>& aDone)
  {
    const auto answer = ReadAnswer(aOutcome);
    const bool done = answer && NumberIn(*answer, "in_progress", 0) == 0;
    const bool unknownThere =
      !answer && answer.error().mCode == error_code::NotFound;
    if (done || unknownThere || runtime_clock::now() > mGiveUp) {
      aDone();
      return;
    }
    After(kAskAgain, [this, aDone] { Leave(aDone); });
  }

  void After(milliseconds aWait, std::function<void()> aThen)
  {
    mTimer.expires_after(aWait);
    mTimer.async_wait(
      [then = std::move(aThen)](boost::system::error_code aCode) {
        if (!aCode) {
          then();
        }
      });
  }

  const target_settings& mSettings;
  http::client mClient;
  http::failover mEntries;
  runtime_timer mTimer;
  const std::string mTarget;
  const std::string mAddress;
  bool mKnown = false;
  bool mLeaving = false;
  time_point mGiveUp{};
};

// Serves requests. One thread.
class target
{
public:
  target(boost::asio::io_context& aContext,
         const target_settings& aSettings,
         run_log aLog)
    : mContext(aContext)
    , mSettings(aSettings)
    , mLog(std::move(aLog))
    , mRandom(aSettings.mSeed)
  {
  }

  void Serve(http::request aRequest, answer_function aAnswer)
  {
    const std::string name(aRequest.Find("Oriole-Request").value_or("-"));
    const std::string attempt(aRequest.Find("Oriole-Attempt").value_or("0"));
    mLog.Write("run", name, attempt);
    ++mRuns;
    mMost = std::max(mMost, ++mBusy);
    if (mBusy > mSettings.mSlots) {
      ++mOver;
      mLog.Write("over-slots", name, attempt);
    }
    const bool faulty = mRandom.Below(kPercent) < mSettings.mFaultShare;
    const std::string fault = faulty ? mSettings.mFault : "none";
    auto timer = std::make_shared<runtime_timer>(mContext);
    timer->expires_after(ServiceTime(fault));
    timer->async_wait(
      [this,
       timer,
       fault,
       send = std::move(aAnswer),
       asked = std::move(aRequest)](boost::system::error_code) mutable {
        --mBusy;
        send(MakeAnswer(std::move(asked), fault));
      });
  }

  [[nodiscard]] std::uint64_t Busy() const { return mBusy; }
  // True if it was never asked for more than its slots.
  [[nodiscard]] bool Report() const
  {
    std::printf(
      "runs %lu\nmost_at_once %lu\nover_slots %lu\n", mRuns, mMost, mOver);
    return mOver == 0;
  }

private:
  milliseconds ServiceTime(const std::string& aFault)
  {
    const auto mean =
      static_cast<std::uint64_t>(mSettings.mServiceTime.count());
    const milliseconds drawn(mean / 2 + mRandom.Below(mean + 1));
    const bool longer = aFault == "slow" || aFault == "late";
    return drawn + (longer ? mSettings.mFaultTime : milliseconds(0));
  }

  static http::response MakeAnswer(http::request aRequest,
                                   const std::string& aFault)
  {
    constexpr unsigned kFailed = 500;
    http::response answer;
    for (const char* name : { "Oriole-Request", "Oriole-Attempt" }) {
      if (const auto value = aRequest.Find(name)) {
        answer.mHeaders.push_back({ name, std::string(*value) });
      }
    }
    answer.mBody = std::move(aRequest.mBody);
    if (aFault == "fail") {
      answer.mStatus = kFailed;
    } else if (aFault == "mismatched") {
      answer.mHeaders = { { "Oriole-Request", "somebody/else" } };
      answer.mBody = "somebody else's answer";
    }
    if (aFault == "cut" || aFault == "twice") {
      answer.mHeaders.push_back({ kWireFault, aFault });
    }
    return answer;
  }

  boost::asio::io_context& mContext;
  const target_settings& mSettings;
  run_log mLog;
  random_source mRandom;
  std::uint64_t mRuns = 0;
  std::uint64_t mBusy = 0;
  std::uint64_t mMost = 0;
  std::uint64_t mOver = 0;
};

// All of a running target; it ends by Leave().
class target_process
{
public:
  target_process(const target_settings& aSettings, run_log aLog)
    : mSettings(aSettings)
    , mTarget(mContext, aSettings, std::move(aLog))
    , mServer(mContext,
              aSettings.mListen,
              {},
              [this](http::request aRequest, const http::responder& aCall) {
                mTarget.Serve(std::move(aRequest),
                              [aCall](http::response aAnswer) {
                                aCall.Send(std::move(aAnswer));
                              });
              })
    , mFaulty(mContext,
              aSettings.mListen,
              [this](http::request aRequest, answer_function aAnswer) {
                mTarget.Serve(std::move(aRequest), std::move(aAnswer));
              })
    , mSignals(mContext, SIGTERM, SIGINT)
  {
  }

  result<bool> Run()
  {
    const bool wire = mSettings.mFault == "cut" || mSettings.mFault == "twice";
    const auto port = wire ? mFaulty.Start() : mServer.Start();
    if (!port) {
      return Fail(port.error());
    }
    mAnnouncer.emplace(mContext, mSettings, *port);
    mAnnouncer->Renew();
    mSignals.async_wait([this](boost::system::error_code aCode, int) {
      if (!aCode) {
        mAnnouncer->Leave([this] { Finish(); });
      }
    });
    mContext.run();
    return mTarget.Report();
  }

private:
  // No entry knows of work here; what runs all the same is finished.
  void Finish()
  {
    if (mTarget.Busy() > 0 || mServer.Active() > 0) {
      auto timer = std::make_shared<runtime_timer>(mContext);
      timer->expires_after(kAskAgain);
      timer->async_wait([this, timer](boost::system::error_code) { Finish(); });
      return;
    }
    mContext.stop();
  }

  const target_settings& mSettings;
  boost::asio::io_context mContext{ 1 };
  target mTarget;
  http::server mServer;
  faulty_server mFaulty;
  boost::asio::signal_set mSignals;
  std::optional<announcer> mAnnouncer;
};

} // namespace

int
RunTarget(int aCount, char** aArguments)
{
  target_settings settings;
  settings::settings_parser parser = MakeParser(settings);
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  auto log = run_log::Open(settings.mRunLog);
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().Describe().c_str());
    return settings::kExitUsage;
  }
  target_process process(settings, *std::move(log));
  const auto right = process.Run();
  if (!right) {
    std::fprintf(stderr, "%s\n", right.error().Describe().c_str());
    return settings::kExitUsage;
  }
  return *right ? 0 : kExitWrong;
}

} // namespace oriolewalk::standin
