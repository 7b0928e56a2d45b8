#include <catch2/catch.hpp>

#include "oriolewalk/flow/transit_delay.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::flow {

namespace {

// The receiver's clock is ahead by this.
constexpr seconds kAhead{ 1'000 };

time_point
At(milliseconds aTime)
{
  return time_point(aTime);
}

} // namespace

TEST_CASE("a message that waited in a suspended receiver shows its delay")
{
  transit_delay delay;
  CHECK(delay.OnMessage(At(milliseconds(0)), At(kAhead + milliseconds(3))) ==
        duration::zero());
  CHECK(delay.OnMessage(At(milliseconds(100)),
                        At(kAhead + milliseconds(1'003))) == milliseconds(900));
  // A faster one than all before makes the estimate more precise.
  CHECK(delay.OnMessage(At(milliseconds(200)),
                        At(kAhead + milliseconds(201))) == duration::zero());
  CHECK(delay.OnMessage(At(milliseconds(300)),
                        At(kAhead + milliseconds(303))) == milliseconds(2));
}

TEST_CASE("the estimate follows clocks that drift apart")
{
  // Guards against a relay that drops every order after hours of drift.
  transit_delay delay;
  for (int second = 0; second < 4 * 3'600; ++second) {
    const milliseconds sent(second * 1'000);
    const milliseconds drift(second / 10); // 100 ppm
    const duration excess = delay.OnMessage(At(sent), At(sent + drift));
    REQUIRE(excess <= milliseconds(13));
  }
}

TEST_CASE("a batch carries the time that remains to each order")
{
  worker_order timed;
  timed.mId = 1;
  timed.mSendBefore = At(milliseconds(1'400));
  worker_order untimed;
  untimed.mId = 2;
  const timed_order_batch batch =
    MakeTimedBatch({ "leader", { timed, untimed } }, At(milliseconds(1'000)));
  const auto decoded =
    Decode<timed_order_batch>(Encode(batch), "reading a batch");
  REQUIRE(decoded);
  const time_point receivedAt = At(kAhead + milliseconds(1'100));
  const auto orders = TakeOrders(*decoded, receivedAt, milliseconds(100));
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].mSendBefore == At(kAhead + milliseconds(1'400)));
  CHECK(orders[0].IsExpired(At(kAhead + milliseconds(1'400))));
  CHECK(!orders[0].IsExpired(At(kAhead + milliseconds(1'399))));
  CHECK(!orders[1].mSendBefore);
}

} // namespace oriolewalk::flow
