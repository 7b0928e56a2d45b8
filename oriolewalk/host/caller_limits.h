#pragma once

// What the table in force allows callers, as an entry's server takes it.
//
//   server.SetLimits(CallerLimits(beat.mLimits));
//
// Pure.

#include "oriolewalk/flow/types.h"
#include "oriolewalk/http/server.h"

namespace oriolewalk::host {

// Where the table gives no limit, or one that makes no sense, the server's own
// holds.
http::server_limits
CallerLimits(const flow::front_limits& aLimits);

} // namespace oriolewalk::host
