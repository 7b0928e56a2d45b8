#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>

#include "oriolewalk/base/random.h"
#include "testing/flow/flow_history.h"

namespace oriolewalk::flow {

TEST_CASE("random histories of faults break no promise")
{
  constexpr std::uint64_t kSeeds = 150;
  constexpr int kActions = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    random_source random(seed);
    const flow_choices choose =
      [&](std::uint64_t aBound) -> std::optional<std::uint64_t> {
      return random.Below(aBound);
    };
    const auto broken = PlayFlowHistory(choose, kActions);
    CHECK(broken.value_or("") == "");
  }
}

} // namespace oriolewalk::flow
