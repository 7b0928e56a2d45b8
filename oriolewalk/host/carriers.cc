#include "oriolewalk/host/carriers.h"

#include <variant>

namespace oriolewalk::host {

namespace {

// Added to what the order itself may take: the way there and back, and what
// waits in front of it.
constexpr milliseconds kWay{ 250 };

} // namespace

std::string
carriers::For(flow::worker_number aWorker,
              std::span<const std::string> aOthers,
              std::size_t aWorkers) const
{
  if (aWorkers <= kLeastWorkers || aOthers.empty()) {
    return {};
  }
  const auto shift = mShift.find(aWorker);
  const std::size_t place =
    aWorker + (shift == mShift.end() ? 0 : shift->second);
  return aOthers[place % aOthers.size()];
}

void
carriers::Sent(const flow::worker_order& aOrder, time_point aNow)
{
  const auto* look = std::get_if<flow::hold_order>(&aOrder.mBody);
  const milliseconds wait(look == nullptr ? 0 : look->mWaitMs);
  mOpen[aOrder.mId] = { aOrder.mWorker,
                        aNow + wait + mOptions.mAnswerBound + kWay };
}

bool
carriers::Answered(std::uint64_t aOrder, flow::order_result aResult)
{
  const auto open = mOpen.extract(aOrder);
  if (open.empty()) {
    return false;
  }
  if (aResult == flow::order_result::NoAnswer ||
      aResult == flow::order_result::NotSent) {
    ++mShift[open.mapped().mWorker];
  }
  return true;
}

std::vector<std::uint64_t>
carriers::TakeLost(time_point aNow)
{
  std::vector<std::uint64_t> lost;
  std::erase_if(mOpen, [&](const auto& aOpen) {
    if (aNow < aOpen.second.mDue) {
      return false;
    }
    ++mShift[aOpen.second.mWorker];
    lost.push_back(aOpen.first);
    return true;
  });
  return lost;
}

void
carriers::Clear()
{
  mOpen.clear();
}

} // namespace oriolewalk::host
