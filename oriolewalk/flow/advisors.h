#pragma once

// Which steps may put a question to the policy service now: the advisors (the
// instances that carry one question at a time each) shared between queues.
//
//   advisor_pool pool(load, steps, advice, now);
//   if (pool.MayAsk(step)) { ...; pool.Asked(step); }
//
// The load it answers: questions of 0.03 to 1.5 s from several queues, and
// fewer advisors than questions. Without a share of its own, a later queue is
// never asked about: 1,500 of its tasks waited for an advisor while 14,000
// processors were free. Without a reserve for the first queue, its 0.05 s
// question waits for others of 0.7 s.
//
// Pure; one plan's. Cost of the constructor: the steps.

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
  std::size_t mTotal = 0; // with those that carry a question
  // Of those, by the queue that it is for.
  std::map<std::string, std::size_t, std::less<>> mUsed;
  // The most that the first queues had at a time of late.
  std::size_t mTopPriorityPeak = 0;
};

// The highest of the last counts, forgotten after kSpan to 2 kSpan.
class recent_peak
{
public:
  std::size_t Record(std::size_t aCount, time_point aNow);

private:
  // Two waves of arrivals.
  static constexpr seconds kSpan{ 10 };

  time_point mSince{};
  std::size_t mPeak = 0; // of the present span
  std::size_t mLast = 0; // of the one before
};

class advisor_pool
{
public:
  // aAsking: steps about which a question is under way.
  advisor_pool(const advisor_load& aLoad,
               std::span<const open_step> aSteps,
               const advice_cache& aAdvice,
               const std::set<step_ref>& aAsking);

  [[nodiscard]] bool CanQuery(const open_step& aStep) const;
  void OnQuery(const open_step& aStep);
  // More advisors than work for them: questions may be put ahead of time.
  [[nodiscard]] bool HasSurplus() const;

private:
  // A queue's part in what is not kept for the first queues.
  struct part
  {
    std::size_t mUsed = 0;
    std::size_t mWants = 0; // steps that were never asked about
  };

  [[nodiscard]] std::size_t ReservedFor(const part& aOther) const;

  std::size_t mFree;
  std::size_t mTotal;
  std::size_t mKept;     // for the first queues, and for tasks that last
  std::size_t mFair = 0; // what each queue is sure of in the rest
  std::map<std::string, part, std::less<>> mParts;
};

} // namespace oriolewalk::flow
