// Stand-ins for a script case: minions, an operator and a client that speak
// PROTOCOL.md over loopback.
//
//   standin SCENARIO CONTROLS ENTRIES MINION_IP MINIONS RECORD PIDS
//
// CONTROLS and ENTRIES are lists of IP:PORT, separated by commas. Exits with 1
// if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
// in the environment leaves the disruption out.

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/system/detail/error_code.hpp>

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

const steady::time_point kBegan = steady::now();

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<milliseconds>(steady::now() - kBegan)
    .count();
}

void
Pause(std::int64_t aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

// What was sent, answered and run, with the time since the begin.
class record
{
public:
  explicit record(const char* aPath)
    : mFile(std::fopen(aPath, "w"))
  {
  }

  void Write(const std::string& aLine)
  {
    const std::scoped_lock lock(mLock);
    if (mFile != nullptr) {
      std::fprintf(mFile,
                   "%8.3f %s\n",
                   static_cast<double>(NowMs()) / 1000.0,
                   aLine.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mLock;
  std::FILE* mFile;
};

struct place
{
  std::string mIp;
  int mPort = 0;

  [[nodiscard]] std::string Text() const
  {
    return mIp + ":" + std::to_string(mPort);
  }
};

int
ToInt(std::string_view aText)
{
  int number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::vector<place>
ReadPlaces(std::string_view aText)
{
  std::vector<place> places;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(','), aText.size());
    const std::string_view one = aText.substr(0, end);
    const std::size_t colon = one.find(':');
    places.push_back(
      { std::string(one.substr(0, colon)), ToInt(one.substr(colon + 1)) });
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return places;
}

sockaddr_in
ToSocket(const place& aPlace)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPlace.mPort));
  inet_pton(AF_INET, aPlace.mIp.c_str(), &address.sin_addr);
  return address;
}

struct message
{
  std::string mFirst; // the line of the method or the status
  std::map<std::string, std::string> mFields;
  std::string mBody;

  [[nodiscard]] int Status() const
  {
    return mFirst.size() > 12 ? ToInt(std::string_view(mFirst).substr(9, 3))
                              : 0;
  }
};

std::string
Lower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](char aLetter) {
    return aLetter >= 'A' && aLetter <= 'Z'
             ? static_cast<char>(aLetter - 'A' + 'a')
             : aLetter;
  });
  return aText;
}

bool
Receive(int aSocket, std::string& aBuffer)
{
  constexpr std::size_t kBytes = 16384;
  std::string part(kBytes, '\0');
  const ssize_t count = ::recv(aSocket, part.data(), part.size(), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(part, 0, static_cast<std::size_t>(count));
  return true;
}

bool
SendAll(int aSocket, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t count =
      ::send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

message
ParseHead(std::string_view aHead)
{
  message read;
  std::size_t end = aHead.find("\r\n");
  read.mFirst = aHead.substr(0, end);
  while (end != std::string_view::npos) {
    aHead.remove_prefix(end + 2);
    end = aHead.find("\r\n");
    const std::string_view line = aHead.substr(0, end);
    const std::size_t colon = line.find(": ");
    if (colon != std::string_view::npos) {
      read.mFields[Lower(std::string(line.substr(0, colon)))] =
        line.substr(colon + 2);
    }
  }
  return read;
}

// The next whole message; what follows it stays in aBuffer.
std::optional<message>
ReadMessage(int aSocket, std::string& aBuffer)
{
  std::size_t end = aBuffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Receive(aSocket, aBuffer)) {
      return std::nullopt;
    }
    end = aBuffer.find("\r\n\r\n");
  }
  message read = ParseHead(std::string_view(aBuffer).substr(0, end));
  aBuffer.erase(0, end + 4);
  const auto length =
    static_cast<std::size_t>(ToInt(read.mFields["content-length"]));
  while (aBuffer.size() < length) {
    if (!Receive(aSocket, aBuffer)) {
      return std::nullopt;
    }
  }
  read.mBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return read;
}

// One call over a connection of its own. None: no answer in time.
std::optional<message>
Call(const place& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aWaitMs)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  constexpr int kMsPerSecond = 1000;
  const timeval wait{ aWaitMs / kMsPerSecond,
                      static_cast<suseconds_t>(aWaitMs % kMsPerSecond) *
                        kMsPerSecond };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  const sockaddr_in address = ToSocket(aTo);
  std::optional<message> answer;
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    const std::string text =
      aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
      "X-Oriolewalk-Deadline-Ms: " + std::to_string(aWaitMs) +
      "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
      aBody;
    std::string buffer;
    if (SendAll(socket, text)) {
      answer = ReadMessage(socket, buffer);
    }
  }
  ::close(socket);
  return answer;
}

