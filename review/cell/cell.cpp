// A small deployment on loopback for the cases in review/: it starts the
// project's control and entry processes and plays, as far as the pages tell it,
// the platform, the minions, an operator and a client. It writes what was sent,
// answered and run to record.txt and judges only what those parties saw.
//
//   cell SCENARIO RECORD PROGRAMS FOLDER      TROUBLE=0: without the disruption
//
// Exit: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/json/src.hpp>

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

static const Clock::time_point gStart = Clock::now();
static double
Now() // seconds since the start
{
  return std::chrono::duration<double>(Clock::now() - gStart).count();
}
static void
SleepS(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

static std::recursive_mutex gLock;
static FILE* gRecord = nullptr;
__attribute__((format(printf, 1, 2))) static void
Record(const char* aFormat, ...)
{
  const std::scoped_lock lock(gLock);
  std::fprintf(gRecord, "%8.3f ", Now());
  va_list list;
  va_start(list, aFormat);
  std::vfprintf(gRecord, aFormat, list);
  va_end(list);
  std::fprintf(gRecord, "\n");
  std::fflush(gRecord);
}

// ---------------------------------------------------------------- HTTP

struct Request
{
  std::string mMethod, mTarget, mBody;
  std::map<std::string, std::string> mHeaders; // lower case names
};
struct Reply
{
  int mStatus = 200;
  std::string mBody;
  bool mSilent = false; // close without an answer
};

static bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aHead,
            std::string& aBody,
            double aUntil)
{
  for (;;) {
    const std::size_t end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::size_t length = 0;
      std::string head = aBuffer.substr(0, end);
      std::string lower = head;
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      const std::size_t at = lower.find("content-length:");
      if (at != std::string::npos) {
        length = std::strtoul(lower.c_str() + at + 15, nullptr, 10);
      }
      if (aBuffer.size() >= end + 4 + length) {
        aHead = head;
        aBody = aBuffer.substr(end + 4, length);
        aBuffer.erase(0, end + 4 + length);
        return true;
      }
    }
    const double left = aUntil - Now();
    if (left <= 0) {
      return false;
    }
    pollfd wait{ aSocket, POLLIN, 0 };
    if (poll(&wait, 1, static_cast<int>(std::min(left, 0.1) * 1000) + 1) < 0) {
      return false;
    }
    if (wait.revents == 0) {
      continue;
    }
    char piece[16384];
    const ssize_t count = recv(aSocket, piece, sizeof piece, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(piece, static_cast<std::size_t>(count));
  }
}

static sockaddr_in
Place(const std::string& aIp, int aPort)
{
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &place.sin_addr);
  return place;
}

static bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// One call on a connection of its own. Status 0: no answer.
static Reply
Call(const std::string& aIp,
     int aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     double aTimeout,
     const std::string& aHeaders = {})
{
  Reply reply;
  reply.mStatus = 0;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = Place(aIp, aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    std::string text =
      aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders +
      (aHeaders.find("Host:") == std::string::npos
         ? "Host: " + aIp + ":" + std::to_string(aPort) + "\r\n"
         : "") +
      "Content-Type: application/json\r\nContent-Length: " +
      std::to_string(aBody.size()) + "\r\nConnection: close\r\n\r\n" + aBody;
    std::string buffer, head, body;
    if (SendAll(fd, text) &&
        ReadMessage(fd, buffer, head, body, Now() + aTimeout) &&
        head.size() > 12) {
      reply.mStatus = std::atoi(head.c_str() + 9);
      reply.mBody = body;
    }
  }
  close(fd);
  return reply;
}

