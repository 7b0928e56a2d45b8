// The conclusions that the leader draws from workers' answers.

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/flow/worker_supervisor.h"

namespace oriolewalk::flow {

namespace {

// A worker truncates its list of ends at this length.
constexpr std::size_t kMaxListedEnds = 500;
// How long a worker that refused a start as unhealthy gets no other start.
constexpr milliseconds kUnhealthyPause{ 1'000 };

} // namespace

void
worker_supervisor::OnAnswer(std::uint64_t aOrder,
                            const order_answer& aAnswer,
                            time_point aNow)
{
  auto open = mPendingOrders.extract(aOrder);
  if (open.empty()) {
    return;
  }
  const pending_order& order = open.mapped();
  const auto found = mViews.find(order.mWorker);
  if (found == mViews.end()) {
    return;
  }
  Wake(order.mWorker);
  mChanged.insert(order.mWorker);
  worker_view& view = found->second;
  // If the lists of a later incarnation were applied to this one, runs would be
  // dropped whose start may still arrive, and its ends would be compared with a
  // cursor of another sequence. Its heartbeat will report the restart.
  const bool isNewer = IsFromOtherIncarnation(order.mWorker, aAnswer);
  if (isNewer) {
    OnNewerIncarnation(order.mWorker, view, aAnswer);
  }
  static const order_answer sNoAnswer;
  const bool isIgnored = isNewer && aAnswer.mResult != order_result::NotSent;
  const order_answer& answer = isIgnored ? sNoAnswer : aAnswer;
  UpdateReachability(order, view, answer, aNow);
  std::visit(
    overloaded{
      [&](const start_order& aStart) {
        OnStartAnswer(order.mWorker, view, aStart, answer, aNow);
      },
      [&](const stop_order& aStop) { OnStopAnswer(view, aStop, answer, aNow); },
      [&](const poll_order&) {
        if (aOrder == view.mShortPoll) {
          OnFirstPollEnded(view);
        }
        (aOrder == view.mShortPoll ? view.mShortPoll : view.mLongPoll) = 0;
        OnPollAnswer(order.mWorker, view, order.mSentAt, answer, aNow);
      },
      [](const pace_order&) {},
    },
    order.mBody);
}

bool
worker_supervisor::IsFromOtherIncarnation(worker_number aWorker,
                                          const order_answer& aAnswer) const
{
  const std::int64_t processStartMs =
    mState.FindWorker(aWorker)->mDescription.mProcessStartMs;
  return aAnswer.mProcessStartMs != 0 && processStartMs != 0 &&
         aAnswer.mProcessStartMs != processStartMs;
}

void
worker_supervisor::OnNewerIncarnation(worker_number aWorker,
                                      worker_view& aView,
                                      const order_answer& aAnswer)
{
  if (std::exchange(aView.mHasNewerIncarnation, true)) {
    return;
  }
  const worker_description& description =
    mState.FindWorker(aWorker)->mDescription;
  mDecisions.push_back(
    { "worker.outlived",
      { { "worker", description.mId.Value() },
        { "born", std::to_string(aAnswer.mProcessStartMs) },
        { "known_born", std::to_string(description.mProcessStartMs) },
        { "runs", std::to_string(aView.mRuns.size()) } } });
}

void
worker_supervisor::UpdateReachability(const pending_order& aOrder,
                                      worker_view& aView,
                                      const order_answer& aAnswer,
                                      time_point aNow)
{
  switch (aAnswer.mResult) {
    case order_result::OtherIncarnation:
      SaveCheckpoints(aOrder.mWorker);
      OnIncarnationEnded(aOrder.mWorker, "later life", aNow);
      mCommands.emplace_back(remove_worker{ aOrder.mWorker });
      return;
    case order_result::NoAnswer:
    case order_result::NotSent:
      // A single order may be lost; a poll without an answer means that the
      // worker can't be reached.
      if (std::holds_alternative<poll_order>(aOrder.mBody)) {
        aView.mFailedPollSentAt = aOrder.mSentAt;
        if (aView.mFailedPolls == 0) {
          aView.mFailingSince = aOrder.mSentAt;
        }
        aView.mFailedPolls = IsOwnDelay(aView) ? 0 : aView.mFailedPolls + 1;
        aView.mShouldSendCursor = false; // another process may run there by now
      }
      return;
    default:
      aView.mFailedPolls = 0;
      aView.mLastContactAt = aNow;
      if (aAnswer.mClockMs) {
        SetClock(aView, *aAnswer.mClockMs, aNow);
      }
  }
}

void
worker_supervisor::OnStartAnswer(worker_number aWorker,
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
      run->second.mStartUnansweredSince = aNow;
      aView.mHasRunsToResolve = true;
      return;
    case order_result::Superseded:
    case order_result::OtherIncarnation:
      return; // another leader took over, or the incarnation ended
    case order_result::TicketInvalid:
      mTicketRefusals.push_back({ aOrder.mRun, aWorker });
      why = "ticket";
      break;
    case order_result::Unhealthy:
      aView.mUnhealthyUntil = aNow + kUnhealthyPause;
      why = "unhealthy";
      break;
    case order_result::StaleAttempt:
      why = "outlived";
      break;
    case order_result::LeaseExpired:
      why = "late";
      break;
    case order_result::NoCapacity:
      why = "room";
      break;
    case order_result::NotSent:
      why = "not sent";
      break;
    default:
      break;
  }
  DropRuns(aWorker, { aOrder.mRun }, why);
}

void
worker_supervisor::OnStopAnswer(worker_view& aView,
                                const stop_order& aOrder,
                                const order_answer& aAnswer,
                                time_point aNow)
{
  const auto run = aView.mRuns.find(aOrder.mRun);
  if (run == aView.mRuns.end()) {
    return;
  }
  run->second.mStopInFlight = false;
  if (aAnswer.mResult == order_result::Done) {
    run->second.mStoppedAt = aNow;
    aView.mShortPollRequested = true;
  } else {
    run->second.mStopRetryAt = aNow + mOptions.mStopRetryDelay;
  }
}

void
worker_supervisor::OnPollAnswer(worker_number aWorker,
                                worker_view& aView,
                                time_point aSentAt,
                                const order_answer& aAnswer,
                                time_point aNow)
{
  if (aAnswer.mResult != order_result::Done) {
    aView.mNextPollAt = aNow + mOptions.mPollRetryDelay;
    return;
  }
  aView.mNextPollAt = aNow;
  aView.mSynced = true;
  ProposeWorkerReturn(aWorker, aView);
  UpdateRunning(aWorker, aView, aAnswer, aNow);
  DropAbsentRuns(aWorker, aView, aSentAt, aAnswer);
  aView.mShouldSendCursor = !aAnswer.mEnded.empty();
  aView.mHasUncommittedEnds = ProposeEnds(aWorker, aView, aAnswer);
}

void
worker_supervisor::UpdateRunning(worker_number aWorker,
                                 worker_view& aView,
                                 const order_answer& aAnswer,
                                 time_point aNow)
{
  for (const listed_run& listed : aAnswer.mRunning) {
    const auto run = aView.mRuns.find(listed.mRun);
    if (run != aView.mRuns.end()) {
      run->second.mSeenInPoll = true;
      run->second.mStartedAt = run->second.mStartedAt.value_or(aNow);
      run->second.mCheckpoint = listed.mCheckpoint;
      run->second.mPercent = listed.mPercent;
      run->second.mLoad = listed.mLoad;
      if (aView.mHasDeregistered) {
        // Its checkpoint is saved, and its end is proved without waiting for
        // the lease to expire.
        RequestStop(aWorker, listed.mRun, aNow);
      }
    } else if (!mState.IsPlaced(listed.mRun, aWorker)) {
      // The state doesn't hold this run: its start arrived late, after the
      // attempt was dropped.
      Send(aWorker, stop_order{ listed.mRun }, false, aNow);
    }
  }
}

bool
worker_supervisor::ProposeEnds(worker_number aWorker,
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
      LogIgnoredEnd(*record, listed);
    }
  }
  if (ends.mEnds.empty()) {
    return false;
  }
  mCommands.emplace_back(std::move(ends));
  return true;
}

