// oriole-soak: plays callers, workers, operators, a policy service and faults
// against control processes and entries that scripts/soak starts, and says
// which promises were broken. What is to be done to a process goes to standard
// output, a line an order, for the script; the report goes to standard error.

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <getopt.h>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "testing/crowd/peer_crowd.h"
#include "testing/crowd/peer_script.h"
#include "testing/soak/caller_crowd.h"
#include "testing/soak/fault_plan.h"
#include "testing/soak/link_proxy.h"
#include "testing/soak/promise_book.h"
#include "testing/soak/run_after.h"
#include "testing/soak/table_operator.h"
#include "testing/soak/worker_house.h"

namespace oriolewalk::soak {

namespace {

struct soak_options
{
  std::uint64_t mSeed = 1;
  std::uint64_t mNet = 9; // 127.NET.x.y
  fault_places mPlaces;
  std::uint64_t mSeconds = 15;
  std::uint64_t mJobsPerSecond = 6;
  bool mFaults = true;
  bool mOrganisations = true;
  bool mCrowds = false;  // peers that keep to no limit, beside the faults
  std::string mScenario; // empty: faults drawn by the seed
};

constexpr std::uint16_t kCallersPort = 8'161;
constexpr std::uint16_t kControlPort = 8'166;
constexpr std::uint16_t kInternalPort = 7'720;
constexpr std::uint16_t kPolicyPort = 9'000;
constexpr std::uint16_t kReadinessPort = 8'167;
constexpr std::uint16_t kMetricsPort = 9'470;
// The third number of an address, by what is there; scripts/soak knows them
// too.
constexpr int kControlNet = 1;
constexpr int kEntryNet = 2;
constexpr int kControlBehind = 3;
constexpr int kEntryBehind = 4;
constexpr int kWorkerNet = 5;
constexpr int kWorkerBehind = 6;
constexpr int kPolicyNet = 7;
// The first table and all heartbeats are there by then.
constexpr seconds kReadyBound{ 20 };
// What is owed when the faults are over must be paid within this.
constexpr seconds kPayBound{ 40 };
constexpr milliseconds kLook{ 100 };

class soak_run
{
public:
  explicit soak_run(soak_options aOptions)
    : mOptions(std::move(aOptions))
    , mClient(mContext, {})
    , mHouse(mContext, HouseOptions(), mClient, mBook)
    , mCrowd(mContext, CrowdOptions(), mClient, mBook)
    , mDesk(
        mContext,
        { ControlCalls(), Queues(), mOptions.mSeed, mOptions.mOrganisations },
        mClient,
        mBook)
  {
  }

  int Run()
  {
    if (const auto started = StartLinks(); !started) {
      std::fprintf(stderr, "%s\n", started.error().Describe().c_str());
      return 2;
    }
    if (const auto started = mHouse.Start(); !started) {
      std::fprintf(stderr, "%s\n", started.error().Describe().c_str());
      return 2;
    }
    Order("ready");
    mDesk.Start();
    mBegunAt = runtime_clock::now();
    AwaitReady();
    mContext.run();
    return Report();
  }

private:
  [[nodiscard]] std::string Ip(int aNet, std::size_t aNumber) const
  {
    return "127." + std::to_string(mOptions.mNet) + "." + std::to_string(aNet) +
           "." + std::to_string(aNumber + 1);
  }

  [[nodiscard]] std::vector<settings::address>
  Addresses(int aNet, std::size_t aCount, std::uint16_t aPort) const
  {
    std::vector<settings::address> all;
    for (std::size_t number = 0; number < aCount; ++number) {
      all.push_back({ Ip(aNet, number), aPort });
    }
    return all;
  }

  [[nodiscard]] std::vector<settings::address> ControlCalls() const
  {
    return Addresses(kControlNet, mOptions.mPlaces.mControls, kControlPort);
  }

  static std::vector<queue_place> Queues()
  {
    return { { "soak.example", "/fees/" }, { "soak.example", "/runs/" } };
  }

  [[nodiscard]] house_options HouseOptions() const
  {
    house_options options;
    options.mWorkers = mOptions.mPlaces.mWorkers;
    options.mServerIp = Ip(kWorkerBehind, 0);
    options.mRelayIp = Ip(kWorkerNet, 0);
    options.mPolicy = { Ip(kPolicyNet, 0), kPolicyPort };
    options.mControls = ControlCalls();
    options.mSeed = mOptions.mSeed;
    return options;
  }

  [[nodiscard]] crowd_options CrowdOptions() const
  {
    return { Addresses(kEntryNet, mOptions.mPlaces.mEntries, kCallersPort),
             Queues(),
             static_cast<double>(mOptions.mJobsPerSecond),
             mOptions.mSeed,
             mOptions.mOrganisations };
  }

