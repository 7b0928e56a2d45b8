#include "oriolewalk/flow/leading.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::flow {

namespace {

// How often due times, broken gangs and unwanted runs are looked for.
constexpr milliseconds kSweepEvery{ 100 };
// What stands still for less than two seconds isn't taken back, and ended jobs
// are kept for minutes: to look at every task ten times a second would cost a
// leader of 350 workers more than its plans.
constexpr milliseconds kSlowSweepEvery{ 500 };
// Between two plans: what happens meanwhile is planned together. A commit takes
// five times as long.
constexpr milliseconds kPlanPause{ 3 };
// A plan's cost grows with the cell and with what waits. At 350 workers 17 ms
// while little waits: an urgent step has 0.3 s to spare, of which each plan
// that it waits for takes a part. With 2,000 tasks waiting 47 ms: at 17 the
// leader's processor was full in bursts (mean worth of two such days 0.78
// instead of 0.84).
constexpr microseconds kPlanPausePerWorker{ 40 };
constexpr microseconds kPlanPausePerWaiting{ 15 };
// Between two plans for the steps that come first alone, whatever waits behind
// them. Each such step waits for two plans, one to ask and one to start: with the
// pause of the others a burst's urgent jobs were in time in 0.81 of all cases,
// with this one in 0.86 (1,100 workers, made time). A plan of that size takes a
// millisecond of a core.
constexpr microseconds kFirstPausePerWorker{ 8 };
// A plan is made at least so often, for tickets that run out.
constexpr milliseconds kPlanEvery{ 100 };
// A waiting step of a later queue that had nothing to ask is looked at again so
// often: each look goes over its service's workers, and hundreds of steps wait.
constexpr milliseconds kAskAllEvery{ 100 };
// An entry that was silent for so long carries no questions: three beats.
constexpr milliseconds kEntrySilence{ 1'600 };
// One that could not carry its last question is left alone for two beats: it
// fails at once and would be chosen for the next one again. On a day of planned
// stops one question in nine was lost to it.
constexpr milliseconds kAdvisorAside{ 1'000 };
// Taken off a ticket's validity: the way to the worker and the commit.
constexpr milliseconds kTicketMargin{ 200 };
// Added to what the policy service should take for one question, beside half of
// it: the way there and back over a busy entry. After this another advisor is
// asked. With 1,500 ms a job whose advisor was cut off lost 2.9 s (a soak),
// more than an urgent job's whole objective.
constexpr std::int64_t kAdviceMarginMs = 400;
constexpr std::size_t kJobIdLength = 16;

std::int64_t
ToMs(duration aSpan)
{
  return std::chrono::duration_cast<milliseconds>(aSpan).count();
}

std::string_view
StateName(const job_record& aJob)
{
  switch (aJob.mState) {
    case job_state::Done:
      return "done";
    case job_state::Failed:
      return "failed";
    case job_state::Cancelled:
      return "cancelled";
    case job_state::Active:
      break;
  }
  return aJob.mBegun ? "running" : "queued";
}

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdLength &&
         std::ranges::all_of(aText, [](char aLetter) {
           return (aLetter >= '0' && aLetter <= '9') ||
                  (aLetter >= 'a' && aLetter <= 'f') ||
                  (aLetter >= 'A' && aLetter <= 'F');
         });
}

} // namespace

leading::leading(const flow_state& aState,
                 flow_options aOptions,
                 leading_port aPort,
                 std::uint64_t aTerm,
                 instant aAt)
  : mState(aState)
  , mOptions(aOptions)
  , mPort(std::move(aPort))
  , mAt(aAt)
  , mKeeper(aState, aOptions, aTerm, aAt.mNow)
  , mCarriers(aOptions.mWorkersAlone)
  , mLastQuestion(NumberBefore(aTerm))
{
}

void
leading::Propose(command_body aBody, leading_port::on_applied aThen)
{
  static_cast<void>(mPort.mPropose(std::move(aBody), std::move(aThen)));
}

void
leading::ProposeAndAnswer(call_number aCall,
                          command_body aBody,
                          flow_answer aAnswer)
{
  const bool proposed = mPort.mPropose(
    std::move(aBody),
    [this, aCall, answer = std::move(aAnswer)](const apply_outcome& aOutcome) {
      if (aOutcome.mError) {
        mPort.mFail(aCall, *aOutcome.mError);
      } else {
        mPort.mAnswer(aCall, answer);
      }
    });
  if (!proposed) {
    mPort.mFail(aCall,
                { error_code::Busy, "propose", {}, "too much is under way" });
  }
}

void
leading::Ask(call_number aCall, const flow_request& aRequest)
{
  std::visit([&](const auto& aOne) { On(aCall, aOne); }, aRequest);
}

void
leading::On(call_number aCall, const entry_beat& aBeat)
{
  mEntries[aBeat.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                beat_answer{ mState.Table().mVersion,
                             mState.Table().mLimits,
                             mPort.mMembers() });
}

void
leading::On(call_number aCall, const job_submission& aJob)
{
  const auto& place = aJob.mPlace;
  if (mState.Table().mVersion == 0) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotConfigured, {}, 0, 0 });
    return;
  }
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  if (queue == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NoQueue, {}, 0, 0 });
    return;
  }
  const std::string id = place.mPath.substr(queue->mPrefix.size());
  if (!IsJobId(id)) {
    mPort.mAnswer(
      aCall,
      job_answer{ job_reply::Malformed, "not 16 hexadecimal digits", 0, 0 });
    return;
  }
  const job_answer accepted{ job_reply::Accepted, {}, 0, 0 };
  if (mState.FindJob(job_id(id)) != nullptr) {
    mPort.mAnswer(aCall, accepted);
    return;
  }
  if (const auto sound = CheckJob(aJob.mSpec); !sound) {
    mPort.mAnswer(
      aCall, job_answer{ job_reply::Malformed, sound.error().mMessage, 0, 0 });
    return;
  }
  NoteAccepted(id, *queue, aJob.mSpec);
  ProposeAndAnswer(
    aCall, submit_job{ job_id(id), *queue, aJob.mSpec }, accepted);
}

