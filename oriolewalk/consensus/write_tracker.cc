#include "oriolewalk/consensus/write_tracker.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolewalk::consensus {

ticket_t
write_tracker::Issue(log_index aLast)
{
  ++mIssued;
  mBatches.push_back({ mIssued, aLast });
  return mIssued;
}

void
write_tracker::Hold(ticket_t aTicket, message aMessage)
{
  mHeld.emplace_back(aTicket, std::move(aMessage));
}

std::vector<message>
write_tracker::Persisted(ticket_t aTicket)
{
  mDone = std::max(mDone, std::min(aTicket, mIssued));
  while (!mBatches.empty() && mBatches.front().mTicket <= mDone) {
    mDurable = std::max(mDurable, mBatches.front().mLast);
    mBatches.pop_front();
  }
  std::vector<message> freed;
  while (!mHeld.empty() && mHeld.front().first <= mDone) {
    freed.push_back(std::move(mHeld.front().second));
    mHeld.pop_front();
  }
  return freed;
}

void
write_tracker::Truncate(log_index aFrom)
{
  mDurable = std::min(mDurable, aFrom - 1);
  for (batch& each : mBatches) {
    each.mLast = std::min(each.mLast, aFrom - 1);
  }
}

} // namespace oriolewalk::consensus
