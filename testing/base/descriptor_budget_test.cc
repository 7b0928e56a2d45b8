#include <cstddef>

#include <catch2/catch.hpp>

#include "oriolewalk/base/descriptor_budget.h"

namespace oriolewalk {

TEST_CASE("shares never add up to more than the limit")
{
  for (const std::size_t limit : { 8UL, 64UL, 1'024UL, 4'124UL, 100'000UL }) {
    CAPTURE(limit);
    const descriptor_shares shares = SharesOf(limit);
    CHECK(shares.mReserved + shares.mOutgoing + shares.mIncoming <= limit);
    CHECK(shares.mReserved >= limit / 4);
  }
  CHECK(SharesOf(0).mOutgoing == 1);
}

TEST_CASE("nine processes of 4,124 descriptors serve 4,800 workers")
{
  // Three connections out and one in for each of 534 workers.
  constexpr std::size_t kWorkersEach = 534;
  const descriptor_shares shares = SharesOf(4'124);
  CHECK(shares.mOutgoing >= 3 * kWorkersEach);
  CHECK(shares.mIncoming >= kWorkersEach);
}

TEST_CASE("the smaller limit counts")
{
  CHECK(DescriptorLimit(17) == 17);
  CHECK(DescriptorLimit(0) > 0);
  CHECK(DescriptorLimit(1UL << 40U) == DescriptorLimit(0));
}

} // namespace oriolewalk
