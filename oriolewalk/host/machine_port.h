#pragma once

// How the leading control process reaches the machine service: filled in by the
// adapter of the deployment's platform. It calls back once, on the thread of
// the process's io_context.

#include <functional>

#include "oriolewalk/machines/machine_call.h"

namespace oriolewalk::host {

using machine_callback = std::function<void(machines::call_answer)>;
using machine_port =
  std::function<void(const machines::machine_call&, machine_callback)>;

} // namespace oriolewalk::host
