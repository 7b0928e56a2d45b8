#include "oriolewalk/flow/relay_assignment.h"

#include <algorithm>
#include <cstdint>
#include <functional>

namespace oriolewalk::flow {

namespace {

// Four connections per worker (a long poll, and starts and stops beside it)
// take a quarter of the 4,096 descriptors that a process commonly has.
constexpr std::size_t kWorkersEach = 250;
// Longer than a restart, and half of a lease. Until then the polls of the
// relay's workers go elsewhere; afterwards it is tried again.
constexpr milliseconds kAside{ 2'000 };

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
  std::erase_if(mAsideUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  mCarriers.clear();
  if (aWorkers <= mAlone) {
    return;
  }
  const std::size_t wanted = (aWorkers + kWorkersEach - 1) / kWorkersEach;
  for (const std::string& other : aOthers) {
    if (mCarriers.size() < wanted && !mAsideUntil.contains(other) &&
        std::ranges::find(mCarriers, other) == mCarriers.end()) {
      mCarriers.push_back(other);
    }
  }
  std::ranges::sort(mCarriers);
}

const std::string&
relay_assignment::RelayFor(worker_number aWorker) const
{
  static const std::string sLeader;
  const auto best =
    std::ranges::max_element(mCarriers, {}, [&](const std::string& aAddress) {
      return Weight(aAddress, aWorker);
    });
  return best == mCarriers.end() ? sLeader : *best;
}

void
relay_assignment::OnRelayFailure(const std::string& aAddress, time_point aNow)
{
  mAsideUntil[aAddress] = aNow + kAside;
  std::erase(mCarriers, aAddress);
}

} // namespace oriolewalk::flow
