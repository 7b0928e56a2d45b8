#include "oriolewalk/flow/worker_supervisor.h"
#include "oriolewalk/flow/whole_ms.h"

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
// Ticks normally come every 10 ms. When they are this far apart, answers stay
// unread for as long as a poll may take.
constexpr milliseconds kLateTick{ 200 };
// First polls of idle workers in flight at a time. A new leader that polled
// thousands of workers at once would answer nothing else for a second, while
// urgent work needs a few of them.
constexpr std::size_t kMaxFirstPolls = 32;

// Whether the order renews no lease and acknowledges no ends, so that any
// process that receives it only reports its state.
bool
IsReadOnlyPoll(const worker_order& aOrder)
{
  const auto* poll = std::get_if<poll_order>(&aOrder.mBody);
  return poll != nullptr && poll->mCursor == 0 && !aOrder.mLeaseClockMs;
}

duration
Stretch(duration aSpan, double aMaxDrift)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::nano>(
      static_cast<double>(aSpan.count()) / (1.0 - aMaxDrift)));
}

} // namespace

worker_supervisor::worker_supervisor(const flow_state& aState,
                                     flow_options aOptions,
                                     std::uint64_t aTerm,
                                     time_point aNow,
                                     const heard_workers& aHeard)
  : mState(aState)
  , mOptions(aOptions)
  , mTerm(aTerm)
  , mLastOrderId(OrderIdBase(aTerm))
  , mLastTickAt(aNow)
{
  for (const auto& [number, worker] : mState.Workers()) {
    worker_view& view =
      mViews.emplace(number, MakeInheritedView(number, aNow)).first->second;
    if (const auto heard = aHeard.find(number); heard != aHeard.end()) {
      view.mHeartbeatAt = heard->second;
    }
    IndexAddress(number, view);
    Wake(number);
  }
}

time_point
worker_supervisor::MaxLeaseExpiry(time_point aNow) const
{
  return aNow + Stretch(mOptions.mMaxLease, mOptions.mMaxClockDrift) +
         kClockRounding;
}

worker_view
worker_supervisor::MakeInheritedView(worker_number aWorker,
                                     time_point aNow) const
{
  worker_view view;
  // An earlier leader may have granted the longest lease just before it lost
  // leadership; it grants none afterwards.
  view.mLeasesExpireAt = MaxLeaseExpiry(aNow);
  view.mLastContactAt = aNow;
  view.mShortPollRequested = true;
  for (const run_ref& run : mState.RunsAt(aWorker)) {
    view.mRuns[run].mInherited = true;
  }
  return view;
}

void
worker_supervisor::OnHeartbeat(worker_number aWorker,
                               std::int64_t aNumber,
                               std::int64_t aClockMs,
                               time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end() || aNumber <= found->second.mHeartbeatNumber) {
    return;
  }
  mChanged.insert(aWorker);
  worker_view& view = found->second;
  if (mSilentUnpolled.erase(aWorker) != 0) {
    mHeardUnpolled.insert(aWorker);
  }
  view.mHeartbeatNumber = aNumber;
  if (!view.mHasUncommittedUpdate) {
    view.mConfirmedAt = view.mHeartbeatAt;
  }
  view.mHeartbeatAt = aNow;
  view.mHasUncommittedUpdate = false;
  view.mLastContactAt = aNow;
  // A heartbeat may have been in transit for long, so a recent answer is
  // preferred.
  if (!view.mHasClock || aNow - view.mClockAt > mOptions.mLease) {
    SetClock(view, aClockMs, aNow);
  }
}

