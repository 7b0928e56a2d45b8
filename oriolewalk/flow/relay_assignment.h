#pragma once

// Which control process carries the leader's orders to which worker.
//
//   carrier_choice carriers(options.mWorkersAlone);
//   carriers.Update({ "10.0.0.2:7720", "10.0.0.3:7720" }, workers, now);
//   carriers.For(worker);              // its RPC address; empty: the leader
//   carriers.Failed("10.0.0.2:7720", now);
//
// The load it answers: each worker at work holds a look open and takes a start
// or lists an end every second, so that connections, HTTP and JSON grow with
// the workers, all at one process. At 1,100 workers the leader held 5,900
// descriptors and answered 1 worker call in 3 too late. A carrier decides
// nothing: each order has the leader's fence and an absolute lease, so one that
// is late, lost or of an earlier leader does no harm.
//
// Pure; owned by the leading part of the flow core, the control thread only.

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
  // aAlone: up to so many workers the leader makes all calls itself.
  explicit relay_assignment(std::size_t aAlone)
    : mAlone(aAlone)
  {
  }
  // aOthers: control processes that are heard now, those first that have least
  // other work. Cost: their number times itself; the workers only if the
  // carriers change.
  void Update(const std::vector<std::string>& aOthers,
              std::size_t aWorkers,
              time_point aNow);
  // Stays the same while its carrier does: a worker's connections are kept.
  [[nodiscard]] const std::string& RelayFor(worker_number aWorker) const;
  // Its orders could not be handed over: it carries nothing for a while.
  void OnRelayFailure(const std::string& aAddress, time_point aNow);
  [[nodiscard]] const std::vector<std::string>& Relays() const
  {
    return mCarriers;
  }

private:
  std::size_t mAlone;
  std::vector<std::string> mCarriers; // sorted
  std::map<std::string, time_point> mAsideUntil;
};

} // namespace oriolewalk::flow