  result<void> StartLinks()
  {
    const auto add =
      [this](int aNet,
             int aBehind,
             std::size_t aCount,
             std::vector<std::unique_ptr<link_proxy>>& aLinks) -> result<void> {
      for (std::size_t number = 0; number < aCount; ++number) {
        aLinks.push_back(std::make_unique<link_proxy>(
          mContext,
          settings::address{ Ip(aNet, number), kInternalPort },
          settings::address{ Ip(aBehind, number), kInternalPort }));
        if (auto started = aLinks.back()->Start(); !started) {
          return started;
        }
      }
      return {};
    };
    if (auto added = add(kControlNet,
                         kControlBehind,
                         mOptions.mPlaces.mControls,
                         mControlLinks);
        !added) {
      return added;
    }
    return add(kEntryNet, kEntryBehind, mOptions.mPlaces.mEntries, mEntryLinks);
  }

  // One order for the script, at once.
  static void Order(const std::string& aText)
  {
    std::printf("%s\n", aText.c_str());
    std::fflush(stdout);
  }

  void AwaitReady()
  {
    if (mDesk.IsReady()) {
      mCrowd.Start();
      if (mOptions.mFaults) {
        PlanFaults();
      }
      if (mOptions.mCrowds) {
        PlanCrowds();
      }
      RunAfter(mContext, seconds(mOptions.mSeconds), [this]() {
        mDesk.Close();
        mCrowd.Close();
        mPayBy = runtime_clock::now() + kPayBound;
        AwaitPaid();
      });
      return;
    }
    if (runtime_clock::now() > mBegunAt + kReadyBound) {
      mBook.Note("no table was taken at the start");
      mContext.stop();
      return;
    }
    RunAfter(mContext, kLook, [this]() { AwaitReady(); });
  }

  void PlanFaults()
  {
    const auto plan = mOptions.mScenario.empty()
                        ? MakeFaultPlan(mOptions.mSeed,
                                        mOptions.mPlaces,
                                        seconds(mOptions.mSeconds))
                        : MakeScenario(mOptions.mScenario);
    for (const fault& one : plan) {
      RunAfter(mContext, one.mAt, [this, one]() { Play(one); });
    }
  }

  void PlanCrowds()
  {
    for (const crowd_visit& one :
         MakeCrowdPlan(mOptions.mSeed, seconds(mOptions.mSeconds))) {
      RunAfter(mContext, one.mAt, [this, one]() { PlayCrowd(one); });
    }
  }

  // Where peers of the script connect, without the links between.
  [[nodiscard]] std::optional<settings::address> CrowdTarget(
    crowd::place aPlace,
    std::uint64_t aIndex) const
  {
    const std::size_t entry = aIndex % mOptions.mPlaces.mEntries;
    const std::size_t control = aIndex % mOptions.mPlaces.mControls;
    switch (aPlace) {
      case crowd::place::Callers:
        return settings::address{ Ip(kEntryNet, entry), kCallersPort };
      case crowd::place::Readiness:
        return settings::address{ Ip(kEntryNet, entry), kReadinessPort };
      case crowd::place::Metrics:
        return settings::address{ Ip(kControlNet, control), kMetricsPort };
      case crowd::place::Control:
        return settings::address{ Ip(kControlNet, control), kControlPort };
      case crowd::place::Internal:
        return settings::address{ Ip(kControlBehind, control), kInternalPort };
      case crowd::place::Worker:
        break;
    }
    return std::nullopt;
  }

  // Callers may be refused meanwhile, on all entries where it is the leader.
  void PlayCrowd(const crowd_visit& aVisit)
  {
    const auto scripts = crowd::SoakScripts();
    const crowd::peer_script& script = scripts[aVisit.mScript % scripts.size()];
    const auto target = CrowdTarget(script.mPlace, aVisit.mIndex);
    if (!target) {
      return;
    }
    std::fprintf(stderr,
                 "crowd %lld ms: %s at %s\n",
                 static_cast<long long>(aVisit.mAt.count()),
                 script.mName.c_str(),
                 target->ToString().c_str());
    auto peers = std::make_shared<crowd::peer_crowd>(mContext, script, *target);
    mCrowd.NoteHarm();
    static_cast<void>(peers->Start());
    RunAfter(mContext, aVisit.mFor, [this, peers]() { mCrowd.NoteHarm(); });
  }