void
worker_supervisor::DropAbsentRuns(worker_number aWorker,
                                  worker_view& aView,
                                  time_point aSentAt,
                                  const order_answer& aAnswer)
{
  if (aAnswer.mEnded.size() >= kMaxListedEnds) {
    return; // the next poll shows the rest
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
    // An earlier leader's start that is still in flight has a fence that this
    // worker now refuses.
    const bool mustShow = view.mInherited ||
                          (view.mStartedAt && *view.mStartedAt < aSentAt) ||
                          (view.mStoppedAt && *view.mStoppedAt < aSentAt);
    if (mustShow && !present.contains(run)) {
      absent.push_back(run);
    }
  }
  if (!absent.empty()) {
    DropRuns(aWorker, std::move(absent), "absent");
  }
}

void
worker_supervisor::DropRuns(worker_number aWorker,
                            std::vector<run_ref> aRuns,
                            std::string_view aWhy)
{
  LogDroppedRuns(aWorker, aRuns, aWhy);
  mCommands.emplace_back(drop_runs{ aWorker, std::move(aRuns) });
}

void
worker_supervisor::LogDroppedRuns(worker_number aWorker,
                                  const std::vector<run_ref>& aRuns,
                                  std::string_view aWhy)
{
  for (const run_ref& run : aRuns) {
    mDecisions.push_back(
      { "run.given_up",
        { { "job", run.mTask.mJob.Value() },
          { "step", std::to_string(run.mTask.mStep) },
          { "task", std::to_string(run.mTask.mIndex) },
          { "attempt", std::to_string(run.mAttempt) },
          { "worker", mState.FindWorker(aWorker)->mDescription.mId.Value() },
          { "why", std::string(aWhy) } } });
  }
}

// By its number the end is already in the state, but the state still holds the
// run: one of the two is wrong.
void
worker_supervisor::LogIgnoredEnd(const worker_record& aRecord,
                                 const listed_end& aListed)
{
  const run_ref& run = aListed.mEnd.mRun;
  mDecisions.push_back(
    { "end.passed_over",
      { { "job", run.mTask.mJob.Value() },
        { "step", std::to_string(run.mTask.mStep) },
        { "task", std::to_string(run.mTask.mIndex) },
        { "attempt", std::to_string(run.mAttempt) },
        { "how", std::string(ToString(aListed.mEnd.mOutcome)) },
        { "worker", aRecord.mDescription.mId.Value() },
        { "number", std::to_string(aListed.mNumber) },
        { "cursor", std::to_string(aRecord.mCursor) } } });
}

} // namespace oriolewalk::flow
