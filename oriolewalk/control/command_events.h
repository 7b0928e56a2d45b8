#pragma once

// What the time line tells of a command that was applied at the leader.

#include <vector>

#include "oriolewalk/control/replicated_state.h"
#include "oriolewalk/observe/event.h"

namespace oriolewalk::control {

// Nothing for commands that changed nothing worth a line.
std::vector<observe::event>
EventsOf(const command& aCommand, const applied& aOutcome);

} // namespace oriolewalk::control
