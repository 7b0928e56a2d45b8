// Operators' waves of upkeep: the answers to operators, and what the leader
// does for open waves.

#include <algorithm>
#include <string>
#include <utility>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

// The same order again is acknowledged again, and another one under the same
// number is refused: both are decided where the order is committed.
void
leader_core::Handle(call_number aCall, const wave_start& aStart)
{
  const machines::wave_order& order = aStart.mOrder;
  if (const auto known = mState.Waves().find(order.mNumber);
      known != mState.Waves().end()) {
    mPort.mAnswer(aCall,
                  wave_answer{ known->second.mOrder == order
                                 ? wave_reply::Accepted
                                 : wave_reply::Conflict });
    return;
  }
  std::size_t bytes = order.Bytes();
  for (const auto& [number, wave] : mState.Waves()) {
    bytes += wave.mOrder.Bytes();
  }
  if (bytes > mOptions.mMaxWaveBytes) {
    mPort.mLogDecision({ "wave.refused",
                         { { "wave", std::to_string(order.mNumber) },
                           { "reason", "memory" },
                           { "bytes", std::to_string(bytes) } } });
    FailForRoom(aCall);
    return;
  }
  const bool proposed = mPort.mPropose(
    put_wave{ { order, mAt.mWallMs, {}, {} } },
    [this, aCall, order](const apply_outcome& aOutcome) {
      if (aOutcome.mError) {
        mPort.mAnswer(aCall, wave_answer{ wave_reply::Conflict });
        return;
      }
      mPort.mLogDecision(
        { "wave.accepted",
          { { "wave", std::to_string(order.mNumber) },
            { "machines", std::to_string(order.mMachines.size()) },
            { "duration_ms", std::to_string(order.mDurationMs) },
            { "max_down", std::to_string(order.mMaxCount) } } });
      mPort.mAnswer(aCall, wave_answer{ wave_reply::Accepted });
    });
  if (!proposed) {
    FailBusy(aCall);
  }
}

void
leader_core::Handle(call_number aCall, const wave_query& aQuery)
{
  const auto known = mState.Waves().find(aQuery.mNumber);
  if (known == mState.Waves().end()) {
    mPort.mAnswer(aCall, wave_answer{ wave_reply::NotFound });
    return;
  }
  mPort.mAnswer(aCall,
                wave_answer{ known->second.IsDone() ? wave_reply::Done
                                                    : wave_reply::Running });
}

void
leader_core::StepWaves()
{
  wave_step step =
    mWaves.Step(mSupervisor.Views(), mProposed, mAt.mNow, mAt.mWallMs);
  std::ranges::for_each(step.mDecisions, mPort.mLogDecision);
  for (const worker_number worker : step.mChangedWorkers) {
    mPlanWorkers.Invalidate(worker);
  }
  for (const run_start& stop : step.mStops) {
    mSupervisor.RequestStop(stop.mWorker, stop.mRun, mAt.mNow);
  }
  for (command_body& body : step.mCommands) {
    Propose(std::move(body));
  }
}

} // namespace oriolewalk::flow
