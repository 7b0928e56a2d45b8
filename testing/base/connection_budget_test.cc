#include <catch2/catch.hpp>

#include <cstddef>

#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/descriptor_budget.h"

namespace oriolewalk {
namespace {

constexpr std::size_t kMiB = 1024UL * 1024;

// What all connections hold at most, where each share is full.
std::size_t
MostBytes(const connection_budget& aBudget, bool aOpens)
{
  const auto unread = [](const connection_limits& aLimits) {
    return aLimits.mMaxConnections * aLimits.mReceiveWindow;
  };
  std::size_t bytes =
    aBudget.mMaxPeerBytes + unread(aBudget.mIn) + aBudget.mIn.mMaxHeldBytes;
  if (aOpens) {
    bytes += unread(aBudget.mOut) + aBudget.mOut.mMaxHeldBytes;
  }
  return bytes;
}

TEST_CASE("all shares together leave a part of the memory")
{
  // Their sum was unbounded: 4,096 connections of 1 MiB and more each, on
  // machines with a quarter of a GiB.
  const std::size_t memory = GENERATE(120, 160, 256, 640) * kMiB;
  const std::size_t descriptors = GENERATE(1'024, 3'075, 4'096, 16'384);
  const auto use = GENERATE(connection_use::Incoming,
                            connection_use::MostlyIncoming,
                            connection_use::MostlyOutgoing);
  const connection_budget budget = BudgetOf({ descriptors, memory }, use);
  CAPTURE(memory, descriptors);
  CHECK(MostBytes(budget, use != connection_use::Incoming) <=
        memory - memory / 8);
}

TEST_CASE("all connections together leave descriptors")
{
  const std::size_t descriptors = GENERATE(256, 1'024, 4'096, 16'384);
  const auto use =
    GENERATE(connection_use::MostlyIncoming, connection_use::MostlyOutgoing);
  const connection_budget budget =
    BudgetOf({ descriptors, 100'000 * kMiB }, use);
  const std::size_t pages = 2 * budget.mPage.mMaxConnections;
  CHECK(budget.mIn.mMaxConnections + pages + budget.mOut.mMaxConnections +
          budget.mMaxPeers <
        descriptors);
}

TEST_CASE("one large message fits into each share of a small machine")
{
  const connection_budget budget =
    BudgetOf({ 64, 32 * kMiB }, connection_use::MostlyOutgoing);
  for (const connection_limits& limits : { budget.mIn, budget.mOut }) {
    CHECK(limits.mMaxConnections >= 1);
    CHECK(limits.mMaxHeldBytes >= 4 * kMiB);
  }
  CHECK(budget.mMaxPeers >= 1);
  CHECK(budget.mMaxPeerBytes >= 4 * kMiB);
}

TEST_CASE("a process's memory is that of the settings, if the machine has it")
{
  const std::size_t machine = MemoryLimit(0);
  REQUIRE(machine > kMiB);
  CHECK(MemoryLimit(kMiB) == kMiB);
  CHECK(MemoryLimit(2 * machine) == machine);
}

} // namespace
} // namespace oriolewalk
