#pragma once

// Input and output values of the traffic modules.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/work_class.h"

namespace oriolewalk::traffic {

using oriolewalk::kClassCount;
using oriolewalk::kClasses;
using oriolewalk::work_class;

// Identifies one attempt to place a request. Allocated by the dispatcher's
// owner, and never reused during the lifetime of a dispatcher, not even for
// another attempt of the same key.
using request_id = number_id<struct traffic_request_tag>;

struct arrival
{
  request_id mId;
  service_id mService;
  organisation_id mOrganisation;
  std::string mCallerKey; // whose share within the organisation is used
  work_class mClass = work_class::Normal;
  bool mRepeatable = false;
  data_centre_id mOrigin; // of the entry that will call the target
  time_point mDeadline{}; // afterwards the answer is worthless
};

// A running attempt that a new leader finds in the ledger.
struct running_attempt
{
  request_id mId;
  service_id mService;
  target_id mTarget;
  organisation_id mOrganisation;
  work_class mClass = work_class::Normal;
};

struct target_state
{
  target_id mId;
  service_id mService;
  data_centre_id mDataCentre;
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
};

enum class finish_result : std::uint8_t
{
  Answered,     // a complete answer that the target vouches for
  FailedFast,   // an error answer or an invalid one
  NeverStarted, // refused before start, e.g. no connection
  TimedOut,     // the deadline passed first
  Unknown,      // the connection broke after the request was sent
};

struct finish
{
  finish_result mResult = finish_result::Answered;
  duration mLatency{}; // from sending to the end, as measured by the entry
};

enum class refusal : std::uint8_t
{
  Overloaded,         // its queue is longer than the class may wait
  LimitReached,       // the organisation's own rate or queue limit
  CannotMeetDeadline, // too little time is left for the measured service time
  Expired,            // the deadline has passed
  NoTarget,           // the service has no target that takes new work
};

inline constexpr std::size_t kRefusalCount = 5;

std::string_view
ToString(refusal aRefusal);

struct dispatch
{
  request_id mId;
  target_id mTarget;
};

struct refuse
{
  request_id mId;
  refusal mReason = refusal::Overloaded;
  duration mRetryAfter{};
};

using decision = std::variant<dispatch, refuse>;

} // namespace oriolewalk::traffic
