#include "oriolewalk/flow/whole_ms.h"
#include "oriolewalk/flow/worker_supervisor.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::flow {

namespace {

// Covers the rounding of clocks to whole milliseconds on both sides.
constexpr milliseconds kClockRounding{ 10 };
// Ticks this far apart, 10 ms when there is time, leave answers unread for as
// long as a look may take.
constexpr milliseconds kLateTick{ 200 };

// It renews no lease and lets nothing be forgotten: whichever process gets it
// only tells what it holds.
bool
IsPlainLook(const worker_order& aOrder)
{
  const auto* hold = std::get_if<hold_order>(&aOrder.mBody);
  return hold != nullptr && hold->mCursor == 0 && !aOrder.mLeaseClockMs;
}

duration
Stretch(duration aSpan, double aBySlow)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::nano>(
      static_cast<double>(aSpan.count()) / (1.0 - aBySlow)));
}

} // namespace

worker_keeper::worker_keeper(const flow_state& aState,
                             flow_options aOptions,
                             std::uint64_t aTerm,
                             time_point aNow,
                             time_point aLedUntil)
  : mState(aState)
  , mOptions(aOptions)
  , mTerm(aTerm)
  , mLastOrder(NumberBefore(aTerm))
  , mTickedAt(aNow)
{
  for (const auto& [number, worker] : mState.Workers()) {
    worker_view& view = mViews[number] = TakeOver(number, aNow);
    // Lost runs: the earlier leader didn't reach it, nor hear it.
    if (aLedUntil != time_point::min() && !mState.Crashes().HasLost(number)) {
      // It may have missed the last heartbeat before it went.
      view.mBeatAt = aLedUntil - mOptions.mHeartbeat;
    }
  }
}

time_point
worker_keeper::LongestLapse(time_point aNow) const
{
  return aNow + Stretch(mOptions.mLongestLease, mOptions.mSlowClock) +
         kClockRounding;
}

worker_view
worker_keeper::TakeOver(worker_number aWorker, time_point aNow) const
{
  worker_view view;
  // An earlier leader may have given the longest lease just before it lost its
  // place; it gives none afterwards.
  view.mLapsesAt = LongestLapse(aNow);
  view.mHeardAt = aNow;
  view.mProbe = true;
  for (const run_ref& run : mState.PlacedAt(aWorker)) {
    view.mRuns[run].mInherited = true;
  }
  return view;
}

void
worker_keeper::Heard(worker_number aWorker,
                     std::int64_t aBeat,
                     std::int64_t aClockMs,
                     time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end() || aBeat <= found->second.mBeat) {
    return;
  }
  worker_view& view = found->second;
  view.mBeat = aBeat;
  view.mBeatAt = aNow;
  view.mIsChanging = false;
  view.mHeardAt = aNow;
  // A heartbeat may have been under way for long: an answer of late is better.
  if (!view.mHasClock || aNow - view.mClockAt > mOptions.mLease) {
    NoteClock(view, aClockMs, aNow);
  }
}

void
worker_keeper::Registered(worker_number aWorker, time_point aNow)
{
  const worker_record* record = mState.FindWorker(aWorker);
  if (record == nullptr) {
    return;
  }
  if (!mViews.contains(aWorker)) {
    worker_view view = TakeOver(aWorker, aNow);
    if (view.mRuns.empty()) {
      view.mLapsesAt = aNow; // nothing can run in a new life
    } else {
      // A worker that didn't tell its start before may still be the same
      // process, and get a start that is on its way.
      view.mLapsesAt += mOptions.mAnswerBound;
    }
    view.mBeatAt = aNow;
    mViews.emplace(aWorker, std::move(view));
  }
  mViews[aWorker].mIsChanging = false;
  // Another life at the same address is over: one look there says so.
  for (auto& [number, view] : mViews) {
    const worker_record* other = mState.FindWorker(number);
    if (number != aWorker && other != nullptr &&
        other->mFacts.mAddress == record->mFacts.mAddress) {
      view.mProbe = true;
    }
  }
}

void
worker_keeper::Removed(worker_number aWorker)
{
  mViews.erase(aWorker);
}

void
worker_keeper::NoteClock(worker_view& aView,
                         std::int64_t aClockMs,
                         time_point aNow)
{
  aView.mHasClock = true;
  aView.mClockMs = aClockMs;
  aView.mClockAt = aNow;
}