std::int64_t
IntegerOf(const json::object& aBody, std::string_view aName)
{
  const json::value* field = aBody.if_contains(aName);
  return field != nullptr && field->is_int64() ? field->as_int64() : 0;
}

std::string
TextOf(const json::object& aBody, std::string_view aName)
{
  const json::value* field = aBody.if_contains(aName);
  return field != nullptr && field->is_string()
           ? std::string(field->as_string())
           : std::string();
}

json::object
ReadObject(const std::string& aText)
{
  boost::system::error_code problem;
  const json::value read = json::parse(aText, problem);
  return !problem && read.is_object() ? read.as_object() : json::object();
}

constexpr std::int64_t kMaxHoldMs = 6'000;
constexpr std::int64_t kCapacity = 32'000;

struct answer
{
  int mStatus = 200;
  json::object mBody;
};

// One place where minions live, one after the other. A spec "lasts" runs until
// it is stopped, and "works N" ends as done after N ms.
class minion
{
public:
  minion(int aNumber, place aPlace, std::vector<place> aControls, record& aLog)
    : mNumber(aNumber)
    , mPlace(std::move(aPlace))
    , mControls(std::move(aControls))
    , mLog(aLog)
  {
  }

  [[nodiscard]] bool IsUp()
  {
    const std::scoped_lock lock(mLock);
    return mUp;
  }

