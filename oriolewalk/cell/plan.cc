// Implements Plan and starts its periodic housekeeping.

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

// Declares all workers whose lease has certainly expired lost in one command.
// The loss of a rack or data centre is then one event, and its tasks are
// rescheduled in scheduling order rather than in the order of the timers.
void
PlanLosses(plan_context& aPlan)
{
  soft_state& soft = aPlan.mSoft;
  const auto bound = soft.mOptions.mLease + soft.mOptions.mDriftBound;
  workers_lost lost;
  const auto workers = aPlan.mState.Workers();
  for (worker_slot slot = 0; slot < workers.size(); ++slot) {
    worker_view& view = soft.mWorkers[slot];
    const worker_record& worker = workers[slot];
    if (!worker.mKnown || !worker.mPresent || view.mLossProposed) {
      continue;
    }
    const duration silence = aPlan.mNow.mNow - view.mLastContact;
    if (silence > soft.mOptions.mQuiet && soft.mIndex.Contains(slot)) {
      soft.Refresh(aPlan.mState, slot, aPlan.mNow.mNow);
    }
    if (silence > bound) {
      view.mLossProposed = true;
      soft.Refresh(aPlan.mState, slot, aPlan.mNow.mNow);
      lost.mLives.push_back({ worker.mId, worker.mBoot });
    }
  }
  if (!lost.mLives.empty()) {
    aPlan.mCommands.emplace_back(std::move(lost));
  }
}

} // namespace

bool
PlanHousekeeping(plan_context& aPlan, const cell_policy& aPolicy)
{
  soft_state& soft = aPlan.mSoft;
  if (!soft.mQuotasProposed && aPlan.mState.Quotas() != aPolicy.mQuotas) {
    soft.mQuotasProposed = true;
    aPlan.mCommands.emplace_back(quotas_changed{ aPolicy.mQuotas });
  }
  if (aPlan.mNow.mNow < soft.mNextHousekeeping) {
    return false;
  }
  soft.mNextHousekeeping = aPlan.mNow.mNow + soft.mOptions.mHousekeeping;
  PlanLosses(aPlan);
  if (soft.mHealth.HasSuspects()) {
    soft.RefreshAll(aPlan.mState, aPlan.mNow.mNow); // A probe may be due.
  }
  MaintainReservations(aPlan);
  LiftThrottles(aPlan);
  PlanDrains(aPlan);
  return true;
}

std::vector<cell_command>
cell_scheduler::Plan(const cell_state& aState,
                     const cell_policy& aPolicy,
                     const instant& aNow)
{
  if (!mSoft->mLeading) {
    return {};
  }
  mSoft->ReadPolicy(aState, aPolicy);
  plan_context plan{ *mSoft, aState, aNow, {}, {} };
  if (PlanHousekeeping(plan, aPolicy)) {
    PlanAged(plan);
  }
  PlanStarts(plan);
  if (!plan.mStarts.mPlacements.empty()) {
    plan.mCommands.emplace_back(std::move(plan.mStarts));
  }
  return std::move(plan.mCommands);
}

} // namespace oriolewalk::cell
