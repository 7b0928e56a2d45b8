#pragma once

// What the table in force allows callers, as an entry's server takes it, and
// for how long a call may wait for its answer.
//
//   server.SetLimits(CallerLimits(beat.mLimits));
//   const time_point until = AnswerBy(now, patience, closes);
//
// Pure.

#include <optional>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/http/server.h"

namespace oriolewalk::host {

// Where the table gives no limit, or one that makes no sense, the server's own
// holds.
http::server_limits
CallerLimits(const flow::entry_limits& aLimits);

// When the call's final answer must be under way. aPatience: what its caller
// waits. aCloses: when a process that stops closes what is still open. Without
// it a call that came late in the stop and waits for a leader to the last was
// cut with no answer.
time_point
AnswerBy(time_point aNow,
         milliseconds aPatience,
         std::optional<time_point> aCloses);

} // namespace oriolewalk::host
