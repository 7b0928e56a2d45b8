#include <algorithm>

#include <catch2/catch.hpp>

#include "bench/flow_driver.h"
#include "bench/flow_scenario.h"

namespace oriolewalk::bench {

TEST_CASE("urgent jobs of a large cell start within two top-priority plans")
{
  // 1,100 workers with six urgent jobs per second and jobs of other queues. A
  // plan for all queues costs milliseconds, so it is made every 47 ms at most.
  // An urgent step needs one plan to query the policy service, which takes 50
  // to 60 ms, and another to start. If it waited for plans for all queues, the
  // median was 150 ms and the 95th percentile 234 ms, out of the 250 ms that
  // callers allow in addition to the work.
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
