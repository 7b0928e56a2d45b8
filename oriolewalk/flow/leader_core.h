#pragma once

// The leader's decisions about jobs and workers: answers to callers, starts and
// stops of runs, and queries to the policy service. An object is created at the
// start of each term and destroyed at its end, so that state of an older term
// can't act.
//
//   leader_core core(state, options, port, term, now, ledUntil);
//   core.HandleRequest(call, request);
//   core.OnApplied(command, outcome);
//   core.Tick();
//   core.PlanIfDue();
//
// leader_core.cc holds the event handlers, leader_calls.cc the answers to
// requests, leader_deregistrations.cc the workers that leave, leader_plans.cc
// the plans, leader_runs.cc the life cycle of runs, leader_copies.cc the copies
// of tasks, leader_admission.cc the admission of jobs, leader_advice.cc the
// queries to the policy service, leader_waves.cc the operators' waves of
// upkeep, leader_log.cc the decision log.
//
// It acts through `leader_port`: it proposes commands and answers calls. The
// owner sets the time before each call. Owned by the flow core; control thread
// only.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/processor_time.h"
#include "oriolewalk/flow/admission.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/demand_forecast.h"
#include "oriolewalk/flow/duration_model.h"
#include "oriolewalk/flow/expected_durations.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/freed_rate.h"
#include "oriolewalk/flow/interference_control.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/plan_timer.h"
#include "oriolewalk/flow/plan_worker_cache.h"
#include "oriolewalk/flow/planner.h"
#include "oriolewalk/flow/relay_assignment.h"
#include "oriolewalk/flow/speed_samples.h"
#include "oriolewalk/flow/straggler_detector.h"
#include "oriolewalk/flow/suspect_isolation.h"
#include "oriolewalk/flow/waits.h"
#include "oriolewalk/flow/wave_executor.h"
#include "oriolewalk/flow/worker_health.h"
#include "oriolewalk/flow/worker_supervisor.h"

