// Leadership changes and the outcomes of proposals.

#include "oriolewalk/cell/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/learning.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/soft_state.h"

namespace oriolewalk::cell {
namespace {

proposal_kind
KindOf(stop_mode aMode)
{
  switch (aMode) {
    case stop_mode::Throttle:
      return proposal_kind::Throttle;
    case stop_mode::Checkpoint:
      return proposal_kind::Checkpoint;
    case stop_mode::None:
    case stop_mode::Stop:
      break;
  }
  return proposal_kind::Stop;
}

// Clears a command that is no longer in flight, whether applied or dropped.
void
ClearProposal(soft_state& aSoft,
              const cell_state& aState,
              const cell_command& aCommand,
              const instant& aNow)
{
  const auto clear = [&](proposal_kind aKind, const task_id& aTask) {
    aSoft.mProposed.erase({ aKind, aTask });
  };
  std::visit(
    overloaded{
      [&](const start_tasks& aCase) {
        for (const placement& each : aCase.mPlacements) {
          aSoft.ClearStart(aState, each.mTask, aNow.mNow);
        }
      },
      [&](const stop_task& aCase) { clear(KindOf(aCase.mMode), aCase.mTask); },
      [&](const task_throttled& aCase) {
        clear(proposal_kind::Throttled, aCase.mTask);
      },
      [&](const resume_task& aCase) {
        clear(proposal_kind::Resume, aCase.mTask);
      },
      [&](const task_ended& aCase) {
        clear(proposal_kind::Ended, aCase.mTask);
      },
      [&](const workers_lost& aCase) {
        for (const worker_life& incarnation : aCase.mLives) {
          if (const auto slot = aState.FindSlot(incarnation.mWorker)) {
            aSoft.mWorkers[*slot].mLossProposed = false;
          }
        }
      },
      [&](const quotas_changed&) { aSoft.mQuotasProposed = false; },
      [](const auto&) {},
    },
    aCommand);
}

void
OnAnnouncement(soft_state& aSoft,
               const cell_state& aState,
               const worker_id& aWorker,
               const instant& aNow)
{
  const auto slot = aState.FindSlot(aWorker);
  if (!slot) {
    return;
  }
  aSoft.Refresh(aState, *slot, aNow.mNow);
  // Conservative: the lease started earlier, when the worker sent its
  // announcement.
  aSoft.mWorkers[*slot].mLastContact = aNow.mNow;
  aSoft.mWorkers[*slot].mHasContact = true;
  // A proposed loss stays proposed. If leases were granted again after this
  // incarnation's announcement, the loss would then record tasks as ended that
  // still run under these leases. Polls get no lease until it is resolved.
}

std::string
HealthKey(const job_record& aJob)
{
  return aJob.mSpec.mFamily.empty() ? ToString(aJob.mNumber)
                                    : FamilyKey(aJob.mSpec);
}

// Updates family estimates and worker health from ended attempts.
void
LearnFromEnds(soft_state& aSoft,
              const cell_state& aState,
              const apply_outcome& aOutcome,
              const instant& aNow)
{
  for (const ended_attempt& end : aOutcome.mEnded) {
    aSoft.mBackfilled.erase(end.mTask);
    const job_record* job = aState.FindJob(end.mTask.mJob);
    const bool failed = end.mResult == attempt_result::Failed;
    const bool succeeded = end.mResult == attempt_result::Succeeded;
    if (job == nullptr || (!failed && !succeeded)) {
      continue;
    }
    aSoft.mHealth.SetWorkers(aState.Workers().size());
    aSoft.mHealth.OnResult(end.mWorker, HealthKey(*job), failed, aNow.mNow);
    if (succeeded) {
      aSoft.mLearning.OnRunEnd(job->mSpec, end.mRanMs);
    }
    const bool again = failed && !IsFinal(job->mTasks[end.mTask.mIndex].mState);
    if (again) {
      aSoft.mFailedOn[end.mTask].push_back(end.mWorker);
    } else {
      aSoft.mFailedOn.erase(end.mTask);
    }
    aSoft.Refresh(aState, end.mWorker, aNow.mNow);
  }
}

// Finds the throttles that an earlier leader requested.
void
FindThrottled(soft_state& aSoft, const cell_state& aState)
{
  for (const worker_record& worker : aState.Workers()) {
    for (const task_id& id : worker.mTasks) {
      if (aState.FindTask(id)->mStop == stop_mode::Throttle) {
        aSoft.mThrottled.insert(id);
      }
    }
  }
}

} // namespace

cell_scheduler::cell_scheduler(const scheduler_options& aOptions,
                               std::uint64_t aSeed)
  : mSoft(std::make_unique<soft_state>(aOptions, aSeed))
{
}

cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler&
cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

void
cell_scheduler::BecomeLeader(const cell_state& aState, const instant& aNow)
{
  constexpr std::uint64_t kSeeds = 1ULL << 62;
  const std::uint64_t seed = mSoft->mRandom.Below(kSeeds);
  *mSoft = soft_state(mSoft->mOptions, seed);
  mSoft->mLeading = true;
  mSoft->mNextHousekeeping = aNow.mNow;
  mSoft->mOrganisationInFlight.resize(aState.Organisations().size());
  mSoft->mRecoveryAt = aNow.mNow;
  mSoft->RefreshAll(aState, aNow.mNow);
  FindThrottled(*mSoft, aState);
}

void
cell_scheduler::StepDown()
{
  mSoft->mLeading = false;
}

bool
cell_scheduler::IsLeading() const
{
  return mSoft->mLeading;
}

void
cell_scheduler::OnApplied(const cell_state& aState,
                          const cell_command& aCommand,
                          const apply_outcome& aOutcome,
                          const instant& aNow)
{
  if (!mSoft->mLeading) {
    return;
  }
  soft_state& soft = *mSoft;
  soft.mOrganisationInFlight.resize(aState.Organisations().size());
  if (soft.mWorkers.size() < aState.Workers().size()) {
    soft.mWorkers.resize(aState.Workers().size());
  }
  if (const auto* announced = std::get_if<register_worker>(&aCommand);
      announced != nullptr && !aOutcome.mRefusal) {
    OnAnnouncement(soft, aState, announced->mWorker, aNow);
  }
  ClearProposal(soft, aState, aCommand, aNow);
  for (const worker_slot slot : aOutcome.mWorkers) {
    soft.Refresh(aState, slot, aNow.mNow);
  }
  LearnFromEnds(soft, aState, aOutcome, aNow);
  if (const auto* stopped = std::get_if<stop_task>(&aCommand);
      stopped != nullptr && !aOutcome.mRefusal &&
      stopped->mMode == stop_mode::Throttle) {
    soft.mThrottled.insert(stopped->mTask);
  }
}

void
cell_scheduler::OnDropped(const cell_state& aState,
                          const cell_command& aCommand,
                          const instant& aNow)
{
  if (mSoft->mLeading) {
    ClearProposal(*mSoft, aState, aCommand, aNow);
  }
}

} // namespace oriolewalk::cell
