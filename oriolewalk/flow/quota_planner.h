#pragma once

// How many tasks each organisation may still start within a plan.
//
//   quota_planner quotas(state, proposed);
//   if (quotas.Startable(step, step.mWaiting.size()) == 0) { ... }
//   quotas.Hold(step, started);
//
// It counts the runs that may be in progress, starts that aren't applied yet
// and what the plan gives out. Steps are served in order, so an earlier step of
// an organisation takes from the quota before a later one.
//
// Owned by a plan. Pure; accounts are copied when they are first needed.

#include <cstddef>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/organisations/quota.h"

namespace oriolewalk::flow {

class quota_planner
{
public:
  // aProposed: starts that are not applied yet.
  quota_planner(const flow_state& aState,
                const std::map<task_ref, worker_number>& aProposed);

  // How many of aWaiting tasks of the step may start together; all or none of a
  // gang.
  [[nodiscard]] std::size_t Startable(const job_record& aJob,
                                      const step_spec& aStep,
                                      std::size_t aWaiting);
  // Whether no further task of the step, or member of the gang, may start.
  [[nodiscard]] bool IsExhausted(const job_record& aJob,
                                 const step_spec& aStep);
  // Whether the step's tasks run alone, each larger than the maximum.
  [[nodiscard]] bool IsOversize(const job_record& aJob, const step_spec& aStep);
  // Takes aTasks tasks of the step from the quota.
  void Hold(const job_record& aJob, const step_spec& aStep, std::size_t aTasks);
  // Leaves nothing to later steps of the organisation until a gang, or a task
  // that runs alone, can start. Without this, smaller tasks of the organisation
  // would keep it waiting for ever. A gang that is larger than the maximum
  // can't start and leaves the quota to the others.
  void HoldForWhole(const job_record& aJob,
                    const step_spec& aStep,
                    std::size_t aTasks);

private:
  // Null if nobody owns the job.
  organisations::quota_account* AccountOf(const job_record& aJob);

  const flow_state& mState;
  organisations::quota_accounts mAccounts;
  // Organisations whose whole quota is held for one step.
  std::unordered_set<organisation_id> mHeld;
};

} // namespace oriolewalk::flow
