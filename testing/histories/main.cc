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

struct run_options
{
  std::uint64_t mFrom = 1;
  std::uint64_t mTo = 1'000; // the last seed
  unsigned mThreads = std::max(1U, std::thread::hardware_concurrency() / 2);
  int mActions = 60;
  flow::flow_options mFlow;
  flow::history_faults mFaults;
};

constexpr const char* kUsage =
  "oriole-histories [--from SEED] [--to SEED] [--threads N] [--actions N]\n"
  "                 [--busy] [--restarts] [--holds] [--carried]\n"
  "                 [--crashing] [--shrinking] [--organisations] [--spares]\n"
  "                 [--copies] [--full] [--leaving]\n"
  "  --busy      orders, answers and commits are slow at times\n"
  "  --restarts  workers start again under their ids\n"
  "  --leaving   workers drain, deregister and end, with or without an answer\n"
  "  --holds     orders stand still on their way for seconds\n"
  "  --crashing  some tasks crash each worker that starts them\n"
  "  --shrinking workers' capacities shrink and grow again\n"
  "  --organisations jobs belong to organisations, whose keys and maxima\n"
  "              change\n"
  "  --copies    some steps allow copies of their tasks\n"
  "  --full      callers submit more than the workers can do\n"
  "  --spares    fifteen control processes, of which five vote\n"
  "  --carried   other control processes carry the leader's orders\n";

template<class Number>
bool
ReadNumber(std::string_view aText, Number& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber);
  return read.ec == std::errc() && read.ptr == end;
}

std::optional<run_options>
ReadArguments(int aCount, char** aArguments)
{
  const std::array longOptions = {
    option{ "from", required_argument, nullptr, 'f' },
    option{ "to", required_argument, nullptr, 't' },
    option{ "threads", required_argument, nullptr, 'j' },
    option{ "actions", required_argument, nullptr, 'a' },
    option{ "busy", no_argument, nullptr, 'b' },
    option{ "restarts", no_argument, nullptr, 'r' },
    option{ "leaving", no_argument, nullptr, 'l' },
    option{ "holds", no_argument, nullptr, 'h' },
    option{ "carried", no_argument, nullptr, 'c' },
    option{ "crashing", no_argument, nullptr, 'x' },
    option{ "shrinking", no_argument, nullptr, 's' },
    option{ "organisations", no_argument, nullptr, 'o' },
    option{ "spares", no_argument, nullptr, 'p' },
    option{ "copies", no_argument, nullptr, 'y' },
    option{ "full", no_argument, nullptr, 'u' },
    option{ nullptr, 0, nullptr, 0 },
  };
  run_options options;
  bool isValid = true;
  for (int chosen = 0;
       (chosen = getopt_long(
          aCount, aArguments, "", longOptions.data(), nullptr)) != -1;) {
    switch (chosen) {
      case 'f':
        isValid = isValid && ReadNumber(optarg, options.mFrom);
        break;
      case 't':
        isValid = isValid && ReadNumber(optarg, options.mTo);
        break;
      case 'j':
        isValid = isValid && ReadNumber(optarg, options.mThreads);
        break;
      case 'a':
        isValid = isValid && ReadNumber(optarg, options.mActions);
        break;
      case 'b':
        options.mFaults.mBusy = true;
        break;
      case 'r':
        options.mFaults.mRestarts = true;
        break;
      case 'l':
        options.mFaults.mLeaving = true;
        break;
      case 'h':
        options.mFaults.mHolds = true;
        break;
      case 'c':
        options.mFlow.mMaxWorkersWithoutRelays = 0;
        break;
      case 'x':
        options.mFaults.mCrashing = true;
        break;
      case 's':
        options.mFaults.mShrinking = true;
        break;
      case 'o':
        options.mFaults.mOrganisations = true;
        break;
      case 'p':
        options.mFaults.mSpares = true;
        break;
      case 'y':
        options.mFaults.mCopies = true;
        break;
      case 'u':
        options.mFaults.mFull = true;
        break;
      default:
        isValid = false;
    }
  }
  const bool isComplete = isValid && optind == aCount && options.mThreads > 0 &&
                          options.mFrom <= options.mTo;
  return isComplete ? std::optional(options) : std::nullopt;
}

void
AddCounts(const flow::history_counts& aOne, flow::history_counts& aAll)
{
  aAll.mCrashingJobs += aOne.mCrashingJobs;
  aAll.mCrashingStarts += aOne.mCrashingStarts;
  aAll.mNormalJobs += aOne.mNormalJobs;
  aAll.mFailedNormalJobs += aOne.mFailedNormalJobs;
  aAll.mStarts += aOne.mStarts;
  aAll.mSecondStarts += aOne.mSecondStarts;
  aAll.mRefusals += aOne.mRefusals;
}

// Returns how many violated a guarantee.
std::uint64_t
PlaySeeds(const run_options& aOptions, flow::history_counts& aCounts)
{
  std::atomic<std::uint64_t> next = aOptions.mFrom;
  std::atomic<std::uint64_t> violations = 0;
  std::mutex printing;
  const auto play = [&]() {
    for (std::uint64_t seed = next++; seed <= aOptions.mTo; seed = next++) {
      flow::history_counts counts;
      const auto violation = flow::PlayFlowSeed(
        seed, aOptions.mActions, aOptions.mFlow, aOptions.mFaults, &counts);
      const std::scoped_lock lock(printing);
      AddCounts(counts, aCounts);
      if (violation) {
        ++violations;
        std::cout << "seed " << seed << ": " << *violation << std::endl;
      }
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned thread = 0; thread < aOptions.mThreads; ++thread) {
    threads.emplace_back(play);
  }
  threads.clear(); // joins
  return violations;
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
  flow::history_counts counts;
  const std::uint64_t violations = PlaySeeds(*options, counts);
  if (options->mFaults.mCrashing) {
    std::cout << counts.mCrashingJobs << " jobs with tasks that crash, "
              << counts.mCrashingStarts << " starts of such tasks\n";
  }
  if (options->mFaults.mCopies) {
    std::cout << counts.mSecondStarts << " of " << counts.mStarts
              << " starts were beside another run of their task\n";
  }
  if (counts.mRefusals > 0 || options->mFaults.mFull) {
    std::cout << counts.mRefusals << " submissions refused\n";
  }
  std::cout << counts.mFailedNormalJobs << " of " << counts.mNormalJobs
            << " jobs without crashing tasks failed\n";
  std::cout << options->mTo - options->mFrom + 1 << " histories played, "
            << violations << " violated a guarantee\n";
  return violations == 0 ? 0 : 1;
}
