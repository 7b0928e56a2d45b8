#pragma once

// How a process reaches the workers and the policy service: filled in by the
// adapter of the deployment's platform. Both call back once, on the thread of
// the process's io_context.

#include <functional>

#include "oriolewalk/base/error.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::host {

using order_callback = std::function<void(flow::order_answer)>;
using worker_port =
  std::function<void(const flow::worker_order&, order_callback)>;

using advice_callback = std::function<void(result<flow::approvals>)>;
using policy_port =
  std::function<void(const flow::advice_request&, advice_callback)>;

} // namespace oriolewalk::host
