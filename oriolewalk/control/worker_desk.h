#pragma once

// The leader's work with workers: announcements, held polls, and what the cell
// scheduler proposes.
//
// A poll is held while there is nothing to say, so that a start arrives as
// soon as it is committed and a quiet worker costs one message a second. It is
// answered early when a command changed that worker's bookings.
//
// Owned by the control core while it leads. No I/O.

#include <cstdint>
#include <functional>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/control/call.h"
#include "oriolewalk/control/held_calls.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::control {

struct worker_output
{
  std::function<void(call_id, protocol::answer_body)> mAnswer;
  // False: it was not taken, and the scheduler is told so.
  std::function<bool(cell::cell_command)> mPropose;
};

class worker_desk
{
public:
  worker_desk(const cell::cell_state& aState,
              worker_output aOutput,
              std::uint64_t aSeed,
              const cell::instant& aNow);

  void SetPolicy(cell::cell_policy aPolicy) { mPolicy = std::move(aPolicy); }

  void Announce(call_id aCall,
                const protocol::worker_announcement& aWorker,
                const cell::instant& aNow);
  void Poll(call_id aCall,
            const protocol::worker_poll& aPoll,
            const cell::instant& aNow);
  void Applied(const cell::cell_command& aCommand,
               const cell::apply_outcome& aOutcome,
               const cell::instant& aNow);
  // Every 100 ms, and after a batch of commands was applied.
  void Plan(const cell::instant& aNow);
  void Tick(const cell::instant& aNow);

  [[nodiscard]] cell::explanation Explain(cell::job_number aJob,
                                          const cell::instant& aNow) const
  {
    return mScheduler.Explain(mState, aJob, aNow);
  }

private:
  using polls = held_calls<worker_id, protocol::worker_poll>;

  void Propose(const cell::cell_command& aCommand, const cell::instant& aNow);
  // Answers, or holds while there is nothing to say and aMayHold.
  void AnswerPoll(call_id aCall,
                  const protocol::worker_poll& aPoll,
                  time_point aUntil,
                  bool aMayHold,
                  const cell::instant& aNow);
  void AnswerAnnouncement(call_id aCall);

  const cell::cell_state& mState;
  worker_output mOutput;
  cell::cell_scheduler mScheduler;
  cell::cell_policy mPolicy;
  polls mPolls;
  // Announcements that wait for their registration to be committed.
  std::vector<std::pair<call_id, protocol::worker_announcement>> mAnnounced;
};

} // namespace oriolewalk::control
