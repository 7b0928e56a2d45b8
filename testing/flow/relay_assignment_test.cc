#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/relay_assignment.h"

namespace oriolewalk::flow {

namespace {

const std::vector<std::string> kOthers{ "10.0.0.2:7",
                                        "10.0.0.3:7",
                                        "10.0.0.4:7",
                                        "10.0.0.5:7",
                                        "10.0.0.6:7" };
constexpr time_point kStart{ seconds(100) };

std::map<std::string, int>
WorkersByRelay(const relay_assignment& aAssignment, worker_number aWorkers)
{
  std::map<std::string, int> workersByRelay;
  for (worker_number worker = 1; worker <= aWorkers; ++worker) {
    ++workersByRelay[aAssignment.RelayFor(worker)];
  }
  return workersByRelay;
}

} // namespace

TEST_CASE("the leader of a small cell makes all calls itself")
{
  relay_assignment assignment(400);
  assignment.Update(kOthers, 350, kStart);
  CHECK(assignment.RelayFor(1).empty());
}

TEST_CASE("without any other control process the leader makes the calls")
{
  relay_assignment assignment(400);
  assignment.Update({}, 1'100, kStart);
  CHECK(assignment.RelayFor(1).empty());
}

TEST_CASE("the workers of a large cell are spread evenly over relays")
{
  // A process that called all 1,100 workers would need five descriptors for
  // each of them, more than its limit, and could open no file on its disk.
  relay_assignment assignment(400);
  assignment.Update(kOthers, 1'100, kStart);
  const auto workersByRelay = WorkersByRelay(assignment, 1'100);
  CHECK(workersByRelay.size() == 5);
  for (const auto& [address, workers] : workersByRelay) {
    CHECK_FALSE(address.empty());
    CHECK(workers < 300);
  }
}

TEST_CASE("only a failed relay's workers move, and they return after a while")
{
  // A control process dies. If all workers were reassigned, 1,100 polls would
  // be sent again at once, over as many new connections.
  relay_assignment before(400);
  before.Update(kOthers, 1'100, kStart);
  relay_assignment assignment = before;
  const std::string& lost = kOthers[2];
  assignment.OnRelayFailure(lost, kStart);
  for (worker_number worker = 1; worker <= 1'100; ++worker) {
    CHECK(assignment.RelayFor(worker) != lost);
    if (before.RelayFor(worker) != lost) {
      CHECK(assignment.RelayFor(worker) == before.RelayFor(worker));
    }
  }
  assignment.Update(kOthers, 1'100, kStart + milliseconds(500));
  CHECK_FALSE(WorkersByRelay(assignment, 1'100).contains(lost));
  assignment.Update(kOthers, 1'100, kStart + seconds(3));
  CHECK(WorkersByRelay(assignment, 1'100) == WorkersByRelay(before, 1'100));
}

} // namespace oriolewalk::flow
