#pragma once

// Tracks why steps wait and for how long. The leader logs the result, so that
// the waits of a job can be looked up by its id.
//
//   wait_tracker tracker;
//   for (const ended_wait& wait : tracker.Update(plan.mWaits, now)) {
//     // log wait.mTimes
//   }
//
// Soft state of the leader; control thread only. A call is linear in the
// waiting steps.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/advice_cache.h"

namespace oriolewalk::flow {

enum class wait_cause : std::uint8_t
{
  Verdict, // a query for the workers that may run the step is in flight
  Advisor, // a query waits for an advisor
  Ticket,  // an approved worker has capacity; its ticket is being renewed
  Room,    // no approved worker has free capacity
  Gang,    // members of the last attempt haven't ended
  Nowhere, // no usable worker is approved for the step
  Quota,   // its organisation has its maximum running
};

constexpr std::size_t kWaitCauses = 7;

std::string_view
ToString(wait_cause aCause);

struct waiting_step
{
  step_ref mStep;
  std::string_view mQueue; // valid while the queue table is in force
  wait_cause mCause = wait_cause::Room;
  std::size_t mTasks = 0;
};

using wait_times = std::array<duration, kWaitCauses>;

struct ended_wait
{
  step_ref mStep;
  wait_times mTimes{};
};

class wait_tracker
{
public:
  // aWaiting: the waiting steps of a plan made at aNow. Attributes the time
  // since the previous plan to the cause that each step had in that plan.
  // Returns the steps that no longer wait.
  std::vector<ended_wait> Update(std::span<const waiting_step> aWaiting,
                                 time_point aNow);

private:
  struct open_wait
  {
    wait_cause mCause = wait_cause::Room;
    time_point mSince{};
    wait_times mTimes{};
    std::uint64_t mPlan = 0; // the last plan in which the step waited
  };

  std::map<step_ref, open_wait> mOpen;
  std::uint64_t mPlan = 0;
};

} // namespace oriolewalk::flow
