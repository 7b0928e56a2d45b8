#include "oriolewalk/control/replicated_state.h"

#include <utility>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::control {

namespace {

// The same layout twice: written from the live state without a copy of it,
// which would double the memory of the largest part, and read into a new one.
struct state_view
{
  const bytes& mWeights;
  const ledger::request_ledger& mLedger;
  const cell::cell_state& mCell;

  template<class Archive>
  void save(Archive& aArchive) const // NOLINT(readability-identifier-naming)
  {
    aArchive(mWeights, mLedger, mCell);
  }
};

struct saved_state
{
  bytes mWeights;
  ledger::request_ledger mLedger;
  cell::cell_state mCell;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWeights, mLedger, mCell);
  }
};

} // namespace

applied
replicated_state::Apply(const command& aCommand)
{
  const std::int64_t wallMs = aCommand.mWallMs;
  return std::visit(
    overloaded{
      [this, wallMs](const ledger::ledger_command& aOne) -> applied {
        return mLedger.Apply(aOne, wallMs);
      },
      [this](const weights::edit& aOne) -> applied {
        return mWeights.Apply(aOne);
      },
      [this, wallMs](const cell::cell_command& aOne) -> applied {
        return mCell.Apply(aOne, wallMs);
      },
    },
    aCommand.mBody);
}

bytes
replicated_state::Save() const
{
  const bytes table = mWeights.Save();
  return Encode(state_view{ table, mLedger, mCell });
}

result<void>
replicated_state::Restore(std::string_view aBytes)
{
  auto saved = Decode<saved_state>(aBytes, "restoring a snapshot");
  if (!saved) {
    return Fail(saved.error());
  }
  weights::weights_register table;
  if (auto restored = table.Restore(saved->mWeights); !restored) {
    return restored;
  }
  mWeights = std::move(table);
  mLedger = std::move(saved->mLedger);
  mCell = std::move(saved->mCell);
  return {};
}

} // namespace oriolewalk::control