namespace oriolewalk::flow {

using call_number = std::uint64_t;

struct instant
{
  time_point mNow{};
  std::int64_t mWallMs = 0;
};

// A query to the policy service that an advisor sends for the leader.
struct advice_call
{
  std::uint64_t mId = 0;
  std::string mAdvisor; // RPC address; our own: sent by this process
  advice_request mRequest;
};

struct leader_port
{
  using on_applied = std::function<void(const apply_outcome&)>;
  // Returns false if nothing was proposed; on_applied is then never called.
  std::function<bool(command_body, on_applied)> mPropose;
  std::function<void(call_number, flow_answer)> mAnswer;
  std::function<void(call_number, error)> mFail;
  std::function<void(decision)> mLogDecision;
  // RPC addresses of the live control processes, this one's first.
  std::function<std::vector<std::string>()> mMembers;
  // What the control thread and the process have used so far; null: unknown.
  std::function<processor_times()> mProcessorTimes{};
};

// An entry or a spare that has missed three heartbeats gets no work.
inline constexpr milliseconds kEntryTimeout{ 1'600 };

// Returns "queued", "running", "done", "failed" or "cancelled".
std::string_view
StateName(const job_record& aJob);

// How much work the decisions were, in workers that they looked at. Each grows
// with what happens in the cell and not with its size.
struct decision_counts
{
  std::uint64_t mPlans = 0;
  std::uint64_t mPlannedWorkers = 0;   // that plans looked at
  std::uint64_t mEvaluatedWorkers = 0; // whose free capacity was determined
  std::uint64_t mTickedWorkers = 0;    // that ticks visited
  std::uint64_t mPlannedSteps = 0;     // open ones
  std::uint64_t mPlannedTasks = 0;     // waiting ones of them
  std::uint64_t mComparisons = 0;      // of a worker with a task, by plans
  duration mPlanTime{};                // processor time of the plans
};

class leader_core
{
public:
  leader_core(const flow_state& aState,
              flow_options aOptions,
              leader_port aPort,
              std::uint64_t aTerm,
              instant aAt,
              const heard_workers& aHeard = {});

  void SetTime(instant aAt) { mAt = aAt; }
  void HandleRequest(call_number aCall, const flow_request& aRequest);
  // A command was applied, no matter which process proposed it.
  void OnApplied(const command_body& aCommand, const apply_outcome& aOutcome);
  void OnOrderAnswer(std::uint64_t aOrder, const order_answer& aAnswer);
  void OnAdviceAnswer(std::uint64_t aQueryId, const result<approvals>& aAnswer);
  void OnMachineAnswer(std::uint64_t aCall,
                       const machines::call_answer& aAnswer)
  {
    mWaves.OnAnswer(aCall, aAnswer, mAt.mNow);
  }
  // Orders could not be handed to the relay at this address.
  void OnRelayFailure(const std::string& aAddress);
  void Tick();
  // Makes a plan if one is due, and returns whether it did. To be called after
  // each batch of events.
  bool PlanIfDue();
  // How long the last plan kept the owner from other work.
  void OnPlanTook(duration aTook) { mPlanTimer.OnPlanTook(aTook); }

  std::vector<worker_order> TakeOrders();
  std::vector<advice_call> TakeAdviceCalls();
  std::vector<machines::machine_call> TakeMachineCalls()
  {
    return mWaves.TakeCalls();
  }

  // What this leader's decisions have looked at since it leads.
  [[nodiscard]] decision_counts Counts() const;

private:
  struct open_query
  {
    std::string mAdvisor;
    step_ref mStep;
    std::string mQueue;
    std::int64_t mValidMs = 0;
    std::vector<std::pair<worker_number, worker_id>> mWorkers;
    time_point mSentAt{};
    bool mTopPriority = false; // from a top-priority queue
  };

  struct open_deregistration
  {
    call_number mCall = 0;
    time_point mAnswerAt{}; // at the latest
  };

  void Handle(call_number aCall, const entry_heartbeat& aHeartbeat);
  void Handle(call_number aCall, const job_submission& aJob);
  void Handle(call_number aCall, const job_query& aQuery);
  void Handle(call_number aCall, const job_cancellation& aCancel);
  void Handle(call_number aCall, const keyed_request& aRequest);
  void Handle(call_number aCall, const worker_heartbeat& aHeartbeat);
  void Handle(call_number aCall, const heartbeat_summary& aSummary);
  void Handle(call_number aCall, const worker_deregistration& aDeregistration);
  void Handle(call_number aCall, const table_change& aChange);
  void Handle(call_number aCall, const table_change_with_access& aChange);
  void Handle(call_number aCall, const table_read& aRead);
  void Handle(call_number aCall, const join_request& aJoin);
  void Handle(call_number aCall, const leader_probe& aProbe);
  void Handle(call_number aCall, const contact_query& aQuery);
  void Handle(call_number aCall, const wave_start& aStart);
  void Handle(call_number aCall, const wave_query& aQuery);

  void Propose(command_body aBody, leader_port::on_applied aThen = {});
  void FailBusy(call_number aCall);
  void FailForRoom(call_number aCall);
  // Proposes aBody and answers the call with aAnswer once it is applied.
  void ProposeAndAnswer(call_number aCall,
                        command_body aBody,
                        flow_answer aAnswer);
  // The requests of callers; aKey is empty without one.
  void Serve(call_number aCall,
             const job_submission& aJob,
             std::string_view aKey);
  void Serve(call_number aCall, const job_query& aQuery, std::string_view aKey);
  void Serve(call_number aCall,
             const job_cancellation& aCancel,
             std::string_view aKey);
  void AnswerCaller(call_number aCall,
                    job_reply aReply,
                    std::string aText = {});
  // The organisation that sends the request, empty if the queue is public. None
  // if the queue requires a key and this is no organisation's.
  [[nodiscard]] std::optional<organisation_id> Authenticate(
    const queue_row* aQueue,
    std::string_view aKey) const;
  // The job, if the caller may see it.
  [[nodiscard]] const job_record* FindVisibleJob(
    std::string_view aPath,
    const std::optional<organisation_id>& aCaller) const;
  // Whether the memory has room for so much more of jobs.
  [[nodiscard]] bool HasRoomFor(std::size_t aBytes) const;
  void ProposeSubmission(call_number aCall,
                         submit_job aSubmit,
                         const organisation_id& aOwner);
  // Whether it answered the call by refusing the job, which is unknown.
  bool RefuseIfHopeless(call_number aCall,
                        const job_id& aId,
                        const queue_row& aQueue,
                        const job_spec& aSpec,
                        const organisation_id& aOwner);
  void UpdateLoads(cell_loads aLoads);
  void CountFreed(const run_ref& aRun);
  void LogRefused(const arrival& aJob,
                  const queue_row& aQueue,
                  const admission_verdict& aVerdict);
  void ProposeTable(call_number aCall,
                    const table_change& aChange,
                    command_body aBody);
  void OnStartsApplied(const std::vector<run_start>& aProposed,
                       const apply_outcome& aOutcome);
  void StopRuns(const job_id& aId, const job_record& aJob);
  void StopStep(const step_ref& aStep, const step_record& aRecord);
  void StopUnwanted();
  // Stops second runs whose task is done or whose job has ended.
  void StopOvertakenRuns();
  void StopAllStragglers();
  void StopStragglers(const job_id& aId, const job_record& aJob);
  // aLearnedMs: what nearly all tasks like the step's take at most, if known.
  void StopStragglers(const step_ref& aStep,
                      const step_record& aRecord,
                      std::optional<double> aLearnedMs);
  void OnEndsApplied(const end_runs& aEnds);
  // Proposes the ends that were held back to share an entry of the log. To be
  // called before anything else is proposed that concerns their workers.
  void ProposeHeldEnds();
  // aBody: a command with these ends.
  void ProposeEnds(command_body aBody, std::span<const end_runs> aEnds);
  void RecordEnds(const end_runs& aEnds);
  // Adds the run's duration to what is learned, if it tells something about
  // the task. Its end as done is committed.
  void LearnDuration(const run_ref& aRun, worker_number aWorker);
  // What nearly all tasks like the step's take at most; none if unknown.
  [[nodiscard]] std::optional<double> LearnedTailMs(const job_record& aJob,
                                                    std::uint32_t aStep) const;
  // The task ended as done, aTookMs after its beginning.
  void RecordTaskTime(const task_ref& aTask,
                      worker_number aWorker,
                      double aTookMs);
  // From the tasks of the steps that are done.
  void LearnSpeeds();
  // Whether most of the step's runs have taken far longer than was learned.
  [[nodiscard]] bool AreMostStragglers(const step_ref& aStep,
                                       std::span<const task_record> aTasks,
                                       std::optional<double> aLearnedMs) const;
  // Whether the task has a second run that hasn't taken far longer than usual.
  [[nodiscard]] bool HasUsualCopy(const task_ref& aTask,
                                  std::optional<double> aLearnedMs) const;
  void LogEnds(const end_runs& aEnds);
  // Logs the tasks whose crashes of workers ended their jobs.
  void LogCrashingTasks(const std::vector<task_ref>& aTasks);
  void LogStarts(const std::vector<run_start>& aStarts);
  void AdjustPace(worker_number aWorker, const worker_view& aView);
  void StopBrokenGangs(const job_id& aId, const job_record& aJob);
  void OpenDueOccurrences();
  void ForgetOldJobs();
  void DrainSupervisor();
  // The worker's known incarnation has ended.
  void ForgetWorker(worker_number aWorker);
  // What a plan may start on the worker now.
  [[nodiscard]] worker_evaluation EvaluateWorker(worker_number aWorker) const;
  const plan_workers& RefreshPlanWorkers();
  [[nodiscard]] std::map<worker_number, pending_capacity> PendingCapacity()
    const;
  void InvalidateWorkers(const command_body& aCommand,
                         const apply_outcome& aOutcome);
  plan_input MakeInput(plan_scope aScope);
  // Whether the applied command may allow a top-priority step to proceed.
  [[nodiscard]] bool AffectsTopPriority(const command_body& aCommand) const;
  void LogAccepted(const std::string& aId,
                   const queue_row& aQueue,
                   const job_spec& aSpec,
                   const organisation_id& aOwner);
  void LogWaits(const plan_result& aPlan);
  void LogQuotas(const plan_result& aPlan);
  void LogShortage(const plan_result& aPlan, std::size_t aWorkers);
  void LogLoad();
  [[nodiscard]] processor_times ProcessorTimes() const;
  void LogDurations();
  void LogSpeeds(const plan_workers& aWorkers);
  void LogSpeedsOf(const service_id& aService, const plan_workers& aWorkers);
  // Whether a run of a queue below priority 0 may be in progress there.
  [[nodiscard]] bool RunsLowerPriority(worker_number aWorker) const;
  void Start(std::vector<planned_start> aStarts);
  void StartCopies(std::vector<planned_copy> aCopies);
  void LogCopies(const std::vector<planned_copy>& aCopies,
                 const apply_outcome& aOutcome);
  // Adds the runs to the input of a plan that may get a copy: of all jobs, of a
  // job, of a step.
  void AddRunningTasks(plan_input& aInput) const;
  void AddRunningTasks(const job_id& aId,
                       const job_record& aJob,
                       plan_input& aInput) const;
  void AddRunningTasks(const step_ref& aStep,
                       const step_record& aRecord,
                       plan_input& aInput) const;
  // Since the run's start at least; none if it isn't known to have started, or
  // is being stopped.
  [[nodiscard]] std::optional<double> ElapsedMs(const run_ref& aRun,
                                                worker_number aWorker) const;
  // Books the capacity of starts that are about to be proposed, and keeps their
  // tickets.
  std::vector<run_start> Book(std::vector<planned_start> aStarts);
  void Preempt(const std::vector<planned_preemption>& aPreemptions);
  void ForgetEndedPreemptions();
  void QueryPolicy(const advice_query& aQuery);
  // The next one to ask last.
  [[nodiscard]] std::vector<std::string> FreeAdvisors() const;
  // The live control processes except this one. Spares come first, since they
  // neither vote nor store.
  [[nodiscard]] std::vector<std::string> OtherControls() const;
  void UpdateRelays();
  void StepWaves();
  // Whether the cell has so many workers that other control processes take over
  // work that doesn't need the leader.
  [[nodiscard]] bool IsLarge() const;
  [[nodiscard]] advisor_load AdvisorLoad();
  // The process start time of a known worker, as in worker_description.
  [[nodiscard]] std::int64_t ProcessStartMs(worker_number aWorker) const;
  void LogLateHeartbeat(const worker_heartbeat& aHeartbeat,
                        worker_number aKnown);
  void LogRestart(worker_number aKnown);
  [[nodiscard]] static bool IsFromEarlierIncarnation(
    const worker_deregistration& aDeregistration,
    const worker_record& aKnown);
  void AnswerDeregistrations(worker_number aWorker);
  void AnswerOverdueDeregistrations();
  [[nodiscard]] bool IsWorkerChanged(const worker_description& aDescription,
                                     bool aDraining,
                                     worker_number aNumber) const;
  // The description in a heartbeat of a known incarnation.
  [[nodiscard]] worker_description DescriptionFrom(
    const worker_heartbeat& aHeartbeat,
    worker_number aNumber) const;
  void Register(call_number aCall,
                const worker_heartbeat& aHeartbeat,
                worker_description aDescription);

  const flow_state& mState;
  flow_options mOptions;
  leader_port mPort;
  instant mAt;
  worker_supervisor mSupervisor;
  plan_worker_cache mPlanWorkers;
  // Calls of workers that are being removed.
  std::map<worker_number, std::vector<open_deregistration>> mDeregistrations;
  advice_cache mAdvice;
  worker_health mHealth;
  straggler_detector mStragglers;
  duration_model mDurationModel;
  expected_durations mExpectedDurations{ mDurationModel, mStragglers };
  speed_samples mSpeedSamples;
  std::set<step_ref> mDoneSteps; // by the command that is being applied
  demand_forecast mForecast;     // of the queues of priority 0
  wait_tracker mWaits;
  interference_control mInterference;
  plan_timer mPlanTimer;
  std::size_t mTopPriorityWaiting = 0; // tasks, in the last plan
  decision_counts mPlanCounts;         // of plans alone
  decision_counts mLoggedCounts;
  processor_times mLoggedTimes;
  time_point mLoadLoggedAt{};
  time_point mShortageLoggedAt{};
  time_point mDurationsLoggedAt{};
  time_point mSpeedsLoggedAt{};
  time_point mSweptAt{};
  time_point mSlowSweptAt{};
  // Starts that are proposed and not yet applied.
  std::map<task_ref, worker_number> mProposed;
  std::map<worker_number, cell::resources> mProposedCapacity;
  std::map<run_ref, std::string> mTickets; // of proposed starts
  // Preempted runs that may not have ended yet, and their workers.
  std::map<run_ref, worker_number> mPreemptedRuns;
  preemption_records mPreemptionRecords;
  std::map<task_ref, std::uint32_t> mCopyCounts; // copies that were started
  std::vector<end_runs> mHeldEnds;               // not yet proposed
  suspect_isolation mIsolation;
  std::map<std::string, time_point> mEntries;
  std::map<std::string, time_point> mSpares; // processes that aren't members
  relay_assignment mRelays;
  std::map<std::string, time_point> mSkippedUntil; // advisors
  std::map<std::uint64_t, open_query> mOpenQueries;
  std::set<step_ref> mQueriedSteps;
  // The workers that open queries name.
  std::map<step_ref, std::vector<worker_number>> mQueriedWorkers;
  // Steps without workers to query, since mNothingToQueryClearedAt.
  std::set<step_ref> mNothingToQuery;
  time_point mNothingToQueryClearedAt{};
  recent_peak mTopPriorityPeak;           // concurrent queries
  std::vector<std::string> mFreeAdvisors; // for the present plan
  admission mAdmission;
  std::size_t mProposedJobBytes = 0; // of submissions that aren't committed
  cell_loads mLoads;                 // of the last plan of all steps
  freed_rate mFreed;
  std::uint64_t mLastQuery;
  std::vector<advice_call> mAdviceCalls;
  wave_executor mWaves;
};

} // namespace oriolewalk::flow
