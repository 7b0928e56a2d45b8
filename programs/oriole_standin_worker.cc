// oriole-standin worker: announces itself, polls, runs tasks as timers, and
// stops all of them when its lease lapses on its own clock.

#include "programs/oriole_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/failover.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::standin {

namespace {

namespace json = boost::json;

constexpr milliseconds kMaxWait{ 1000 };
constexpr milliseconds kPause{ 100 };
// While an end waits to be taken note of: not held, but no busy loop either.
constexpr milliseconds kShortWait{ 20 };
constexpr std::int64_t kLeaseMs = 8000;
constexpr std::uint64_t kPercent = 100;

struct worker_settings
{
  std::string mId = "w1";
  std::string mBoot;
  std::vector<settings::address> mEntries;
  std::string mDataCentre = "a";
  std::string mRack = "a1";
  std::uint64_t mMilliProcessors = 32'000;
  std::uint64_t mMemoryMb = 65'536;
  std::uint64_t mAccelerators = 0;
  std::uint64_t mPace = kPercent;
  std::string mRunLog;
  bool mFailAll = false;
};

settings::settings_parser
MakeParser(worker_settings& aSettings)
{
  settings::settings_parser parser("oriole-standin worker", "plays a worker");
  parser.Text("id", aSettings.mId, "ID", "this worker's id");
  parser.Text("boot",
              aSettings.mBoot,
              "WORD",
              "names this life; none: made from the wall clock");
  parser.AddressList("entries", aSettings.mEntries, "entries, tried in turn");
  parser.Require("entries");
  parser.Text("data-centre", aSettings.mDataCentre, "ID", "its data centre");
  parser.Text("rack", aSettings.mRack, "ID", "its rack");
  parser.Number("milli-processors",
                aSettings.mMilliProcessors,
                { 1, 1'000'000 },
                "1/1000 processor",
                "it has");
  parser.Number(
    "memory-mb", aSettings.mMemoryMb, { 1, 100'000'000 }, "MB", "it has");
  parser.Number("accelerators",
                aSettings.mAccelerators,
                { 0, 1000 },
                "accelerators",
                "it has");
  parser.Number("pace",
                aSettings.mPace,
                { 1, 100'000 },
                "percent",
                "of its declared time that a task takes");
  parser.Text("run-log",
              aSettings.mRunLog,
              "FILE",
              "a line 'run TASK ATTEMPT WALL-MS' for each start, and others "
              "for ends, lapses and too much work at once");
  parser.Switch("fail-all", aSettings.mFailAll, "every task fails at once");
  return parser;
}

// A start of a task: the same task may be started again as a later attempt.
struct task_run
{
  std::string mTask;
  std::int64_t mAttempt = 0;

  auto operator<=>(const task_run&) const = default;
};

struct running_task
{
  std::int64_t mMilliProcessors = 0;
  std::int64_t mMemoryMb = 0;
  time_point mEnd = time_point::max(); // max: runs until it is stopped
  std::int64_t mLimit = 0; // milli processors it is held to; 0: none

  // What it may use at present.
  [[nodiscard]] std::int64_t Rate() const
  {
    return mLimit != 0 ? mLimit : mMilliProcessors;
  }
};

// The worker's tasks and rules, without network. One thread.
class task_table
{
public:
  task_table(const worker_settings& aSettings, run_log aLog)
    : mSettings(aSettings)
    , mLog(std::move(aLog))
  {
  }

  void Obey(const json::object& aCommand, time_point aNow)
  {
    const task_run run{ TextIn(aCommand, "task"),
                        NumberIn(aCommand, "attempt", 0) };
    const std::string kind = TextIn(aCommand, "kind");
    if (kind == "start") {
      Start(run, aCommand, aNow);
    } else if (kind == "stop") {
      Stop(run);
    } else if (kind == "checkpoint") {
      End(run, "checkpointed");
    } else if (kind == "throttle") {
      Throttle(run, NumberIn(aCommand, "milli_processors", 0), aNow);
    } else if (kind == "forget") {
      mEnded.erase(run);
    }
  }

  // Ends what is due. The time of the next end comes back.
  time_point Advance(time_point aNow)
  {
    time_point next = time_point::max();
    std::vector<task_run> due;
    for (const auto& [run, task] : mRunning) {
      if (task.mEnd <= aNow) {
        due.push_back(run);
      } else {
        next = std::min(next, task.mEnd);
      }
    }
    for (const task_run& run : due) {
      End(run, mSettings.mFailAll ? "failed" : "succeeded");
    }
    return next;
  }

  void StopAll(std::string_view aWhy)
  {
    if (!mRunning.empty()) {
      mLog.Write(aWhy, "all", std::to_string(mRunning.size()));
    }
    while (!mRunning.empty()) {
      End(task_run(mRunning.begin()->first), "stopped");
    }
  }

  [[nodiscard]] json::array Running() const
  {
    json::array tasks;
    for (const auto& [run, task] : mRunning) {
      json::object one{ { "task", run.mTask },
                        { "attempt", run.mAttempt },
                        { "milli_processors", task.Rate() },
                        { "memory_mb", task.mMemoryMb } };
      if (task.mLimit != 0) {
        one["limit_milli_processors"] = task.mLimit;
      }
      tasks.push_back(std::move(one));
    }
    return tasks;
  }
  [[nodiscard]] json::array Ended() const
  {
    json::array tasks;
    for (const auto& [run, outcome] : mEnded) {
      tasks.push_back(json::object{ { "task", run.mTask },
                                    { "attempt", run.mAttempt },
                                    { "result", outcome } });
    }
    return tasks;
  }
  [[nodiscard]] bool NothingEnded() const { return mEnded.empty(); }
  // True if it was never given more than it has.
  [[nodiscard]] bool Report() const
  {
    std::printf("runs %zu\nover_capacity %lu\n", mSeen.size(), mOver);
    return mOver == 0;
  }

private:
  void Start(const task_run& aRun,
             const json::object& aCommand,
             time_point aNow)
  {
    if (!mSeen.insert(aRun).second) {
      return;
    }
    mLog.Write("run", aRun.mTask, std::to_string(aRun.mAttempt));
    running_task task{ NumberIn(aCommand, "milli_processors", 0),
                       NumberIn(aCommand, "memory_mb", 0) };
    const std::int64_t expected = NumberIn(aCommand, "expected_ms", 0);
    if (mSettings.mFailAll) {
      task.mEnd = aNow;
    } else if (expected > 0) {
      task.mEnd = aNow + milliseconds(expected) *
                           static_cast<std::int64_t>(mSettings.mPace) /
                           static_cast<std::int64_t>(kPercent);
    }
    mRunning[aRun] = task;
    CheckCapacity(aRun);
  }

  void CheckCapacity(const task_run& aRun)
  {
    std::uint64_t processors = 0;
    std::uint64_t memory = 0;
    for (const auto& [run, task] : mRunning) {
      processors += static_cast<std::uint64_t>(task.Rate());
      memory += static_cast<std::uint64_t>(task.mMemoryMb);
    }
    if (processors > mSettings.mMilliProcessors ||
        memory > mSettings.mMemoryMb) {
      ++mOver;
      mLog.Write("over-capacity", aRun.mTask, std::to_string(aRun.mAttempt));
    }
  }

  void End(const task_run& aRun, std::string_view aResult)
  {
    if (mRunning.erase(aRun) > 0) {
      mEnded[aRun] = aResult;
      mLog.Write(aResult, aRun.mTask, std::to_string(aRun.mAttempt));
    }
  }

  // An attempt that isn't known here is told as stopped, and a start of it
  // that comes later is not run: the stop may overtake the start.
  void Stop(const task_run& aRun)
  {
    if (mSeen.insert(aRun).second) {
      mEnded[aRun] = "stopped";
      return;
    }
    End(aRun, "stopped");
  }

  // What is left to do takes longer in proportion. A limit of the whole size
  // takes an earlier one back.
  void Throttle(const task_run& aRun, std::int64_t aLimit, time_point aNow)
  {
    const auto found = mRunning.find(aRun);
    if (found == mRunning.end() || aLimit <= 0) {
      return;
    }
    running_task& task = found->second;
    const std::int64_t before = task.Rate();
    task.mLimit = aLimit >= task.mMilliProcessors ? 0 : aLimit;
    if (task.mEnd != time_point::max() && task.Rate() > 0) {
      task.mEnd = aNow + (task.mEnd - aNow) * before / task.Rate();
    }
  }

  const worker_settings& mSettings;
  run_log mLog;
  std::map<task_run, running_task> mRunning;
  std::map<task_run, std::string> mEnded; // until the answer says forget
  std::set<task_run> mSeen;
  std::uint64_t mOver = 0;
};

// Announces and polls. One thread.
class worker_process
{
public:
  worker_process(const worker_settings& aSettings, run_log aLog)
    : mSettings(aSettings)
    , mTasks(aSettings, std::move(aLog))
    , mClient(mContext, {})
    , mEntries(mClient, aSettings.mEntries)
    , mPause(mContext)
    , mTick(mContext)
    , mSignals(mContext, SIGTERM, SIGINT)
    , mTarget("/v1/workers/" + aSettings.mId)
  {
  }

  bool Run()
  {
    mSignals.async_wait([this](boost::system::error_code aCode, int) {
      if (!aCode) {
        mTasks.StopAll("leaving");
        mLeaving = true;
      }
    });
    Announce();
    Tick();
    mContext.run();
    return mTasks.Report();
  }

private:
  void Announce()
  {
    mEntries.Send(
      MakeRequest("PUT",
                  mTarget,
                  { { "boot", mSettings.mBoot },
                    { "data_centre", mSettings.mDataCentre },
                    { "rack", mSettings.mRack },
                    { "milli_processors", mSettings.mMilliProcessors },
                    { "memory_mb", mSettings.mMemoryMb },
                    { "accelerators", mSettings.mAccelerators } }),
      Options(),
      [this, sent = runtime_clock::now()](const http::send_outcome& aOutcome) {
        const auto answer = ReadAnswer(aOutcome);
        Tell(answer ? "announced" : answer.error().Describe());
        if (answer) {
          RenewLease(*answer, sent);
          Poll();
        } else {
          mEntries.Skip();
          After([this] { Announce(); });
        }
      });
  }

  void Poll()
  {
    const time_point now = runtime_clock::now();
    const time_point next = mTasks.Advance(now);
    const auto wait = std::clamp(
      std::chrono::ceil<milliseconds>(std::min<duration>(next - now, kMaxWait)),
      milliseconds(1),
      kMaxWait);
    const bool hold = mTasks.NothingEnded() && !mLeaving;
    mEntries.Send(
      MakeRequest("POST",
                  mTarget + "/poll",
                  { { "boot", mSettings.mBoot },
                    { "wait_ms", hold ? wait.count() : kShortWait.count() },
                    { "running", mTasks.Running() },
                    { "ended", mTasks.Ended() } }),
      Options(),
      [this, now](const http::send_outcome& aOutcome) {
        HandlePolled(ReadAnswer(aOutcome), now);
      });
  }

  void HandlePolled(const result<json::object>& aAnswer, time_point aSent)
  {
    if (!aAnswer) {
      Tell(aAnswer.error().Describe());
      const bool forgotten = aAnswer.error().mCode == error_code::NotFound;
      mEntries.Skip();
      After([this, forgotten] { forgotten ? Announce() : Poll(); });
      return;
    }
    Tell("announced");
    RenewLease(*aAnswer, aSent);
    const json::value* commands = aAnswer->if_contains("commands");
    if (commands != nullptr && commands->is_array() && !mLeaving) {
      for (const json::value& command : commands->get_array()) {
        if (command.is_object()) {
          mTasks.Obey(command.get_object(), runtime_clock::now());
        }
      }
    }
    if (mLeaving) {
      mContext.stop();
      return;
    }
    Poll();
  }

  // Counts from the sending: the leader can't have counted it from earlier.
  void RenewLease(const json::object& aAnswer, time_point aSent)
  {
    mLeaseEnd = std::max(
      mLeaseEnd, aSent + milliseconds(NumberIn(aAnswer, "lease_ms", kLeaseMs)));
  }

  // Ends tasks and the lease on time, also while no entry answers.
  void Tick()
  {
    const time_point now = runtime_clock::now();
    mTasks.Advance(now);
    if (now >= mLeaseEnd) {
      mTasks.StopAll("lapse");
    }
    constexpr milliseconds kTick{ 10 };
    mTick.expires_after(kTick);
    mTick.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        Tick();
      }
    });
  }

  void After(std::function<void()> aThen)
  {
    if (mLeaving) {
      mContext.stop();
      return;
    }
    mPause.expires_after(kPause);
    mPause.async_wait(
      [then = std::move(aThen)](boost::system::error_code aCode) {
        if (!aCode) {
          then();
        }
      });
  }

  // Changes of state only.
  void Tell(const std::string& aState)
  {
    if (aState != mState) {
      mState = aState;
      std::fprintf(stderr,
                   "oriole-standin worker %s: %s\n",
                   mSettings.mId.c_str(),
                   aState.c_str());
    }
  }

  static http::send_options Options()
  {
    return { .mConnectTimeout = milliseconds(500),
             .mTotalTimeout = kMaxWait + milliseconds(1000) };
  }

  const worker_settings& mSettings;
  boost::asio::io_context mContext{ 1 };
  task_table mTasks;
  http::client mClient;
  http::failover mEntries;
  runtime_timer mPause;
  runtime_timer mTick;
  boost::asio::signal_set mSignals;
  const std::string mTarget;
  time_point mLeaseEnd{};
  bool mLeaving = false;
  std::string mState;
};

} // namespace

int
RunWorker(int aCount, char** aArguments)
{
  worker_settings settings;
  settings::settings_parser parser = MakeParser(settings);
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  if (settings.mBoot.empty()) {
    settings.mBoot = std::to_string(WallMilliseconds());
  }
  auto log = run_log::Open(settings.mRunLog);
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().Describe().c_str());
    return settings::kExitUsage;
  }
  worker_process process(settings, *std::move(log));
  return process.Run() ? 0 : kExitWrong;
}

} // namespace oriolewalk::standin