void
leading::On(call_number aCall, const job_query& aQuery)
{
  if (mState.Table().mVersion == 0) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotConfigured, {}, 0, 0 });
    return;
  }
  const auto& place = aQuery.mPlace;
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  const std::string_view path = place.mPath;
  const job_record* job =
    path.size() < kJobIdLength
      ? nullptr
      : mState.FindJob(
          job_id(std::string(path.substr(path.size() - kJobIdLength))));
  if (job != nullptr) {
    AnswerState(aCall, *job);
    return;
  }
  if (queue == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NoQueue, {}, 0, 0 });
    return;
  }
  if (path.size() == queue->mPrefix.size()) {
    mPort.mAnswer(
      aCall,
      job_answer{ job_reply::Pending, {}, mState.Pending(queue->mName), 0 });
    return;
  }
  mPort.mAnswer(aCall, job_answer{ job_reply::Gone, {}, 0, 0 });
}

void
leading::AnswerState(call_number aCall, const job_record& aJob)
{
  mPort.mAnswer(
    aCall, job_answer{ job_reply::State, std::string(StateName(aJob)), 0, 0 });
}

void
leading::On(call_number aCall, const job_cancellation& aCancel)
{
  const std::string_view path = aCancel.mPlace.mPath;
  const job_id id(std::string(
    path.substr(path.size() - std::min(path.size(), kJobIdLength))));
  const job_record* job = mState.FindJob(id);
  const job_answer cancelled{ job_reply::Cancelled, {}, 0, 0 };
  if (job == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::Gone, {}, 0, 0 });
  } else if (!job->IsActive()) {
    mPort.mAnswer(aCall, cancelled);
  } else {
    mPort.mNote({ "job.cancel", { { "job", id.Value() } } });
    ProposeAndAnswer(aCall, cancel_job{ id }, cancelled);
  }
}

bool
leading::IsWorkerChanged(const worker_beat& aBeat, worker_number aNumber) const
{
  const worker_record& known = *mState.FindWorker(aNumber);
  return (aBeat.mDraining && !known.mDraining) ||
         aBeat.mFacts.mAddress != known.mFacts.mAddress ||
         aBeat.mFacts.mService != known.mFacts.mService ||
         aBeat.mFacts.mCapacity != known.mFacts.mCapacity;
}

