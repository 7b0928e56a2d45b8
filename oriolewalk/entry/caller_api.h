#pragma once

// Checks a caller's HTTP request and converts it to a claim, and builds the
// request that is sent to the target. Pure functions.

#include <cstdint>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::entry {

struct parsed_call
{
  protocol::claim_request mClaim; // owner, token and origin are not set
  std::string mTargetPath;        // "/PATH?QUERY" for the target
  milliseconds mDeadline{ 0 };
};

// Returns whether the path has the form "/services/NAME/PATH".
bool
IsServicePath(std::string_view aTarget);

// aGeneratedKey is used if the caller sent no key. Errors: InvalidArgument,
// naming the invalid header.
result<parsed_call>
ParseCall(const http::request& aRequest, const std::string& aGeneratedKey);

// Builds the request that is sent to the target. aTimeLeft is the time until
// the deadline.
http::request
MakeTargetRequest(const http::request& aRequest,
                  const parsed_call& aCall,
                  std::uint32_t aAttempt,
                  milliseconds aTimeLeft);

} // namespace oriolewalk::entry