void
worker_supervisor::OnRegistered(worker_number aWorker, time_point aNow)
{
  const worker_record* record = mState.FindWorker(aWorker);
  if (record == nullptr) {
    return;
  }
  if (!mViews.contains(aWorker)) {
    worker_view view = MakeInheritedView(aWorker, aNow);
    if (view.mRuns.empty()) {
      view.mLeasesExpireAt = aNow; // nothing can run in a new incarnation
    } else {
      // A worker that didn't report its process start time before may still be
      // the same process, and receive a start that is in flight.
      view.mLeasesExpireAt += mOptions.mAnswerMargin;
    }
    view.mHeartbeatAt = aNow;
    mViews.emplace(aWorker, std::move(view));
  }
  mChanged.insert(aWorker);
  worker_view& known = mViews.at(aWorker);
  known.mHasUncommittedUpdate = false;
  if (known.mAddress != record->mDescription.mAddress) {
    ForgetAddress(aWorker, known);
    IndexAddress(aWorker, known);
  }
  Wake(aWorker);
  // Another incarnation at the same address is over; a short poll there
  // confirms it.
  const auto [first, last] = mByAddress.equal_range(known.mAddress);
  for (auto at = first; at != last; ++at) {
    if (at->second != aWorker) {
      mViews.at(at->second).mShortPollRequested = true;
      Wake(at->second);
    }
  }
}

void
worker_supervisor::OnRemoved(worker_number aWorker)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  mChanged.insert(aWorker);
  ForgetAddress(aWorker, found->second);
  OnFirstPollEnded(found->second);
  mHeardUnpolled.erase(aWorker);
  mSilentUnpolled.erase(aWorker);
  mDue.erase(aWorker);
  mViews.erase(found);
}

void
worker_supervisor::OnDeregistered(worker_number aWorker)
{
  if (const auto found = mViews.find(aWorker); found != mViews.end()) {
    worker_view& view = found->second;
    view.mHasDeregistered = true;
    view.mShortPollRequested = view.mShortPollRequested || !view.mRuns.empty();
    mChanged.insert(aWorker);
    Wake(aWorker);
  }
}

void
worker_supervisor::IndexAddress(worker_number aWorker, worker_view& aView)
{
  aView.mAddress = mState.FindWorker(aWorker)->mDescription.mAddress;
  mByAddress.emplace(aView.mAddress, aWorker);
}

void
worker_supervisor::ForgetAddress(worker_number aWorker,
                                 const worker_view& aView)
{
  const auto [first, last] = mByAddress.equal_range(aView.mAddress);
  const auto found = std::find_if(
    first, last, [&](const auto& aEntry) { return aEntry.second == aWorker; });
  if (found != last) {
    mByAddress.erase(found);
  }
}

void
worker_supervisor::SetClock(worker_view& aView,
                            std::int64_t aClockMs,
                            time_point aNow)
{
  aView.mHasClock = true;
  aView.mClockMs = aClockMs;
  aView.mClockAt = aNow;
}

std::uint64_t
worker_supervisor::Send(worker_number aWorker,
                        order_body aBody,
                        bool aWithLease,
                        time_point aNow,
                        std::optional<time_point> aSendBefore,
                        std::optional<milliseconds> aShorterLease)
{
  const worker_record* record = mState.FindWorker(aWorker);
  worker_view& view = mViews[aWorker];
  worker_order order;
  order.mId = ++mLastOrderId;
  order.mWorker = aWorker;
  order.mWorkerId = record->mDescription.mId;
  order.mAddress = record->mDescription.mAddress;
  order.mFence = FenceOf(mTerm, aWorker);
  if (aWithLease && view.mHasClock) {
    const duration age = aNow - view.mClockAt;
    const milliseconds usual =
      record->mDraining ? mOptions.mDrainingLease : mOptions.mLease;
    order.mLeaseClockMs =
      view.mClockMs + ToMs(age) + aShorterLease.value_or(usual).count();
    // The worker's clock may have advanced less than the local one since its
    // answer.
    const duration lease = usual + std::chrono::duration_cast<duration>(
                                     age * mOptions.mMaxClockDrift);
    view.mLeasesExpireAt =
      std::max(view.mLeasesExpireAt,
               aNow + Stretch(lease, mOptions.mMaxClockDrift) + kClockRounding);
  }
  order.mSendBefore = aSendBefore;
  order.mBody = aBody;
  if (!IsReadOnlyPoll(order)) {
    order.mProcessStartMs = record->mDescription.mProcessStartMs;
  }
  mPendingOrders[order.mId] = { aWorker, std::move(aBody), aNow };
  mOrders.push_back(std::move(order));
  return mLastOrderId;
}