void
leading::On(call_number aCall, const worker_beat& aBeat)
{
  const worker_number number = mState.NumberOf(aBeat.mFacts.mId);
  if (number == 0 || IsWorkerChanged(aBeat, number)) {
    mPort.mNote({ number == 0 ? "worker.new" : "worker.changed",
                  { { "worker", aBeat.mFacts.mId.Value() },
                    { "address", aBeat.mFacts.mAddress },
                    { "service", aBeat.mFacts.mService.Value() },
                    { "draining", aBeat.mDraining ? "yes" : "no" },
                    { "beat", std::to_string(aBeat.mNumber) } } });
    ProposeAndAnswer(aCall,
                     register_worker{ aBeat.mFacts, aBeat.mDraining },
                     acknowledged{ IsLarge() });
    return;
  }
  mKeeper.Heard(number, aBeat.mNumber, aBeat.mClockMs, mAt.mNow);
  mPort.mAnswer(aCall, acknowledged{ IsLarge() });
}

void
leading::On(call_number aCall, const beat_summary& aSummary)
{
  unknown_workers unknown;
  for (const beat_note& note : aSummary.mNotes) {
    if (const worker_number number = mState.NumberOf(note.mId); number != 0) {
      mKeeper.Heard(number, note.mNumber, note.mClockMs, mAt.mNow);
    } else {
      unknown.mIds.push_back(note.mId);
    }
  }
  mPort.mAnswer(aCall, std::move(unknown));
}

bool
leading::IsLarge() const
{
  return mState.Workers().size() > mOptions.mWorkersAlone;
}

void
leading::On(call_number aCall, const worker_farewell& aFarewell)
{
  const worker_number number = mState.NumberOf(aFarewell.mId);
  if (number == 0) {
    mPort.mAnswer(aCall, acknowledged{});
    return;
  }
  mPort.mNote({ "worker.left", { { "worker", aFarewell.mId.Value() } } });
  mKeeper.KeepCheckpoints(number);
  PumpKeeper();
  ProposeAndAnswer(aCall, remove_worker{ number }, acknowledged{});
}

void
leading::On(call_number aCall, const table_change& aChange)
{
  mPort.mNote({ "table.put",
                { { "version", std::to_string(aChange.mTable.mVersion) },
                  { "held", std::to_string(mState.Table().mVersion) } } });
  if (aChange.mTable.mVersion <= mState.Table().mVersion) {
    mPort.mAnswer(aCall, acknowledged{});
    return;
  }
  ProposeAndAnswer(
    aCall, put_table{ aChange.mTable, aChange.mSource }, acknowledged{});
}

void
leading::On(call_number aCall, const table_read& /*aRead*/)
{
  mPort.mAnswer(aCall, table_source{ mState.TableSource() });
}

void
leading::On(call_number aCall, const join_request& aJoin)
{
  // The flow core has seen to its membership. A spare carries questions to the
  // policy service as entries do.
  mEntries[aJoin.mAddress] = mAt.mNow;
  mSpares[aJoin.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                beat_answer{ mState.Table().mVersion,
                             mState.Table().mLimits,
                             mPort.mMembers() });
}

void
leading::On(call_number aCall, const leader_probe& /*aProbe*/)
{
  mPort.mAnswer(aCall, acknowledged{});
}

void
leading::Applied(const command_body& aCommand, const apply_outcome& aOutcome)
{
  mPlanDue = true;
  mFirstDue = mFirstDue || ConcernsFirst(aCommand);
  if (const auto* worker = std::get_if<register_worker>(&aCommand)) {
    mKeeper.Registered(mState.NumberOf(worker->mFacts.mId), mAt.mNow);
  } else if (const auto* gone = std::get_if<remove_worker>(&aCommand)) {
    mKeeper.Removed(gone->mWorker);
    mHealth.Forget(gone->mWorker);
    mSharing.Forget(gone->mWorker);
  } else if (const auto* ends = std::get_if<end_runs>(&aCommand)) {
    mKeeper.EndsApplied(ends->mWorker, mAt.mNow);
    LearnFrom(*ends);
    NoteEnds(*ends);
  } else if (const auto* dropped = std::get_if<drop_runs>(&aCommand)) {
    mKeeper.RunsDropped(dropped->mWorker);
  }
  for (const job_id& id : aOutcome.mEnded) {
    const job_record* job = mState.FindJob(id);
    mPort.mNote(
      { "job.ended",
        { { "job", id.Value() },
          { "state", std::string(StateName(*job)) },
          { "after_ms",
            std::to_string(mAt.mWallMs - job->mSubmittedWallMs) } } });
    mAdvice.Forget(id);
    mStragglers.Forget(id);
    std::erase_if(mYields,
                  [&](const auto& aEntry) { return aEntry.first.mJob == id; });
    StopRuns(id, *job);
  }
}

