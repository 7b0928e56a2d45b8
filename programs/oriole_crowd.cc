// oriole-crowd: plays peers that keep to no limit against processes that
// scripts/test-crowd starts, and says whether these lived, stayed within their
// memory and descriptors, and answered ordinary requests afterwards.

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <getopt.h>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/settings/address.h"
#include "testing/crowd/peer_crowd.h"
#include "testing/crowd/peer_script.h"
#include "testing/crowd/process_watch.h"
#include "testing/soak/run_after.h"

namespace oriolewalk::crowd {

namespace {

using soak::RunAfter;

constexpr std::size_t kMiB = 1024UL * 1024;
// An ordinary caller comes back after a refusal; so often at most.
constexpr int kMostTries = 60;
constexpr milliseconds kTryAgain{ 250 };
constexpr milliseconds kAnswerBound{ 2'000 };
constexpr milliseconds kHeartbeatEvery{ 500 };
constexpr std::size_t kWorkers = 16;

struct crowd_options
{
  std::string mCase;
  std::vector<settings::address> mCallers;
  std::vector<settings::address> mReadiness;
  std::vector<settings::address> mMetrics;
  std::vector<settings::address> mControl;
  std::vector<settings::address> mInternal;
  std::vector<settings::address> mWorker;
  std::vector<watched_process> mProcesses;
  bool mCell = false; // oriole-control and oriole-entry, not the platform's
  std::size_t mMemoryMb = 64;
  std::size_t mDescriptors = 256;
  std::uint64_t mSeconds = 4;
};

// A request that any user may send, and the status that it gets in calm.
struct ordinary_request
{
  std::string mName;
  settings::address mTo;
  http::request mRequest;
  unsigned mStatus = 200;
};

std::string
WriteTable(int aVersion, std::size_t aPadding)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"fees","host":"soak.example","pathPrefix":)" +
         R"("/fees/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,)" +
         R"("priority":0,"service":"pay","maxAttempts":3,"stretch":1.5}],)" +
         R"("services":[{"name":"pay","admissionControl":false}],"unread":")" +
         std::string(aPadding, 'x') + R"("})";
}

class crowd_run
{
public:
  crowd_run(crowd_options aOptions, peer_script aScript)
    : mOptions(std::move(aOptions))
    , mScript(std::move(aScript))
    , mClient(mContext, {})
    , mWatch(mOptions.mProcesses)
  {
  }

  int Run()
  {
    AskAll("before", [this]() { PlayCrowd(); });
    mContext.run();
    mWatch.Stop();
    return Report();
  }

private:
  [[nodiscard]] const std::vector<settings::address>& Targets() const
  {
    switch (mScript.mPlace) {
      case place::Callers:
        return mOptions.mCallers;
      case place::Readiness:
        return mOptions.mReadiness;
      case place::Metrics:
        return mOptions.mMetrics;
      case place::Control:
        return mOptions.mControl;
      case place::Internal:
        return mOptions.mInternal;
      case place::Worker:
        break;
    }
    return mOptions.mWorker;
  }

  [[nodiscard]] std::vector<ordinary_request> OrdinaryRequests()
  {
    return mOptions.mCell ? CellRequests() : PlatformRequests();
  }

  [[nodiscard]] std::vector<ordinary_request> CellRequests() const
  {
    std::vector<ordinary_request> all;
    for (const auto& to : mOptions.mCallers) {
      all.push_back({ "health", to, { .mTarget = "/healthz" }, 200 });
      // The leader answers it.
      all.push_back({ "the status", to, { .mTarget = "/v1/status" }, 200 });
    }
    for (const auto& to : mOptions.mMetrics) {
      all.push_back({ "metrics", to, { .mTarget = "/metrics" }, 200 });
    }
    return all;
  }

  [[nodiscard]] std::vector<ordinary_request> PlatformRequests()
  {
    std::vector<ordinary_request> all;
    all.push_back({ "a change of the table",
                    mOptions.mControl.front(),
                    { .mMethod = "POST",
                      .mTarget = "/v1/config/put",
                      .mBody = WriteTable(++mVersion, mScript.mTablePadding) },
                    200 });
    for (const auto& to : mOptions.mControl) {
      all.push_back(
        { "a read of the table", to, { .mTarget = "/v1/config/get" }, 200 });
    }
    for (const auto& to : mOptions.mReadiness) {
      all.push_back({ "readiness", to, { .mTarget = "/v1/ready" }, 200 });
    }
    for (const auto& to : mOptions.mMetrics) {
      all.push_back({ "metrics", to, { .mTarget = "/metrics" }, 200 });
    }
    for (const auto& to : mOptions.mCallers) {
      all.push_back({ "a job that nobody submitted",
                      to,
                      { .mTarget = "/fees/0123456789abcdef",
                        .mHeaders = { { "Host", "soak.example" } } },
                      410 });
    }
    return all;
  }