  void Play(const fault& aFault)
  {
    std::fprintf(stderr, "fault %s\n", aFault.Describe().c_str());
    if (aFault.mPlace == fault_place::Worker) {
      PlayOnWorker(aFault);
      return;
    }
    NoteFault(aFault);
    const bool control = aFault.mPlace == fault_place::Control;
    link_proxy& link =
      control ? *mControlLinks[aFault.mIndex] : *mEntryLinks[aFault.mIndex];
    if (!PlayOnLink(aFault, link)) {
      PlayOnProcess(aFault,
                    (control ? "c" : "e") + std::to_string(aFault.mIndex + 1));
    }
  }

  // A planned stop of an entry is promised to cut nothing, if there is nothing
  // else.
  void NoteFault(const fault& aFault)
  {
    if (aFault.mPlace == fault_place::Control) {
      mCrowd.NoteHarm();
      RunAfter(mContext, aFault.mFor, [this]() { mCrowd.NoteHarm(); });
    } else if (aFault.mKind == fault_kind::Terminate) {
      mCrowd.NoteStop(aFault.mIndex);
    } else if (aFault.mKind != fault_kind::Reload) {
      mCrowd.NoteHarm(aFault.mIndex);
      RunAfter(mContext, aFault.mFor, [this, entry = aFault.mIndex]() {
        mCrowd.NoteHarm(entry);
      });
    }
  }

  // False: it isn't a fault of links.
  bool PlayOnLink(const fault& aFault, link_proxy& aLink)
  {
    switch (aFault.mKind) {
      case fault_kind::HoldIn:
        aLink.Hold(towards_target, true);
        break;
      case fault_kind::HoldOut:
        aLink.Hold(from_target, true);
        break;
      case fault_kind::HoldBoth:
        aLink.Hold(towards_target, true);
        aLink.Hold(from_target, true);
        break;
      case fault_kind::Slow:
        aLink.Delay(aFault.mDelay);
        break;
      case fault_kind::Reset:
        aLink.Reset();
        return true;
      default:
        return false;
    }
    RunAfter(mContext, aFault.mFor, [&aLink]() { aLink.Heal(); });
    return true;
  }

  void PlayOnProcess(const fault& aFault, const std::string& aNode)
  {
    const auto startAgain = [&]() {
      RunAfter(mContext, aFault.mFor, [aNode]() { Order("start " + aNode); });
    };
    switch (aFault.mKind) {
      case fault_kind::Kill:
        Order("kill " + aNode);
        startAgain();
        return;
      case fault_kind::KillTorn:
        Order("tear " + aNode);
        startAgain();
        return;
      case fault_kind::Wipe:
        Order("wipe " + aNode);
        startAgain();
        return;
      case fault_kind::KillAll:
        for (std::size_t one = 1; one <= mOptions.mPlaces.mControls; ++one) {
          const std::string node = "c" + std::to_string(one);
          Order("kill " + node);
          RunAfter(mContext, aFault.mFor, [node]() { Order("start " + node); });
        }
        return;
      case fault_kind::Terminate:
        Order("term " + aNode);
        startAgain();
        return;
      case fault_kind::Freeze:
        Order("freeze " + aNode);
        RunAfter(mContext, aFault.mFor, [aNode]() { Order("thaw " + aNode); });
        return;
      default:
        Order("reload " + aNode);
    }
  }

  void PlayOnWorker(const fault& aFault)
  {
    if (aFault.mKind == fault_kind::Crash) {
      mHouse.Crash(aFault.mIndex, aFault.mFor);
    } else if (aFault.mKind == fault_kind::Drain) {
      mHouse.Drain(aFault.mIndex, aFault.mFor);
    } else {
      static_cast<void>(PlayOnLink(aFault, mHouse.Link(aFault.mIndex)));
    }
  }

  void AwaitPaid()
  {
    const auto& read = mDesk.LastRead();
    const bool same = std::ranges::all_of(read, [this](std::int64_t aVersion) {
      return aVersion >= mBook.NewestTable();
    });
    const auto owed = mBook.Owed();
    if (owed.empty() && same) {
      mContext.stop();
      return;
    }
    if (runtime_clock::now() < mPayBy) {
      RunAfter(mContext, kLook, [this]() { AwaitPaid(); });
      return;
    }
    for (const job_id& id : owed) {
      mBook.Note(id.Value() + " was accepted and is not done in the end");
    }
    if (!same) {
      mBook.Note("the newest acknowledged table is not read back everywhere");
    }
    mContext.stop();
  }