void
leading::OrderAnswered(std::uint64_t aOrder, const order_answer& aAnswer)
{
  mKeeper.Answered(aOrder, aAnswer, mAt.mNow);
  for (const run_start& refused : mKeeper.TakeTicketsRefused()) {
    const task_ref& task = refused.mRun.mTask;
    mAdvice.Expire({ task.mJob, task.mOccurrence, task.mStep },
                   refused.mWorker);
  }
  PumpKeeper();
}

void
leading::PumpKeeper()
{
  for (command_body& body : mKeeper.TakeCommands()) {
    const auto* ends = std::get_if<end_runs>(&body);
    const worker_number worker = ends == nullptr ? 0 : ends->mWorker;
    if (!mPort.mPropose(std::move(body), {}) && worker != 0) {
      mKeeper.EndsApplied(worker, mAt.mNow); // the next look lists them again
    }
  }
}

void
leading::Tick()
{
  mKeeper.Tick(mAt.mNow);
  PumpKeeper();
  if (mAt.mNow >= mSweptAt + kSweepEvery) {
    mSweptAt = mAt.mNow;
    ChooseCarriers();
    OpenDue();
    StopUnwanted();
    if (mAt.mNow >= mSlowSweptAt + kSlowSweepEvery) {
      mSlowSweptAt = mAt.mNow;
      ForgetOld();
      TakeBackStragglers();
    }
    for (const auto& [number, view] : mKeeper.Views()) {
      SharePace(number, view);
    }
  }
}

void
leading::OpenDue()
{
  for (const job_id& id : mState.Live()) {
    const job_record& job = *mState.FindJob(id);
    const recurrence& times = job.mSpec.mRecurrence;
    if (job.IsActive() && job.mNextOccurrence < times.mTimes &&
        mAt.mWallMs >=
          times.mFirstWallMs + job.mNextOccurrence * times.mEveryMs) {
      Propose(open_occurrence{ id, job.mNextOccurrence });
    }
  }
}

void
leading::ForgetOld()
{
  const std::int64_t before =
    mAt.mWallMs - mOptions.mShowEnded.count() - mOptions.mShowMargin.count();
  forget_jobs old;
  for (const auto& [id, job] : mState.Jobs()) {
    if (!job.IsActive() && job.mEndedWallMs < before) {
      old.mJobs.push_back(id);
    }
  }
  if (!old.mJobs.empty()) {
    Propose(std::move(old));
  }
}

std::vector<plan_worker>
leading::UsableWorkers() const
{
  std::vector<plan_worker> workers;
  workers.reserve(mState.Workers().size());
  for (const auto& [number, worker] : mState.Workers()) {
    if (worker.mDraining || !mKeeper.IsUsable(number, mAt.mNow)) {
      continue;
    }
    const placed_amounts placed = mState.AmountsAt(number);
    plan_worker& planned = workers.emplace_back();
    planned.mNumber = number;
    planned.mFacts = &worker.mFacts;
    planned.mFree = worker.mFacts.mCapacity - placed.mBooked;
    const worker_standing standing = mHealth.StandingOf(number, mAt.mNow);
    planned.mSpeed = standing.mSpeed;
    planned.mAvoided = standing.mAvoided;
    planned.mServes = placed.mServing > 0;
    planned.mFilled = placed.mFilling > 0;
  }
  const auto find = [&workers](worker_number aNumber) -> plan_worker* {
    const auto found =
      std::ranges::lower_bound(workers, aNumber, {}, &plan_worker::mNumber);
    return found != workers.end() && found->mNumber == aNumber ? &*found
                                                               : nullptr;
  };
  for (const auto& [number, room] : mProposedRoom) {
    if (plan_worker* worker = find(number)) {
      worker->mFree -= room;
    }
  }
  for (const auto& [run, number] : mYielding) {
    if (plan_worker* worker = find(number)) {
      worker->mLeaving += mState.FindStep(run.mTask)->Booked();
    }
  }
  // If many seem bad, something else is: nobody is avoided then.
  constexpr std::ptrdiff_t kLeastOthers = 3;
  if (std::ranges::count(workers, true, &plan_worker::mAvoided) * kLeastOthers >
      std::ssize(workers)) {
    for (plan_worker& worker : workers) {
      worker.mAvoided = false;
    }
  }
  return workers;
}

