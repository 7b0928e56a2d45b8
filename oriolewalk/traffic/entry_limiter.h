#pragma once

// Decides which requests an entry forwards to control and which it refuses.
//
//   const auto verdict = limiter.Admit(request, now);
//   if (verdict.mRefused) { … answer busy with verdict.mRetryAfter … }
//   … call control …
//   limiter.OnFinished(request, { call_result::Accepted, latency }, now);
//
// This handles control as the bottleneck. Without the limiter all entries
// queue calls at control until every call times out; a refusal costs control
// as much as an acceptance, so refusals crowd out answers.
//
// - The limit of concurrent calls follows the latency of control: it grows by
//   one for each window of fast calls and shrinks by a tenth, at most once per
//   latency, when calls are slow or lost (additive increase, multiplicative
//   decrease).
// - Each class may use a share of the limit; urgent may use all of it, so that
//   urgent requests get through first. A lower class always keeps at least one
//   call.
// - When the limit is nearly used, each organisation is held to the share of
//   it that its weight gives.
// - Where control refuses most requests of a caller, the entry refuses some of
//   them itself and keeps the requests it sends below about twice the accepted
//   ones (adaptive throttling). The counts are kept by organisation, class and
//   caller, so that a hot caller's refusals do not affect its neighbours.
//
// Owned by an entry's traffic thread; used by one thread. Each call costs O(1)
// and a look-up; kMaxCallers records bound the memory.

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
  // A call counts as slow above this latency of control, which excludes the
  // time that the request waited in control's queues.
  duration mSlowCall = milliseconds(50);
  double mDecrease = 0.9;
  // Share of the limit that a class may use.
  std::array<double, kClassCount> mClassShare = { 1.0, 0.85, 0.7 };
  // From this share of the limit on, organisations are held to their shares.
  double mFairShareThreshold = 0.5;
  // The entry refuses requests itself above this ratio of sent to accepted
  // ones.
  double mSentPerAccepted = 2;
  duration mHalfLife = seconds(2); // the counts halve in this time
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
  Accepted, // control found a target or an answer
  Refused,  // control is busy
  Lost,     // no answer in time, or the connection broke
};

struct control_call
{
  call_result mResult = call_result::Accepted;
  duration mLatency{}; // without the waiting time that the answer reports
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
  // If nothing is refused, the call counts as in progress until OnFinished.
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
    double mSent = 0; // calls with a known result, and local refusals
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
  double mActiveWeight = 0; // of the organisations with calls in progress
  std::array<std::unordered_map<organisation_id, std::size_t>, kClassCount>
    mCalls;
  std::unordered_map<std::string, caller_record> mCallers;
};

// The number of connections that one entry may open to a target so that
// aEntries of them together stay within the target's aConnections. At least
// one, because an entry without a connection could not serve at all.
[[nodiscard]] constexpr std::uint32_t
ConnectionsPerEntry(std::uint32_t aConnections, std::uint32_t aEntries)
{
  const std::uint32_t share =
    aEntries == 0 ? aConnections : aConnections / aEntries;
  return share == 0 ? 1 : share;
}

} // namespace oriolewalk::traffic
