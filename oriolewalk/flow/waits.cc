#include "oriolewalk/flow/waits.h"

namespace oriolewalk::flow {

std::string_view
ToString(wait_cause aCause)
{
  switch (aCause) {
    case wait_cause::Verdict:
      return "verdict";
    case wait_cause::Advisor:
      return "advisor";
    case wait_cause::Ticket:
      return "ticket";
    case wait_cause::Room:
      return "room";
    case wait_cause::Gang:
      return "gang";
    case wait_cause::Nowhere:
      return "nowhere";
    case wait_cause::Quota:
      return "quota";
  }
  return "unknown";
}

std::vector<ended_wait>
wait_tracker::Update(std::span<const waiting_step> aWaiting, time_point aNow)
{
  ++mPlan;
  const auto addElapsed = [aNow](open_wait& aWait) {
    aWait.mTimes.at(static_cast<std::size_t>(aWait.mCause)) +=
      aNow - aWait.mSince;
    aWait.mSince = aNow;
  };
  for (const waiting_step& step : aWaiting) {
    const auto [found, isNew] = mOpen.try_emplace(step.mStep);
    open_wait& wait = found->second;
    if (isNew) {
      wait.mSince = aNow;
    } else {
      addElapsed(wait);
    }
    wait.mCause = step.mCause;
    wait.mPlan = mPlan;
  }
  std::vector<ended_wait> ended;
  for (auto next = mOpen.begin(); next != mOpen.end();) {
    auto& [step, wait] = *next;
    if (wait.mPlan == mPlan) {
      ++next;
      continue;
    }
    addElapsed(wait);
    ended.push_back({ step, wait.mTimes });
    next = mOpen.erase(next);
  }
  return ended;
}

} // namespace oriolewalk::flow
