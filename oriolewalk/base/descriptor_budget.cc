#include "oriolewalk/base/descriptor_budget.h"

#include <algorithm>

#include <sys/resource.h>

namespace oriolewalk {

namespace {

// A quarter: at 4,096 it is a link each to and from 500 of our processes, and
// the log's two dozen files.
constexpr std::size_t kReservedPart = 4;
// Of the rest. A worker takes one connection in (its heartbeats) and up to
// three out (a look that waits, starts and stops beside it).
constexpr std::size_t kIncomingPart = 3;
// Where nothing says otherwise: what systems commonly give.
constexpr std::size_t kUsualLimit = 1'024;

} // namespace

descriptor_shares
SharesOf(std::size_t aLimit)
{
  descriptor_shares shares;
  shares.mReserved = std::max<std::size_t>(aLimit / kReservedPart, 1);
  const std::size_t rest = aLimit - std::min(aLimit, shares.mReserved);
  shares.mIncoming = std::max<std::size_t>(rest / kIncomingPart, 1);
  shares.mOutgoing =
    std::max<std::size_t>(rest - std::min(rest, shares.mIncoming), 1);
  return shares;
}

std::size_t
DescriptorLimit(std::size_t aSettingsSay)
{
  rlimit system{};
  std::size_t limit = kUsualLimit;
  if (::getrlimit(RLIMIT_NOFILE, &system) == 0 &&
      system.rlim_cur != RLIM_INFINITY) {
    limit = static_cast<std::size_t>(system.rlim_cur);
  }
  return aSettingsSay == 0 ? limit : std::min(limit, aSettingsSay);
}

} // namespace oriolewalk
