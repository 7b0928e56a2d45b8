#include "bench/flow_driver.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <utility>
#include <variant>

#include "bench/flow_worker.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/open_steps.h"

namespace oriolewalk::bench {

namespace {

constexpr milliseconds kCommitDelay{ 8 };
constexpr milliseconds kOneWayDelay{ 1 };
constexpr milliseconds kTickInterval{ 5 };
constexpr milliseconds kHeartbeatInterval{ 1'500 };
// Time after the last arrival; a job that isn't done by then counts as never
// done.
constexpr seconds kGracePeriod{ 30 };
constexpr milliseconds kCancelAfter{ 1'000 };
constexpr milliseconds kElectionDelay{ 1'000 };
constexpr double kLateFactor = 3;

double
ToMs(duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

double
ProcessorMs()
{
  constexpr double kMsPerSecond = 1'000;
  return kMsPerSecond * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class simulation
{
public:
  simulation(const flow_load& aLoad,
             const flow::plan_policy& aPolicy,
             const processor_costs& aCosts)
    : mLoad(aLoad)
    , mCosts(aCosts)
  {
    mOptions.mPlan = aPolicy;
    for (const arrival& job : mLoad.mArrivals) {
      mJobs[job.mId] = &job;
    }
  }

  flow_outcome Run()
  {
    SetUp();
    const time_point end{ kArrivalSpan + kGracePeriod };
    while (!mEvents.empty() && mEvents.top().mAt < end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
      if (IsProcessorFree()) {
        Decide();
      }
    }
    Evaluate();
    mOutcome.mPlanShare = ToMs(mPlanTime) / ToMs(end - time_point{});
    if (mLeader) {
      mOutcome.mCounts = mLeader->Counts();
    }
    return std::move(mOutcome);
  }

private:
  struct event
  {
    time_point mAt{};
    std::uint64_t mNumber = 0; // orders simultaneous events
    std::function<void()> mDo;

    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mNumber) < std::tie(mAt, mNumber);
    }
  };

  struct open_poll
  {
    std::uint64_t mOrder = 0;
    time_point mUntil{};
  };

  struct worker_slot
  {
    std::unique_ptr<simulated_worker> mWorker;
    std::optional<open_poll> mPoll;
    std::int64_t mHeartbeats = 0;
    bool mLost = false;
  };

  [[nodiscard]] flow::instant Instant() const
  {
    return { mNow, static_cast<std::int64_t>(ToMs(mNow.time_since_epoch())) };
  }

  void At(time_point aAt, std::function<void()> aDo)
  {
    mEvents.push({ aAt, ++mLastEvent, std::move(aDo) });
  }

  // Work of the leader: done at aAt, or when its processor is free again.
  void AtLeader(time_point aAt, std::function<void()> aDo)
  {
    At(aAt, [this, task = std::move(aDo)]() {
      mLeaderQueue.emplace_back([this, task]() {
        task();
        Spend(mCosts.mEvent);
        DecideLater();
      });
      ServeLeaderQueue();
    });
  }

  void ServeLeaderQueue()
  {
    if (mNow >= mBusyUntil && !mLeaderQueue.empty()) {
      const std::function<void()> task = std::move(mLeaderQueue.front());
      mLeaderQueue.pop_front();
      task();
    }
    if (!mLeaderQueue.empty() && !std::exchange(mWillServe, true)) {
      At(std::max(mNow, mBusyUntil), [this]() {
        mWillServe = false;
        ServeLeaderQueue();
      });
    }
  }

  // A decision follows what has arrived by now.
  void DecideLater()
  {
    if (!IsProcessorFree() && !std::exchange(mWillDecide, true)) {
      mLeaderQueue.emplace_back([this]() {
        mWillDecide = false;
        Decide();
      });
    }
  }

  // Nothing costs time.
  [[nodiscard]] bool IsProcessorFree() const
  {
    return mCosts.mEvent == std::chrono::nanoseconds::zero();
  }

  void Spend(std::chrono::nanoseconds aCost)
  {
    mBusyUntil =
      std::max(mBusyUntil, mNow) + std::chrono::duration_cast<duration>(aCost);
  }

  // aBefore: the counts of this leader before the plan. Returns its cost.
  duration SpendOnPlan(const flow::decision_counts& aBefore)
  {
    const flow::decision_counts now = mLeader->Counts();
    const auto cost = [](std::chrono::nanoseconds aEach, std::uint64_t aCount) {
      return aEach * static_cast<std::int64_t>(aCount);
    };
    const auto spent =
      cost(mCosts.mPlannedWorker,
           now.mPlannedWorkers - aBefore.mPlannedWorkers) +
      cost(mCosts.mPlan, now.mPlans - aBefore.mPlans) +
      cost(mCosts.mPlannedStep, now.mPlannedSteps - aBefore.mPlannedSteps) +
      cost(mCosts.mPlannedTask, now.mPlannedTasks - aBefore.mPlannedTasks) +
      cost(mCosts.mComparison, now.mComparisons - aBefore.mComparisons);
    Spend(spent);
    mPlanTime += std::chrono::duration_cast<duration>(spent);
    return std::chrono::duration_cast<duration>(spent);
  }

  void Apply(const flow::command_body& aBody,
             const flow::leader_port::on_applied& aThen)
  {
    flow::apply_outcome outcome;
    Measure("apply", [&]() {
      outcome = mState.Apply({ Instant().mWallMs, aBody });
    });
    for (const job_id& id : outcome.mEndedJobs) {
      mEndedAt[id] = mNow;
    }
    if (mLeader) {
      Measure("applied", [&]() { mLeader->OnApplied(aBody, outcome); });
    }
    if (aThen) {
      aThen(outcome);
    }
  }

  void Measure(const std::string& aActivity, const std::function<void()>& aDo)
  {
    const double before = ProcessorMs();
    aDo();
    mOutcome.mActivityMs[aActivity] += ProcessorMs() - before;
  }

  void SetUp()
  {
    flow::queue_table table;
    table.mVersion = 1;
    std::set<service_id> services;
    for (const job_kind& kind : mLoad.mScenario.mKinds) {
      table.mQueues.push_back(kind.mQueue);
      services.insert(kind.mQueue.mService);
    }
    for (const service_id& service : services) {
      table.mServices.push_back({ service, false, false });
    }
    Apply(flow::put_table{ table, "source" }, {});
    StartLeader();
    for (std::size_t at = 0; at < mLoad.mWorkers.size(); ++at) {
      const flow::worker_description& description = mLoad.mWorkers[at];
      worker_slot& slot = mWorkers[description.mId];
      slot.mWorker =
        std::make_unique<simulated_worker>(description,
                                           mLoad.mSeed,
                                           mLoad.mScenario.mSlowShare,
                                           mLoad.mSpeeds[at]);
      At(time_point{}, [this, &slot]() { SendHeartbeat(slot); });
      if (SeededFraction(mLoad.mSeed, "lost", description.mId.Value()) <
          mLoad.mScenario.mLostShare) {
        At(time_point{ kLostAt }, [&slot]() { slot.mLost = true; });
      }
    }
    for (const arrival& job : mLoad.mArrivals) {
      At(time_point{ job.mAt }, [this, &job]() { Submit(job); });
    }
    At(time_point{}, [this]() { Tick(); });
    if (mLoad.mScenario.mLeaderLost) {
      At(time_point{ kLeaderLostAt }, [this]() { LoseLeader(); });
    }
  }

  // Whatever a leader has not committed is lost with it, except the workers
  // that it named to the other members.
  void LoseLeader()
  {
    mLeader->HandleRequest(++mLastCall, flow::contact_query{});
    mLeader.reset();
    ++mTerm;
    At(mNow + kElectionDelay, [this]() { StartLeader(); });
  }

  void StartLeader()
  {
    flow::leader_port port;
    const std::uint64_t term = mTerm;
    port.mPropose = [this, term](flow::command_body aBody,
                                 flow::leader_port::on_applied aThen) {
      AtLeader(
        mNow + kCommitDelay,
        [this, term, body = std::move(aBody), then = std::move(aThen)]() {
          if (term == mTerm) {
            Apply(body, then);
          }
        });
      return true;
    };
    port.mAnswer = [this](flow::call_number, const flow::flow_answer& aAnswer) {
      RecordContacts(aAnswer);
    };
    port.mFail = [](flow::call_number, const error&) {};
    port.mLogDecision = [this](const flow::decision& aDecision) {
      LogDecision(aDecision);
    };
    port.mMembers = [this]() { return Advisors(); };
    mLeader = std::make_unique<flow::leader_core>(
      mState, mOptions, std::move(port), mTerm, Instant(), mHeard);
  }

  void RecordContacts(const flow::flow_answer& aAnswer)
  {
    const auto* contacts = std::get_if<flow::worker_contacts>(&aAnswer);
    if (contacts == nullptr) {
      return;
    }
    for (const flow::worker_contact& contact : contacts->mWorkers) {
      mHeard[contact.mWorker] = mNow - milliseconds(contact.mAgeMs);
    }
  }

  [[nodiscard]] std::vector<std::string> Advisors() const
  {
    std::vector<std::string> all;
    for (std::size_t at = 0; at < mLoad.mScenario.mAdvisors; ++at) {
      all.push_back("advisor-" + std::to_string(at));
    }
    return all;
  }

  void LogDecision(const flow::decision& aDecision)
  {
    ++mOutcome.mEvents[std::string(aDecision.mEvent)];
    if (aDecision.mEvent != "step.waited") {
      return;
    }
    for (const auto& [name, value] : aDecision.mFields) {
      if (name != "job" && name != "step") {
        mOutcome.mWaitMs[std::string(name)] += std::atof(value.c_str());
      }
    }
  }

  // Sends a request to the leader; without a leader it is repeated later.
  void SendRequest(const flow::flow_request& aRequest)
  {
    AtLeader(mNow, [this, aRequest]() { HandleRequest(aRequest); });
  }

  void HandleRequest(const flow::flow_request& aRequest)
  {
    if (mLeader) {
      mLeader->SetTime(Instant());
      Measure("request",
              [&]() { mLeader->HandleRequest(++mLastCall, aRequest); });
      return;
    }
    constexpr milliseconds kAgain{ 300 };
    At(mNow + kAgain, [this, aRequest]() { SendRequest(aRequest); });
  }

  void Submit(const arrival& aJob)
  {
    const flow::queue_row& queue = mLoad.mScenario.mKinds[aJob.mKind].mQueue;
    const flow::caller_path place{ queue.mHost,
                                   queue.mPrefix + aJob.mId.Value() };
    SendRequest(flow::job_submission{ place, aJob.mSpec });
    if (aJob.mIsCancelled) {
      At(mNow + kCancelAfter,
         [this, place]() { SendRequest(flow::job_cancellation{ place }); });
    }
  }

  void SendHeartbeat(worker_slot& aSlot)
  {
    if (aSlot.mLost) {
      return;
    }
    flow::worker_heartbeat heartbeat;
    heartbeat.mDescription = aSlot.mWorker->Description();
    heartbeat.mSequence = ++aSlot.mHeartbeats;
    heartbeat.mClockMs = Instant().mWallMs;
    SendRequest(heartbeat);
    At(mNow + kHeartbeatInterval, [this, &aSlot]() { SendHeartbeat(aSlot); });
  }

  void Tick()
  {
    if (mLeader) {
      mLeader->SetTime(Instant());
      Measure("tick", [this]() { mLeader->Tick(); });
    }
    AtLeader(mNow + kTickInterval, [this]() { Tick(); });
  }

  void Decide()
  {
    if (!mLeader) {
      return;
    }
    const flow::decision_counts counts = mLeader->Counts();
    const double before = ProcessorMs();
    mLeader->SetTime(Instant());
    const bool planned = mLeader->PlanIfDue();
    mOutcome.mDecisionMs += ProcessorMs() - before;
    const duration took = SpendOnPlan(counts);
    if (planned) {
      mLeader->OnPlanTook(took);
    }
    for (flow::worker_order& order : mLeader->TakeOrders()) {
      At(mNow + kOneWayDelay,
         [this, sent = std::move(order)]() { Deliver(sent); });
    }
    for (flow::advice_call& query : mLeader->TakeAdviceCalls()) {
      QueryPolicy(query);
    }
  }

  void QueryPolicy(const flow::advice_call& aQuery)
  {
    const flow::step_ref& step = aQuery.mRequest.mStep;
    const flow::job_record* job = mState.FindJob(step.mJob);
    const std::size_t kind = mJobs.at(step.mJob)->mKind;
    const flow::advice_timing& terms = *mState.QueueOf(*job).mAdvice;
    flow::approvals approved;
    for (const worker_id& worker : aQuery.mRequest.mWorkers) {
      const std::string where =
        step.mJob.Value() + "." + std::to_string(step.mStep) + worker.Value();
      if (SeededFraction(mLoad.mSeed, "approved", where) <
          mLoad.mScenario.mKinds[kind].mApprovedShare) {
        approved.push_back({ worker, "ticket" });
      }
    }
    const milliseconds took =
      flow::AdviceTime(terms, aQuery.mRequest.mWorkers.size());
    ++mOutcome.mQueries;
    mOutcome.mAdviceMs += ToMs(took);
    mOutcome.mQueriedWorkers += aQuery.mRequest.mWorkers.size();
    AtLeader(mNow + took + kOneWayDelay,
             [this, term = mTerm, id = aQuery.mId, approved]() {
               if (mLeader && term == mTerm) {
                 mLeader->SetTime(Instant());
                 mLeader->OnAdviceAnswer(id, approved);
               }
             });
  }

  void Answer(std::uint64_t aOrder, flow::order_answer aAnswer)
  {
    AtLeader(mNow + kOneWayDelay,
             [this, term = mTerm, aOrder, answer = std::move(aAnswer)]() {
               if (mLeader && term == mTerm) {
                 mLeader->SetTime(Instant());
                 Measure("answer",
                         [&]() { mLeader->OnOrderAnswer(aOrder, answer); });
               }
             });
  }

  void Deliver(const flow::worker_order& aOrder)
  {
    worker_slot& slot = mWorkers.at(aOrder.mWorkerId);
    if (slot.mLost) {
      Answer(aOrder.mId, {});
      return;
    }
    simulated_worker& worker = *slot.mWorker;
    worker.Advance(mNow);
    std::visit(
      overloaded{
        [&](const flow::start_order& aStart) {
          flow::order_answer answer;
          answer.mResult =
            worker.Start(aStart, WorkOf(aStart.mRun.mTask), mNow);
          answer.mClockMs = Instant().mWallMs;
          RecordStart(aStart.mRun.mTask);
          Answer(aOrder.mId, answer);
        },
        [&](const flow::stop_order& aStop) {
          worker.Stop(aStop, mNow);
          Answer(aOrder.mId, DoneAnswer());
        },
        [&](const flow::poll_order& aPoll) {
          worker.Acknowledge(aPoll.mCursor);
          Poll(slot, aOrder.mId, milliseconds(aPoll.mWaitMs));
        },
        [&](const flow::pace_order&) { Answer(aOrder.mId, DoneAnswer()); },
      },
      aOrder.mBody);
    ScheduleNextEnd(slot);
  }

  [[nodiscard]] flow::order_answer DoneAnswer() const
  {
    flow::order_answer answer;
    answer.mResult = flow::order_result::Done;
    answer.mClockMs = Instant().mWallMs;
    return answer;
  }

  void Poll(worker_slot& aSlot, std::uint64_t aOrder, duration aWait)
  {
    if (aWait == duration::zero() || aSlot.mWorker->HasEnds()) {
      Answer(aOrder, aSlot.mWorker->Listing(mNow));
      return;
    }
    aSlot.mPoll = open_poll{ aOrder, mNow + aWait };
    At(mNow + aWait, [this, &aSlot]() { FinishPoll(aSlot); });
  }

  // Answers the open poll if a run has ended or the poll's time is over.
  void FinishPoll(worker_slot& aSlot)
  {
    if (aSlot.mLost || !aSlot.mPoll) {
      return;
    }
    aSlot.mWorker->Advance(mNow);
    if (aSlot.mWorker->HasEnds() || mNow >= aSlot.mPoll->mUntil) {
      Answer(aSlot.mPoll->mOrder, aSlot.mWorker->Listing(mNow));
      aSlot.mPoll.reset();
    }
  }

  void ScheduleNextEnd(worker_slot& aSlot)
  {
    if (const auto next = aSlot.mWorker->NextEnd()) {
      At(std::max(mNow, *next), [this, &aSlot]() {
        FinishPoll(aSlot);
        if (!aSlot.mLost) {
          aSlot.mWorker->Advance(mNow);
        }
      });
    }
  }

  [[nodiscard]] task_work WorkOf(const flow::task_ref& aTask) const
  {
    const arrival& job = *mJobs.at(aTask.mJob);
    const flow::step_spec& step = job.mSpec.mSteps[aTask.mStep];
    return { job.mWorkMs[aTask.mStep][aTask.mIndex],
             step.Booked(),
             step.mCheckpoints,
             step.mLongRunning,
             mLoad.mScenario.mKinds[job.mKind].mFailureShare };
  }

  void RecordStart(const flow::task_ref& aTask)
  {
    ++mOutcome.mStarts;
    mStartedAt.try_emplace(aTask.mJob, mNow);
  }

  // The objective, based on the actual work instead of the estimate.
  [[nodiscard]] double ObjectiveMs(const arrival& aJob) const
  {
    const flow::queue_row& queue = mLoad.mScenario.mKinds[aJob.mKind].mQueue;
    double chain = 0;
    for (const auto& step : aJob.mWorkMs) {
      chain += std::ranges::max(step);
    }
    return queue.mStretch * chain + static_cast<double>(queue.mTargetMs);
  }

  [[nodiscard]] static double ProcessorTime(const arrival& aJob)
  {
    double whole = 0;
    for (std::size_t step = 0; step < aJob.mWorkMs.size(); ++step) {
      const auto milli =
        static_cast<double>(aJob.mSpec.mSteps[step].mSize.mMilliProcessors);
      for (const double work : aJob.mWorkMs[step]) {
        whole += milli * work;
      }
    }
    return whole;
  }

  void Evaluate()
  {
    std::map<std::size_t, std::vector<double>> sizes;
    for (const arrival& job : mLoad.mArrivals) {
      sizes[job.mKind].push_back(ProcessorTime(job));
    }
    for (auto& [kind, all] : sizes) {
      std::ranges::sort(all);
    }
    for (const arrival& job : mLoad.mArrivals) {
      if (!job.mIsInfeasible && !job.mIsCancelled) {
        constexpr std::size_t kTenth = 10;
        const auto& all = sizes[job.mKind];
        const double large = all[all.size() - 1 - all.size() / kTenth];
        EvaluateJob(job, ProcessorTime(job) > large);
      }
    }
    for (const auto& [id, slot] : mWorkers) {
      mOutcome.mLostWorkMs += slot.mWorker->LostWorkMs();
      mOutcome.mOverCapacity += slot.mWorker->OverCapacity();
    }
  }

  void EvaluateJob(const arrival& aJob, bool aLarge)
  {
    const job_kind& kind = mLoad.mScenario.mKinds[aJob.mKind];
    queue_outcome& queue = mOutcome.mQueues[kind.mQueue.mName];
    ++queue.mJobs;
    queue.mLargest += aLarge ? 1 : 0;
    const auto started = mStartedAt.find(aJob.mId);
    if (started != mStartedAt.end()) {
      queue.mFirstStartMs.push_back(
        ToMs(started->second - time_point{ aJob.mAt }));
    }
    // Long-running jobs are judged by their first start.
    const auto& ends = kind.mLongRunning ? mStartedAt : mEndedAt;
    const auto ended = ends.find(aJob.mId);
    if (ended == ends.end()) {
      ++queue.mNever;
      return;
    }
    const double took = ToMs(ended->second - time_point{ aJob.mAt });
    const double objective = kind.mLongRunning
                               ? static_cast<double>(kind.mQueue.mTargetMs)
                               : ObjectiveMs(aJob);
    queue.mInTime += took <= objective ? 1 : 0;
    queue.mLargestInTime += aLarge && took <= objective ? 1 : 0;
    queue.mLate += took > objective && took <= kLateFactor * objective ? 1 : 0;
    queue.mNever += took > kLateFactor * objective ? 1 : 0;
  }

  const flow_load& mLoad;
  processor_costs mCosts;
  std::deque<std::function<void()>> mLeaderQueue; // waits for the processor
  bool mWillServe = false;                        // an event serves the queue
  bool mWillDecide = false;                       // it holds a decision
  time_point mBusyUntil{};
  duration mPlanTime{};
  flow::flow_options mOptions;
  flow::flow_state mState;
  std::unique_ptr<flow::leader_core> mLeader;
  flow::heard_workers mHeard; // by the lost leader
  std::uint64_t mTerm = 1;
  time_point mNow{};
  std::priority_queue<event> mEvents;
  std::uint64_t mLastEvent = 0;
  flow::call_number mLastCall = 0;
  std::map<job_id, const arrival*> mJobs;
  std::map<worker_id, worker_slot> mWorkers;
  std::map<job_id, time_point> mStartedAt;
  std::map<job_id, time_point> mEndedAt;
  flow_outcome mOutcome;
};

} // namespace

processor_costs
LeaderCosts(int aPercent)
{
  using std::chrono::microseconds;
  using std::chrono::nanoseconds;
  constexpr int kWhole = 100;
  const auto priced = [&](nanoseconds aCost) {
    return aCost * aPercent / kWhole;
  };
  return { .mEvent = priced(microseconds(80)),
           .mPlan = priced(microseconds(1'000)),
           .mPlannedStep = priced(microseconds(7)),
           .mPlannedTask = priced(nanoseconds(800)),
           .mPlannedWorker = priced(nanoseconds(1'000)),
           .mComparison = priced(nanoseconds(100)) };
}

flow_outcome
SimulateLoad(const flow_load& aLoad,
             const flow::plan_policy& aPolicy,
             const processor_costs& aCosts)
{
  return simulation(aLoad, aPolicy, aCosts).Run();
}

} // namespace oriolewalk::bench
