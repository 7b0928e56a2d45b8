// Plays random histories of faults over a range of seeds, and prints those that
// violate a guarantee. Exit code: 0 if none did, 1 if some did, 2 for invalid
// arguments.

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdint>
#include <iostream>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

#include <getopt.h>

#include "testing/flow/flow_history.h"

namespace {

namespace flow = oriolewalk::flow;

struct hunt_options
{
  std::uint64_t mFrom = 1;
  std::uint64_t mTo = 1'000; // the last seed
  unsigned mThreads = std::max(1U, std::thread::hardware_concurrency() / 2);
  int mActions = 60;
  flow::flow_options mFlow;
  flow::history_faults mTroubles;
};

constexpr const char* kUsage =
  "oriole-histories [--from SEED] [--to SEED] [--threads N] [--actions N]\n"
  "                 [--busy] [--restarts] [--holds] [--carried]\n"
  "                 [--crashing] [--shrinking]\n"
  "  --busy      orders, answers and commits are slow at times\n"
  "  --restarts  workers start again under their ids\n"
  "  --holds     orders stand still on their way for seconds\n"
  "  --crashing  some tasks crash each worker that starts them\n"
  "  --shrinking workers' capacities shrink and grow again\n"
  "  --carried   other control processes carry the leader's orders\n";

template<class Number>
bool
ReadNumber(std::string_view aText, Number& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber);
  return read.ec == std::errc() && read.ptr == end;
}

std::optional<hunt_options>
ReadArguments(int aCount, char** aArguments)
{
  const std::array known = {
    option{ "from", required_argument, nullptr, 'f' },
    option{ "to", required_argument, nullptr, 't' },
    option{ "threads", required_argument, nullptr, 'j' },
    option{ "actions", required_argument, nullptr, 'a' },
    option{ "busy", no_argument, nullptr, 'b' },
    option{ "restarts", no_argument, nullptr, 'r' },
    option{ "holds", no_argument, nullptr, 'h' },
    option{ "carried", no_argument, nullptr, 'c' },
    option{ "crashing", no_argument, nullptr, 'x' },
    option{ "shrinking", no_argument, nullptr, 's' },
    option{ nullptr, 0, nullptr, 0 },
  };
  hunt_options options;
  bool sound = true;
  for (int chosen = 0;
       (chosen = getopt_long(aCount, aArguments, "", known.data(), nullptr)) !=
       -1;) {
    switch (chosen) {
      case 'f':
        sound = sound && ReadNumber(optarg, options.mFrom);
        break;
      case 't':
        sound = sound && ReadNumber(optarg, options.mTo);
        break;
      case 'j':
        sound = sound && ReadNumber(optarg, options.mThreads);
        break;
      case 'a':
        sound = sound && ReadNumber(optarg, options.mActions);
        break;
      case 'b':
        options.mTroubles.mBusy = true;
        break;
      case 'r':
        options.mTroubles.mRestarts = true;
        break;
      case 'h':
        options.mTroubles.mHolds = true;
        break;
      case 'c':
        options.mFlow.mMaxWorkersWithoutRelays = 0;
        break;
      case 'x':
        options.mTroubles.mCrashing = true;
        break;
      case 's':
        options.mTroubles.mShrinking = true;
        break;
      default:
        sound = false;
    }
  }
  const bool whole = sound && optind == aCount && options.mThreads > 0 &&
                     options.mFrom <= options.mTo;
  return whole ? std::optional(options) : std::nullopt;
}

void
Add(const flow::history_counts& aOne, flow::history_counts& aAll)
{
  aAll.mCrashingJobs += aOne.mCrashingJobs;
  aAll.mCrashingStarts += aOne.mCrashingStarts;
  aAll.mNormalJobs += aOne.mNormalJobs;
  aAll.mFailedNormalJobs += aOne.mFailedNormalJobs;
}

// Returns how many violated a guarantee.
std::uint64_t
Hunt(const hunt_options& aOptions, flow::history_counts& aAccount)
{
  std::atomic<std::uint64_t> next = aOptions.mFrom;
  std::atomic<std::uint64_t> broken = 0;
  std::mutex printing;
  const auto play = [&]() {
    for (std::uint64_t seed = next++; seed <= aOptions.mTo; seed = next++) {
      flow::history_counts account;
      const auto what = flow::PlayFlowSeed(
        seed, aOptions.mActions, aOptions.mFlow, aOptions.mTroubles, &account);
      const std::scoped_lock lock(printing);
      Add(account, aAccount);
      if (what) {
        ++broken;
        std::cout << "seed " << seed << ": " << *what << std::endl;
      }
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned thread = 0; thread < aOptions.mThreads; ++thread) {
    threads.emplace_back(play);
  }
  threads.clear(); // joins
  return broken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = ReadArguments(aCount, aArguments);
  if (!options) {
    std::cerr << kUsage;
    return 2;
  }
  flow::history_counts account;
  const std::uint64_t broken = Hunt(*options, account);
  if (options->mTroubles.mCrashing) {
    std::cout << account.mCrashingJobs << " jobs with tasks that crash, "
              << account.mCrashingStarts << " starts of such tasks\n";
  }
  std::cout << account.mFailedNormalJobs << " of " << account.mNormalJobs
            << " sound jobs were given up\n";
  std::cout << options->mTo - options->mFrom + 1 << " histories played, "
            << broken << " broke a promise\n";
  return broken == 0 ? 0 : 1;
}
