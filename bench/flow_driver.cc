#include "bench/flow_driver.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
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

constexpr milliseconds kCommit{ 8 };
constexpr milliseconds kWay{ 1 };
constexpr milliseconds kTick{ 5 };
constexpr milliseconds kBeat{ 1'500 };
// Time after the last arrival; a job that isn't done by then counts as never
// done.
constexpr seconds kAfterwards{ 30 };
constexpr milliseconds kCancelAfter{ 1'000 };
constexpr milliseconds kNextLeader{ 1'000 };
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

class player
{
public:
  player(const flow_load& aLoad, const flow::plan_policy& aPolicy)
    : mLoad(aLoad)
  {
    mOptions.mPlan = aPolicy;
    for (const arrival& job : mLoad.mArrivals) {
      mJobs[job.mId] = &job;
    }
  }

  flow_outcome Run()
  {
    SetUp();
    const time_point end{ kPlayed + kAfterwards };
    while (!mEvents.empty() && mEvents.top().mAt < end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
      Decide();
    }
    Judge();
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

  struct waiting_look
  {
    std::uint64_t mOrder = 0;
    time_point mUntil{};
  };

  struct life
  {
    std::unique_ptr<simulated_worker> mWorker;
    std::optional<waiting_look> mLook;
    std::int64_t mBeat = 0;
    bool mGone = false;
  };

  [[nodiscard]] flow::instant Instant() const
  {
    return { mNow, static_cast<std::int64_t>(ToMs(mNow.time_since_epoch())) };
  }

  void At(time_point aAt, std::function<void()> aDo)
  {
    mEvents.push({ aAt, ++mLastEvent, std::move(aDo) });
  }

  void Apply(const flow::command_body& aBody,
             const flow::leader_port::on_applied& aThen)
  {
    const auto outcome = mState.Apply({ Instant().mWallMs, aBody });
    for (const job_id& id : outcome.mEndedJobs) {
      mEndedAt[id] = mNow;
    }
    if (mLead) {
      mLead->OnApplied(aBody, outcome);
    }
    if (aThen) {
      aThen(outcome);
    }
  }

  void SetUp()
  {
    flow::queue_table table;
    table.mVersion = 1;
    std::set<service_id> services;
    for (const job_kind& kind : mLoad.mScene.mKinds) {
      table.mQueues.push_back(kind.mQueue);
      services.insert(kind.mQueue.mService);
    }
    for (const service_id& service : services) {
      table.mServices.push_back({ service, false, false });
    }
    Apply(flow::put_table{ table, "source" }, {});
    Lead();
    for (const flow::worker_description& facts : mLoad.mWorkers) {
      life& made = mWorkers[facts.mId];
      made.mWorker = std::make_unique<simulated_worker>(
        facts, mLoad.mSeed, mLoad.mScene.mSlowShare);
      At(time_point{}, [this, &made]() { Beat(made); });
      if (Drawn(mLoad.mSeed, "lost", facts.mId.Value()) <
          mLoad.mScene.mLostShare) {
        At(time_point{ kLostAt }, [&made]() { made.mGone = true; });
      }
    }
    for (const arrival& job : mLoad.mArrivals) {
      At(time_point{ job.mAt }, [this, &job]() { Submit(job); });
    }
    At(time_point{}, [this]() { Tick(); });
    if (mLoad.mScene.mLeaderLost) {
      At(time_point{ kLeaderLostAt }, [this]() { LoseLeader(); });
    }
  }

  // Whatever a leader has not committed is lost with it.
  void LoseLeader()
  {
    mLead.reset();
    ++mTerm;
    At(mNow + kNextLeader, [this]() { Lead(); });
  }

  void Lead()
  {
    flow::leader_port port;
    const std::uint64_t term = mTerm;
    port.mPropose = [this, term](flow::command_body aBody,
                                 flow::leader_port::on_applied aThen) {
      At(mNow + kCommit,
         [this, term, body = std::move(aBody), then = std::move(aThen)]() {
           if (term == mTerm) {
             Apply(body, then);
           }
         });
      return true;
    };
    port.mAnswer = [](flow::call_number, const flow::flow_answer&) {};
    port.mFail = [](flow::call_number, const error&) {};
    port.mLogDecision = [this](const flow::decision& aNote) { Note(aNote); };
    port.mMembers = [this]() { return Advisors(); };
    mLead = std::make_unique<flow::leader_core>(
      mState, mOptions, std::move(port), mTerm, Instant(), mNow);
  }

  [[nodiscard]] std::vector<std::string> Advisors() const
  {
    std::vector<std::string> all;
    for (std::size_t at = 0; at < mLoad.mScene.mAdvisors; ++at) {
      all.push_back("advisor-" + std::to_string(at));
    }
    return all;
  }

  void Note(const flow::decision& aNote)
  {
    ++mOutcome.mEvents[std::string(aNote.mEvent)];
    if (aNote.mEvent != "step.waited") {
      return;
    }
    for (const auto& [name, value] : aNote.mFields) {
      if (name != "job" && name != "step") {
        mOutcome.mWaitMs[std::string(name)] += std::atof(value.c_str());
      }
    }
  }

  // Sends a request to the leader; without a leader it is repeated later.
  void Ask(const flow::flow_request& aRequest)
  {
    if (mLead) {
      mLead->SetTime(Instant());
      mLead->HandleRequest(++mLastCall, aRequest);
      return;
    }
    constexpr milliseconds kAgain{ 300 };
    At(mNow + kAgain, [this, aRequest]() { Ask(aRequest); });
  }

  void Submit(const arrival& aJob)
  {
    const flow::queue_row& queue = mLoad.mScene.mKinds[aJob.mKind].mQueue;
    const flow::caller_path place{ queue.mHost,
                                   queue.mPrefix + aJob.mId.Value() };
    Ask(flow::job_submission{ place, aJob.mSpec });
    if (aJob.mCancelled) {
      At(mNow + kCancelAfter,
         [this, place]() { Ask(flow::job_cancellation{ place }); });
    }
  }

  void Beat(life& aLife)
  {
    if (aLife.mGone) {
      return;
    }
    flow::worker_heartbeat beat;
    beat.mDescription = aLife.mWorker->Facts();
    beat.mSequence = ++aLife.mBeat;
    beat.mClockMs = Instant().mWallMs;
    Ask(beat);
    At(mNow + kBeat, [this, &aLife]() { Beat(aLife); });
  }

  void Tick()
  {
    if (mLead) {
      mLead->SetTime(Instant());
      mLead->Tick();
    }
    At(mNow + kTick, [this]() { Tick(); });
  }

  void Decide()
  {
    if (!mLead) {
      return;
    }
    const double before = ProcessorMs();
    mLead->SetTime(Instant());
    mLead->PlanIfDue();
    mOutcome.mDecisionMs += ProcessorMs() - before;
    for (flow::worker_order& order : mLead->TakeOrders()) {
      At(mNow + kWay, [this, sent = std::move(order)]() { Carry(sent); });
    }
    for (flow::advice_call& question : mLead->TakeAdviceCalls()) {
      AskPolicy(question);
    }
  }

  void AskPolicy(const flow::advice_call& aQuestion)
  {
    const flow::step_ref& step = aQuestion.mRequest.mStep;
    const flow::job_record* job = mState.FindJob(step.mJob);
    const std::size_t kind = mJobs.at(step.mJob)->mKind;
    const flow::advice_timing& terms = *mState.QueueOf(*job).mAdvice;
    flow::approvals approved;
    for (const worker_id& worker : aQuestion.mRequest.mWorkers) {
      const std::string where =
        step.mJob.Value() + "." + std::to_string(step.mStep) + worker.Value();
      if (Drawn(mLoad.mSeed, "approved", where) <
          mLoad.mScene.mKinds[kind].mApproved) {
        approved.push_back({ worker, "ticket" });
      }
    }
    const milliseconds takes =
      flow::AdviceTime(terms, aQuestion.mRequest.mWorkers.size());
    ++mOutcome.mQuestions;
    mOutcome.mAdviceMs += ToMs(takes);
    mOutcome.mNamed += aQuestion.mRequest.mWorkers.size();
    At(mNow + takes + kWay,
       [this, term = mTerm, id = aQuestion.mId, approved]() {
         if (mLead && term == mTerm) {
           mLead->SetTime(Instant());
           mLead->OnAdviceAnswer(id, approved);
         }
       });
  }

  void Answer(std::uint64_t aOrder, flow::order_answer aAnswer)
  {
    At(mNow + kWay,
       [this, term = mTerm, aOrder, answer = std::move(aAnswer)]() {
         if (mLead && term == mTerm) {
           mLead->SetTime(Instant());
           mLead->OnOrderAnswer(aOrder, answer);
         }
       });
  }

  void Carry(const flow::worker_order& aOrder)
  {
    life& there = mWorkers.at(aOrder.mWorkerId);
    if (there.mGone) {
      Answer(aOrder.mId, {});
      return;
    }
    simulated_worker& worker = *there.mWorker;
    worker.Advance(mNow);
    std::visit(overloaded{
                 [&](const flow::start_order& aStart) {
                   flow::order_answer answer;
                   answer.mResult =
                     worker.Start(aStart, WorkOf(aStart.mRun.mTask), mNow);
                   answer.mClockMs = Instant().mWallMs;
                   NoteStart(aStart.mRun.mTask);
                   Answer(aOrder.mId, answer);
                 },
                 [&](const flow::stop_order& aStop) {
                   worker.Stop(aStop, mNow);
                   Answer(aOrder.mId, Plain());
                 },
                 [&](const flow::poll_order& aLook) {
                   worker.Acknowledge(aLook.mCursor);
                   Look(there, aOrder.mId, milliseconds(aLook.mWaitMs));
                 },
                 [&](const flow::pace_order&) { Answer(aOrder.mId, Plain()); },
               },
               aOrder.mBody);
    Watch(there);
  }

  [[nodiscard]] flow::order_answer Plain() const
  {
    flow::order_answer answer;
    answer.mResult = flow::order_result::Done;
    answer.mClockMs = Instant().mWallMs;
    return answer;
  }

  void Look(life& aLife, std::uint64_t aOrder, duration aWait)
  {
    if (aWait == duration::zero() || aLife.mWorker->HasEnds()) {
      Answer(aOrder, aLife.mWorker->Listing(mNow));
      return;
    }
    aLife.mLook = waiting_look{ aOrder, mNow + aWait };
    At(mNow + aWait, [this, &aLife]() { EndLook(aLife); });
  }

  // Answers the open poll if a run has ended or the poll's time is over.
  void EndLook(life& aLife)
  {
    if (aLife.mGone || !aLife.mLook) {
      return;
    }
    aLife.mWorker->Advance(mNow);
    if (aLife.mWorker->HasEnds() || mNow >= aLife.mLook->mUntil) {
      Answer(aLife.mLook->mOrder, aLife.mWorker->Listing(mNow));
      aLife.mLook.reset();
    }
  }

  void Watch(life& aLife)
  {
    if (const auto next = aLife.mWorker->NextEnd()) {
      At(std::max(mNow, *next), [this, &aLife]() {
        EndLook(aLife);
        if (!aLife.mGone) {
          aLife.mWorker->Advance(mNow);
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
             mLoad.mScene.mKinds[job.mKind].mFails };
  }

  void NoteStart(const flow::task_ref& aTask)
  {
    ++mOutcome.mStarts;
    mBegunAt.try_emplace(aTask.mJob, mNow);
  }

  // The objective, based on the actual work instead of the estimate.
  [[nodiscard]] double ObjectiveMs(const arrival& aJob) const
  {
    const flow::queue_row& queue = mLoad.mScene.mKinds[aJob.mKind].mQueue;
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

  void Judge()
  {
    std::map<std::size_t, std::vector<double>> sizes;
    for (const arrival& job : mLoad.mArrivals) {
      sizes[job.mKind].push_back(ProcessorTime(job));
    }
    for (auto& [kind, all] : sizes) {
      std::ranges::sort(all);
    }
    for (const arrival& job : mLoad.mArrivals) {
      if (!job.mHopeless && !job.mCancelled) {
        constexpr std::size_t kTenth = 10;
        const auto& all = sizes[job.mKind];
        const double large = all[all.size() - 1 - all.size() / kTenth];
        JudgeJob(job, ProcessorTime(job) > large);
      }
    }
    for (const auto& [id, there] : mWorkers) {
      mOutcome.mThrownAwayMs += there.mWorker->ThrownAwayMs();
      mOutcome.mOverBooked += there.mWorker->OverBooked();
    }
  }

  void JudgeJob(const arrival& aJob, bool aLarge)
  {
    const job_kind& kind = mLoad.mScene.mKinds[aJob.mKind];
    queue_outcome& queue = mOutcome.mQueues[kind.mQueue.mName];
    ++queue.mJobs;
    queue.mLargest += aLarge ? 1 : 0;
    const auto begun = mBegunAt.find(aJob.mId);
    if (begun != mBegunAt.end()) {
      queue.mFirstStartMs.push_back(
        ToMs(begun->second - time_point{ aJob.mAt }));
    }
    // Long-running jobs are judged by their first start.
    const auto& ends = kind.mLasting ? mBegunAt : mEndedAt;
    const auto ended = ends.find(aJob.mId);
    if (ended == ends.end()) {
      ++queue.mNever;
      return;
    }
    const double took = ToMs(ended->second - time_point{ aJob.mAt });
    const double objective = kind.mLasting
                               ? static_cast<double>(kind.mQueue.mTargetMs)
                               : ObjectiveMs(aJob);
    queue.mInTime += took <= objective ? 1 : 0;
    queue.mLargestInTime += aLarge && took <= objective ? 1 : 0;
    queue.mLate += took > objective && took <= kLateFactor * objective ? 1 : 0;
    queue.mNever += took > kLateFactor * objective ? 1 : 0;
  }

  const flow_load& mLoad;
  flow::flow_options mOptions;
  flow::flow_state mState;
  std::unique_ptr<flow::leader_core> mLead;
  std::uint64_t mTerm = 1;
  time_point mNow{};
  std::priority_queue<event> mEvents;
  std::uint64_t mLastEvent = 0;
  flow::call_number mLastCall = 0;
  std::map<job_id, const arrival*> mJobs;
  std::map<worker_id, life> mWorkers;
  std::map<job_id, time_point> mBegunAt;
  std::map<job_id, time_point> mEndedAt;
  flow_outcome mOutcome;
};

} // namespace

flow_outcome
PlayLoad(const flow_load& aLoad, const flow::plan_policy& aPolicy)
{
  return player(aLoad, aPolicy).Run();
}

} // namespace oriolewalk::bench
