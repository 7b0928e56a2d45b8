#pragma once

// The workers' side of the platform's calls: what platform/worker_calls.cc
// writes is read here, and the other way round.
//
//   auto order = ReadOrder(request);  // none: malformed
//   caller.Send(WriteAnswer(answer));
//
// Pure functions; any thread.

#include <optional>

#include "oriolewalk/flow/worker_order.h"
#include "oriolewalk/http/message.h"

namespace oriolewalk::soak {

std::optional<flow::worker_order>
ReadOrder(const http::request& aRequest);
http::response
WriteAnswer(const flow::order_answer& aAnswer);
// A heartbeat of this worker.
http::request
WriteBeat(const flow::worker_description& aFacts,
          bool aDraining,
          std::int64_t aClockMs,
          std::int64_t aNumber);
http::request
WriteFarewell(const flow::worker_description& aFacts);

} // namespace oriolewalk::soak