  // One after the other, so that each has nothing beside it but the crowd.
  struct round
  {
    std::vector<ordinary_request> mAll;
    std::size_t mAt = 0;
    int mTries = 0;
    std::string mWhen;
    std::function<void()> mThen;
  };

  void AskAll(std::string aWhen, std::function<void()> aThen)
  {
    AskNext(std::make_shared<round>(
      round{ OrdinaryRequests(), 0, 0, std::move(aWhen), std::move(aThen) }));
  }

  void AskNext(const std::shared_ptr<round>& aRound)
  {
    if (aRound->mAt == aRound->mAll.size()) {
      aRound->mThen();
      return;
    }
    const ordinary_request& one = aRound->mAll[aRound->mAt];
    mClient.Send(
      one.mTo,
      one.mRequest,
      { .mTotalTimeout = kAnswerBound, .mMaxAnswerBytes = 4 * kMiB },
      [this, aRound](const http::send_outcome& aEnd) { OnEnd(aRound, aEnd); });
  }

  void OnEnd(const std::shared_ptr<round>& aRound,
             const http::send_outcome& aEnd)
  {
    const ordinary_request& asked = aRound->mAll[aRound->mAt];
    const auto* answer = std::get_if<http::answered>(&aEnd);
    const bool served =
      answer != nullptr && answer->mResponse.mStatus == asked.mStatus;
    if (!served && aRound->mTries < kMostTries && !mWatch.AnyEnded()) {
      ++aRound->mTries;
      RunAfter(mContext, kTryAgain, [this, aRound]() { AskNext(aRound); });
      return;
    }
    if (!served) {
      mBroken.push_back(asked.mName + " got no answer of " +
                        asked.mTo.ToString() + " " + aRound->mWhen);
    }
    ++aRound->mAt;
    aRound->mTries = 0;
    AskNext(aRound);
  }

  void PlayCrowd()
  {
    for (const settings::address& to : Targets()) {
      mCrowds.push_back(std::make_unique<peer_crowd>(mContext, mScript, to));
      if (const auto started = mCrowds.back()->Start(); !started) {
        mBroken.push_back(started.error().Describe());
      }
    }
    if (mScript.mPlace == place::Worker) {
      Beat(1);
    }
    RunAfter(mContext, seconds(mOptions.mSeconds), [this]() {
      // The crowd's connections are still open.
      AskAll("after the crowd", [this]() {
        for (const auto& one : mCrowds) {
          mSent += one->Sent();
          mOpened += one->Opened();
        }
        mContext.stop();
      });
    });
  }

  // Workers whose address is the crowd's, so that the leader calls it.
  void Beat(std::uint64_t aSequence)
  {
    for (std::size_t number = 0; number < kWorkers; ++number) {
      mClient.Send(
        mOptions.mControl.front(),
        { .mMethod = "POST",
          .mTarget = "/v1/instances/w" + std::to_string(number) + "/heartbeat",
          .mBody = WriteHeartbeat(
            "pay", mOptions.mWorker.front().ToString(), aSequence) },
        { .mTotalTimeout = kAnswerBound },
        [](const http::send_outcome&) {});
    }
    RunAfter(
      mContext, kHeartbeatEvery, [this, aSequence]() { Beat(aSequence + 1); });
  }

  int Report()
  {
    for (const std::string& one : mWatch.Violations()) {
      mBroken.push_back(one);
    }
    std::printf("crowd %s: %zu connections, %zu MiB sent;",
                mScript.mName.c_str(),
                mOpened,
                mSent / kMiB);
    for (const watched_process& one : mWatch.Processes()) {
      std::printf(" %s %zu MiB (%zu unread), %zu descriptors;",
                  one.mName.c_str(),
                  one.mPeakBytes / kMiB,
                  one.mPeakUnread / kMiB,
                  one.mPeakDescriptors);
    }
    std::printf(" %s\n", mBroken.empty() ? "held" : "BROKEN");
    for (const std::string& one : mBroken) {
      std::printf("  broken: %s\n", one.c_str());
    }
    return mBroken.empty() ? 0 : 1;
  }

  crowd_options mOptions;
  peer_script mScript;
  boost::asio::io_context mContext{ 1 };
  http::client mClient;
  process_watch mWatch;
  std::vector<std::unique_ptr<peer_crowd>> mCrowds;
  std::vector<std::string> mBroken;
  int mVersion = 0;
  std::size_t mSent = 0;
  std::size_t mOpened = 0;
};

constexpr const char* kHelp =
  "oriole-crowd --list | --case NAME [--cell] [--memory-mb N] "
  "[--descriptors N]\n"
  "    [--seconds N] --process NAME,PID,IP ... --callers IP:PORT ...\n"
  "    --readiness IP:PORT ... --metrics IP:PORT ... --control IP:PORT ...\n"
  "    --internal IP:PORT ... --worker IP:PORT\n"
  "Started by scripts/test-crowd. Exits with 1 if something was broken.\n";

