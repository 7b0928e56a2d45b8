#pragma once

// Decides which steps may query the policy service now. The advisors, which
// are the instances that relay one advice query at a time each, are shared
// between the queues.
//
//   advisor_pool pool(load, steps, advice, openQueries);
//   if (pool.CanQuery(step)) { ...; pool.OnQuery(step); }
//
// Queries take 0.03 to 1.5 s, several queues issue them, and there are fewer
// advisors than pending queries. Without a share of its own, a lower-priority
// queue never gets an advisor, however much capacity is free. Without advisors
// reserved for the top-priority queue, its short query waits for other queues'
// long ones.
//
// Pure; one object per plan. The constructor is linear in the steps.

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

#include "oriolewalk/flow/plan_types.h"

namespace oriolewalk::flow {

struct advisor_load
{
  std::size_t mFree = 0;
  std::size_t mTotal = 0; // including those that relay a query
  // Advisors that relay a query, by the queue that it is for.
  std::map<std::string, std::size_t, std::less<>> mUsed;
  // The recent maximum of advisors in use by the top-priority queues.
  std::size_t mTopPriorityPeak = 0;
};

// The maximum of the recent counts. A count expires after kSpan to 2 * kSpan.
class recent_peak
{
public:
  std::size_t Record(std::size_t aCount, time_point aNow);

private:
  // Covers two waves of arrivals.
  static constexpr seconds kSpan{ 10 };

  time_point mSpanStart{};
  std::size_t mPeak = 0;     // in the current span
  std::size_t mLastPeak = 0; // in the previous span
};

class advisor_pool
{
public:
  // aOpenQueries: steps that have a query in flight.
  advisor_pool(const advisor_load& aLoad,
               std::span<const open_step> aSteps,
               const advice_cache& aAdvice,
               const std::set<step_ref>& aOpenQueries);

  [[nodiscard]] bool CanQuery(const open_step& aStep) const;
  void OnQuery(const open_step& aStep);
  // There are more advisors than queries, so queries may be sent ahead of
  // need.
  [[nodiscard]] bool HasSurplus() const;

private:
  // A queue's usage of the advisors outside the top-priority reserve.
  struct queue_usage
  {
    std::size_t mUsed = 0;
    std::size_t mWanted = 0; // steps without any verdict or query
  };

  [[nodiscard]] std::size_t ReservedFor(const queue_usage& aOther) const;

  std::size_t mFree;
  std::size_t mTotal;
  std::size_t mReserved;       // for top-priority queues and long-running tasks
  std::size_t mGuaranteed = 0; // for each queue, outside that reserve
  std::map<std::string, queue_usage, std::less<>> mUsage;
};

} // namespace oriolewalk::flow
