#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/host/address_book.h"

namespace oriolewalk::host {

namespace {

consensus::membership
Group()
{
  consensus::membership group;
  group.PutVoter({ consensus::node_id(4), "d:1", 0, false, std::nullopt });
  return group;
}

} // namespace

// A process that lost its disk is sent the log by a leader that isn't a
// founder. It knows no members; were its answers to go to founders alone, the
// leader would take it for silent for good.
TEST_CASE("who lost its disk answers a leader that is no founder")
{
  address_book book({ { 1, "a:1" } });
  const consensus::membership none;
  CHECK(book.Find(consensus::node_id(4), none).empty());
  book.Heard(4, "d:1");
  CHECK(book.Find(consensus::node_id(4), none) == "d:1");
  CHECK(book.Find(consensus::node_id(1), none) == "a:1");
}

TEST_CASE("the group's own list goes first, then what was heard last")
{
  address_book book({ { 4, "founder:1" } });
  book.Heard(4, "old:1");
  book.Heard(4, "new:1");
  CHECK(book.Find(consensus::node_id(4), Group()) == "d:1");
  CHECK(book.Find(consensus::node_id(4), {}) == "new:1");
}

TEST_CASE("seeds outside the group are those that must be told of it")
{
  CHECK(SeedsOutside({ "a:1", "d:1", "b:1" }, Group()) ==
        std::vector<std::string>{ "a:1", "b:1" });
}

} // namespace oriolewalk::host