void
worker_supervisor::OnStartCommitted(const run_start& aStart,
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
  Wake(aStart.mWorker);
  time_point sendBefore = SendStartsBefore(found->second);
  if (!job->mOwner.Value().empty()) {
    sendBefore = std::min(sendBefore, aNow + mOptions.mMaxQuotaAge);
  }
  // The task may be done at any time by its other run. A worker refuses a start
  // whose lease has expired, however long it was in transit; the next poll
  // renews the lease.
  std::optional<milliseconds> shorterLease;
  const copy_record* copy = mState.FindPlacedCopy(aStart.mRun.mTask);
  if (copy != nullptr && copy->mAttempt == aStart.mRun.mAttempt) {
    shorterLease = mOptions.mMaxCopyStartDelay;
    sendBefore = std::min(sendBefore, aNow + mOptions.mMaxCopyStartDelay);
  }
  Send(
    aStart.mWorker,
    start_order{
      aStart.mRun, job->mSpec.mPayload, task->mCheckpoint, std::move(aTicket) },
    true,
    aNow,
    sendBefore,
    shorterLease);
}

// A heartbeat that reported another capacity, which isn't committed yet, shows
// that the known one has been out of date for up to a heartbeat's time.
time_point
worker_supervisor::SendStartsBefore(const worker_view& aView) const
{
  return CapacityKnownAt(aView) + mOptions.mMaxCapacityAge +
         mOptions.mMaxStartDelay;
}

time_point
worker_supervisor::CapacityKnownAt(const worker_view& aView)
{
  return aView.mHasUncommittedUpdate ? aView.mConfirmedAt : aView.mHeartbeatAt;
}

worker_contacts
worker_supervisor::Contacts(time_point aNow) const
{
  worker_contacts contacts;
  for (const auto& [number, view] : mViews) {
    const time_point knownAt = CapacityKnownAt(view);
    if (aNow < knownAt + mOptions.mMaxCapacityAge) {
      contacts.mWorkers.push_back({ number, ToMs(aNow - knownAt) + 1 });
    }
  }
  return contacts;
}

void
worker_supervisor::RequestStop(worker_number aWorker,
                               const run_ref& aRun,
                               time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  const auto run = found->second.mRuns.find(aRun);
  if (run != found->second.mRuns.end() && !run->second.mStopRequested) {
    run->second.mStopRequested = true;
    run->second.mStopRetryAt = aNow;
    found->second.mHasRunsToResolve = true;
    Wake(aWorker);
  }
}

void
worker_supervisor::SetPace(worker_number aWorker,
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
    run->second.mPercent = aPercent; // the next poll shows the actual pace
    Send(aWorker, pace_order{ aRun, aPercent }, false, aNow);
  }
}

void
worker_supervisor::OnEndsApplied(worker_number aWorker, time_point aNow)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  found->second.mHasUncommittedEnds = false;
  found->second.mNextPollAt = aNow;
  SyncRuns(aWorker, found->second);
  Wake(aWorker);
}

// Without this, a task that ran for minutes on a worker that crashed would
// restart from the beginning: the worker can't list an end, so the checkpoint
// is known from polls only.
void
worker_supervisor::SaveCheckpoints(worker_number aWorker)
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return;
  }
  save_checkpoints save;
  for (const auto& [run, view] : found->second.mRuns) {
    const task_record* task = mState.FindTask(run.mTask);
    if (!view.mCheckpoint.empty() && task != nullptr &&
        task->mCheckpoint != view.mCheckpoint) {
      save.mRuns.push_back({ run, view.mCheckpoint });
    }
  }
  if (!save.mRuns.empty()) {
    mCommands.emplace_back(std::move(save));
  }
}

