#include <catch2/catch.hpp>

#include "oriolewalk/consensus/raft_node.h"

using namespace oriolewalk;
using namespace oriolewalk::consensus;

TEST_CASE("A lone founder elects itself and commits what is durable")
{
  membership founders;
  founders.PutVoter({ node_id(1), "here", 0, false, std::nullopt });
  time_point now{ seconds(1) };
  raft_node node(node_id(1), raft_options{}, {}, founders, 7, now);
  now += seconds(1);
  node.Tick(now);
  node.Persisted(node.TakeEffects().mTicket, now);
  REQUIRE(node.IsLeader());
  const auto place = node.Propose("x", now);
  REQUIRE(place);
  const effects out = node.TakeEffects();
  CHECK(out.mCommitted.empty());
  CHECK_FALSE(node.MayServe(now));
  node.Persisted(out.mTicket, now);
  const auto committed = node.TakeEffects().mCommitted;
  REQUIRE(committed.size() == 2);
  CHECK(committed.back().mPayload == "x");
  CHECK(node.MayServe(now));
}
