#pragma once

// Carries out the operators' waves of upkeep for the leader: shows the planner
// of upkeep what runs on the machines, asks the availability budget, and turns
// what was planned into stops, calls and commands.
//
//   wave_executor waves(state, options, term, now);
//   if (waves.IsDraining(worker)) { /* nothing new may be placed there */ }
//   wave_step step = waves.Step(views, proposed, at);
//   // stop step.mStops, propose step.mCommands, log step.mDecisions
//   for (auto& call : waves.TakeCalls()) { /* to the machine service */ }
//   waves.OnAnswer(call, answer, now);
//
// Without a wave it does nothing. Soft state of one leader; the waves are in
// the replicated state. Does no I/O.

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/availability_budget.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/worker_supervisor.h"
#include "oriolewalk/machines/upkeep_planner.h"

namespace oriolewalk::flow {

struct wave_step
{
  std::vector<run_start> mStops; // runs and their workers
  std::vector<command_body> mCommands;
  std::vector<decision> mDecisions;
  // Workers that are now drained or no more.
  std::vector<worker_number> mChangedWorkers;
};

class wave_executor
{
public:
  wave_executor(const flow_state& aState,
                const flow_options& aOptions,
                std::uint64_t aTerm,
                time_point aNow);

  // To be called about every 100 ms. aProposed: starts that aren't applied yet.
  wave_step Step(const std::map<worker_number, worker_view>& aViews,
                 const std::map<task_ref, worker_number>& aProposed,
                 time_point aNow,
                 std::int64_t aWallMs);
  void OnAnswer(std::uint64_t aCall,
                const machines::call_answer& aAnswer,
                time_point aNow)
  {
    mPlanner.OnAnswer(aCall, aAnswer, aNow);
  }
  std::vector<machines::machine_call> TakeCalls();
  [[nodiscard]] bool IsDraining(worker_number aWorker) const
  {
    return mDraining.contains(aWorker);
  }

private:
  struct run_at
  {
    run_ref mRun;
    worker_number mWorker = 0;
  };
  // What one step looks at. The keys of the planner's runs are indexes of
  // mRuns.
  struct step_view
  {
    const std::map<worker_number, worker_view>& mViews;
    const std::map<task_ref, worker_number>& mProposed;
    time_point mNow;
    std::vector<run_at> mRuns;
  };

  std::vector<machines::machine_run> RunsAt(step_view& aView,
                                            const worker_id& aWorker) const;
  [[nodiscard]] machines::run_kind KindOf(const step_view& aView,
                                          const run_at& aRun) const;
  void ObserveTasks(const step_view& aView);
  void ObserveStep(const step_view& aView,
                   const step_ref& aStep,
                   const step_record& aRecord);
  std::vector<std::uint64_t> Grant(const step_view& aView,
                                   std::span<const std::uint64_t> aRuns);
  // Updates the workers at which nothing may be placed.
  void UpdateDraining(const machines::upkeep_actions& aActions,
                      const step_view& aView,
                      wave_step& aStep);
  void ProposeRecords(const machines::upkeep_actions& aActions,
                      time_point aNow,
                      wave_step& aStep);

  const flow_state& mState;
  machines::upkeep_planner mPlanner;
  availability_budget mBudget;
  std::set<worker_number> mDraining;
  // Workers whose machines had an order, and when that was first known. Nothing
  // is placed there until it is seen that they go on or have gone.
  std::map<worker_number, time_point> mOrdered;
  std::map<machines::settled_machine, time_point> mProposedRecords;
  std::vector<machines::machine_call> mCalls;
};

// The lines of the decision log for a wave's commands, once they are applied.
std::vector<decision>
DescribeUpkeep(const record_upkeep& aRecord,
               const flow_state& aState,
               std::int64_t aWallMs);

} // namespace oriolewalk::flow
