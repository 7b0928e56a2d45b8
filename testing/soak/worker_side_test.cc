#include <variant>

#include <catch2/catch.hpp>

#include "testing/soak/worker_side.h"

namespace oriolewalk::soak {

TEST_CASE("an order is read as the adapter writes it")
{
  const http::request request{
    .mMethod = "POST",
    .mTarget = "/v1/run-start",
    .mHeaders = { { "X-Oriolewalk-Expect-Instance", "w1" } },
    .mBody = R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text",)"
             R"("deadlineMs":486000,"fence":7})"
  };
  const auto order = ReadOrder(request);
  REQUIRE(order);
  CHECK(order->mWorkerId.Value() == "w1");
  CHECK(order->mFence == 7);
  CHECK(order->mLeaseClockMs == 486'000);
  const auto& start = std::get<flow::start_order>(order->mBody);
  CHECK(start.mRun.mTask.mIndex == 17);
  CHECK(start.mRun.mAttempt == 2);
}

TEST_CASE("what is no order is refused")
{
  CHECK_FALSE(ReadOrder({ .mTarget = "/v1/run-start", .mBody = "{" }));
  CHECK_FALSE(ReadOrder({ .mTarget = "/v1/else", .mBody = "{}" }));
  CHECK_FALSE(
    ReadOrder({ .mTarget = "/v1/run-stop", .mBody = R"({"task":"a.b"})" }));
}

} // namespace oriolewalk::soak
