#pragma once

// The answers that an entry generates itself, as listed in docs/PROTOCOLS.md.

#include <string_view>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::entry {

constexpr std::string_view kOutcomeHeader = "Oriole-Outcome";

http::response
BusyAnswer(std::string_view aReason, duration aRetryAfter);
http::response
NotRunAnswer(std::string_view aReason);
http::response
UnknownAnswer(const error& aError);
http::response
MismatchAnswer();
// The answer for a key that the ledger already has.
http::response
KnownAnswer(const protocol::claim_known& aKnown);
// The target's answer, marked as completed, without hop-by-hop headers.
http::response
CompletedAnswer(http::response aResponse);
// {"error":…,"step":…,"peer":…}
http::response
ErrorAnswer(unsigned aStatus, const error& aError);

// Converts an answer to and from the form that the ledger stores.
bytes
EncodeAnswer(const http::response& aResponse);
result<http::response>
DecodeAnswer(std::string_view aBytes);

} // namespace oriolewalk::entry
