#include "oriolewalk/flow/worker_order.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolewalk::flow {

timed_order_batch
MakeTimedBatch(order_batch aBatch, time_point aSentAt)
{
  timed_order_batch timed;
  timed.mSentAtNs = aSentAt.time_since_epoch().count();
  std::ranges::transform(
    aBatch.mOrders,
    std::back_inserter(timed.mRemainingNs),
    [&](const worker_order& aOrder) -> std::optional<std::int64_t> {
      if (!aOrder.mSendBefore) {
        return std::nullopt;
      }
      return duration(*aOrder.mSendBefore - aSentAt).count();
    });
  timed.mBatch = std::move(aBatch);
  return timed;
}

std::vector<worker_order>
TakeOrders(timed_order_batch aBatch, time_point aReceivedAt, duration aExcess)
{
  std::vector<worker_order> orders = std::move(aBatch.mBatch.mOrders);
  const std::size_t timed = std::min(orders.size(), aBatch.mRemainingNs.size());
  for (std::size_t at = 0; at < timed; ++at) {
    if (const auto remaining = aBatch.mRemainingNs[at]) {
      orders[at].mSendBefore = aReceivedAt - aExcess + duration(*remaining);
    }
  }
  return orders;
}

} // namespace oriolewalk::flow
