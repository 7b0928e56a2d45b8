// Operators' waves of upkeep in the replicated state.

#include <algorithm>

#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/flow_state_lookup.h"

namespace oriolewalk::flow {

// The operator repeats an order until it is acknowledged, so the same order
// again is no error and changes nothing, whatever has been recorded since.
apply_outcome
flow_state::On(const put_wave& aPut, std::int64_t /*aWallMs*/)
{
  const auto [wave, isNew] =
    mWaves.try_emplace(aPut.mWave.mOrder.mNumber, aPut.mWave);
  if (!isNew && wave->second.mOrder != aPut.mWave.mOrder) {
    return Refuse(error_code::Conflict, "another wave has this number");
  }
  return {};
}

apply_outcome
flow_state::On(const record_upkeep& aRecord, std::int64_t /*aWallMs*/)
{
  const auto found = mWaves.find(aRecord.mWave);
  if (found == mWaves.end()) {
    return Refuse(error_code::NotFound, "no such wave");
  }
  machines::wave_record& wave = found->second;
  if (std::ranges::find(wave.mOrder.mMachines, aRecord.mMachine) ==
      wave.mOrder.mMachines.end()) {
    return Refuse(error_code::NotFound, "the wave has no such machine");
  }
  if (wave.IsOpen(aRecord.mMachine)) {
    (aRecord.mHasLeft ? wave.mLeft : wave.mBegun).insert(aRecord.mMachine);
  }
  return {};
}

} // namespace oriolewalk::flow
