#include "oriolewalk/flow/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <string>

#include "oriolewalk/flow/open_steps.h"
#include "oriolewalk/flow/whole_ms.h"

namespace oriolewalk::flow {

namespace {

// A job has some value to its caller until this many times its objective.
constexpr double kValueObjectives = 3;
// The time in which a new leader's figures are filled.
constexpr milliseconds kFirstSpan{ 3'000 };
// Ten times the longest interval between plans that have the usual time.
constexpr milliseconds kMaxLoadAge{ 1'000 };
constexpr std::int64_t kMinRetryMs = 1'000;
// How long a caller that was to return is expected, which delays newcomers.
// Retry-After is rounded up to whole seconds.
constexpr milliseconds kReturnGrace{ 3'000 };
// Those expected to return delay a newcomer by at most this share of the time
// in which it has value, since they may never return.
constexpr double kMaxReturningShare = 0.25;
// Ended runs free processors up to this many times faster for some seconds than
// over the last ones: waves and bursts of arrivals change the rate by 2.3.
constexpr double kRateSpread = 2.5;
// The time over which the share that an organisation received is averaged.
constexpr milliseconds kReceivedSpan{ 3'000 };
// Workers that fall silent together usually return within this time.
constexpr milliseconds kCapacitySpan{ 10'000 };
constexpr double kNegligibleShare = 0.001;
constexpr std::int64_t kMsPerSecond = 1'000;

double
LongestChainMs(const job_spec& aSpec,
               std::span<const duration_estimate> aDurations)
{
  std::vector<double> ends(aSpec.mSteps.size(), 0);
  for (std::size_t step = 0; step < ends.size(); ++step) {
    double before = 0;
    for (const std::uint32_t other : aSpec.mSteps[step].mDependsOn) {
      before = std::max(before, ends[other]);
    }
    ends[step] = before + LowDurationMs(aDurations[step]);
  }
  return ends.empty() ? 0 : std::ranges::max(ends);
}

// The objective grows with the durations, so that longer ones favour the job.
std::vector<duration_estimate>
HighDurations(std::span<const duration_estimate> aDurations)
{
  std::vector<duration_estimate> high(aDurations.begin(), aDurations.end());
  for (duration_estimate& one : high) {
    one.mMeanMs = HighDurationMs(one);
  }
  return high;
}

admission_verdict
Accept(std::string_view aReason)
{
  admission_verdict verdict;
  verdict.mReason = aReason;
  return verdict;
}

bool
FitsSomeWorker(const arrival& aJob, const cell_load& aLoad)
{
  return std::ranges::all_of(aJob.mSizes, [&](const auto& aSize) {
    return std::ranges::any_of(aLoad.mWorkerSizes, [&](const auto& aWorker) {
      return aSize.FitsIn(aWorker);
    });
  });
}

// The least time until the work ahead has started, by figures of this age. Of
// two independent bounds the one that favours the job counts: durations may be
// wrong, and a rate says little where tasks take longer than its window.
double
DelayMs(const admission_verdict& aFigures, duration aAge)
{
  double delayMs = aFigures.mAhead.mWork / aFigures.mCapacity;
  if (aFigures.mFreedPerMs > 0) {
    delayMs = std::min(delayMs,
                       static_cast<double>(aFigures.mAhead.mMilliProcessors) /
                         (kRateSpread * aFigures.mFreedPerMs));
  }
  return std::max(0.0, delayMs - static_cast<double>(ToMs(aAge)));
}

// Spreads callers over the second half of the longest time, in which room
// becomes free for some of them.
double
SpreadWithin(double aMostMs, const job_id& aId)
{
  constexpr std::size_t kParts = 1'024;
  const std::size_t part = std::hash<std::string>{}(aId.Value()) % kParts;
  return aMostMs / 2 *
         (1 + static_cast<double>(part) / static_cast<double>(kParts));
}

} // namespace

arrival
DescribeArrival(const job_spec& aSpec,
                const queue_row& aQueue,
                const organisation_id& aOwner,
                const job_id& aId,
                std::span<const duration_estimate> aDurations)
{
  arrival job;
  job.mId = aId;
  job.mOwner = aOwner;
  job.mService = aQueue.mService;
  job.mPriority = aQueue.mPriority;
  job.mMayBeRefused = aSpec.mRecurrence.mRepeatCount == 0;
  for (std::size_t step = 0; step < aSpec.mSteps.size(); ++step) {
    const step_spec& spec = aSpec.mSteps[step];
    // The figures cover neither what best-effort tasks use nor which workers
    // have a label or free accelerators.
    const bool isCovered = !spec.mBestEffort && spec.mLabel.empty() &&
                           spec.mSize.mAccelerators == 0 &&
                           spec.mSize.mMilliProcessors > 0;
    job.mMayBeRefused = job.mMayBeRefused && isCovered && !spec.mLongRunning &&
                        aDurations[step].mMeanMs > 0;
    const cell::resources booked =
      spec.Booked() * static_cast<std::int64_t>(spec.mCount);
    job.mSizes.push_back(spec.Booked());
    job.mWidest = cell::Largest(job.mWidest, booked);
    job.mDemand.mWork += static_cast<double>(booked.mMilliProcessors) *
                         LowDurationMs(aDurations[step]);
  }
  job.mDemand.mMilliProcessors = job.mWidest.mMilliProcessors;
  job.mChainMs = LongestChainMs(aSpec, aDurations);
  const std::int64_t objective = ObjectiveMs(aSpec, aQueue, aDurations);
  const double chain =
    aQueue.mStretch > 0
      ? static_cast<double>(objective - aQueue.mTargetMs) / aQueue.mStretch
      : 0;
  job.mSlackMs = objective - static_cast<std::int64_t>(chain);
  const std::int64_t latest =
    std::max(ObjectiveMs(aSpec, aQueue),
             ObjectiveMs(aSpec, aQueue, HighDurations(aDurations)));
  job.mEndOfValueMs = kValueObjectives * static_cast<double>(latest);
  return job;
}

void
admission::OnLoad(const service_id& aService, const cell_load& aLoad)
{
  std::erase_if(mAdmitted, [&](const auto& aEntry) {
    return aEntry.first.first == aService;
  });
  std::erase_if(mAdmittedBy, [&](const auto& aEntry) {
    return aEntry.first.first == aService;
  });
  recent_capacity& capacity = mCapacities[aService];
  const auto present = static_cast<double>(aLoad.mCapacity.mMilliProcessors);
  if (present >= capacity.mMost ||
      aLoad.mMadeAt >= capacity.mAt + kCapacitySpan) {
    capacity = { present, aLoad.mMadeAt };
  }
  for (const auto& [owner, load] : aLoad.mOrganisations) {
    mReceived.try_emplace({ aService, owner }, received_share{ 0, mStartedAt });
  }
  for (auto& [key, received] : mReceived) {
    const auto found = aLoad.mOrganisations.find(key.second);
    if (key.first != aService) {
      continue;
    }
    const double share =
      found == aLoad.mOrganisations.end()
        ? 0
        : cell::DominantShare(found->second.mRunning, aLoad.mCapacity);
    const double part =
      std::min(1.0,
               static_cast<double>(ToMs(aLoad.mMadeAt - received.mAt)) /
                 static_cast<double>(kReceivedSpan.count()));
    received.mMean += (share - received.mMean) * part;
    received.mAt = aLoad.mMadeAt;
  }
  std::erase_if(mReceived, [&](const auto& aEntry) {
    return aEntry.first.first == aService &&
           !aLoad.mOrganisations.contains(aEntry.first.second) &&
           aEntry.second.mMean < kNegligibleShare;
  });
}

void
admission::OnSettled(const job_id& aId)
{
  const auto found = mInFlight.find(aId);
  if (found != mInFlight.end() && --found->second == 0) {
    mInFlight.erase(found);
  }
}

admission_verdict
admission::Decide(const arrival& aJob, const cell_load& aLoad, time_point aNow)
{
  ForgetOldRefusals(aNow);
  if (!aJob.mMayBeRefused) {
    return Accept("kind");
  }
  if (mInFlight.contains(aJob.mId)) {
    return Accept("proposed");
  }
  const auto known = mRefusals.find(aJob.mId);
  const bool returns = known != mRefusals.end();
  if (returns && aNow < known->second.mUntil) {
    admission_verdict verdict;
    verdict.mIsAccepted = false;
    verdict.mReason = "early";
    verdict.mRetryAfterMs =
      std::max(kMinRetryMs, ToMs(known->second.mUntil - aNow));
    verdict.mEndOfValueMs = aJob.mEndOfValueMs;
    return Refuse(aJob, verdict, returns, aNow);
  }
  const admission_verdict verdict = Judge(aJob, aLoad, returns, aNow);
  if (!verdict.mIsAccepted) {
    return Refuse(aJob, verdict, returns, aNow);
  }
  if (returns) {
    Forget(known);
  }
  CountAdmitted(aJob);
  return verdict;
}

admission_verdict
admission::Judge(const arrival& aJob,
                 const cell_load& aLoad,
                 bool aReturns,
                 time_point aNow) const
{
  if (aNow < mStartedAt + kFirstSpan) {
    return Accept("new leader");
  }
  if (aNow > aLoad.mMadeAt + kMaxLoadAge) {
    return Accept("old figures");
  }
  if (HasRoomNow(aJob, aLoad)) {
    return Accept("room");
  }
  if (!FitsSomeWorker(aJob, aLoad)) {
    return Accept("no such worker");
  }
  const bool isBeyondShare = IsBeyondShare(aJob, aLoad);
  if (!aJob.mOwner.Value().empty() && !isBeyondShare) {
    return Accept("share");
  }
  const double capacity = RecentCapacity(aJob, aLoad);
  if (capacity <= 0) {
    return Accept("no capacity");
  }

  return JudgeFull(aJob, aLoad, { isBeyondShare, aReturns, capacity }, aNow);
}

admission_verdict
admission::JudgeFull(const arrival& aJob,
                     const cell_load& aLoad,
                     const standing& aStanding,
                     time_point aNow) const
{
  admission_verdict verdict;
  verdict.mIsBeyondShare = aStanding.mIsBeyondShare;
  verdict.mCapacity = aStanding.mCapacity;
  verdict.mEndOfValueMs = aJob.mEndOfValueMs;
  verdict.mAhead = WorkAhead(aJob, aLoad, aStanding.mIsBeyondShare);
  // What more urgent runs free is taken by the next ones of their kind.
  for (auto priority = aLoad.mPriorities.lower_bound(aJob.mPriority);
       priority != aLoad.mPriorities.end();
       ++priority) {
    verdict.mFreedPerMs += priority->second.mFreedPerMs;
  }
  const auto returning = mReturning.find({ aJob.mService, aJob.mPriority });
  const double returningMs = aStanding.mReturns || returning == mReturning.end()
                               ? 0
                               : returning->second.mWork / aStanding.mCapacity;
  verdict.mExpectedEndMs =
    DelayMs(verdict, aNow - aLoad.mMadeAt) +
    std::min(returningMs, kMaxReturningShare * aJob.mEndOfValueMs) +
    aJob.mChainMs;
  if (verdict.mExpectedEndMs <= aJob.mEndOfValueMs) {
    return Accept("in time");
  }
  verdict.mIsAccepted = false;
  verdict.mReason = aStanding.mIsBeyondShare ? "beyond share" : "full";
  // Its turn comes once the excess is done, after those that return before it.
  const double turnMs =
    verdict.mExpectedEndMs - aJob.mEndOfValueMs + returningMs;
  const double mostMs = std::max(0.0, aJob.mEndOfValueMs - aJob.mChainMs);
  verdict.mRetryAfterMs = std::max<std::int64_t>(
    kMinRetryMs,
    std::llround(turnMs < mostMs ? turnMs : SpreadWithin(mostMs, aJob.mId)));
  return verdict;
}

// A refusal holds until its Retry-After is over, so one that can't be
// remembered isn't given.
admission_verdict
admission::Refuse(const arrival& aJob,
                  admission_verdict aVerdict,
                  bool aReturns,
                  time_point aNow)
{
  if (!aReturns && !MakeRoom(aNow)) {
    CountAdmitted(aJob);
    return Accept("too many refusals");
  }
  if (aReturns) {
    Forget(mRefusals.find(aJob.mId));
  }
  const refusal made{ aNow + milliseconds(aVerdict.mRetryAfterMs),
                      { aJob.mService, aJob.mPriority },
                      aJob.mDemand };
  mReturning[made.mKey] += made.mDemand;
  mByEnd.emplace(made.mUntil, aJob.mId);
  mRefusals.emplace(aJob.mId, made);
  return aVerdict;
}

double
admission::RecentCapacity(const arrival& aJob, const cell_load& aLoad) const
{
  auto capacity = static_cast<double>(aLoad.mCapacity.mMilliProcessors);
  if (const auto recent = mCapacities.find(aJob.mService);
      recent != mCapacities.end()) {
    capacity = std::max(capacity, recent->second.mMost);
  }
  return capacity - static_cast<double>(aLoad.mLongRunningMilliProcessors);
}

void
admission::CountAdmitted(const arrival& aJob)
{
  mAdmitted[{ aJob.mService, aJob.mPriority }] += aJob.mDemand;
  if (!aJob.mOwner.Value().empty()) {
    mAdmittedBy[{ aJob.mService, aJob.mOwner }] += aJob.mWidest;
  }
}

// Waiting work of the same or a higher priority takes the room first.
bool
admission::HasRoomNow(const arrival& aJob, const cell_load& aLoad) const
{
  const waiting_load ahead = WorkAhead(aJob, aLoad, true);
  cell::resources needed = aJob.mWidest;
  needed.mMilliProcessors += ahead.mMilliProcessors;
  return needed.FitsIn(aLoad.mFree);
}

// As in organisation_order, where the share counts among the organisations with
// waiting steps. An organisation that got less over the last seconds counts by
// that.
bool
admission::IsBeyondShare(const arrival& aJob, const cell_load& aLoad) const
{
  if (aJob.mOwner.Value().empty()) {
    return false;
  }
  const auto found = aLoad.mOrganisations.find(aJob.mOwner);
  if (found == aLoad.mOrganisations.end()) {
    return false; // nothing of it runs or waits
  }
  const organisation_load& own = found->second;
  cell::resources waiting = own.mWaiting;
  if (const auto admitted = mAdmittedBy.find({ aJob.mService, aJob.mOwner });
      admitted != mAdmittedBy.end()) {
    waiting += admitted->second;
  }
  double received = cell::DominantShare(own.mRunning, aLoad.mCapacity);
  if (const auto mean = mReceived.find({ aJob.mService, aJob.mOwner });
      mean != mReceived.end()) {
    received = std::min(received, mean->second.mMean);
  }
  const bool isCounted = own.mWaiting != cell::resources{};
  const double weights = aLoad.mWaitingWeights + (isCounted ? 0 : own.mWeight);
  const double share = weights > 0 ? own.mWeight / weights : 1;
  return received + cell::DominantShare(waiting, aLoad.mCapacity) > share;
}

waiting_load
admission::WorkAhead(const arrival& aJob,
                     const cell_load& aLoad,
                     bool aBeyondShare) const
{
  waiting_load ahead;
  // Steps with more slack than the job come after it.
  const auto dropLater = [&](const load_by_slack& aLoads) {
    for (auto later = aLoads.upper_bound(aJob.mSlackMs / kMsPerSecond);
         later != aLoads.end();
         ++later) {
      ahead -= later->second;
    }
  };
  for (const auto& [priority, load] : aLoad.mPriorities) {
    if (priority > aJob.mPriority) {
      break;
    }
    ahead += load.mWithinShare;
    if (priority < aJob.mPriority || aBeyondShare) {
      ahead += load.mBeyondShare;
    }
    if (priority == aJob.mPriority) {
      dropLater(aBeyondShare ? load.mBeyondShareBySlackS
                             : load.mWithinShareBySlackS);
    }
  }
  for (auto admitted = mAdmitted.lower_bound(
         { aJob.mService, std::numeric_limits<int>::min() });
       admitted != mAdmitted.end() &&
       admitted->first <= priority_key{ aJob.mService, aJob.mPriority };
       ++admitted) {
    ahead += admitted->second;
  }
  return ahead;
}

void
admission::Forget(std::map<job_id, refusal>::iterator aRefusal)
{
  const auto& [id, refused] = *aRefusal;
  if (const auto returning = mReturning.find(refused.mKey);
      returning != mReturning.end()) {
    returning->second -= refused.mDemand;
    if (returning->second.mMilliProcessors <= 0) {
      mReturning.erase(returning);
    }
  }
  mByEnd.erase({ refused.mUntil, id });
  mRefusals.erase(aRefusal);
}

void
admission::ForgetOldRefusals(time_point aNow)
{
  while (!mByEnd.empty() && mByEnd.begin()->first + kReturnGrace <= aNow) {
    Forget(mRefusals.find(mByEnd.begin()->second));
  }
}

bool
admission::MakeRoom(time_point aNow)
{
  if (mRefusals.size() >= kMaxRefusals && mByEnd.begin()->first <= aNow) {
    Forget(mRefusals.find(mByEnd.begin()->second));
  }
  return mRefusals.size() < kMaxRefusals;
}

} // namespace oriolewalk::flow