std::optional<plan_scope>
leading::ScopeDue() const
{
  const duration since = mAt.mNow - mPlannedAt;
  const auto workers = static_cast<std::int64_t>(mState.Workers().size());
  const duration pause = kPlanPause + kPlanPausePerWorker * workers +
                         kPlanPausePerWaiting * mWaitingTasks;
  if (since >= pause && (mPlanDue || since >= kPlanEvery)) {
    return plan_scope::All;
  }
  if (mFirstDue &&
      mAt.mNow - std::max(mPlannedAt, mFirstPlannedAt) >=
        kPlanPause + kFirstPausePerWorker * workers) {
    return plan_scope::First;
  }
  return std::nullopt;
}

plan_input
leading::MakeInput(plan_scope aScope)
{
  plan_input input;
  input.mState = &mState;
  input.mAdvice = &mAdvice;
  input.mWorkers = UsableWorkers();
  input.mProposed = &mProposed;
  input.mAsking = &mAsking;
  if (mAt.mNow >= mAskedAllAt + kAskAllEvery) {
    mAskedAllAt = mAt.mNow;
    mNothingToAsk.clear();
  }
  input.mNothingToAsk = &mNothingToAsk;
  input.mYields = mYields;
  input.mPolicy = mOptions.mPlan;
  input.mAdvisors = AdvisorLoad();
  input.mNow = mAt.mNow;
  input.mWallMs = mAt.mWallMs;
  input.mScope = aScope;
  return input;
}

void
leading::Decide()
{
  const auto scope = ScopeDue();
  if (!scope) {
    return;
  }
  mFirstDue = false;
  mFirstPlannedAt = mAt.mNow;
  ForgetYielded();
  plan_input input = MakeInput(*scope);
  const std::size_t usable = input.mWorkers.size();
  plan_result plan = MakePlan(std::move(input));
  mFirstWaiting = plan.mUrgentWaiting;
  if (*scope == plan_scope::All) {
    mPlanDue = false;
    mPlannedAt = mAt.mNow;
    mWaitingTasks = static_cast<std::int64_t>(plan.mWaiting);
    NoteWaits(plan);
    NoteShortage(plan, usable);
  }
  mNothingToAsk.insert(plan.mNothingToAsk.begin(), plan.mNothingToAsk.end());
  for (const question& asked : plan.mQuestions) {
    AskPolicy(asked);
  }
  MakeWay(plan.mStops);
  if (!plan.mStarts.empty()) {
    Start(std::move(plan.mStarts));
  }
}

bool
leading::ConcernsFirst(const command_body& aCommand) const
{
  const auto isFirst = [this](const run_ref& aRun) {
    const job_record* job = mState.FindJob(aRun.mTask.mJob);
    const step_spec* step = mState.FindStep(aRun.mTask);
    return job != nullptr && step != nullptr &&
           IsFirst(mState.QueueOf(*job), *step);
  };
  return std::visit(
    overloaded{
      [](const submit_job& aSubmit) { return aSubmit.mQueue.mPriority == 0; },
      [&](const end_runs& aEnds) {
        return mFirstWaiting > 0 ||
               std::ranges::any_of(aEnds.mEnds, isFirst, &run_end::mRun);
      },
      [&](const drop_runs& aDrop) {
        return mFirstWaiting > 0 || std::ranges::any_of(aDrop.mRuns, isFirst);
      },
      [](const auto&) { return false; },
    },
    aCommand);
}

std::vector<std::string>
leading::FreeAdvisors() const
{
  std::vector<std::string> all = mPort.mMembers();
  for (const auto& [address, heard] : mEntries) {
    if (mAt.mNow < heard + kEntrySilence) {
      all.push_back(address);
    }
  }
  std::erase_if(all, [this](const std::string& aAddress) {
    const auto aside = mAsideUntil.find(aAddress);
    return (aside != mAsideUntil.end() && mAt.mNow < aside->second) ||
           std::ranges::any_of(mOpenQuestions, [&](const auto& aOpen) {
             return aOpen.second.mAdvisor == aAddress;
           });
  });
  // Entries first: the control processes have other work.
  std::ranges::reverse(all);
  return all;
}

advisor_load
leading::AdvisorLoad()
{
  advisor_load load;
  load.mFree = FreeAdvisors().size();
  load.mTotal = load.mFree + mOpenQuestions.size();
  std::size_t first = 0;
  for (const auto& [id, open] : mOpenQuestions) {
    ++load.mUsed[open.mQueue];
    first += open.mFirst ? 1 : 0;
  }
  load.mFirstPeak = mFirstPeak.Note(first, mAt.mNow);
  return load;
}

