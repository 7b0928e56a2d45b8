#pragma once

// A caller's HTTP request as a claim, checked; and the request that its target
// gets. Pure functions.

#include <cstdint>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::entry {

struct parsed_call
{
  protocol::claim_request mClaim; // without owner, token and origin
  std::string mTargetPath;        // "/PATH?QUERY" for the target
  milliseconds mDeadline{ 0 };
};

// The service and path of "/services/NAME/PATH"; false if it is none.
bool
IsServicePath(std::string_view aTarget);

// aMadeKey is used where the caller gave no key. Errors: InvalidArgument with
// the header that is wrong.
result<parsed_call>
ParseCall(const http::request& aRequest, const std::string& aMadeKey);

// The request as the target gets it.
http::request
ForTarget(const http::request& aRequest,
          const parsed_call& aCall,
          std::uint32_t aAttempt,
          milliseconds aLeft);

} // namespace oriolewalk::entry