  bool Begin()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = ToSocket(mPlace);
    constexpr int kQueue = 64;
    if (::bind(listener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, kQueue) != 0) {
      ::close(listener);
      return false;
    }
    const std::scoped_lock lock(mLock);
    ++mLife;
    mId = "i-" + std::to_string(mNumber) + "-" + std::to_string(mLife);
    mUp = true;
    mListener = listener;
    mBornMs = NowMs();
    mRuns.clear();
    mEnds.clear();
    mOver.clear();
    mLastEnd = 0;
    mFence = 0;
    mLeaseMs = 0;
    mLog.Write("minion " + mId + " begins at " + mPlace.Text());
    std::thread([this, listener, life = mLife] {
      Accept(listener, life);
    }).detach();
    std::thread([this, life = mLife] { Beat(life); }).detach();
    return true;
  }

  // As a process that is killed: its sockets are closed, all that ran is gone.
  void Crash()
  {
    const std::scoped_lock lock(mLock);
    std::string ran;
    for (const auto& [task, run] : mRuns) {
      ran += " " + task + "/" + std::to_string(run.mRun);
    }
    mLog.Write("minion " + mId + " crashes; ran:" + ran);
    mUp = false;
    ::shutdown(mListener, SHUT_RDWR);
    ::close(mListener);
    for (const int socket : mSockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
    mRuns.clear();
    mChanged.notify_all();
  }

  [[nodiscard]] std::string Id()
  {
    const std::scoped_lock lock(mLock);
    return mId;
  }

  // The tasks that run here now.
  std::vector<std::string> Running()
  {
    const std::scoped_lock lock(mLock);
    Advance();
    std::vector<std::string> tasks;
    std::ranges::transform(mRuns,
                           std::back_inserter(tasks),
                           [](const auto& aEntry) { return aEntry.first; });
    return tasks;
  }

private:
  struct running
  {
    std::int64_t mRun = 0;
    std::int64_t mBeganMs = 0;
    std::int64_t mWorkMs = 0; // 0: it lasts
  };

  void Accept(int aListener, int aLife)
  {
    for (;;) {
      const int socket = ::accept(aListener, nullptr, nullptr);
      const std::scoped_lock lock(mLock);
      if (!mUp || mLife != aLife) {
        if (socket >= 0) {
          ::close(socket);
        }
        return;
      }
      if (socket >= 0) {
        mSockets.insert(socket);
        std::thread([this, socket, aLife] { Serve(socket, aLife); }).detach();
      }
    }
  }

  void Serve(int aSocket, int aLife)
  {
    std::string buffer;
    while (const auto request = ReadMessage(aSocket, buffer)) {
      const std::optional<answer> made = Handle(*request, aLife);
      if (!made) {
        break;
      }
      const std::string body = json::serialize(made->mBody);
      if (!SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(made->mStatus) +
                     " X\r\nContent-Type: application/json\r\n" +
                     "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body)) {
        break;
      }
    }
    const std::scoped_lock lock(mLock);
    mSockets.erase(aSocket);
    ::close(aSocket);
  }

  std::optional<answer> Handle(const message& aRequest, int aLife)
  {
    std::unique_lock lock(mLock);
    if (!mUp || mLife != aLife) {
      return std::nullopt;
    }
    Advance();
    const auto named = aRequest.mFields.find("x-oriolewalk-expect-instance");
    if (named != aRequest.mFields.end() && named->second != mId) {
      return answer{ 421, {} };
    }
    const json::object body = ReadObject(aRequest.mBody);
    const std::int64_t fence = IntegerOf(body, "fence");
    if (fence < mFence) {
      return Refuse("fence");
    }
    mFence = fence;
    const bool isStart = aRequest.mFirst.starts_with("POST /v1/run-start ");
    const std::int64_t deadline = IntegerOf(body, "deadlineMs");
    if (isStart && deadline <= ClockMs()) {
      return Refuse("late");
    }
    mLeaseMs = std::max(mLeaseMs, std::min(deadline, ClockMs() + kMaxHoldMs));
    if (isStart) {
      return Start(body);
    }
    if (aRequest.mFirst.starts_with("POST /v1/run-stop ")) {
      return Stop(body);
    }
    if (aRequest.mFirst.starts_with("POST /v1/hold ")) {
      return Hold(body, aLife, lock);
    }
    return Said();
  }

  [[nodiscard]] std::int64_t ClockMs() const { return NowMs() - mBornMs + 1; }

  [[nodiscard]] answer Said() const
  {
    return { 200, { { "clockMs", ClockMs() } } };
  }

  [[nodiscard]] answer Refuse(std::string_view aReason) const
  {
    return { 409, { { "clockMs", ClockMs() }, { "reason", aReason } } };
  }

  answer Start(const json::object& aBody)
  {
    const std::string task = TextOf(aBody, "task");
    const std::int64_t run = IntegerOf(aBody, "run");
    const auto known = mRuns.find(task);
    if (known != mRuns.end() && known->second.mRun == run) {
      return Said();
    }
    if (known != mRuns.end() || run <= mOver[task]) {
      return Refuse("old");
    }
    const std::string spec = TextOf(aBody, "spec");
    const std::int64_t work =
      spec.starts_with("works ") ? ToInt(std::string_view(spec).substr(6)) : 0;
    mRuns[task] = { run, NowMs(), work };
    mLog.Write("start " + task + " run " + std::to_string(run) + " at " + mId);
    return Said();
  }

  answer Stop(const json::object& aBody)
  {
    const std::string task = TextOf(aBody, "task");
    const std::int64_t run = IntegerOf(aBody, "run");
    const auto known = mRuns.find(task);
    if (known != mRuns.end() && known->second.mRun == run) {
      End(task, "stopped");
    }
    mOver[task] = std::max(mOver[task], run);
    return Said();
  }

  void End(const std::string& aTask, const char* aHow)
  {
    const std::int64_t run = mRuns.at(aTask).mRun;
    mEnds.push_back({ ++mLastEnd, aTask, run, aHow, "" });
    mOver[aTask] = std::max(mOver[aTask], run);
    mRuns.erase(aTask);
    mLog.Write("end " + aTask + " run " + std::to_string(run) + " " + aHow +
               " at " + mId);
    mChanged.notify_all();
  }

  void Advance()
  {
    const std::map<std::string, running> runs = mRuns;
    for (const auto& [task, run] : runs) {
      if (ClockMs() >= mLeaseMs) {
        End(task, "lapsed");
      } else if (run.mWorkMs > 0 && NowMs() >= run.mBeganMs + run.mWorkMs) {
        End(task, "done");
      }
    }
  }

  std::optional<answer> Hold(const json::object& aBody,
                             int aLife,
                             std::unique_lock<std::mutex>& aLock)
  {
    const std::int64_t cursor = IntegerOf(aBody, "ackCursor");
    std::erase_if(mEnds, [&](const json::array& aEnd) {
      return aEnd[0].as_int64() <= cursor;
    });
    const std::int64_t until = NowMs() + IntegerOf(aBody, "waitMs");
    while (mUp && mLife == aLife && mEnds.empty() && NowMs() < until) {
      mChanged.wait_for(aLock, milliseconds(10));
      Advance();
    }
    if (!mUp || mLife != aLife) {
      return std::nullopt;
    }
    answer made = Said();
    json::array rows;
    constexpr std::int64_t kStartupMs = 300;
    for (const auto& [task, run] : mRuns) {
      const bool atWork = NowMs() >= run.mBeganMs + kStartupMs;
      rows.push_back(json::array{ task, run.mRun, "", atWork ? 100 : 0, 1000 });
    }
    made.mBody["running"] = std::move(rows);
    json::array ends;
    std::ranges::copy(mEnds, std::back_inserter(ends));
    made.mBody["ended"] = std::move(ends);
    return made;
  }

  // Each heartbeatMs, and to the next process without an acknowledgement.
  void Beat(int aLife)
  {
    std::int64_t number = 0;
    std::size_t control = static_cast<std::size_t>(mNumber) % mControls.size();
    constexpr std::int64_t kBeatMs = 1'500;
    for (;;) {
      std::string id;
      std::string body;
      {
        const std::scoped_lock lock(mLock);
        if (!mUp || mLife != aLife) {
          return;
        }
        id = mId;
        body = json::serialize(json::object{
          { "service", "pay" },
          { "address", mPlace.Text() },
          { "zone", "a" },
          { "version", "v1" },
          { "slots", 8 },
          { "state", "ready" },
          { "warmupLeftMs", 0 },
          { "capacity",
            json::object{
              { "cpu", kCapacity }, { "memMb", 65536 }, { "gpu", 0 } } },
          { "labels", json::array{ "a", "r1-" + std::to_string(mNumber / 4) } },
          { "clockMs", ClockMs() },
          { "seq", ++number } });
      }
      const auto heard = Call(mControls[control],
                              "POST",
                              "/v1/instances/" + id + "/heartbeat",
                              mControls[control].Text(),
                              body,
                              1000);
      if (heard && heard->Status() / 100 == 2) {
        Pause(kBeatMs);
      } else {
        control = (control + 1) % mControls.size();
        Pause(100);
      }
    }
  }

  const int mNumber;
  const place mPlace;
  const std::vector<place> mControls;
  record& mLog;
  std::mutex mLock;
  std::condition_variable mChanged;
  bool mUp = false;
  int mLife = 0;
  std::string mId;
  int mListener = -1;
  std::set<int> mSockets;
  std::int64_t mBornMs = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseMs = 0;
  std::int64_t mLastEnd = 0;
  std::map<std::string, running> mRuns;
  std::map<std::string, std::int64_t> mOver;
  std::vector<json::array> mEnds;
};