void
worker_supervisor::OnRunsDropped(worker_number aWorker)
{
  if (const auto found = mViews.find(aWorker); found != mViews.end()) {
    SyncRuns(aWorker, found->second);
    Wake(aWorker);
  }
}

// Forgets runs that are no longer in the state. This is done when the placed
// runs change and not on each tick, which would look up every run a hundred
// times a second.
void
worker_supervisor::SyncRuns(worker_number aWorker, worker_view& aView)
{
  std::erase_if(aView.mRuns, [&](const auto& aRun) {
    return !mState.IsPlaced(aRun.first, aWorker);
  });
}

void
worker_supervisor::DropExpiredRuns(worker_number aWorker,
                                   worker_view& aView,
                                   time_point aNow)
{
  if (aNow < aView.mLeasesExpireAt || aNow < aView.mNextExpiryCheckAt ||
      !IsUnreachable(aView, aNow)) {
    return;
  }
  if (mState.RunsAt(aWorker).empty()) {
    return;
  }
  SaveCheckpoints(aWorker);
  if (aView.mHasDeregistered) { // it has ended as planned
    const std::set<run_ref>& placed = mState.RunsAt(aWorker);
    DropRuns(aWorker, { placed.begin(), placed.end() }, "lapsed");
  } else {
    MarkRunsLost(aWorker, aView);
  }
  aView.mNextExpiryCheckAt = aNow + mOptions.mAnswerMargin;
}

bool
worker_supervisor::NeedsLongPoll(const worker_view& aView)
{
  return !aView.mRuns.empty() || aView.mShouldSendCursor;
}

std::uint64_t
worker_supervisor::SendPoll(worker_number aWorker,
                            worker_view& aView,
                            milliseconds aWait,
                            time_point aNow)
{
  const std::uint64_t cursor =
    aView.mShouldSendCursor ? mState.FindWorker(aWorker)->mCursor : 0;
  // A worker that doesn't answer gets no lease: one that may have reached it
  // would delay the time at which its runs may start elsewhere.
  const bool lease = aView.mFailedPolls == 0 && !aView.mHasNewerIncarnation &&
                     !aView.mHasDeregistered;
  return Send(aWorker, poll_order{ cursor, aWait.count() }, lease, aNow);
}

void
worker_supervisor::SendDuePolls(worker_number aWorker,
                                worker_view& aView,
                                time_point aNow)
{
  if (aNow < aView.mNextPollAt) {
    return;
  }
  if (IsFirstPoll(aView)) {
    QueueFirstPoll(aWorker, aView);
    return;
  }
  const bool isShort = NeedsShortPoll(aView);
  if (isShort && aView.mShortPoll == 0) {
    aView.mShortPollRequested = false;
    aView.mShortPoll = SendPoll(aWorker, aView, milliseconds(0), aNow);
  }
  if (!isShort && aView.mLongPoll == 0 && !aView.mHasUncommittedEnds &&
      NeedsLongPoll(aView)) {
    const bool shared = mState.TotalsAt(aWorker).mBestEffort > 0;
    aView.mLongPoll =
      SendPoll(aWorker,
               aView,
               shared ? mOptions.mSharedLongPollWait : mOptions.mLongPollWait,
               aNow);
  }
}

void
worker_supervisor::ResolveRuns(worker_number aWorker,
                               worker_view& aView,
                               time_point aNow)
{
  if (!aView.mHasRunsToResolve) {
    return;
  }
  aView.mHasRunsToResolve = false;
  for (auto& [run, view] : aView.mRuns) {
    const bool isUnconfirmed = view.mStartUnansweredSince && !view.mSeenInPoll;
    const bool mustStop = view.mStopRequested && !view.mStoppedAt;
    aView.mHasRunsToResolve =
      aView.mHasRunsToResolve || isUnconfirmed || mustStop;
    if (view.mStartUnansweredSince && !view.mSeenInPoll &&
        aNow >= *view.mStartUnansweredSince + mOptions.mStartTimeout) {
      view.mStopRequested = true;
    }
    if (view.mStopRequested && !view.mStopInFlight && !view.mStoppedAt &&
        aNow >= view.mStopRetryAt) {
      view.mStopInFlight = true;
      Send(aWorker, stop_order{ run }, false, aNow);
    }
  }
}

