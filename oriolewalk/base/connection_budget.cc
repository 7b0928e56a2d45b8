#include "oriolewalk/base/connection_budget.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

#include "oriolewalk/base/descriptor_budget.h"

namespace oriolewalk {

namespace {

constexpr std::size_t kKiB = 1024;
// Parts of the memory.
constexpr std::size_t kUnreadInPart = 4;
constexpr std::size_t kUnreadOutPart = 8;
constexpr std::size_t kHeldInPart = 4;
constexpr std::size_t kHeldOutPart = 8;
constexpr std::size_t kPeersPart = 8;
// The largest request, answer or message, and the handler's copies of it.
constexpr std::size_t kLeastShare = 8 * kKiB * kKiB;
// Our own records of a connection, with the buffer of its next read.
constexpr std::size_t kConnectionBytes = 8 * kKiB;
// Requests of callers, and answers of workers, are a few KiB. Tables are up to
// 1 MiB, and come a long way.
constexpr std::size_t kSmallWindow = 16 * kKiB;
constexpr std::size_t kLargeWindow = 32 * kKiB;
// A page has one or two readers.
constexpr connection_limits kPage{ .mMaxConnections = 16,
                                   .mMaxHeldBytes = 4 * kKiB * kKiB,
                                   .mReceiveWindow = kSmallWindow };
constexpr std::size_t kPages = 2;
// Of the reserved descriptors; the others are for files and for connections to
// our own processes.
constexpr std::size_t kPeerNumerator = 3;
constexpr std::size_t kPeerDenominator = 4;

std::size_t
Part(std::size_t aMemory, std::size_t aPart)
{
  return std::max(aMemory / aPart, kLeastShare);
}

connection_limits
Limits(std::size_t aDescriptors,
       std::size_t aUnreadBytes,
       std::size_t aHeldBytes,
       std::size_t aWindow)
{
  const std::size_t byMemory = aUnreadBytes / (aWindow + kConnectionBytes);
  return { .mMaxConnections =
             std::max<std::size_t>(std::min(aDescriptors, byMemory), 1),
           .mMaxHeldBytes = aHeldBytes,
           .mReceiveWindow = aWindow };
}

} // namespace

connection_budget
BudgetOf(process_resources aResources, connection_use aUse)
{
  descriptor_shares shares = SharesOf(aResources.mDescriptors);
  if (aUse == connection_use::MostlyIncoming) {
    std::swap(shares.mIncoming, shares.mOutgoing);
  } else if (aUse == connection_use::Incoming) {
    shares.mIncoming += shares.mOutgoing;
  }
  const std::size_t all = shares.mIncoming;
  const std::size_t pages = kPages * kPage.mMaxConnections;
  const std::size_t memory = aResources.mMemoryBytes;
  connection_budget budget;
  budget.mIn =
    Limits(all - std::min(all, pages),
           Part(memory, kUnreadInPart),
           Part(memory, kHeldInPart),
           aUse == connection_use::Incoming ? kSmallWindow : kLargeWindow);
  budget.mPage = kPage;
  budget.mOut = Limits(shares.mOutgoing,
                       Part(memory, kUnreadOutPart),
                       Part(memory, kHeldOutPart),
                       kSmallWindow);
  budget.mMaxPeers = std::max<std::size_t>(
    shares.mReserved * kPeerNumerator / kPeerDenominator, 1);
  budget.mMaxPeerBytes = Part(memory, kPeersPart);
  return budget;
}

std::size_t
MemoryLimit(std::size_t aSettingsSay)
{
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long bytes = ::sysconf(_SC_PAGESIZE);
  if (pages <= 0 || bytes <= 0) {
    return aSettingsSay;
  }
  const std::size_t machine =
    static_cast<std::size_t>(pages) * static_cast<std::size_t>(bytes);
  return aSettingsSay == 0 ? machine : std::min(machine, aSettingsSay);
}

} // namespace oriolewalk
