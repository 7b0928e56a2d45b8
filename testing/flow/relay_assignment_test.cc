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
Shares(const relay_assignment& aChoice, worker_number aWorkers)
{
  std::map<std::string, int> shares;
  for (worker_number worker = 1; worker <= aWorkers; ++worker) {
    ++shares[aChoice.RelayFor(worker)];
  }
  return shares;
}

} // namespace

TEST_CASE("the leader of a small cell makes all calls itself")
{
  relay_assignment choice(400);
  choice.Update(kOthers, 350, kStart);
  CHECK(choice.RelayFor(1).empty());
}

TEST_CASE("without any other control process the leader makes the calls")
{
  relay_assignment choice(400);
  choice.Update({}, 1'100, kStart);
  CHECK(choice.RelayFor(1).empty());
}

TEST_CASE("the workers of a large cell are spread evenly over relays")
{
  // A process that called all 1,100 workers would need five descriptors for
  // each of them, more than its limit, and could open no file on its disk.
  relay_assignment choice(400);
  choice.Update(kOthers, 1'100, kStart);
  const auto shares = Shares(choice, 1'100);
  CHECK(shares.size() == 5);
  for (const auto& [address, workers] : shares) {
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
  relay_assignment choice = before;
  const std::string& lost = kOthers[2];
  choice.OnRelayFailure(lost, kStart);
  for (worker_number worker = 1; worker <= 1'100; ++worker) {
    CHECK(choice.RelayFor(worker) != lost);
    if (before.RelayFor(worker) != lost) {
      CHECK(choice.RelayFor(worker) == before.RelayFor(worker));
    }
  }
  choice.Update(kOthers, 1'100, kStart + milliseconds(500));
  CHECK_FALSE(Shares(choice, 1'100).contains(lost));
  choice.Update(kOthers, 1'100, kStart + seconds(3));
  CHECK(Shares(choice, 1'100) == Shares(before, 1'100));
}

} // namespace oriolewalk::flow