bool
worker_supervisor::NeedsShortPoll(const worker_view& aView)
{
  return aView.mShortPollRequested || !aView.mSynced ||
         aView.mFailedPolls > 0 || aView.mHasNewerIncarnation;
}

void
worker_supervisor::DetectLateTick(time_point aNow)
{
  if (aNow - mLastTickAt >= kLateTick) {
    mLastLateTickAt = aNow;
  }
  mLastTickAt = aNow;
}

bool
worker_supervisor::IsOwnDelay(const worker_view& aView) const
{
  return mLastLateTickAt > aView.mFailedPollSentAt &&
         aView.mLastContactAt > aView.mFailedPollSentAt;
}

bool
worker_supervisor::IsUnreachable(const worker_view& aView,
                                 time_point aNow) const
{
  const bool wasDelayed = mLastLateTickAt > aView.mFailingSince;
  const bool isSilent =
    aNow >= aView.mLastContactAt + mOptions.mHeartbeatTimeout;
  return aView.mFailedPolls > 0 && (!wasDelayed || isSilent);
}

void
worker_supervisor::Tick(time_point aNow)
{
  DetectLateTick(aNow);
  WakeScheduled(aNow);
  for (const worker_number number : std::exchange(mDue, {})) {
    const auto found = mViews.find(number);
    if (found == mViews.end() || mState.FindWorker(number) == nullptr) {
      continue; // its removal is being applied
    }
    ++mVisits;
    Visit(number, found->second, aNow);
    Schedule(number, found->second, aNow);
  }
  SendFirstPolls(aNow);
}

bool
worker_supervisor::IsFirstPoll(const worker_view& aView)
{
  return !aView.mSynced && aView.mFailedPolls == 0 && aView.mRuns.empty() &&
         !aView.mHasNewerIncarnation;
}

void
worker_supervisor::QueueFirstPoll(worker_number aWorker,
                                  const worker_view& aView)
{
  if (!aView.mIsFirstPollInFlight) {
    (aView.mHeartbeatAt == time_point::min() ? mSilentUnpolled : mHeardUnpolled)
      .insert(aWorker);
  }
}

void
worker_supervisor::SendFirstPolls(time_point aNow)
{
  for (std::set<worker_number>* unpolled :
       { &mHeardUnpolled, &mSilentUnpolled }) {
    while (mFirstPollsInFlight < kMaxFirstPolls && !unpolled->empty()) {
      const worker_number number = unpolled->extract(unpolled->begin()).value();
      worker_view& view = mViews.at(number);
      if (mState.FindWorker(number) == nullptr) {
        continue; // its removal is being applied
      }
      view.mShortPollRequested = false;
      view.mIsFirstPollInFlight = true;
      ++mFirstPollsInFlight;
      view.mShortPoll = SendPoll(number, view, milliseconds(0), aNow);
    }
  }
}

void
worker_supervisor::OnFirstPollEnded(worker_view& aView)
{
  if (std::exchange(aView.mIsFirstPollInFlight, false)) {
    --mFirstPollsInFlight;
  }
}

void
worker_supervisor::WakeScheduled(time_point aNow)
{
  while (!mScheduled.empty() && mScheduled.top().first <= aNow) {
    const auto [at, number] = mScheduled.top();
    mScheduled.pop();
    const auto found = mViews.find(number);
    if (found != mViews.end() && found->second.mVisitAt == at) {
      found->second.mVisitAt = time_point::max();
      Wake(number);
    }
  }
}

