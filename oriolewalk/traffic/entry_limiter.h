#pragma once

// What an entry passes on to control, and what it refuses by itself.
//
//   const auto verdict = limiter.Admit(request, now);
//   if (verdict.mRefused) { … answer busy with verdict.mRetryAfter … }
//   … call control …
//   limiter.Finished(request, { call_result::Accepted, latency }, now);
//
// Load pattern: control itself is the bottleneck. Without the limiter all
// entries queue calls at control until every one of them times out; refusing
// costs control as much as accepting, so that refusals crowd out answers.
//
// - The number of calls in progress follows control's own latency: one more
//   for each window of quick calls, a tenth fewer (once per latency) when
//   calls are slow or lost (additive increase, multiplicative decrease).
// - Each class may use a part of that number, urgent all of it: the urgent get
//   through first. A class below the urgent one keeps one call at least.
// - When the limit is nearly used, each organisation is held to its weight's
//   share of it.
// - Where control refuses most of what a caller sends, the entry refuses a
//   part itself: sent requests stay under about twice the accepted ones
//   (adaptive throttling), by organisation, class and caller, so that a hot
//   caller's refusals do not hit its neighbours.
//
// Owned by an entry's traffic thread; one thread. Cost: O(1) and a look-up;
// memory is bounded by kMaxCallers records.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

struct entry_options
{
  double mInitialLimit = 64;
  double mMinLimit = 4;
  double mMaxLimit = 2048;
  // Latency of control (without the time a request waits in its queues) over
  // which a call counts as slow.
  duration mSlowCall = milliseconds(50);
  double mDecrease = 0.9;
  // Part of the limit that a class may fill.
  std::array<double, kClassCount> mClassShare = { 1.0, 0.85, 0.7 };
  // From this part of the limit on, organisations are held to their shares.
  double mFairShareThreshold = 0.5;
  // Sent to accepted, above which the entry refuses by itself.
  double mSentPerAccepted = 2;
  duration mHalfLife = seconds(2); // half of the counts are forgotten
  duration mRetryAfter = milliseconds(500);
};

struct entry_request
{
  organisation_id mOrganisation;
  std::string_view mCallerKey;
  work_class mClass = work_class::Normal;
};

enum class call_result : std::uint8_t
{
  Accepted, // control found a target, or an answer
  Refused,  // busy
  Lost,     // no answer in time, or the connection broke
};

struct control_call
{
  call_result mResult = call_result::Accepted;
  duration mLatency{}; // less the waiting time that the answer tells
};

struct entry_verdict
{
  std::optional<refusal> mRefused;
  duration mRetryAfter{};
};

class entry_limiter
{
public:
  static constexpr std::size_t kMaxCallers = 8192;

  entry_limiter(const entry_options& aOptions, std::uint64_t aSeed);
  void SetPolicy(const share_policy& aPolicy);
  // If nothing is refused, the call counts as in progress until Finished.
  entry_verdict Admit(const entry_request& aRequest, time_point aNow);
  void OnFinished(const entry_request& aRequest,
                  const control_call& aCall,
                  time_point aNow);
  [[nodiscard]] double Limit() const { return mLimit; }
  [[nodiscard]] std::size_t InProgress() const { return mInProgress; }
  [[nodiscard]] std::size_t Callers() const { return mCallers.size(); }

private:
  struct caller_record
  {
    double mSent = 0; // with a known result, or refused here
    double mAccepted = 0;
    time_point mAt{};
  };

  caller_record* FindOrAddRecord(const entry_request& aRequest,
                                 time_point aNow);
  void Count(const entry_request& aRequest,
             call_result aResult,
             time_point aNow);
  void EvictIdleCallers(time_point aNow);
  void Decay(caller_record& aRecord, time_point aNow) const;
  bool ShouldThrottle(const caller_record& aRecord);
  [[nodiscard]] bool IsOverLimit(const entry_request& aRequest) const;
  void Adapt(const control_call& aCall, time_point aNow);
  entry_verdict Refuse(refusal aReason);

  entry_options mOptions;
  random_source mRandom;
  share_policy mPolicy;
  double mLimit;
  time_point mLastDecrease{};
  time_point mLastEviction{};
  std::size_t mInProgress = 0;
  double mActiveWeight = 0; // of organisations with calls in progress
  std::array<std::unordered_map<organisation_id, std::size_t>, kClassCount>
    mCalls;
  std::unordered_map<std::string, caller_record> mCallers;
};

// Connections that one entry may keep to a target, so that aEntries of them
// stay within the target's aConnections together. At least one, since an entry
// without a connection could not serve at all.
[[nodiscard]] constexpr std::uint32_t
ConnectionsPerEntry(std::uint32_t aConnections, std::uint32_t aEntries)
{
  const std::uint32_t share =
    aEntries == 0 ? aConnections : aConnections / aEntries;
  return share == 0 ? 1 : share;
}

} // namespace oriolewalk::traffic
