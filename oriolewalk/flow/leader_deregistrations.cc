// Workers that deregister before a planned end.
//
// The worker goes on until it receives the answer, or for seconds without one.
// Its tasks may start elsewhere only once its runs have certainly ended. The
// answer therefore waits, within a bound, until the worker has shown that: as
// long as it waits for the answer it still lists its ends.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

// Less than a control process waits for the leader's answer, which would
// otherwise count as a failure of the leader.
constexpr milliseconds kMaxDeregistrationWait{ 500 };

} // namespace

// A delayed deregistration must not end the next incarnation: its tasks would
// start a second time while they run. A deregistration without a process start
// time counts for a worker that drains, as workers do before they leave; for
// any other worker the next poll shows whether it restarted.
bool
leader_core::IsFromEarlierIncarnation(
  const worker_deregistration& aDeregistration,
  const worker_record& aKnown)
{
  if (aDeregistration.mProcessStartMs == 0) {
    return aKnown.mDescription.mProcessStartMs != 0 && !aKnown.mDraining;
  }
  return aDeregistration.mProcessStartMs < aKnown.mDescription.mProcessStartMs;
}

void
leader_core::Handle(call_number aCall,
                    const worker_deregistration& aDeregistration)
{
  const worker_number number = mState.NumberOf(aDeregistration.mId);
  if (number == 0 ||
      IsFromEarlierIncarnation(aDeregistration, *mState.FindWorker(number))) {
    mPort.mAnswer(aCall, acknowledgement{});
    return;
  }
  mPort.mLogDecision(
    { "worker.left",
      { { "worker", aDeregistration.mId.Value() },
        { "born", std::to_string(aDeregistration.mProcessStartMs) },
        { "runs", std::to_string(mState.RunsAt(number).size()) } } });
  mSupervisor.SaveCheckpoints(number);
  DrainSupervisor();
  ProposeHeldEnds();
  const worker_record& record = *mState.FindWorker(number);
  if (!record.mDraining) {
    // Starts that were proposed before are committed first, and are stopped.
    const bool proposed =
      mPort.mPropose(register_worker{ record.mDescription, true },
                     [this, number](const apply_outcome& /*aOutcome*/) {
                       mSupervisor.OnDeregistered(number);
                     });
    if (!proposed) {
      FailBusy(aCall);
      return;
    }
  } else {
    mSupervisor.OnDeregistered(number);
  }
  mDeregistrations[number].push_back(
    { aCall, mAt.mNow + kMaxDeregistrationWait });
}

void
leader_core::AnswerDeregistrations(worker_number aWorker)
{
  const auto open = mDeregistrations.extract(aWorker);
  if (open.empty()) {
    return;
  }
  for (const open_deregistration& one : open.mapped()) {
    mPort.mAnswer(one.mCall, acknowledgement{});
  }
}

// A worker that can't be reached, or whose runs take long to stop, is answered
// all the same. It is removed when its leases have expired.
void
leader_core::AnswerOverdueDeregistrations()
{
  std::vector<worker_number> overdue;
  for (const auto& [number, open] : mDeregistrations) {
    if (mAt.mNow >= open.front().mAnswerAt) {
      overdue.push_back(number);
    }
  }
  for (const worker_number number : overdue) {
    mPort.mLogDecision(
      { "worker.unconfirmed",
        { { "worker", mState.FindWorker(number)->mDescription.mId.Value() },
          { "runs", std::to_string(mState.RunsAt(number).size()) } } });
    AnswerDeregistrations(number);
  }
}

} // namespace oriolewalk::flow