std::optional<std::size_t>
ReadNumber(std::string_view aText)
{
  std::size_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  return read.ec == std::errc() && read.ptr == end ? std::optional(number)
                                                   : std::nullopt;
}

// "e1,4711,127.7.2.1"
std::optional<watched_process>
ReadProcess(std::string_view aText)
{
  const std::size_t first = aText.find(',');
  const std::size_t last = aText.rfind(',');
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  const auto id = ReadNumber(aText.substr(first + 1, last - first - 1));
  if (!id) {
    return std::nullopt;
  }
  return watched_process{ std::string(aText.substr(0, first)),
                          static_cast<int>(*id),
                          std::string(aText.substr(last + 1)) };
}

// False: the value is wrong.
bool
Take(int aChosen, const char* aValue, crowd_options& aOptions)
{
  if (aChosen == 'n') {
    aOptions.mCase = aValue;
    return true;
  }
  if (aChosen == 'p') {
    const auto process = ReadProcess(aValue);
    if (process) {
      aOptions.mProcesses.push_back(*process);
    }
    return process.has_value();
  }
  const auto lists =
    std::to_array<std::pair<char, std::vector<settings::address>*>>(
      { { 'a', &aOptions.mCallers },
        { 'r', &aOptions.mReadiness },
        { 'm', &aOptions.mMetrics },
        { 'c', &aOptions.mControl },
        { 'i', &aOptions.mInternal },
        { 'w', &aOptions.mWorker } });
  for (const auto& [letter, list] : lists) {
    if (aChosen == letter) {
      const auto address = settings::ParseAddress(aValue);
      if (address) {
        list->push_back(*address);
      }
      return address.has_value();
    }
  }
  const auto number = ReadNumber(aValue);
  if (!number) {
    return false;
  }
  switch (aChosen) {
    case 'M':
      aOptions.mMemoryMb = *number;
      return true;
    case 'D':
      aOptions.mDescriptors = *number;
      return true;
    case 's':
      aOptions.mSeconds = *number;
      return true;
    default:
      return false;
  }
}

// Those that also suit a cell, which has no such address of its control
// processes and other jobs, with a mark.
void
List(const std::vector<peer_script>& aScripts)
{
  for (const peer_script& one : aScripts) {
    const bool cell = one.mPlace == place::Callers ||
                      one.mPlace == place::Metrics ||
                      one.mPlace == place::Internal;
    if (one.mFor != system_kind::Cell) {
      std::printf("%s\n", one.mName.c_str());
    }
    if (cell && one.mFor != system_kind::Platform) {
      std::printf("cell:%s\n", one.mName.c_str());
    }
  }
}

int
RunMain(int aCount, char** aArguments)
{
  const auto flags =
    std::to_array<option>({ { "list", no_argument, nullptr, 'l' },
                            { "cell", no_argument, nullptr, 'x' },
                            { "case", required_argument, nullptr, 'n' },
                            { "process", required_argument, nullptr, 'p' },
                            { "callers", required_argument, nullptr, 'a' },
                            { "readiness", required_argument, nullptr, 'r' },
                            { "metrics", required_argument, nullptr, 'm' },
                            { "control", required_argument, nullptr, 'c' },
                            { "internal", required_argument, nullptr, 'i' },
                            { "worker", required_argument, nullptr, 'w' },
                            { "memory-mb", required_argument, nullptr, 'M' },
                            { "descriptors", required_argument, nullptr, 'D' },
                            { "seconds", required_argument, nullptr, 's' },
                            { nullptr, 0, nullptr, 0 } });
  crowd_options options;
  const std::vector<peer_script> scripts = PeerScripts();
  for (;;) {
    const int chosen =
      getopt_long(aCount, aArguments, "", flags.data(), nullptr);
    if (chosen == -1) {
      break;
    }
    if (chosen == 'l') {
      List(scripts);
      return 0;
    }
    if (chosen == 'x') {
      options.mCell = true;
      continue;
    }
    if (chosen == '?' || !Take(chosen, optarg, options)) {
      std::fputs(kHelp, stderr);
      return 2;
    }
  }
  for (watched_process& one : options.mProcesses) {
    one.mMaxBytes = options.mMemoryMb * kMiB;
    one.mMaxDescriptors = options.mDescriptors;
  }
  for (const peer_script& one : scripts) {
    if (one.mName == options.mCase) {
      return crowd_run(options, one).Run();
    }
  }
  std::fputs(kHelp, stderr);
  return 2;
}

} // namespace

} // namespace oriolewalk::crowd

int
main(int aCount, char** aArguments)
{
  try {
    return oriolewalk::crowd::RunMain(aCount, aArguments);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "oriole-crowd: %s\n", problem.what());
    return 2;
  }
}