// A server whose connections can be cut at once.
class Server
{
public:
  using Handler = std::function<Reply(const Request&)>;
  Server(std::string aIp, int aPort, Handler aHandler)
    : mIp(std::move(aIp))
    , mPort(aPort)
    , mHandler(std::move(aHandler))
  {
  }
  bool Open()
  {
    const std::scoped_lock lock(mMutex);
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in at = Place(mIp, mPort);
    if (bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
          0 ||
        listen(mListener, 512) != 0) {
      close(mListener);
      mListener = -1;
      return false;
    }
    const int listener = mListener;
    const int life = ++mLife;
    std::thread([this, listener, life] { Accept(listener, life); }).detach();
    return true;
  }
  // As when the process dies: its connections are reset.
  void Cut()
  {
    const std::scoped_lock lock(mMutex);
    ++mLife;
    if (mListener >= 0) {
      shutdown(mListener, SHUT_RDWR);
      close(mListener);
      mListener = -1;
    }
    for (const int fd : mOpen) {
      const linger reset{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void Accept(int aListener, int aLife)
  {
    for (;;) {
      const int fd = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const std::scoped_lock lock(mMutex);
      if (aLife != mLife) {
        close(fd);
        return;
      }
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      mOpen.insert(fd);
      std::thread([this, fd, aLife] { Serve(fd, aLife); }).detach();
    }
  }
  void Serve(int aSocket, int aLife)
  {
    std::string buffer, head, body;
    while (ReadMessage(aSocket, buffer, head, body, Now() + 600)) {
      Request request;
      std::istringstream lines(head);
      std::string line;
      std::getline(lines, line);
      std::istringstream first(line);
      first >> request.mMethod >> request.mTarget;
      while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
          continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::string value = line.substr(colon + 1);
        while (!value.empty() &&
               (value.back() == '\r' || value.back() == ' ')) {
          value.pop_back();
        }
        while (!value.empty() && value.front() == ' ') {
          value.erase(0, 1);
        }
        request.mHeaders[name] = value;
      }
      request.mBody = body;
      const Reply reply = mHandler(request);
      {
        const std::scoped_lock lock(mMutex);
        if (aLife != mLife || reply.mSilent) {
          break;
        }
      }
      if (!SendAll(
            aSocket,
            "HTTP/1.1 " + std::to_string(reply.mStatus) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(reply.mBody.size()) + "\r\n\r\n" + reply.mBody)) {
        break;
      }
    }
    const std::scoped_lock lock(mMutex);
    mOpen.erase(aSocket);
    close(aSocket);
  }

  std::string mIp;
  int mPort;
  Handler mHandler;
  std::mutex mMutex;
  int mListener = -1;
  int mLife = 0;
  std::set<int> mOpen;
};

// ---------------------------------------------------------------- the cell

static std::string gNet;      // "127.a.b." of this run
static int gPort = 0;         // the first of its ports
static std::string gPrograms; // folder of the product's programs
static std::string gFolder;   // temporary folder
static bool gTrouble = true;
static std::atomic<bool> gEnding{ false };

static int
ControlPort()
{
  return gPort;
}
static int
ClientPort()
{
  return gPort + 1;
}
static int
ReadyPort()
{
  return gPort + 2;
}
static int
InternalPort()
{
  return gPort + 3;
}
static int
MinionPort()
{
  return gPort + 8;
}
static int
CloudPort()
{
  return gPort + 9;
}

struct Bounds
{
  int mHoldMaxMs = 6000;
  int mStopMs = 400;
  double mMaintenanceS = 2;
  int mNoticeMs = 4500;
};
static Bounds gBounds;

struct Process
{
  std::string mName, mIp, mClass;
  bool mControl = false;
  pid_t mPid = -1;
  bool mFirst = true;
};
static std::vector<std::unique_ptr<Process>> gProcesses;
static int gControls = 3;
static int gEntries = 1;

static std::string
ControlIp(int aIndex)
{
  return gNet + std::to_string(11 + aIndex);
}
static std::string
EntryIp(int aIndex)
{
  return gNet + std::to_string(41 + aIndex);
}
static std::string
CloudIp()
{
  return gNet + "60";
}

static void
WriteSettings(const Process& aOne)
{
  std::ofstream out(gFolder + "/" + aOne.mName + ".yaml");
  out
    << "nodeName: \"" << aOne.mName << "\"\nrole: \""
    << (aOne.mControl ? "control" : "entry") << "\"\nmachineClass: \""
    << aOne.mClass << "\"\nserves:\n  - \""
    << (aOne.mControl ? "control" : "frontend") << "\"\nip: \"" << aOne.mIp
    << "\"\nzone: \"z-a\"\nregion: \"r-a\"\nzones:\n  z-a: \"r-a\"\nlisten:\n";
  if (aOne.mControl) {
    out << "  control: \"" << aOne.mIp << ":" << ControlPort() << "\"\n";
  } else {
    out << "  frontendAddr: \"" << aOne.mIp << ":" << ClientPort()
        << "\"\n  readinessAddr: \"" << aOne.mIp << ":" << ReadyPort()
        << "\"\n";
  }
  out << "internalPorts:\n  - " << InternalPort() << "\n  - "
      << InternalPort() + 3 << "\nseeds:\n";
  for (int i = 0; i < std::min(gControls, 3); ++i) {
    out << "  - \"" << ControlIp(i) << ":" << ControlPort() << "\"\n";
  }
  out << "bootstrap: " << (aOne.mFirst ? "true" : "false")
      << "\ninTolerance: " << (aOne.mControl ? "true" : "false")
      << "\nlimits:\n  cpuShare: 0.5\n  cores: 1\n  memoryMb: 256\n  maxFds: "
         "4096\n  linkMbps: 1000.0\n  diskMb: "
      << (aOne.mControl ? 128 : 0) << "\ndataDir: "
      << (aOne.mControl ? "\"" + gFolder + "/" + aOne.mName + "\""
                        : std::string("null"))
      << "\ndiscovery: \"register\"\nentry: \"vip\"\nheartbeatMs: "
         "1500\ncontracts: [\"base\", \"drain\", \"config\", \"cost\", "
         "\"recover\", "
         "\"sched\", \"advice\", \"upkeep\", \"sharing\"]\nfaultTolerance:\n  "
         "machines: 1\n  zones: 0\n  regionCount: 0\nbounds:\n"
         "  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n  "
         "catchUpS: 4\n  drainMs: 2000\n  graceS: 6\n  lossSlackMs: 200\n"
         "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxStretchMs: "
         "5000\n  recoverS: 12\n  holdMaxMs: "
      << gBounds.mHoldMaxMs << "\n  stopTimeoutMs: " << gBounds.mStopMs
      << "\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  "
         "early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
         "  remoteFactor: 3\n  checkpointS: 2\n  restoreMs: 100\n  noticeMs: "
      << gBounds.mNoticeMs
      << "\n  moveS: 1.5\n  maintenanceS: " << gBounds.mMaintenanceS
      << "\n  fencingEnabled: false\n  leaseMs: 3000\n  thawMs: 300\n  paceMs: "
         "100\n  harmMs: 4000\nconfig_mode: \"highest\"\n"
         "controlMode: \"call\"\nadvice: null\ncloud:\n  address: \""
      << CloudIp() << ":" << CloudPort()
      << "\"\n  ratePerS: 60.0\n  duties: []\n  dutyPerS: 60.0\n";
}

static void
StartProcess(Process& aOne)
{
  WriteSettings(aOne);
  if (aOne.mControl) {
    std::filesystem::create_directories(gFolder + "/" + aOne.mName);
  }
  const std::string program =
    gPrograms + "/" +
    (aOne.mControl ? "oriole-platform-control" : "oriole-platform-entry");
  const std::string settings =
    "ORIOLEWALK_SETTINGS=" + gFolder + "/" + aOne.mName + ".yaml";
  const std::string log = gFolder + "/" + aOne.mName + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG,
          SIGKILL); // ends with this program, whatever happens
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    const char* path = std::getenv("PATH");
    const std::string pathText =
      std::string("PATH=") + (path != nullptr ? path : "");
    char* const argv[] = { const_cast<char*>(program.c_str()), nullptr };
    char* const envp[] = { const_cast<char*>(settings.c_str()),
                           const_cast<char*>(pathText.c_str()),
                           nullptr };
    execve(program.c_str(), argv, envp);
    _exit(127);
  }
  aOne.mPid = pid;
  aOne.mFirst = false;
  Record("start %s", aOne.mName.c_str());
}