void
leading::AskPolicy(const question& aQuestion)
{
  const auto advisors = FreeAdvisors();
  const job_record* job = mState.FindJob(aQuestion.mStep.mJob);
  if (advisors.empty() || job == nullptr) {
    return;
  }
  const queue_row& queue = mState.QueueOf(*job);
  const advice_terms terms = queue.mAdvice.value_or(advice_terms{});
  open_question open{
    advisors.front(), aQuestion.mStep,     queue.mName, terms.mValidMs, {},
    mAt.mNow,         queue.mPriority == 0
  };
  advice_order order{ ++mLastQuestion, advisors.front(), {} };
  order.mRequest.mStep = aQuestion.mStep;
  for (const worker_number number : aQuestion.mWorkers) {
    const worker_id& id = mState.FindWorker(number)->mFacts.mId;
    open.mAsked.emplace_back(number, id);
    order.mRequest.mWorkers.push_back(id);
  }
  const auto named = static_cast<double>(aQuestion.mWorkers.size());
  constexpr double kHalfMore = 1.5;
  order.mRequest.mBoundMs =
    static_cast<std::int64_t>(kHalfMore *
                              (terms.mBaseMs + terms.mPerWorkerMs * named)) +
    kAdviceMarginMs;
  mAsking.insert(aQuestion.mStep);
  mOpenQuestions.emplace(order.mId, std::move(open));
  mQuestions.push_back(std::move(order));
}

void
leading::AdviceAnswered(std::uint64_t aOrder, const result<approvals>& aAnswer)
{
  auto open = mOpenQuestions.extract(aOrder);
  if (open.empty()) {
    return;
  }
  const open_question& asked = open.mapped();
  mAsking.erase(asked.mStep);
  mPlanDue = true;
  mFirstDue = mFirstDue || asked.mFirst;
  if (!aAnswer) {
    mAsideUntil[asked.mAdvisor] = mAt.mNow + kAdvisorAside;
    mPort.mNote({ "advice.failed",
                  { { "job", asked.mStep.mJob.Value() },
                    { "advisor", asked.mAdvisor },
                    { "problem", aAnswer.error().Describe() } } });
    return;
  }
  mPort.mNote({ "advice.answered",
                { { "job", asked.mStep.mJob.Value() },
                  { "step", std::to_string(asked.mStep.mStep) },
                  { "queue", asked.mQueue },
                  { "asked", std::to_string(asked.mAsked.size()) },
                  { "by", asked.mAdvisor },
                  { "took_ms", std::to_string(ToMs(mAt.mNow - asked.mAt)) },
                  { "approved", std::to_string(aAnswer->size()) } } });
  const milliseconds valid = milliseconds(asked.mValidMs) - kTicketMargin;
  mAdvice.Answered(
    asked.mStep, asked.mQueue, asked.mAsked, *aAnswer, mAt.mNow + valid);
}

std::vector<worker_order>
leading::TakeOrders()
{
  std::vector<worker_order> orders = mKeeper.TakeOrders();
  for (worker_order& order : orders) {
    order.mCarrier = mCarriers.For(order.mWorker);
  }
  return orders;
}

std::vector<std::string>
leading::OtherControls() const
{
  std::vector<std::string> others;
  for (const auto& [address, heard] : mSpares) {
    if (mAt.mNow < heard + kEntrySilence) {
      others.push_back(address);
    }
  }
  const std::vector<std::string> members = mPort.mMembers();
  if (!members.empty()) { // this process comes first
    others.insert(others.end(), members.begin() + 1, members.end());
  }
  return others;
}

void
leading::ChooseCarriers()
{
  const std::vector<std::string> before = mCarriers.Carriers();
  mCarriers.Update(OtherControls(), mState.Workers().size(), mAt.mNow);
  if (mCarriers.Carriers() != before) {
    mPort.mNote({ "carriers.changed",
                  { { "before", std::to_string(before.size()) },
                    { "now", std::to_string(mCarriers.Carriers().size()) },
                    { "workers", std::to_string(mState.Workers().size()) } } });
  }
}

void
leading::CarrierFailed(const std::string& aAddress)
{
  mPort.mNote({ "carrier.failed", { { "carrier", aAddress } } });
  mCarriers.Failed(aAddress, mAt.mNow);
}

std::vector<advice_order>
leading::TakeQuestions()
{
  return std::exchange(mQuestions, {});
}

} // namespace oriolewalk::flow
