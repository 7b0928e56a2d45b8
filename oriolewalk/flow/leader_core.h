#pragma once

// What the leader decides of jobs and workers: answers to callers, starts,
// stops, questions to the policy service. Made at the start of each term and
// dropped at its end, so that nothing of an older term can act.
//
//   leading lead(state, options, port, term, now);
//   lead.Ask(call, request);
//   lead.Applied(command, outcome, ours);
//   lead.Tick();
//
// leading.cc holds what drives it, leading_calls.cc the answers,
// leading_plans.cc the plans, leading_runs.cc the runs, leading_advice.cc the
// questions to the policy service, leading_notes.cc the log.
//
// It acts through `leading_port`: proposing, answering. Time is set by the
// owner before each call. The flow core owns it; control thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/interference_control.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/plan_timer.h"
#include "oriolewalk/flow/planner.h"
#include "oriolewalk/flow/relay_assignment.h"
#include "oriolewalk/flow/straggler_detector.h"
#include "oriolewalk/flow/suspect_isolation.h"
#include "oriolewalk/flow/waits.h"
#include "oriolewalk/flow/worker_health.h"
#include "oriolewalk/flow/worker_supervisor.h"

namespace oriolewalk::flow {

using call_number = std::uint64_t;

struct instant
{
  time_point mNow{};
  std::int64_t mWallMs = 0;
};

// A question for an advisor to carry.
struct advice_call
{
  std::uint64_t mId = 0;
  std::string mAdvisor; // RPC address; our own: carried here
  advice_request mRequest;
};

struct leader_port
{
  using on_applied = std::function<void(const apply_outcome&)>;
  // False: not proposed, nothing will come of it.
  std::function<bool(command_body, on_applied)> mPropose;
  std::function<void(call_number, flow_answer)> mAnswer;
  std::function<void(call_number, error)> mFail;
  std::function<void(decision)> mLogDecision;
  // RPC addresses of the control processes that are heard, our own among them.
  std::function<std::vector<std::string>()> mMembers;
};

// An entry or a spare that was silent for so long carries nothing: three beats.
inline constexpr milliseconds kEntryTimeout{ 1'600 };

// "queued", "running", "done", "failed" or "cancelled".
std::string_view
StateName(const job_record& aJob);

class leader_core
{
public:
  // aLedUntil: as worker_keeper's.
  leader_core(const flow_state& aState,
              flow_options aOptions,
              leader_port aPort,
              std::uint64_t aTerm,
              instant aAt,
              time_point aLedUntil);

  void SetTime(instant aAt) { mAt = aAt; }
  void HandleRequest(call_number aCall, const flow_request& aRequest);
  // A command was applied, whoever proposed it.
  void OnApplied(const command_body& aCommand, const apply_outcome& aOutcome);
  void OnOrderAnswer(std::uint64_t aOrder, const order_answer& aAnswer);
  void OnAdviceAnswer(std::uint64_t aOrder, const result<approvals>& aAnswer);
  // Orders could not be handed over to this control process.
  void OnRelayFailure(const std::string& aAddress);
  void Tick();
  // Plans, if anything has changed. After a batch of events.
  void PlanIfDue();

  std::vector<worker_order> TakeOrders();
  std::vector<advice_call> TakeAdviceCalls();

private:
  struct open_question
  {
    std::string mAdvisor;
    step_ref mStep;
    std::string mQueue;
    std::int64_t mValidMs = 0;
    std::vector<std::pair<worker_number, worker_id>> mAsked;
    time_point mAt{};
    bool mFirst = false; // of a queue that comes first
  };

  void On(call_number aCall, const entry_heartbeat& aBeat);
  void On(call_number aCall, const job_submission& aJob);
  void On(call_number aCall, const job_query& aQuery);
  void On(call_number aCall, const job_cancellation& aCancel);
  void On(call_number aCall, const worker_heartbeat& aBeat);
  void On(call_number aCall, const heartbeat_summary& aSummary);
  void On(call_number aCall, const worker_deregistration& aFarewell);
  void On(call_number aCall, const table_change& aChange);
  void On(call_number aCall, const table_read& aRead);
  void On(call_number aCall, const join_request& aJoin);
  void On(call_number aCall, const leader_probe& aProbe);

  void Propose(command_body aBody, leader_port::on_applied aThen = {});
  // Proposes; the call is answered with aAnswer once it is applied.
  void ProposeAndAnswer(call_number aCall,
                        command_body aBody,
                        flow_answer aAnswer);
  void AnswerState(call_number aCall, const job_record& aJob);
  void BeginStarted(const std::vector<run_start>& aProposed,
                    const apply_outcome& aOutcome);
  void StopRuns(const job_id& aId, const job_record& aJob);
  void StopStep(const step_ref& aStep, const step_record& aRecord);
  void StopUnwanted();
  void TakeBackStragglers();
  void StopStragglers(const job_id& aId, const job_record& aJob);
  void LearnFrom(const end_runs& aEnds);
  void NoteEnds(const end_runs& aEnds);
  // Tasks that crashed their workers, for which their jobs have ended.
  void NoteGivenUp(const std::vector<task_ref>& aTasks);
  void NoteStarts(const std::vector<run_start>& aStarts);
  void SharePace(worker_number aWorker, const worker_view& aView);
  void StopBrokenGangs(const job_id& aId, const job_record& aJob);
  void OpenDue();
  void ForgetOld();
  void PumpKeeper();
  // This life of the worker is over.
  void ForgetWorker(worker_number aWorker);
  [[nodiscard]] std::vector<plan_worker> UsableWorkers() const;
  [[nodiscard]] plan_input MakeInput(plan_scope aScope);
  // Whether what was applied may let a step that comes first go on.
  [[nodiscard]] bool ConcernsFirst(const command_body& aCommand) const;
  void NoteAccepted(const std::string& aId,
                    const queue_row& aQueue,
                    const job_spec& aSpec);
  void NoteWaits(const plan_result& aPlan);
  void NoteShortage(const plan_result& aPlan, std::size_t aWorkers);
  void Start(std::vector<planned_start> aStarts);
  void MakeWay(const std::vector<planned_preemption>& aStops);
  void ForgetYielded();
  void AskPolicy(const advice_query& aQuestion);
  [[nodiscard]] std::vector<std::string> FreeAdvisors() const;
  // Control processes that are heard, but for this one; spares first, since
  // they neither vote nor store.
  [[nodiscard]] std::vector<std::string> OtherControls() const;
  void ChooseCarriers();
  // Whether there are so many workers that other control processes share in
  // what doesn't need the leader.
  [[nodiscard]] bool IsLarge() const;
  [[nodiscard]] advisor_load AdvisorLoad();
  // Of a worker that is known: as in worker_facts.
  [[nodiscard]] std::int64_t BornOf(worker_number aWorker) const;
  void NoteLateBeat(const worker_heartbeat& aBeat, worker_number aKnown);
  void NoteRestart(worker_number aKnown);
  [[nodiscard]] static bool IsOfEarlierLife(
    const worker_deregistration& aFarewell,
    const worker_record& aKnown);
  [[nodiscard]] bool IsWorkerChanged(const worker_description& aFacts,
                                     bool aDraining,
                                     worker_number aNumber) const;
  // What a heartbeat of a known life says of its worker.
  [[nodiscard]] worker_description FactsOf(const worker_heartbeat& aBeat,
                                           worker_number aNumber) const;
  void Register(call_number aCall,
                const worker_heartbeat& aBeat,
                worker_description aFacts);

  const flow_state& mState;
  flow_options mOptions;
  leader_port mPort;
  instant mAt;
  worker_supervisor mKeeper;
  advice_cache mAdvice;
  worker_health mHealth;
  straggler_detector mStragglers;
  wait_tracker mWaits;
  interference_control mSharing;
  plan_timer mPace;
  std::size_t mFirstWaiting = 0; // tasks of the first queues, in the last plan
  time_point mShortNotedAt{};
  time_point mSweptAt{};
  time_point mSlowSweptAt{};
  // Proposed and not yet applied.
  std::map<task_ref, worker_number> mProposed;
  std::map<worker_number, cell::resources> mProposedRoom;
  std::map<run_ref, std::string> mTickets; // of proposed starts
  // Runs that were told to give way and may still be under way, and where.
  std::map<run_ref, worker_number> mYielding;
  preemption_records mYields;
  suspect_isolation mProbation;
  std::map<std::string, time_point> mEntries;
  std::map<std::string, time_point> mSpares; // control processes, not members
  relay_assignment mCarriers;
  std::map<std::string, time_point> mAsideUntil; // advisors
  std::map<std::uint64_t, open_question> mOpenQuestions;
  std::set<step_ref> mAsking;
  std::map<step_ref, std::vector<worker_number>> mNamed; // by those questions
  std::set<step_ref> mNothingToAsk;                      // since mAskedAllAt
  time_point mAskedAllAt{};
  recent_peak mFirstPeak; // questions of the first queues at a time
  std::uint64_t mLastQuestion;
  std::vector<advice_call> mQuestions;
};

} // namespace oriolewalk::flow