static void
Kill(Process& aOne)
{
  Record("kill -9 %s", aOne.mName.c_str());
  kill(aOne.mPid, SIGKILL);
  waitpid(aOne.mPid, nullptr, 0);
  aOne.mPid = -1;
}

// The control process that wrote last that it leads. Used to aim, not to judge.
static Process*
Leader()
{
  Process* best = nullptr;
  long bestTerm = -1;
  for (auto& one : gProcesses) {
    if (!one->mControl || one->mPid < 0) {
      continue;
    }
    std::ifstream log(gFolder + "/" + one->mName + ".log");
    std::string line;
    long term = -1;
    while (std::getline(log, line)) {
      if (line.find("\"e\":\"leading\"") != std::string::npos) {
        const std::size_t at = line.find("\"term\":\"");
        term = at == std::string::npos ? -1 : std::atol(line.c_str() + at + 8);
      } else if (line.find("\"e\":\"stepped.down\"") != std::string::npos ||
                 line.find("\"e\":\"storage.opened\"") != std::string::npos) {
        term = -1;
      }
    }
    if (term > bestTerm) {
      bestTerm = term;
      best = one.get();
    }
  }
  return best;
}

// ---------------------------------------------------------------- minions

struct Run
{
  long mRun = 0;
  double mBegan = 0;
  double mLastsS = 0; // < 0: until it is stopped
  double mStopAt = 0; // > 0: being stopped
};
struct Ended
{
  long mN;
  std::string mTask;
  long mRun;
  std::string mHow;
};

