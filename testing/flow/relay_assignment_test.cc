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
Shares(const carrier_choice& aChoice, worker_number aWorkers)
{
  std::map<std::string, int> shares;
  for (worker_number worker = 1; worker <= aWorkers; ++worker) {
    ++shares[aChoice.For(worker)];
  }
  return shares;
}

} // namespace

TEST_CASE("a small cell's leader makes all calls itself")
{
  carrier_choice choice(400);
  choice.Update(kOthers, 350, kStart);
  CHECK(choice.For(1).empty());
}

TEST_CASE("without any other control process the leader makes the calls")
{
  carrier_choice choice(400);
  choice.Update({}, 1'100, kStart);
  CHECK(choice.For(1).empty());
}

TEST_CASE("a large cell's workers are shared evenly")
{
  // All by one process: it holds five descriptors for each of 1,100 workers,
  // more than it has, and its disk is refused one.
  carrier_choice choice(400);
  choice.Update(kOthers, 1'100, kStart);
  const auto shares = Shares(choice, 1'100);
  CHECK(shares.size() == 5);
  for (const auto& [address, workers] : shares) {
    CHECK_FALSE(address.empty());
    CHECK(workers < 300);
  }
}

TEST_CASE("only a lost carrier's workers move, and come back after a while")
{
  // A control process dies. Were all workers dealt anew, 1,100 looks would be
  // sent again at once, over as many new connections.
  carrier_choice before(400);
  before.Update(kOthers, 1'100, kStart);
  carrier_choice choice = before;
  const std::string& lost = kOthers[2];
  choice.Failed(lost, kStart);
  for (worker_number worker = 1; worker <= 1'100; ++worker) {
    CHECK(choice.For(worker) != lost);
    if (before.For(worker) != lost) {
      CHECK(choice.For(worker) == before.For(worker));
    }
  }
  choice.Update(kOthers, 1'100, kStart + milliseconds(500));
  CHECK_FALSE(Shares(choice, 1'100).contains(lost));
  choice.Update(kOthers, 1'100, kStart + seconds(3));
  CHECK(Shares(choice, 1'100) == Shares(before, 1'100));
}

} // namespace oriolewalk::flow
