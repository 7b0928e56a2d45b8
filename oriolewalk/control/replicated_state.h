#pragma once

// All state that the control processes share: the weights table, the request
// ledger and the cell, changed only by commands in the order of the log.
//
//   replicated_state state;
//   applied outcome = state.Apply(command{ wallMs, claim });
//   bytes snapshot = state.Save();
//
// Owned by the control core; the control thread only.

#include <cstdint>
#include <string_view>
#include <variant>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/ledger/request_ledger.h"
#include "oriolewalk/weights/weights_register.h"

namespace oriolewalk::control {

using command_body =
  std::variant<ledger::ledger_command, weights::edit, cell::cell_command>;

// An entry of the log. The wall time is the proposer's; all replicas use it, so
// that what depends on time comes out alike everywhere.
struct command
{
  std::int64_t mWallMs = 0;
  command_body mBody;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWallMs, mBody);
  }
};

// What the command came to, in the order of command_body.
using applied = std::
  variant<ledger::ledger_outcome, weights::edit_outcome, cell::apply_outcome>;

class replicated_state
{
public:
  applied Apply(const command& aCommand);

  [[nodiscard]] const weights::weights_register& Weights() const
  {
    return mWeights;
  }
  [[nodiscard]] const ledger::request_ledger& Ledger() const { return mLedger; }
  [[nodiscard]] const cell::cell_state& Cell() const { return mCell; }

  // For snapshots. Cost: linear in the whole state.
  [[nodiscard]] bytes Save() const;
  // Errors: Corrupt; the state is then unchanged.
  result<void> Restore(std::string_view aBytes);

private:
  weights::weights_register mWeights;
  ledger::request_ledger mLedger;
  cell::cell_state mCell;
};

} // namespace oriolewalk::control
