#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/host/carriers.h"

namespace oriolewalk::host {

namespace {

constexpr time_point kStart{ seconds(100) };
const std::vector<std::string> kOthers{ "a", "b", "c" };

flow::worker_order
Look(std::uint64_t aId, flow::worker_number aWorker)
{
  flow::worker_order order;
  order.mId = aId;
  order.mWorker = aWorker;
  order.mBody = flow::hold_order{ 3, 1'000 };
  return order;
}

} // namespace

TEST_CASE("few workers are called by the leader, many by the others in turn")
{
  const carriers carry({});
  CHECK(carry.For(1, kOthers, 48).empty());
  CHECK(carry.For(1, {}, 350).empty());
  std::set<std::string> used;
  for (flow::worker_number worker = 1; worker <= 9; ++worker) {
    used.insert(carry.For(worker, kOthers, 350));
    CHECK(carry.For(worker, kOthers, 350) == carry.For(worker, kOthers, 350));
  }
  CHECK(used.size() == 3);
}

TEST_CASE("a carrier that can't reach a worker isn't asked again for it")
{
  // The worker is sound, but the link between it and this carrier is cut: were
  // the carrier kept, the worker would look lost and its work start again.
  carriers carry({});
  const std::string first = carry.For(1, kOthers, 350);
  carry.Sent(Look(1, 1), kStart);
  CHECK(carry.Answered(1, flow::order_result::NoAnswer));
  CHECK(carry.For(1, kOthers, 350) != first);
  CHECK_FALSE(carry.Answered(1, flow::order_result::Done)); // once only
}

TEST_CASE("orders that a carrier lost end without an answer")
{
  carriers carry({});
  const std::string first = carry.For(1, kOthers, 350);
  carry.Sent(Look(1, 1), kStart);
  CHECK(carry.TakeLost(kStart + milliseconds(1'500)).empty());
  CHECK(carry.TakeLost(kStart + milliseconds(2'000)) ==
        std::vector<std::uint64_t>{ 1 });
  CHECK(carry.For(1, kOthers, 350) != first);
  carry.Sent(Look(2, 1), kStart);
  carry.Clear();
  CHECK(carry.TakeLost(kStart + seconds(60)).empty());
}

TEST_CASE("orders and answers come through the codec as they were")
{
  const order_batch sent{ "leader:1", 7, { Look(5, 2) } };
  const auto read = Decode<order_batch>(Encode(sent), "test");
  REQUIRE(read);
  REQUIRE(read->mOrders.size() == 1);
  CHECK(read->mTerm == 7);
  CHECK(std::get<flow::hold_order>(read->mOrders[0].mBody).mCursor == 3);
  answer_batch back{ 7, { { 5, {} } } };
  back.mAnswers[0].mAnswer.mEnded.push_back({ 9, {} });
  const auto answered = Decode<answer_batch>(Encode(back), "test");
  REQUIRE(answered);
  CHECK(answered->mAnswers[0].mAnswer.mEnded[0].mNumber == 9);
}

} // namespace oriolewalk::host