std::uint64_t
worker_keeper::Send(worker_number aWorker,
                    order_body aBody,
                    bool aWithLease,
                    time_point aNow)
{
  const worker_record* record = mState.FindWorker(aWorker);
  worker_view& view = mViews[aWorker];
  worker_order order;
  order.mId = ++mLastOrder;
  order.mWorker = aWorker;
  order.mLife = record->mFacts.mId;
  order.mAddress = record->mFacts.mAddress;
  order.mFence = FenceOf(mTerm, aWorker);
  if (aWithLease && view.mHasClock) {
    const duration age = aNow - view.mClockAt;
    order.mLeaseClockMs = view.mClockMs + ToMs(age) + mOptions.mLease.count();
    // The worker's clock may have gained less than ours since its answer.
    const duration lease =
      mOptions.mLease +
      std::chrono::duration_cast<duration>(age * mOptions.mSlowClock);
    view.mLapsesAt =
      std::max(view.mLapsesAt,
               aNow + Stretch(lease, mOptions.mSlowClock) + kClockRounding);
  }
  order.mBody = aBody;
  if (!IsPlainLook(order)) {
    order.mBornMs = record->mFacts.mBornMs;
  }
  mOpen[order.mId] = { aWorker, std::move(aBody), aNow };
  mOrders.push_back(std::move(order));
  return mLastOrder;
}

void
worker_keeper::Begin(const run_start& aStart,
                     std::string aTicket,
                     time_point aNow)
{
  const auto found = mViews.find(aStart.mWorker);
  const task_record* task = mState.FindTask(aStart.mRun.mTask);
  const job_record* job = mState.FindJob(aStart.mRun.mTask.mJob);
  if (found == mViews.end() || task == nullptr || job == nullptr) {
    return;
  }
  found->second.mRuns[aStart.mRun] = {};
  Send(
    aStart.mWorker,
    start_order{
      aStart.mRun, job->mSpec.mPayload, task->mCheckpoint, std::move(aTicket) },
    true,
    aNow);
}

void
worker_keeper::WantStop(worker_number aWorker,
                        const run_ref& aRun,
                        time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  const auto run = found->second.mRuns.find(aRun);
  if (run != found->second.mRuns.end() && !run->second.mStopWanted) {
    run->second.mStopWanted = true;
    run->second.mStopAgainAt = aNow;
    found->second.mTendRuns = true;
  }
}

void
worker_keeper::Pace(worker_number aWorker,
                    const run_ref& aRun,
                    int aPercent,
                    time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  const auto run = found->second.mRuns.find(aRun);
  if (run != found->second.mRuns.end()) {
    run->second.mPercent = aPercent; // the next look shows what holds
    Send(aWorker, pace_order{ aRun, aPercent }, false, aNow);
  }
}

void
worker_keeper::EndsApplied(worker_number aWorker, time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  found->second.mEndsUnderWay = false;
  found->second.mNextLook = aNow;
  SyncRuns(aWorker, found->second);
}

// Without this a task that worked for minutes on a worker that crashed begins
// anew: the worker can't list an end, so nothing else tells how far it was.
void
worker_keeper::KeepCheckpoints(worker_number aWorker)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  keep_checkpoints keep;
  for (const auto& [run, view] : found->second.mRuns) {
    const task_record* task = mState.FindTask(run.mTask);
    if (!view.mCheckpoint.empty() && task != nullptr &&
        task->mCheckpoint != view.mCheckpoint) {
      keep.mRuns.push_back({ run, view.mCheckpoint });
    }
  }
  if (!keep.mRuns.empty()) {
    mCommands.emplace_back(std::move(keep));
  }
}

void
worker_keeper::RunsDropped(worker_number aWorker)
{
  if (const auto found = mViews.find(aWorker); found != mViews.end()) {
    SyncRuns(aWorker, found->second);
  }
}

// What the state holds no more isn't watched any more. On each change of what
// is placed there, not on each tick: a look-up of every run a hundred times a
// second cost a leader of 350 workers a tenth of its processor.
void
worker_keeper::SyncRuns(worker_number aWorker, worker_view& aView)
{
  std::erase_if(aView.mRuns, [&](const auto& aRun) {
    return !mState.IsPlaced(aRun.first, aWorker);
  });
}

void
worker_keeper::DropLapsed(worker_number aWorker,
                          worker_view& aView,
                          time_point aNow)
{
  if (aNow < aView.mLapsesAt || aNow < aView.mNextDrop ||
      !IsUnreachable(aView, aNow)) {
    return;
  }
  if (mState.PlacedAt(aWorker).empty()) {
    return;
  }
  KeepCheckpoints(aWorker);
  LoseRuns(aWorker, aView);
  aView.mNextDrop = aNow + mOptions.mAnswerBound;
}

bool
worker_keeper::NeedsLook(const worker_view& aView)
{
  return !aView.mRuns.empty() || aView.mTellCursor;
}

std::uint64_t
worker_keeper::Look(worker_number aWorker,
                    worker_view& aView,
                    milliseconds aWait,
                    time_point aNow)
{
  const std::uint64_t cursor =
    aView.mTellCursor ? mState.FindWorker(aWorker)->mCursor : 0;
  // Nothing is promised to a worker that doesn't answer: a lease that may have
  // reached it would put off the moment when its work may go elsewhere.
  const bool lease = aView.mFailures == 0 && !aView.mOutlived;
  return Send(aWorker, hold_order{ cursor, aWait.count() }, lease, aNow);
}

