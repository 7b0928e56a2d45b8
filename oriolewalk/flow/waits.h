#pragma once

// Why steps wait, and for how long: for the log, so that it can be told from a
// job's id afterwards.
//
//   wait_account account;
//   for (const ended_wait& one : account.Note(plan.mWaits, now)) { /* log it */
//   }
//
// Soft state of the leader; control thread only. Cost of a call: linear in the
// steps that wait.

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
  Verdict, // the policy service is being asked which workers may run it
  Advisor, // that question waits for somebody to carry it
  Ticket,  // there is room, and its ticket is being renewed
  Room,    // no worker that may run it has room
  Gang,    // members of its last attempt aren't over
  Nowhere, // no worker that is known and sound may run it
};

constexpr std::size_t kWaitCauses = 6;

std::string_view
ToString(wait_cause aCause);

struct waiting_step
{
  step_ref mStep;
  std::string_view mQueue; // as long as the table holds
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
  // aWaiting: of a plan made at aNow. The time since the last plan goes to the
  // cause that each step had then. Returns the steps that wait no more.
  std::vector<ended_wait> Update(std::span<const waiting_step> aWaiting,
                                 time_point aNow);

private:
  struct open_wait
  {
    wait_cause mCause = wait_cause::Room;
    time_point mSince{};
    wait_times mTimes{};
    std::uint64_t mPlan = 0; // in which it waited last
  };

  std::map<step_ref, open_wait> mOpen;
  std::uint64_t mPlan = 0;
};

} // namespace oriolewalk::flow