using minions = std::vector<std::unique_ptr<minion>>;

struct cell
{
  std::vector<place> mControls;
  std::vector<place> mEntries;
  minions mMinions;
  record& mLog;
  bool mTrouble = true;
};

constexpr const char* kHost = "calls.example";
constexpr const char* kPrefix = "/calls/";

json::object
Configuration()
{
  return { { "version", 1 },
           { "routes",
             json::array{ json::object{ { "name", "r-work" },
                                        { "host", kHost },
                                        { "pathPrefix", kPrefix },
                                        { "kind", "unsafe" },
                                        { "timeoutMs", 3000 },
                                        { "targetLatencyMs", 1200 },
                                        { "priority", 1 },
                                        { "service", "pay" },
                                        { "maxAttempts", 2 },
                                        { "stretch", 2.2 } } } },
           { "services",
             json::array{ json::object{ { "name", "pay" },
                                        { "healthPath", "/health" },
                                        { "maxConns", 64 },
                                        { "protocol", "h1" },
                                        { "tls", false },
                                        { "admissionControl", false },
                                        { "standby", false } } } },
           { "limits",
             json::object{ { "maxHeaderBytes", 16384 },
                           { "maxBodyBytes", 262144 },
                           { "headerTimeoutMs", 3000 },
                           { "idleTimeoutMs", 15000 } } } };
}

