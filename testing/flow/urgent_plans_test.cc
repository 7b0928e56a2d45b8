#include <algorithm>

#include <catch2/catch.hpp>

#include "bench/flow_driver.h"
#include "bench/flow_scenario.h"

namespace oriolewalk::bench {

TEST_CASE("urgent jobs of a large cell start within two short plans")
{
  // 1,100 workers, and six urgent jobs a second beside work of other
  // queues: a plan for all of it is made every 47 ms at most, since each costs
  // milliseconds. An urgent step waits for one plan to ask the policy service
  // (50 to 60 ms) and for one to start: half of them took 150 ms, a twentieth
  // 234 ms of the 250 ms that their callers allow beside the work itself.
  flow_scenario scene = FlowScenarios().back();
  scene.mKinds[0].mPerSecond = 6;
  scene.mKinds[0].mBurst = 1;
  scene.mKinds.resize(2);
  scene.mKinds[1].mPerSecond = 1;
  scene.mLeaderLost = false;
  flow_outcome outcome = SimulateLoad(MakeLoad(scene, 11), {});
  auto& waits = outcome.mQueues["urgent"].mFirstStartMs;
  REQUIRE(waits.size() > 100);
  std::ranges::sort(waits);
  CHECK(waits[waits.size() / 2] < 110);
  CHECK(waits[waits.size() * 95 / 100] < 130);
}

} // namespace oriolewalk::bench