struct Minion
{
  int mIndex = 0;
  std::string mMachine, mId, mIp, mRack, mKind;
  bool mUp = false;
  bool mDraining = false;
  int mLife = 0;
  double mBorn = 0;
  long mSeq = 0;
  long mFence = 0;
  double mLeaseEnd = 0; // on our clock
  std::map<std::string, Run> mRunning;
  std::map<std::string, long> mOver; // highest run stopped or ended
  std::deque<Ended> mEnded;
  long mN = 0;
  std::unique_ptr<Server> mServer;

  long ClockMs() const
  {
    return 1000 + static_cast<long>((Now() - mBorn) * 1000);
  }
  double ToNow(long aClockMs) const
  {
    return mBorn + static_cast<double>(aClockMs - 1000) / 1000;
  }
};
static std::vector<std::unique_ptr<Minion>> gMinions;
static long gLives = 0;
// What the scenario judges: every begin and end of a task, and orders.
struct Event
{
  double mAt;
  std::string mTask, mMinion, mHow;
  long mRun;
};
static std::vector<Event> gEvents;
static std::function<double(const std::string&)> gLasts =
  [](const std::string&) { return 1.0; };

static void
EndRun(Minion& aMinion, const std::string& aTask, const std::string& aHow)
{
  const Run run = aMinion.mRunning.at(aTask);
  aMinion.mRunning.erase(aTask);
  aMinion.mOver[aTask] = std::max(aMinion.mOver[aTask], run.mRun);
  aMinion.mEnded.push_back({ ++aMinion.mN, aTask, run.mRun, aHow });
  gEvents.push_back({ Now(), aTask, aMinion.mId, aHow, run.mRun });
  Record("minion %s (%s): %s run %ld ends %s",
         aMinion.mId.c_str(),
         aMinion.mMachine.c_str(),
         aTask.c_str(),
         run.mRun,
         aHow.c_str());
}

