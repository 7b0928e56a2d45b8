// What the leader concludes from workers' answers.

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/flow/worker_supervisor.h"

namespace oriolewalk::flow {

namespace {

// A list of ends is cut off by the worker at this many.
constexpr std::size_t kMostListedEnds = 500;
// How long a worker that refused a start as unhealthy gets no other.
constexpr milliseconds kUnhealthyPause{ 1'000 };

} // namespace

void
worker_keeper::Answered(std::uint64_t aOrder,
                        const order_answer& aAnswer,
                        time_point aNow)
{
  auto open = mOpen.extract(aOrder);
  if (open.empty()) {
    return;
  }
  const open_order& order = open.mapped();
  const auto found = mViews.find(order.mWorker);
  if (found == mViews.end()) {
    return;
  }
  worker_view& view = found->second;
  // Read as the life's that was asked, a later life's lists would give up runs
  // that a start still on its way may bring, and its ends be measured by a
  // cursor that isn't theirs. Its heartbeat will tell.
  const bool later = IsOfOtherLife(order.mWorker, aAnswer);
  if (later) {
    NoteOutlived(order.mWorker, view, aAnswer);
  }
  static const order_answer sNone;
  const bool unread = later && aAnswer.mResult != order_result::NotSent;
  const order_answer& answer = unread ? sNone : aAnswer;
  NoteAnswer(order, view, answer, aNow);
  std::visit(
    overloaded{
      [&](const start_order& aStart) {
        StartAnswered(order.mWorker, view, aStart, answer, aNow);
      },
      [&](const stop_order& aStop) { StopAnswered(view, aStop, answer, aNow); },
      [&](const hold_order&) {
        (aOrder == view.mQuickLook ? view.mQuickLook : view.mLook) = 0;
        LookAnswered(order.mWorker, view, order.mSentAt, answer, aNow);
      },
      [](const pace_order&) {},
    },
    order.mBody);
}

bool
worker_keeper::IsOfOtherLife(worker_number aWorker,
                             const order_answer& aAnswer) const
{
  const std::int64_t born = mState.FindWorker(aWorker)->mFacts.mBornMs;
  return aAnswer.mBornMs != 0 && born != 0 && aAnswer.mBornMs != born;
}

void
worker_keeper::NoteOutlived(worker_number aWorker,
                            worker_view& aView,
                            const order_answer& aAnswer)
{
  if (std::exchange(aView.mOutlived, true)) {
    return;
  }
  const worker_facts& facts = mState.FindWorker(aWorker)->mFacts;
  mNotes.push_back({ "worker.outlived",
                     { { "worker", facts.mId.Value() },
                       { "born", std::to_string(aAnswer.mBornMs) },
                       { "known_born", std::to_string(facts.mBornMs) },
                       { "runs", std::to_string(aView.mRuns.size()) } } });
}

void
worker_keeper::NoteAnswer(const open_order& aOrder,
                          worker_view& aView,
                          const order_answer& aAnswer,
                          time_point aNow)
{
  switch (aAnswer.mResult) {
    case order_result::OtherLife:
      KeepCheckpoints(aOrder.mWorker);
      LifeIsOver(aOrder.mWorker, "later life", aNow);
      mCommands.emplace_back(remove_worker{ aOrder.mWorker });
      return;
    case order_result::NoAnswer:
    case order_result::NotSent:
      // A single order may be lost; a look without an answer says that the
      // worker can't be reached.
      if (std::holds_alternative<hold_order>(aOrder.mBody)) {
        aView.mFailedLookAt = aOrder.mSentAt;
        if (aView.mFailures == 0) {
          aView.mFailingSince = aOrder.mSentAt;
        }
        aView.mFailures = IsOurDelay(aView) ? 0 : aView.mFailures + 1;
        aView.mTellCursor = false; // it may be another process by now
      }
      return;
    default:
      aView.mFailures = 0;
      aView.mHeardAt = aNow;
      if (aAnswer.mClockMs) {
        NoteClock(aView, *aAnswer.mClockMs, aNow);
      }
  }
}

void
worker_keeper::StartAnswered(worker_number aWorker,
                             worker_view& aView,
                             const start_order& aOrder,
                             const order_answer& aAnswer,
                             time_point aNow)
{
  const auto run = aView.mRuns.find(aOrder.mRun);
  if (run == aView.mRuns.end()) {
    return;
  }
  std::string_view why = "refused";
  switch (aAnswer.mResult) {
    case order_result::Done:
      run->second.mStartedAt = aNow;
      return;
    case order_result::NoAnswer:
      run->second.mUnsureSince = aNow;
      aView.mTendRuns = true;
      return;
    case order_result::Superseded:
    case order_result::OtherLife:
      return; // another leader's, or a life that is over
    case order_result::TicketInvalid:
      mTicketsRefused.push_back({ aOrder.mRun, aWorker });
      why = "ticket";
      break;
    case order_result::Unhealthy:
      aView.mUnhealthyUntil = aNow + kUnhealthyPause;
      why = "unhealthy";
      break;
    case order_result::Outlived:
      why = "outlived";
      break;
    case order_result::Late:
      why = "late";
      break;
    case order_result::NoRoom:
      why = "room";
      break;
    case order_result::NotSent:
      why = "not sent";
      break;
    default:
      break;
  }
  GiveUp(aWorker, { aOrder.mRun }, why);
}

void
worker_keeper::StopAnswered(worker_view& aView,
                            const stop_order& aOrder,
                            const order_answer& aAnswer,
                            time_point aNow)
{
  const auto run = aView.mRuns.find(aOrder.mRun);
  if (run == aView.mRuns.end()) {
    return;
  }
  run->second.mStopUnderWay = false;
  if (aAnswer.mResult == order_result::Done) {
    run->second.mStoppedAt = aNow;
    aView.mProbe = true;
  } else {
    run->second.mStopAgainAt = aNow + mOptions.mStopAgain;
  }
}

void
worker_keeper::LookAnswered(worker_number aWorker,
                            worker_view& aView,
                            time_point aSentAt,
                            const order_answer& aAnswer,
                            time_point aNow)
{
  if (aAnswer.mResult != order_result::Done) {
    aView.mNextLook = aNow + mOptions.mLookAgain;
    return;
  }
  aView.mNextLook = aNow;
  aView.mSynced = true;
  NoteReturn(aWorker, aView);
  TakeRunning(aWorker, aView, aAnswer, aNow);
  DropAbsent(aWorker, aView, aSentAt, aAnswer);
  aView.mTellCursor = !aAnswer.mEnded.empty();
  aView.mEndsUnderWay = TakeEnds(aWorker, aView, aAnswer);
}

void
worker_keeper::TakeRunning(worker_number aWorker,
                           worker_view& aView,
                           const order_answer& aAnswer,
                           time_point aNow)
{
  for (const listed_run& listed : aAnswer.mRunning) {
    const auto run = aView.mRuns.find(listed.mRun);
    if (run != aView.mRuns.end()) {
      run->second.mSeen = true;
      run->second.mStartedAt = run->second.mStartedAt.value_or(aNow);
      run->second.mCheckpoint = listed.mCheckpoint;
      run->second.mPercent = listed.mPercent;
      run->second.mLoad = listed.mLoad;
    } else if (!mState.IsPlaced(listed.mRun, aWorker)) {
      // Nobody waits for it: a start that came late, of an attempt that was
      // given up since.
      Send(aWorker, stop_order{ listed.mRun }, false, aNow);
    }
  }
}

bool
worker_keeper::TakeEnds(worker_number aWorker,
                        worker_view& /*aView*/,
                        const order_answer& aAnswer)
{
  const worker_record* record = mState.FindWorker(aWorker);
  end_runs ends{ aWorker, {}, record->mCursor };
  for (const listed_end& listed : aAnswer.mEnded) {
    if (listed.mNumber > record->mCursor) {
      ends.mEnds.push_back(listed.mEnd);
      ends.mCursor = std::max(ends.mCursor, listed.mNumber);
    } else if (mState.IsPlaced(listed.mEnd.mRun, aWorker)) {
      NotePassedOver(*record, listed);
    }
  }
  if (ends.mEnds.empty()) {
    return false;
  }
  mCommands.emplace_back(std::move(ends));
  return true;
}

void
worker_keeper::DropAbsent(worker_number aWorker,
                          worker_view& aView,
                          time_point aSentAt,
                          const order_answer& aAnswer)
{
  if (aAnswer.mEnded.size() >= kMostListedEnds) {
    return; // the rest comes with the next look
  }
  std::set<run_ref> present;
  for (const listed_run& listed : aAnswer.mRunning) {
    present.insert(listed.mRun);
  }
  for (const listed_end& listed : aAnswer.mEnded) {
    present.insert(listed.mEnd.mRun);
  }
  std::vector<run_ref> absent;
  for (const auto& [run, view] : aView.mRuns) {
    // An earlier leader's start that is still under way carries a fence that
    // this worker now refuses.
    const bool mustShow = view.mInherited ||
                          (view.mStartedAt && *view.mStartedAt < aSentAt) ||
                          (view.mStoppedAt && *view.mStoppedAt < aSentAt);
    if (mustShow && !present.contains(run)) {
      absent.push_back(run);
    }
  }
  if (!absent.empty()) {
    GiveUp(aWorker, std::move(absent), "absent");
  }
}

void
worker_keeper::GiveUp(worker_number aWorker,
                      std::vector<run_ref> aRuns,
                      std::string_view aWhy)
{
  NoteGivenUp(aWorker, aRuns, aWhy);
  mCommands.emplace_back(drop_runs{ aWorker, std::move(aRuns) });
}

void
worker_keeper::NoteGivenUp(worker_number aWorker,
                           const std::vector<run_ref>& aRuns,
                           std::string_view aWhy)
{
  for (const run_ref& run : aRuns) {
    mNotes.push_back(
      { "run.given_up",
        { { "job", run.mTask.mJob.Value() },
          { "step", std::to_string(run.mTask.mStep) },
          { "task", std::to_string(run.mTask.mIndex) },
          { "attempt", std::to_string(run.mAttempt) },
          { "worker", mState.FindWorker(aWorker)->mFacts.mId.Value() },
          { "why", std::string(aWhy) } } });
  }
}

// Its number says that it is in the state already, and the state waits for it:
// one of the two is wrong.
void
worker_keeper::NotePassedOver(const worker_record& aRecord,
                              const listed_end& aListed)
{
  const run_ref& run = aListed.mEnd.mRun;
  mNotes.push_back({ "end.passed_over",
                     { { "job", run.mTask.mJob.Value() },
                       { "step", std::to_string(run.mTask.mStep) },
                       { "task", std::to_string(run.mTask.mIndex) },
                       { "attempt", std::to_string(run.mAttempt) },
                       { "how", std::string(ToString(aListed.mEnd.mOutcome)) },
                       { "worker", aRecord.mFacts.mId.Value() },
                       { "number", std::to_string(aListed.mNumber) },
                       { "cursor", std::to_string(aRecord.mCursor) } } });
}

} // namespace oriolewalk::flow
