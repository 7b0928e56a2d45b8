#include "oriolewalk/flow/relay_assignment.h"

#include <algorithm>
#include <cstdint>
#include <functional>

namespace oriolewalk::flow {

namespace {

// Four connections per worker (a long poll, and starts and stops beside it)
// take a quarter of the 4,096 descriptors that a process commonly has.
constexpr std::size_t kWorkersPerRelay = 250;
// Longer than a restart, and half of a lease. Until then the polls of the
// relay's workers go elsewhere; afterwards it is tried again.
constexpr milliseconds kRetryDelay{ 2'000 };

// Rendezvous hashing: when a relay fails, only its own workers move.
std::uint64_t
Weight(const std::string& aAddress, worker_number aWorker)
{
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15ULL; // 2^64 / golden ratio
  constexpr unsigned kHalf = 32;
  std::uint64_t hash = std::hash<std::string>{}(aAddress) ^ (aWorker * kMix);
  hash = (hash ^ (hash >> kHalf)) * kMix;
  return hash ^ (hash >> kHalf);
}

} // namespace

void
relay_assignment::Update(const std::vector<std::string>& aOthers,
                         std::size_t aWorkers,
                         time_point aNow)
{
  std::erase_if(mSkippedUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  mRelays.clear();
  if (aWorkers <= mMaxWithoutRelays) {
    return;
  }
  const std::size_t wanted =
    (aWorkers + kWorkersPerRelay - 1) / kWorkersPerRelay;
  for (const std::string& other : aOthers) {
    if (mRelays.size() < wanted && !mSkippedUntil.contains(other) &&
        std::ranges::find(mRelays, other) == mRelays.end()) {
      mRelays.push_back(other);
    }
  }
  std::ranges::sort(mRelays);
}

const std::string&
relay_assignment::RelayFor(worker_number aWorker) const
{
  static const std::string sLeader;
  const auto best =
    std::ranges::max_element(mRelays, {}, [&](const std::string& aAddress) {
      return Weight(aAddress, aWorker);
    });
  return best == mRelays.end() ? sLeader : *best;
}

void
relay_assignment::OnRelayFailure(const std::string& aAddress, time_point aNow)
{
  mSkippedUntil[aAddress] = aNow + kRetryDelay;
  std::erase(mRelays, aAddress);
}

} // namespace oriolewalk::flow