// Sends the call again, to the next process, until it has a status of 2xx.
bool
SendUntilDone(cell& aCell,
              const std::vector<place>& aTo,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody)
{
  constexpr int kTries = 60;
  for (int number = 0; number < kTries; ++number) {
    const place& to = aTo[static_cast<std::size_t>(number) % aTo.size()];
    const auto heard = Call(to, aMethod, aPath, kHost, aBody, 3000);
    std::string line = aMethod;
    line.append(" ").append(aPath).append(" to ").append(to.Text());
    line.append(" -> ");
    line.append(heard ? std::to_string(heard->Status()) : "no answer");
    aCell.mLog.Write(line);
    if (heard && heard->Status() / 100 == 2) {
      return true;
    }
    Pause(500);
  }
  return false;
}

bool
Prepare(cell& aCell)
{
  for (const auto& one : aCell.mMinions) {
    if (!one->Begin()) {
      return false;
    }
  }
  return SendUntilDone(aCell,
                       aCell.mControls,
                       "POST",
                       "/v1/config/put",
                       json::serialize(Configuration()));
}

// The process that holds the other end of a connection to this machine, by the
// tables of the kernel: whether it is aPid.
bool
IsOf(int aPid, int aPort)
{
  std::ifstream table("/proc/net/tcp");
  std::array<char, 16> hex{};
  std::snprintf(hex.data(), hex.size(), ":%04X ", static_cast<unsigned>(aPort));
  std::string line;
  std::string inode;
  while (std::getline(table, line)) {
    const std::size_t at = line.find(hex.data());
    if (at != std::string::npos && at < 20) { // its own address
      std::istringstream words(line);
      std::string word;
      for (int number = 0; number < 10 && words >> word; ++number) {
      }
      inode = "socket:[" + word + "]";
    }
  }
  std::error_code problem;
  for (const auto& open : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aPid) + "/fd", problem)) {
    std::error_code gone;
    if (!inode.empty() &&
        std::filesystem::read_symlink(open.path(), gone) == inode) {
      return true;
    }
  }
  return false;
}

// What the cut is now: the number of the control process, or -1.
struct cut_state
{
  std::atomic<int> mNumber{ -1 };
  std::vector<int> mPids;
};

// A link: holds the bytes of a cut machine and delivers them when the cut has
// healed, unless their sender has reset the connection. Connections that begin
// during the cut reach nobody.
class gate
{
public:
  gate(place aFrom,
       place aTo,
       int aNumber,
       bool aIsPlatform,
       cut_state& aCut,
       std::function<void(const std::string&)> aOnBytes)
    : mFrom(std::move(aFrom))
    , mTo(std::move(aTo))
    , mNumber(aNumber)
    , mIsPlatform(aIsPlatform)
    , mCut(aCut)
    , mOnBytes(std::move(aOnBytes))
  {
  }

  bool Start()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = ToSocket(mFrom);
    if (::bind(listener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 64) != 0) {
      return false;
    }
    std::thread([this, listener] { Accept(listener); }).detach();
    return true;
  }

