#include "oriolewalk/traffic/entry_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

namespace {

// With fewer sent requests than this, a caller is not throttled.
constexpr double kMinSent = 10;

} // namespace

entry_limiter::entry_limiter(const entry_options& aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mLimit(aOptions.mInitialLimit)
{
}

void
entry_limiter::SetPolicy(const share_policy& aPolicy)
{
  mPolicy = aPolicy;
  mActiveWeight = 0;
  for (const work_class each : kClasses) {
    for (const auto& [organisation, calls] : mCalls.at(IndexOf(each))) {
      mActiveWeight += mPolicy.Of(organisation, each).mWeight;
    }
  }
}

entry_verdict
entry_limiter::Admit(const entry_request& aRequest, time_point aNow)
{
  caller_record* record = FindOrAddRecord(aRequest, aNow);
  if (record != nullptr && ShouldThrottle(*record)) {
    record->mSent += 1;
    return Refuse(refusal::Overloaded);
  }
  if (IsOverLimit(aRequest)) {
    // This refusal protects control and is not counted against the caller.
    return Refuse(refusal::Overloaded);
  }
  auto& calls = mCalls.at(IndexOf(aRequest.mClass));
  if (++calls[aRequest.mOrganisation] == 1) {
    mActiveWeight +=
      mPolicy.Of(aRequest.mOrganisation, aRequest.mClass).mWeight;
  }
  ++mInProgress;
  return {};
}

void
entry_limiter::OnFinished(const entry_request& aRequest,
                          const control_call& aCall,
                          time_point aNow)
{
  auto& calls = mCalls.at(IndexOf(aRequest.mClass));
  const auto found = calls.find(aRequest.mOrganisation);
  if (found == calls.end()) {
    return;
  }
  if (--found->second == 0) {
    calls.erase(found);
    mActiveWeight -=
      mPolicy.Of(aRequest.mOrganisation, aRequest.mClass).mWeight;
  }
  --mInProgress;
  mActiveWeight = mInProgress == 0 ? 0 : mActiveWeight;
  Count(aRequest, aCall.mResult, aNow);
  Adapt(aCall, aNow);
}

// A call counts once its result is known. Calls in progress and lost calls are
// not counted against the caller.
void
entry_limiter::Count(const entry_request& aRequest,
                     call_result aResult,
                     time_point aNow)
{
  caller_record* record =
    aResult == call_result::Lost ? nullptr : FindOrAddRecord(aRequest, aNow);
  if (record != nullptr) {
    record->mSent += 1;
    record->mAccepted += aResult == call_result::Accepted ? 1 : 0;
  }
}

// Returns nullptr if the record is new and there are too many callers already.
entry_limiter::caller_record*
entry_limiter::FindOrAddRecord(const entry_request& aRequest, time_point aNow)
{
  std::string key = aRequest.mOrganisation.Value();
  key += '\0';
  key += static_cast<char>('0' + IndexOf(aRequest.mClass));
  key += aRequest.mCallerKey;
  const auto found = mCallers.find(key);
  if (found != mCallers.end()) {
    Decay(found->second, aNow);
    return &found->second;
  }
  if (mCallers.size() >= kMaxCallers) {
    EvictIdleCallers(aNow);
  }
  if (mCallers.size() >= kMaxCallers) {
    return nullptr;
  }
  caller_record& made = mCallers[key];
  made.mAt = aNow;
  return &made;
}

// Linear in the callers, so it runs at most once per half-life of the counts.
void
entry_limiter::EvictIdleCallers(time_point aNow)
{
  if (aNow - mLastEviction < mOptions.mHalfLife) {
    return;
  }
  mLastEviction = aNow;
  for (auto& [key, record] : mCallers) {
    Decay(record, aNow);
  }
  std::erase_if(mCallers,
                [](const auto& aEntry) { return aEntry.second.mSent < 1; });
}

void
entry_limiter::Decay(caller_record& aRecord, time_point aNow) const
{
  const double since = std::max(0.0, ToSeconds(aNow - aRecord.mAt));
  const double remaining = std::exp2(-since / ToSeconds(mOptions.mHalfLife));
  aRecord.mSent *= remaining;
  aRecord.mAccepted *= remaining;
  aRecord.mAt = std::max(aRecord.mAt, aNow);
}

bool
entry_limiter::ShouldThrottle(const caller_record& aRecord)
{
  if (aRecord.mSent < kMinSent) {
    return false;
  }
  const double excess =
    aRecord.mSent - (mOptions.mSentPerAccepted * aRecord.mAccepted);
  // Never refuses everything: the requests that are still sent show the entry
  // when control accepts them again.
  constexpr double kMaxRefusedShare = 0.95;
  return mRandom.Fraction() <
         std::min(kMaxRefusedShare, excess / (aRecord.mSent + 1));
}

bool
entry_limiter::IsOverLimit(const entry_request& aRequest) const
{
  const double part =
    mLimit * mOptions.mClassShare.at(IndexOf(aRequest.mClass));
  const auto used = static_cast<double>(mInProgress);
  const auto& calls = mCalls.at(IndexOf(aRequest.mClass));
  if (used + 1 > part) {
    return aRequest.mClass == work_class::Urgent || !calls.empty();
  }
  if (used < mLimit * mOptions.mFairShareThreshold) {
    return false;
  }
  const auto own = calls.find(aRequest.mOrganisation);
  if (own == calls.end()) {
    return false;
  }
  const double weight =
    mPolicy.Of(aRequest.mOrganisation, aRequest.mClass).mWeight;
  const double share = part * weight / std::max(weight, mActiveWeight);
  return static_cast<double>(own->second) + 1 > std::max(1.0, share);
}

void
entry_limiter::Adapt(const control_call& aCall, time_point aNow)
{
  const bool slow =
    aCall.mResult == call_result::Lost || aCall.mLatency > mOptions.mSlowCall;
  if (!slow) {
    // The limit grows only while at least half of it is used: otherwise there
    // is no evidence that it is too low.
    if (static_cast<double>(mInProgress) * 2 >= mLimit) {
      mLimit = std::min(mLimit + (1 / mLimit), mOptions.mMaxLimit);
    }
    return;
  }
  // Calls that were in progress together show one overload and decrease the
  // limit once.
  if (aNow - mLastDecrease >= std::max(aCall.mLatency, mOptions.mSlowCall)) {
    mLimit = std::max(mLimit * mOptions.mDecrease, mOptions.mMinLimit);
    mLastDecrease = aNow;
  }
}

entry_verdict
entry_limiter::Refuse(refusal aReason)
{
  constexpr double kSpread = 0.2;
  const double after =
    ToSeconds(mOptions.mRetryAfter) * (1 + (kSpread * mRandom.Fraction()));
  return { aReason, FromSeconds(after) };
}

} // namespace oriolewalk::traffic
