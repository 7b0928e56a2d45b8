#pragma once

// What only the leading scheduler knows; lost with it and learnt again. The
// stages of the scheduler (poll, order, placing, ...) share it; nobody else
// includes this header.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/worker_index.h"

namespace oriolewalk::cell {

// A start that was proposed and isn't in the state yet.
struct start_in_flight
{
  worker_slot mWorker = kNoWorker;
  organisation_slot mOrganisation = 0;
  resources mSize;
};

// Other proposals in flight, so that they aren't made twice.
enum class proposal_kind : std::uint8_t
{
  Ended,
  Throttled,
  Resume,
  Throttle,
  Checkpoint,
  Stop,
};

using proposal_key = std::pair<proposal_kind, task_id>;

// By worker slot.
struct worker_view
{
  worker_id mId; // The worker that the view is about: slots are used again.
  resources mInFlight;
  time_point mHeard;  // When the latest poll came in.
  bool mSeen = false; // Heard since this leadership began.
  // Its loss is proposed: a lease given now would outlive the decision.
  bool mLossProposed = false;
};

struct soft_state
{
  soft_state(const scheduler_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  scheduler_options mOptions;
  random_source mRandom;
  bool mLeading = false;

  std::vector<worker_view> mWorkers;
  worker_index mIndex;
  std::unordered_map<task_id, start_in_flight> mStarts;
  std::set<proposal_key> mProposed;
  bool mQuotasProposed = false;
  std::vector<resources> mOrganisationInFlight; // By organisation slot.

  // Requests that found no worker since room last grew: anything as large
  // needs no search. Bounds the cost of a Plan on a full cell.
  std::vector<resources> mNoRoom;

  time_point mNextHousekeeping;
  std::uint64_t mPolicyVersion = 0;
  bool mPolicyRead = false;
  std::vector<double> mWeights; // By organisation slot.

  // Brings the index up to date with the state and what is in flight.
  void Refresh(const cell_state& aState, worker_slot aSlot, time_point aNow);
  void RefreshAll(const cell_state& aState, time_point aNow);
  [[nodiscard]] bool MayTakeWork(const cell_state& aState,
                                 worker_slot aSlot,
                                 time_point aNow) const;
  [[nodiscard]] resources Free(const cell_state& aState,
                               worker_slot aSlot) const
  {
    return aState.Workers()[aSlot].Free() - mWorkers[aSlot].mInFlight;
  }

  void ReadPolicy(const cell_state& aState, const cell_policy& aPolicy);
  // The organisation's weighted dominant share, with what is in flight.
  [[nodiscard]] double ShareOf(const cell_state& aState,
                               organisation_slot aOrganisation) const;
  [[nodiscard]] bool QuotaAllows(const cell_state& aState,
                                 organisation_slot aOrganisation,
                                 const resources& aMore) const;

  [[nodiscard]] bool IsKnownToLackRoom(const resources& aRequest) const;
  void NoteNoRoom(const resources& aRequest);

  // Books a start until it is applied or dropped.
  void AddStart(const cell_state& aState,
                const task_id& aTask,
                const start_in_flight& aStart,
                time_point aNow);
  void ClearStart(const cell_state& aState,
                  const task_id& aTask,
                  time_point aNow);
  // True, if it wasn't in flight yet.
  bool Propose(proposal_kind aKind, const task_id& aTask)
  {
    return mProposed.emplace(aKind, aTask).second;
  }
};

} // namespace oriolewalk::cell
