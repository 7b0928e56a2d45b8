#pragma once

// Converts the JSON of targets and workers to requests to control, and the
// answers back to HTTP (docs/PROTOCOLS.md). Pure functions.

#include <string>
#include <string_view>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::entry {

// Errors: InvalidArgument, naming the field.
result<protocol::target_announcement>
ParseTarget(std::string_view aTarget, std::string_view aBody);
result<protocol::worker_announcement>
ParseWorker(std::string_view aWorker, std::string_view aBody);
result<protocol::worker_poll>
ParsePoll(std::string_view aWorker, std::string_view aBody);

http::response
TargetResponse(const protocol::target_answer& aAnswer);
http::response
WorkerResponse(const protocol::worker_answer& aAnswer);

} // namespace oriolewalk::entry