static void
TickMinion(Minion& aMinion)
{
  const double now = Now();
  std::vector<std::pair<std::string, std::string>> ends;
  for (auto& [task, run] : aMinion.mRunning) {
    if (run.mStopAt > 0 && now >= run.mStopAt) {
      ends.emplace_back(task, "stopped");
    } else if (now >= aMinion.mLeaseEnd) {
      ends.emplace_back(task, "lapsed");
    } else if (run.mLastsS >= 0 && now >= run.mBegan + run.mLastsS) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    EndRun(aMinion, task, how);
  }
}

static void
TakeLease(Minion& aMinion, const json::object& aBody)
{
  if (const json::value* deadline = aBody.if_contains("deadlineMs")) {
    const double until = std::min(aMinion.ToNow(deadline->to_number<long>()),
                                  Now() + gBounds.mHoldMaxMs / 1000.0);
    aMinion.mLeaseEnd = std::max(aMinion.mLeaseEnd, until);
  }
}

static Reply
OnMinion(Minion& aMinion, const Request& aRequest, int aLife)
{
  std::unique_lock lock(gLock);
  const auto body = [&](json::object aExtra, int aStatus) {
    aExtra["clockMs"] = aMinion.ClockMs();
    return Reply{ aStatus, json::serialize(aExtra), false };
  };
  if (!aMinion.mUp || aMinion.mLife != aLife) {
    return { 0, {}, true };
  }
  const auto expected = aRequest.mHeaders.find("x-oriolewalk-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != aMinion.mId) {
    return body({}, 421);
  }
  if (aRequest.mMethod == "GET") {
    return body({}, 200); // its health
  }
  boost::system::error_code wrong;
  const json::value parsed = json::parse(aRequest.mBody, wrong);
  if (wrong || !parsed.is_object()) {
    return body({}, 400);
  }
  const json::object& order = parsed.as_object();
  const long fence =
    order.contains("fence") ? order.at("fence").to_number<long>() : 0;
  if (fence < aMinion.mFence) {
    return body({ { "reason", "fence" } }, 409);
  }
  aMinion.mFence = fence;
  TickMinion(aMinion);
  if (aRequest.mTarget == "/v1/hold") {
    TakeLease(aMinion, order);
    const long cursor =
      order.contains("ackCursor") ? order.at("ackCursor").to_number<long>() : 0;
    while (!aMinion.mEnded.empty() && aMinion.mEnded.front().mN <= cursor) {
      aMinion.mEnded.pop_front();
    }
    const double until =
      Now() +
      (order.contains("waitMs") ? order.at("waitMs").to_number<double>() : 0) /
        1000;
    while (aMinion.mEnded.empty() && Now() < until) {
      lock.unlock();
      SleepS(0.01);
      lock.lock();
      if (!aMinion.mUp || aMinion.mLife != aLife) {
        return { 0, {}, true };
      }
      TickMinion(aMinion);
    }
    json::array running, ended;
    for (const auto& [task, run] : aMinion.mRunning) {
      running.push_back(json::array{
        task, run.mRun, "", Now() > run.mBegan + 0.3 ? 100 : 0, 1 });
    }
    for (const Ended& one : aMinion.mEnded) {
      if (ended.size() < 500) {
        ended.push_back(
          json::array{ one.mN, one.mTask, one.mRun, one.mHow, "" });
      }
    }
    return body({ { "running", running }, { "ended", ended } }, 200);
  }
  const std::string task(order.at("task").as_string());
  const long run = order.at("run").to_number<long>();
  if (aRequest.mTarget == "/v1/run-start") {
    const auto here = aMinion.mRunning.find(task);
    if (here != aMinion.mRunning.end() && here->second.mRun == run) {
      TakeLease(aMinion, order);
      return body({}, 200);
    }
    if (here != aMinion.mRunning.end() || run <= aMinion.mOver[task]) {
      TakeLease(aMinion, order);
      return body({ { "reason", "old" } }, 409);
    }
    if (order.contains("deadlineMs") &&
        order.at("deadlineMs").to_number<long>() <= aMinion.ClockMs()) {
      return body({ { "reason", "late" } }, 409);
    }
    TakeLease(aMinion, order);
    aMinion.mRunning[task] = { run, Now(), gLasts(task), 0 };
    gEvents.push_back({ Now(), task, aMinion.mId, "begins", run });
    Record("minion %s (%s): %s run %ld begins, fence %ld",
           aMinion.mId.c_str(),
           aMinion.mMachine.c_str(),
           task.c_str(),
           run,
           fence);
    return body({}, 200);
  }
  if (aRequest.mTarget == "/v1/run-stop") {
    const auto here = aMinion.mRunning.find(task);
    if (here != aMinion.mRunning.end() && here->second.mRun <= run) {
      if (here->second.mStopAt == 0) {
        here->second.mStopAt = Now() + 0.1;
        Record("minion %s: stop of %s run %ld",
               aMinion.mId.c_str(),
               task.c_str(),
               run);
      }
    } else {
      aMinion.mOver[task] = std::max(aMinion.mOver[task], run);
    }
    return body({}, 200);
  }
  if (aRequest.mTarget == "/v1/pace") {
    return body({}, 200);
  }
  return body({}, 400);
}