void
worker_keeper::TickLooks(worker_number aWorker,
                         worker_view& aView,
                         time_point aNow)
{
  if (aNow < aView.mNextLook) {
    return;
  }
  const bool quick =
    aView.mProbe || !aView.mSynced || aView.mFailures > 0 || aView.mOutlived;
  if (quick && aView.mQuickLook == 0) {
    aView.mProbe = false;
    aView.mQuickLook = Look(aWorker, aView, milliseconds(0), aNow);
  }
  if (!quick && aView.mLook == 0 && !aView.mEndsUnderWay && NeedsLook(aView)) {
    const bool shared = mState.AmountsAt(aWorker).mFilling > 0;
    aView.mLook = Look(aWorker,
                       aView,
                       shared ? mOptions.mSharedLookWait : mOptions.mLookWait,
                       aNow);
  }
}

void
worker_keeper::TickRuns(worker_number aWorker,
                        worker_view& aView,
                        time_point aNow)
{
  if (!aView.mTendRuns) {
    return;
  }
  aView.mTendRuns = false;
  for (auto& [run, view] : aView.mRuns) {
    const bool inDoubt = view.mUnsureSince && !view.mSeen;
    const bool toStop = view.mStopWanted && !view.mStoppedAt;
    aView.mTendRuns = aView.mTendRuns || inDoubt || toStop;
    if (view.mUnsureSince && !view.mSeen &&
        aNow >= *view.mUnsureSince + mOptions.mTakeBack) {
      view.mStopWanted = true;
    }
    if (view.mStopWanted && !view.mStopUnderWay && !view.mStoppedAt &&
        aNow >= view.mStopAgainAt) {
      view.mStopUnderWay = true;
      Send(aWorker, stop_order{ run }, false, aNow);
    }
  }
}

// Its look waits there, and nothing else is due: so it is with nearly all
// workers at nearly all ticks.
bool
worker_keeper::IsQuiet(const worker_view& aView, time_point aNow) const
{
  return aView.mLook != 0 && aView.mSynced && aView.mFailures == 0 &&
         !aView.mProbe && !aView.mTendRuns && !aView.mRuns.empty() &&
         aNow < aView.mHeardAt + mOptions.mGoneWorker;
}

void
worker_keeper::NoteTick(time_point aNow)
{
  if (aNow - mTickedAt >= kLateTick) {
    mLateAt = aNow;
  }
  mTickedAt = aNow;
}

bool
worker_keeper::IsOurDelay(const worker_view& aView) const
{
  return mLateAt > aView.mFailedLookAt && aView.mHeardAt > aView.mFailedLookAt;
}

bool
worker_keeper::IsUnreachable(const worker_view& aView, time_point aNow) const
{
  const bool wasLate = mLateAt > aView.mFailingSince;
  const bool isSilent = aNow >= aView.mHeardAt + mOptions.mQuietWorker;
  return aView.mFailures > 0 && (!wasLate || isSilent);
}

void
worker_keeper::Tick(time_point aNow)
{
  NoteTick(aNow);
  for (auto& [number, view] : mViews) {
    if (IsQuiet(view, aNow)) {
      continue;
    }
    if (mState.FindWorker(number) == nullptr) {
      continue; // its removal is being applied
    }
    TickRuns(number, view, aNow);
    DropLapsed(number, view, aNow);
    TickLooks(number, view, aNow);
    if (view.mRuns.empty() && aNow >= view.mLapsesAt &&
        aNow >= view.mHeardAt + mOptions.mGoneWorker) {
      mCommands.emplace_back(remove_worker{ number });
      view.mHeardAt = aNow; // once in a while, until it is applied
    }
  }
}

bool
worker_keeper::IsUsable(worker_number aWorker, time_point aNow) const
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return false;
  }
  const worker_view& view = found->second;
  return view.mSynced && view.mHasClock && view.mFailures == 0 &&
         !view.mOutlived && !view.mIsChanging && aNow >= view.mUnhealthyUntil &&
         aNow < view.mHeardAt + mOptions.mQuietWorker &&
         aNow < view.mBeatAt + mOptions.mKnownRoom;
}

void
worker_keeper::Changes(worker_number aWorker)
{
  if (const auto found = mViews.find(aWorker); found != mViews.end()) {
    found->second.mIsChanging = true;
  }
}

std::int64_t
worker_keeper::NewestBeat(worker_number aWorker) const
{
  const auto found = mViews.find(aWorker);
  return found == mViews.end() ? -1 : found->second.mBeat;
}

std::vector<worker_order>
worker_keeper::TakeOrders()
{
  return std::exchange(mOrders, {});
}

std::vector<command_body>
worker_keeper::TakeCommands()
{
  return std::exchange(mCommands, {});
}

std::vector<decision>
worker_keeper::TakeNotes()
{
  return std::exchange(mNotes, {});
}

std::vector<run_start>
worker_keeper::TakeTicketsRefused()
{
  return std::exchange(mTicketsRefused, {});
}

} // namespace oriolewalk::flow