private:
  // aPort: the caller's
  bool IsHeld(int aPort)
  {
    const int cut = mCut.mNumber;
    if (cut < 0 || cut == mNumber) {
      return cut >= 0;
    }
    return !mIsPlatform &&
           IsOf(mCut.mPids[static_cast<std::size_t>(cut)], aPort);
  }

  void Accept(int aListener)
  {
    for (;;) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      const int caller =
        ::accept(aListener, reinterpret_cast<sockaddr*>(&peer), &size);
      if (caller < 0) {
        continue;
      }
      const int port = ntohs(peer.sin_port);
      std::thread([this, caller, port] { Carry(caller, port); }).detach();
    }
  }

  void Carry(int aCaller, int aPort)
  {
    if (IsHeld(aPort)) {
      while (mCut.mNumber >= 0) {
        Pause(20);
      }
      ::close(aCaller);
      return;
    }
    const int there = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = ToSocket(mTo);
    if (::connect(there,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
      ::close(there);
      ::close(aCaller);
      return;
    }
    const int yes = 1;
    ::setsockopt(there, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    ::setsockopt(aCaller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    std::thread back([=, this] { Copy(there, aCaller, aPort, false); });
    Copy(aCaller, there, aPort, true);
    back.join();
    ::close(there);
    ::close(aCaller);
  }

  void Copy(int aFrom, int aTo, int aPort, bool aIsOut)
  {
    std::string bytes;
    while (Receive(aFrom, bytes)) {
      if (aIsOut && mOnBytes) {
        mOnBytes(bytes);
      }
      Hold(aPort);
      char one = 0;
      if (::recv(aFrom, &one, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
          errno == ECONNRESET) {
        break; // its sender has reset the connection: what was held is lost
      }
      if (!SendAll(aTo, bytes)) {
        break;
      }
      bytes.clear();
    }
    Hold(aPort);
    ::shutdown(aTo, SHUT_WR);
  }

  void Hold(int aPort)
  {
    if (IsHeld(aPort)) {
      while (mCut.mNumber >= 0) {
        Pause(5);
      }
    }
  }

  const place mFrom;
  const place mTo;
  const int mNumber;
  const bool mIsPlatform;
  cut_state& mCut;
  const std::function<void(const std::string&)> mOnBytes;
};

// The platform: one machine for each minion.
class platform
{
public:
  platform(place aPlace, minions& aMinions, record& aLog)
    : mPlace(std::move(aPlace))
    , mMinions(aMinions)
    , mLog(aLog)
    , mIsUp(aMinions.size(), true)
  {
  }

  bool Start()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = ToSocket(mPlace);
    if (::bind(listener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 64) != 0) {
      return false;
    }
    std::thread([this, listener] {
      for (;;) {
        const int caller = ::accept(listener, nullptr, nullptr);
        if (caller >= 0) {
          std::thread([this, caller] { Serve(caller); }).detach();
        }
      }
    }).detach();
    return true;
  }

  [[nodiscard]] std::string Broken()
  {
    const std::scoped_lock lock(mLock);
    return mBroken;
  }

private:
  void Serve(int aSocket)
  {
    std::string buffer;
    while (const auto request = ReadMessage(aSocket, buffer)) {
      const answer made =
        request->mFirst.starts_with("GET ") ? List() : Upkeep(*request);
      const std::string body = json::serialize(made.mBody);
      if (!SendAll(
            aSocket,
            "HTTP/1.1 " + std::to_string(made.mStatus) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body)) {
        break;
      }
    }
    ::close(aSocket);
  }

  answer List()
  {
    const std::scoped_lock lock(mLock);
    json::array rows;
    for (std::size_t number = 0; number < mMinions.size(); ++number) {
      rows.push_back(json::object{
        { "machine", "m-" + std::to_string(number) },
        { "pool", "pay" },
        { "state", mIsUp[number] ? "up" : "upkeep" },
        { "zone", "a" },
        { "labels", json::array{ "a", "r1-" + std::to_string(number / 4) } },
        { "capacity",
          json::object{
            { "cpu", kCapacity }, { "memMb", 65536 }, { "gpu", 0 } } },
        { "id", mMinions[number]->Id() } });
    }
    return { 200, { { "machines", std::move(rows) }, { "nextToken", "" } } };
  }

  answer Upkeep(const message& aRequest)
  {
    const json::object body = ReadObject(aRequest.mBody);
    const std::string machine = TextOf(body, "machine");
    const auto number =
      static_cast<std::size_t>(ToInt(std::string_view(machine).substr(2)));
    const std::string holder = aRequest.mFields.at("x-oriolewalk-lease-holder");
    const int token = ToInt(aRequest.mFields.at("x-oriolewalk-fencing-token"));
    const std::scoped_lock lock(mLock);
    mLog.Write("order: upkeep of " + machine + " by " + holder +
               " with token " + std::to_string(token));
    int& last = mTokens[machine];
    if (token < last && mBroken.empty()) {
      mBroken = machine + ": token " + std::to_string(token) + " of " + holder +
                " after " + std::to_string(last);
    }
    last = std::max(last, token);
    if (mDone.insert(machine).second) {
      mIsUp[number] = false;
      std::thread([this, number] {
        mMinions[number]->Crash();
        Pause(2'000); // maintenanceS
        mMinions[number]->Begin();
        const std::scoped_lock up(mLock);
        mIsUp[number] = true;
      }).detach();
    }
    return { 200, {} };
  }

  const place mPlace;
  minions& mMinions;
  record& mLog;
  std::mutex mLock;
  std::vector<bool> mIsUp;
  std::set<std::string> mDone;
  std::map<std::string, int> mTokens;
  std::string mBroken;
};

std::string
WaveState(cell& aCell)
{
  for (const place& control : aCell.mControls) {
    const auto heard =
      Call(control, "GET", "/v1/wave-get/1", control.Text(), "", 1000);
    if (heard && heard->Status() == 200) {
      return TextOf(ReadObject(heard->mBody), "state");
    }
  }
  return "";
}

// A wave of upkeep; once, the control process that has just ordered a machine
// is cut off from the others and from the platform for 5.5 s, and the order is
// still on its way.
int
PlayWave(cell& aCell, const std::string& aNet, const std::vector<int>& aPids)
{
  constexpr int kCutMs = 5'500;
  constexpr int kOrder = 10;               // the cut comes soon after this one
  constexpr std::uint64_t kSpreadMs = 300; // at a moment drawn by lot
  platform there({ aNet + ".7.2", 8169 }, aCell.mMinions, aCell.mLog);
  cut_state cut;
  cut.mPids = aPids;
  std::atomic<int> orders{ 0 };
  std::vector<std::unique_ptr<gate>> gates;
  for (int number = 0; number < static_cast<int>(aPids.size()); ++number) {
    const std::string last = "." + std::to_string(number + 1);
    const auto onBytes =
      [&aCell, &cut, &orders, number](const std::string& aBytes) {
        if (aBytes.find("POST /v1/machine-upkeep") != std::string::npos &&
            ++orders == kOrder && aCell.mTrouble) {
          std::thread([&aCell, &cut, number] {
            std::mt19937_64 random(std::random_device{}());
            Pause(static_cast<std::int64_t>(random() % kSpreadMs));
            cut.mNumber = number;
            aCell.mLog.Write("core-" + std::to_string(number + 1) +
                             " is cut off");
            Pause(kCutMs);
            cut.mNumber = -1;
            aCell.mLog.Write("the cut has healed");
          }).detach();
        }
      };
    gates.push_back(std::make_unique<gate>(place{ aNet + ".6" + last, 8169 },
                                           place{ aNet + ".7.2", 8169 },
                                           number,
                                           true,
                                           cut,
                                           onBytes));
    gates.push_back(std::make_unique<gate>(place{ aNet + ".1" + last, 7720 },
                                           place{ aNet + ".3" + last, 7720 },
                                           number,
                                           false,
                                           cut,
                                           nullptr));
  }
  for (const auto& one : gates) {
    if (!one->Start()) {
      return 2;
    }
  }
  if (!there.Start() || !Prepare(aCell)) {
    return 2;
  }
  Pause(4'000); // all heartbeats have come
  json::array machines;
  for (std::size_t number = 0; number < aCell.mMinions.size(); ++number) {
    machines.emplace_back("m-" + std::to_string(number));
  }
  const json::object wave{ { "wave", 1 },
                           { "machines", std::move(machines) },
                           { "durationS", 40 },
                           { "maxCount", 8 } };
  if (!SendUntilDone(aCell,
                     aCell.mControls,
                     "POST",
                     "/v1/wave-start",
                     json::serialize(wave))) {
    return 2;
  }
  const std::int64_t until = NowMs() + 60'000;
  std::string state;
  while (NowMs() < until && state != "done") {
    Pause(500);
    state = WaveState(aCell);
  }
  Pause(2'000);
  aCell.mLog.Write("wave 1: " + state);
  const std::string broken = there.Broken();
  aCell.mLog.Write(broken.empty() ? "held" : "BROKEN: ONE, " + broken);
  return broken.empty() ? (state == "done" ? 0 : 2) : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kArguments = 8;
  if (aCount != kArguments) {
    return 2;
  }
  const std::vector<std::string> given(aArguments + 1, aArguments + aCount);
  record log(given[5].c_str());
  const char* trouble = std::getenv("TROUBLE");
  cell all{ ReadPlaces(given[1]),
            ReadPlaces(given[2]),
            {},
            log,
            trouble == nullptr || std::string_view(trouble) != "0" };
  constexpr int kFirstPort = 20'000;
  for (int number = 0; number < ToInt(given[4]); ++number) {
    all.mMinions.push_back(std::make_unique<minion>(
      number, place{ given[3], kFirstPort + number }, all.mControls, log));
  }
  std::vector<int> pids;
  for (const place& one : ReadPlaces(given[6])) {
    pids.push_back(ToInt(one.mIp));
  }
  const std::string net = given[3].substr(0, given[3].size() - 4);
  const int code = given[0] == "wave" ? PlayWave(all, net, pids) : 2;
  std::fflush(nullptr);
  std::_Exit(code); // threads of connections may still wait
}
