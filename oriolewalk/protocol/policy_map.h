#pragma once

// Converts the weights table to the policies that the dispatcher and the cell
// scheduler use.

#include "oriolewalk/cell/policy.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::protocol {

traffic::share_policy
SharePolicy(const weights::weights_table& aTable);

cell::cell_policy
CellPolicy(const weights::weights_table& aTable, std::uint64_t aVersion);

} // namespace oriolewalk::protocol