static void
StartMinion(Minion& aMinion)
{
  {
    const std::scoped_lock lock(gLock);
    ++aMinion.mLife;
    char id[32];
    std::snprintf(id, sizeof id, "i-%08lx", 0x7f000000L + ++gLives);
    aMinion.mId = id;
    aMinion.mUp = true;
    aMinion.mDraining = false;
    aMinion.mBorn = Now();
    aMinion.mSeq = 0;
    aMinion.mFence = 0;
    aMinion.mLeaseEnd = 0;
    aMinion.mRunning.clear();
    aMinion.mOver.clear();
    aMinion.mEnded.clear();
    aMinion.mN = 0;
    Record(
      "minion %s starts on %s", aMinion.mId.c_str(), aMinion.mMachine.c_str());
  }
  const int life = aMinion.mLife;
  aMinion.mServer = std::make_unique<Server>(
    aMinion.mIp, MinionPort(), [&aMinion, life](const Request& aRequest) {
      return OnMinion(aMinion, aRequest, life);
    });
  if (!aMinion.mServer->Open()) {
    Record("a minion's address is taken");
    std::_Exit(2);
  }
  std::thread([&aMinion, life] {
    std::size_t node = static_cast<std::size_t>(aMinion.mIndex);
    while (!gEnding) {
      std::string body, id;
      {
        const std::scoped_lock lock(gLock);
        if (!aMinion.mUp || aMinion.mLife != life) {
          return;
        }
        id = aMinion.mId;
        json::object beat{
          { "service", "work" },
          { "address", aMinion.mIp + ":" + std::to_string(MinionPort()) },
          { "zone", "z-a" },
          { "version", "v1" },
          { "slots", 8 },
          { "state", aMinion.mDraining ? "draining" : "ready" },
          { "warmupLeftMs", 0 },
          { "capacity",
            json::object{
              { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
          { "labels", json::array{ aMinion.mKind, aMinion.mRack } },
          { "clockMs", aMinion.ClockMs() },
          { "seq", ++aMinion.mSeq }
        };
        body = json::serialize(beat);
      }
      double pause = 1.5;
      for (int tries = 0; tries < gControls; ++tries) {
        const Reply reply = Call(ControlIp(static_cast<int>(
                                   node % static_cast<std::size_t>(gControls))),
                                 ControlPort(),
                                 "POST",
                                 "/v1/instances/" + id + "/heartbeat",
                                 body,
                                 1);
        if (reply.mStatus >= 200 && reply.mStatus < 300) {
          break;
        }
        ++node;
        pause = 0.3;
      }
      const double until = Now() + pause;
      while (Now() < until && !gEnding) {
        SleepS(0.02);
      }
    }
  }).detach();
}

// The process of the minion dies; what ran there is gone without a word.
static void
CrashMinion(Minion& aMinion, const char* aWhy)
{
  std::unique_ptr<Server> server;
  {
    const std::scoped_lock lock(gLock);
    if (!aMinion.mUp) {
      return;
    }
    Record("minion %s on %s: %s",
           aMinion.mId.c_str(),
           aMinion.mMachine.c_str(),
           aWhy);
    for (const auto& [task, run] : aMinion.mRunning) {
      Record("minion %s: %s run %ld is gone with it",
             aMinion.mId.c_str(),
             task.c_str(),
             run.mRun);
      gEvents.push_back({ Now(), task, aMinion.mId, "gone", run.mRun });
    }
    aMinion.mUp = false;
    aMinion.mRunning.clear();
  }
  aMinion.mServer->Cut();
  aMinion.mServer.release(); // its threads may still look at it
}

// ---------------------------------------------------------------- the
// platform's machines

static std::vector<std::string> gBroken;
static void
Broken(const std::string& aWhat)
{
  const std::scoped_lock lock(gLock);
  Record("BROKEN %s", aWhat.c_str());
  gBroken.push_back(aWhat);
}

// The machines of the platform; no case orders an upkeep or a move.
static Reply
OnCloud(const Request& aRequest)
{
  if (aRequest.mMethod != "GET" ||
      aRequest.mTarget.rfind("/v1/machines", 0) != 0) {
    return { 404, "{}", false };
  }
  const std::scoped_lock lock(gLock);
  json::array rows;
  for (const auto& minion : gMinions) {
    rows.push_back(json::object{
      { "machine", minion->mMachine },
      { "pool", "work" },
      { "state", minion->mUp ? "up" : "down" },
      { "zone", "z-a" },
      { "labels", json::array{ minion->mKind, minion->mRack } },
      { "capacity",
        json::object{ { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
      { "id", minion->mId } });
  }
  return { 200,
           json::serialize(
             json::object{ { "machines", rows }, { "nextToken", "" } }),
           false };
}

static void
PlatformThread()
{
  while (!gEnding) {
    SleepS(0.01);
    const std::scoped_lock lock(gLock);
    for (auto& minion : gMinions) {
      if (minion->mUp) {
        TickMinion(*minion);
      }
    }
  }
}

// ---------------------------------------------------------------- operator and
// client

static bool
PutConfig(long aVersion, const std::string& aBody)
{
  for (int tries = 0; tries < 100 && !gEnding; ++tries) {
    const Reply reply = Call(ControlIp(tries % gControls),
                             ControlPort(),
                             "POST",
                             "/v1/config/put",
                             aBody,
                             1);
    if (reply.mStatus == 200) {
      Record("operator: configuration %ld acknowledged", aVersion);
      return true;
    }
    SleepS(0.2);
  }
  return false;
}

static std::string
Config(long aVersion, int aAttempts)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-a","host":"jobs.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"work","maxAttempts":)" +
         std::to_string(aAttempts) +
         R"(,"stretch":1.5}],"services":[{"name":"work","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionControl":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

static const std::string kHost =
  "Host: jobs.example\r\nX-Oriolewalk-Deadline-Ms: 3000\r\n";

static bool
SubmitJob(const std::string& aId, const std::string& aBody)
{
  for (int tries = 0; tries < 20 && !gEnding; ++tries) {
    const Reply reply = Call(EntryIp(tries % gEntries),
                             ClientPort(),
                             "POST",
                             "/a/" + aId,
                             aBody,
                             3,
                             kHost);
    Record("client: POST %s -> %d %s",
           aId.c_str(),
           reply.mStatus,
           reply.mBody.c_str());
    if (reply.mStatus >= 200 && reply.mStatus < 300) {
      return true;
    }
    SleepS(1);
  }
  return false;
}

// The minion where the task runs now; null: nowhere.
static Minion*
WhereIs(const std::string& aTask)
{
  const std::scoped_lock lock(gLock);
  for (auto& one : gMinions) {
    if (one->mUp && one->mRunning.count(aTask) > 0) {
      return one.get();
    }
  }
  return nullptr;
}

static bool
WaitFor(double aSeconds, const std::function<bool()>& aWhat)
{
  const double until = Now() + aSeconds;
  while (Now() < until) {
    if (aWhat()) {
      return true;
    }
    SleepS(0.05);
  }
  return false;
}

static void
MakeCell(int aMinions)
{
  for (int i = 0; i < gControls; ++i) {
    gProcesses.push_back(std::make_unique<Process>(Process{
      "core-" + std::to_string(i + 1), ControlIp(i), "core", true, -1, true }));
  }
  for (int i = 0; i < gEntries; ++i) {
    gProcesses.push_back(
      std::make_unique<Process>(Process{ "frontend-" + std::to_string(i + 1),
                                         EntryIp(i),
                                         "frontend",
                                         false,
                                         -1,
                                         true }));
  }
  for (auto& one : gProcesses) {
    StartProcess(*one);
  }
  static Server cloud(CloudIp(), CloudPort(), OnCloud);
  if (!cloud.Open()) {
    std::_Exit(2);
  }
  for (int i = 0; i < aMinions; ++i) {
    auto minion = std::make_unique<Minion>();
    minion->mIndex = i;
    minion->mMachine = "m-" + std::to_string(i + 1);
    minion->mIp = gNet + std::to_string(101 + i);
    minion->mRack = "r" + std::to_string(i / 4 + 1);
    minion->mKind = i == 0 ? "b" : "a";
    gMinions.push_back(std::move(minion));
  }
  for (auto& one : gMinions) {
    StartMinion(*one);
  }
  std::thread(PlatformThread).detach();
}

static int
Finish()
{
  gEnding = true;
  for (auto& one : gProcesses) {
    if (one->mPid > 0) {
      int status = 0;
      if (waitpid(one->mPid, &status, WNOHANG) == one->mPid) {
        Record("%s has ended by itself, status %d", one->mName.c_str(), status);
      } else {
        kill(one->mPid, SIGCONT);
        kill(one->mPid, SIGKILL);
        waitpid(one->mPid, nullptr, 0);
      }
    }
  }
  const std::scoped_lock lock(gLock);
  Record("result: %s", gBroken.empty() ? "held" : "broken");
  return gBroken.empty() ? 0 : 1;
}

#include "scenarios.inc"

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string scenario = aArguments[1];
  gRecord = std::fopen(aArguments[2], "w");
  gPrograms = aArguments[3];
  gFolder = aArguments[4];
  const char* trouble = std::getenv("TROUBLE");
  gTrouble = trouble == nullptr || std::string(trouble) != "0";
  std::random_device random;
  gNet = "127." + std::to_string(20 + random() % 200) + "." +
         std::to_string(1 + random() % 250) + ".";
  gPort = 20000 + static_cast<int>(random() % 10000);
  std::thread([] { // a case takes 120 s at most
    SleepS(113);
    Record("the case took too long");
    for (auto& one : gProcesses) {
      if (one->mPid > 0) {
        kill(one->mPid, SIGKILL);
      }
    }
    std::_Exit(2);
  })
    .detach();
  Record("scenario %s, %s the disruption",
         scenario.c_str(),
         gTrouble ? "with" : "without");
  int code = 2;
  try {
    code = Play(scenario);
  } catch (const std::exception& problem) {
    Record("the stand-in failed: %s", problem.what());
  }
  Finish();
  std::fflush(gRecord);
  std::_Exit(code);
}