  int Report()
  {
    std::vector<std::string> broken = mBook.Broken();
    std::ranges::copy(mHouse.Oracle().Violations(), std::back_inserter(broken));
    std::fprintf(stderr,
                 "seed %llu: %zu jobs sent, %zu done, %zu refused for good, "
                 "%zu starts, %zu promises broken\n",
                 static_cast<unsigned long long>(mOptions.mSeed),
                 mCrowd.Sent(),
                 mBook.DoneCount(),
                 mCrowd.RefusedCount(),
                 mHouse.Oracle().Starts(),
                 broken.size());
    for (const std::string& one : broken) {
      std::fprintf(stderr, "broken: %s\n", one.c_str());
    }
    if (mBook.DoneCount() == 0) {
      std::fprintf(stderr, "broken: nothing was done at all\n");
      return 1;
    }
    return broken.empty() ? 0 : 1;
  }

  soak_options mOptions;
  boost::asio::io_context mContext{ 1 };
  http::client mClient;
  promise_book mBook;
  worker_house mHouse;
  caller_crowd mCrowd;
  table_operator mDesk;
  std::vector<std::unique_ptr<link_proxy>> mControlLinks;
  std::vector<std::unique_ptr<link_proxy>> mEntryLinks;
  time_point mBegunAt{};
  time_point mPayBy{};
};

constexpr const char* kHelp =
  "oriole-soak [--seed N] [--net N] [--controls N] [--entries N]\n"
  "            [--workers N] [--seconds N] [--jobs-per-second N] "
  "[--no-faults] [--no-organisations]\n"
  "            [--crowd] [--scenario lost-seeds]\n"
  "Started by scripts/soak, which starts the processes at 127.NET.x.y.\n";

bool
ReadNumber(std::string_view aText, std::uint64_t& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber);
  return read.ec == std::errc() && read.ptr == end;
}

// False: it is no switch.
bool
SetSwitch(int aChosen, soak_options& aOptions)
{
  switch (aChosen) {
    case 'x':
      aOptions.mFaults = false;
      return true;
    case 'r':
      aOptions.mCrowds = true;
      return true;
    case 'o':
      aOptions.mOrganisations = false;
      return true;
    default:
      return false;
  }
}

// False: the command line is wrong.
bool
ReadOptions(int aCount, char** aArguments, soak_options& aOptions)
{
  std::uint64_t controls = aOptions.mPlaces.mControls;
  std::uint64_t entries = aOptions.mPlaces.mEntries;
  std::uint64_t workers = aOptions.mPlaces.mWorkers;
  const auto numbers = std::to_array<std::pair<char, std::uint64_t*>>(
    { { 's', &aOptions.mSeed },
      { 'n', &aOptions.mNet },
      { 'c', &controls },
      { 'e', &entries },
      { 'w', &workers },
      { 't', &aOptions.mSeconds },
      { 'j', &aOptions.mJobsPerSecond } });
  const auto flags = std::to_array<option>(
    { { "seed", required_argument, nullptr, 's' },
      { "net", required_argument, nullptr, 'n' },
      { "controls", required_argument, nullptr, 'c' },
      { "entries", required_argument, nullptr, 'e' },
      { "workers", required_argument, nullptr, 'w' },
      { "seconds", required_argument, nullptr, 't' },
      { "jobs-per-second", required_argument, nullptr, 'j' },
      { "no-faults", no_argument, nullptr, 'x' },
      { "no-organisations", no_argument, nullptr, 'o' },
      { "crowd", no_argument, nullptr, 'r' },
      { "scenario", required_argument, nullptr, 'p' },
      { nullptr, 0, nullptr, 0 } });
  for (;;) {
    const int chosen =
      getopt_long(aCount, aArguments, "", flags.data(), nullptr);
    if (chosen == -1) {
      break;
    }
    if (SetSwitch(chosen, aOptions)) {
      continue;
    }
    if (chosen == 'p') {
      aOptions.mScenario = optarg;
      continue;
    }
    const auto* found =
      std::ranges::find(numbers,
                        static_cast<char>(chosen),
                        &std::pair<char, std::uint64_t*>::first);
    if (found == numbers.end() || !ReadNumber(optarg, *found->second)) {
      return false;
    }
  }
  aOptions.mPlaces = { controls, entries, workers };
  const bool known =
    aOptions.mScenario.empty() || !MakeScenario(aOptions.mScenario).empty();
  return known && controls > 0 && entries > 0 && workers > 0 &&
         aOptions.mJobsPerSecond > 0;
}

} // namespace

} // namespace oriolewalk::soak

int
main(int aCount, char** aArguments)
{
  try {
    oriolewalk::soak::soak_options options;
    if (!oriolewalk::soak::ReadOptions(aCount, aArguments, options)) {
      std::fputs(oriolewalk::soak::kHelp, stderr);
      return 2;
    }
    return oriolewalk::soak::soak_run(options).Run();
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "oriole-soak: %s\n", problem.what());
    return 2;
  }
}