void
worker_supervisor::Schedule(worker_number aWorker,
                            worker_view& aView,
                            time_point aNow)
{
  const time_point next = NextVisitAt(aView);
  if (next <= aNow) {
    Wake(aWorker);
  } else if (next < aView.mVisitAt) {
    aView.mVisitAt = next;
    mScheduled.emplace(next, aWorker);
  }
}

time_point
worker_supervisor::NextVisitAt(const worker_view& aView) const
{
  if (aView.mHasRunsToResolve) {
    return time_point::min();
  }
  time_point next = RemovalAt(aView);
  const bool pollIsDue = NeedsShortPoll(aView)
                           ? aView.mShortPoll == 0
                           : NeedsLongPoll(aView) && aView.mLongPoll == 0 &&
                               !aView.mHasUncommittedEnds;
  if (pollIsDue && !IsFirstPoll(aView)) {
    next = std::min(next, aView.mNextPollAt);
  }
  if (aView.mFailedPolls > 0 && !aView.mRuns.empty()) {
    next =
      std::min(next, std::max(aView.mLeasesExpireAt, aView.mNextExpiryCheckAt));
  }
  return next;
}

time_point
worker_supervisor::RemovalAt(const worker_view& aView) const
{
  if (aView.mHasDeregistered) {
    return aView.mRuns.empty() ? aView.mNextRemovalAt : time_point::max();
  }
  return std::max(aView.mLeasesExpireAt,
                  aView.mLastContactAt + mOptions.mWorkerRemovalDelay);
}

void
worker_supervisor::Visit(worker_number aWorker,
                         worker_view& aView,
                         time_point aNow)
{
  ResolveRuns(aWorker, aView, aNow);
  DropExpiredRuns(aWorker, aView, aNow);
  SendDuePolls(aWorker, aView, aNow);
  if (aView.mRuns.empty() && aNow >= RemovalAt(aView)) {
    mCommands.emplace_back(remove_worker{ aWorker });
    // Proposes it again after a delay until it is applied.
    aView.mLastContactAt = aNow;
    aView.mNextRemovalAt = aNow + mOptions.mAnswerMargin;
  }
}

worker_usability
worker_supervisor::Usability(worker_number aWorker, time_point aNow) const
{
  const auto found = mViews.find(aWorker);
  if (found == mViews.end()) {
    return {};
  }
  const worker_view& view = found->second;
  if (!view.mSynced || !view.mHasClock || view.mFailedPolls > 0 ||
      view.mHasNewerIncarnation || view.mHasUncommittedUpdate ||
      view.mHasDeregistered) {
    return {};
  }
  if (aNow < view.mUnhealthyUntil) {
    return { false, view.mUnhealthyUntil };
  }
  const time_point silentAt =
    std::min(view.mLastContactAt + mOptions.mHeartbeatTimeout,
             view.mHeartbeatAt + mOptions.mMaxCapacityAge);
  return aNow < silentAt ? worker_usability{ true, silentAt }
                         : worker_usability{};
}

std::set<worker_number>
worker_supervisor::TakeChangedWorkers()
{
  return std::exchange(mChanged, {});
}

void
worker_supervisor::OnUpdateProposed(worker_number aWorker)
{
  if (const auto found = mViews.find(aWorker); found != mViews.end()) {
    found->second.mHasUncommittedUpdate = true;
    mChanged.insert(aWorker);
  }
}

std::int64_t
worker_supervisor::LatestHeartbeatNumber(worker_number aWorker) const
{
  const auto found = mViews.find(aWorker);
  return found == mViews.end() ? -1 : found->second.mHeartbeatNumber;
}

std::vector<worker_order>
worker_supervisor::TakeOrders()
{
  return std::exchange(mOrders, {});
}

std::vector<command_body>
worker_supervisor::TakeCommands()
{
  return std::exchange(mCommands, {});
}

std::vector<decision>
worker_supervisor::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

std::vector<run_start>
worker_supervisor::TakeTicketRefusals()
{
  return std::exchange(mTicketRefusals, {});
}

} // namespace oriolewalk::flow
