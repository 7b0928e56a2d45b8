#pragma once

// Assigns each worker to the control process that relays the leader's orders to
// it.
//
//   relay_assignment relays(options.mMaxWorkersWithoutRelays);
//   relays.Update({ "10.0.0.2:7720", "10.0.0.3:7720" }, workers, now);
//   relays.RelayFor(worker);           // its RPC address; empty: the leader
//   relays.OnRelayFailure("10.0.0.2:7720", now);
//
// Each busy worker holds a long poll open and takes a start or lists an end
// every second, so connections, HTTP and JSON grow with the workers, all at one
// process, which runs out of descriptors and answers too late. A relay makes no
// decisions: each order has the leader's fence and an absolute lease, so an
// order that is late, lost or from an earlier leader does no harm.
//
// Pure; owned by leader_core; control thread only.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

class relay_assignment
{
public:
  // aMaxWithoutRelays: up to this many workers the leader makes all calls
  // itself.
  explicit relay_assignment(std::size_t aMaxWithoutRelays)
    : mMaxWithoutRelays(aMaxWithoutRelays)
  {
  }
  // aOthers: the live control processes except the leader, those with the least
  // other work first. Cost: quadratic in their number.
  void Update(const std::vector<std::string>& aOthers,
              std::size_t aWorkers,
              time_point aNow);
  // Stays the same while the relay is in use, so that a worker's connections
  // are kept.
  [[nodiscard]] const std::string& RelayFor(worker_number aWorker) const;
  // Orders could not be handed to the relay: it gets none for a while.
  void OnRelayFailure(const std::string& aAddress, time_point aNow);
  [[nodiscard]] const std::vector<std::string>& Relays() const
  {
    return mRelays;
  }

private:
  std::size_t mMaxWithoutRelays;
  std::vector<std::string> mRelays; // sorted
  std::map<std::string, time_point> mSkippedUntil;
};

} // namespace oriolewalk::flow
