#pragma once

// The leader's volatile state, which is lost with the leader and rebuilt by the
// next one. The stages of the scheduler (poll, order, placing, ...) share it;
// no other code includes this header.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/health.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/learning.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/reservations.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/worker_index.h"

namespace oriolewalk::cell {

// A start that was proposed and isn't committed yet.
struct start_in_flight
{
  worker_slot mWorker = kNoWorker;
  organisation_slot mOrganisation = 0;
  resources mSize;
};

// Other proposals in flight; recorded so that none is made twice.
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
  worker_id mId; // The worker in this slot; slots are reused.
  resources mInFlight;
  // Reported use above the booking; not available to other tasks.
  resources mUnbookedUse;
  time_point mLastContact; // When the worker last polled or registered.
  data_centre_id mDataCentre;
  rack_id mRack;
  bool mHasContact = false; // Since this leadership began.
  // The loss is proposed; a lease granted now would outlive the decision.
  bool mLossProposed = false;
};

// A request that has not fitted any worker since free capacity last grew. If
// reservations of other jobs caused this, it covers only requests that are no
// shorter, no easier to evict and no more urgent.
struct unplaced_request
{
  resources mSize;
  bool mForAll = true;
  std::int64_t mExpectedMs = 0;
  bool mEvictable = false;
  job_class mClass = job_class::Urgent;

  [[nodiscard]] bool Covers(const unplaced_request& aOther) const
  {
    return mSize.FitsIn(aOther.mSize) &&
           (mForAll ||
            (aOther.mExpectedMs >= mExpectedMs &&
             (mEvictable || !aOther.mEvictable) && aOther.mClass >= mClass));
  }
};

using rack_map =
  std::map<data_centre_id, std::map<rack_id, std::set<worker_slot>>>;

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

  // A request covered by one of these needs no search. Bounds the cost of a
  // Plan on a full cell.
  std::vector<unplaced_request> mUnplaced;

  family_learning mLearning;
  worker_health mHealth;
  reservation_table mReservations;
  rack_map mRacks;
  // Tasks that run on reserved capacity until the reservation needs it.
  std::unordered_set<task_id> mBackfilled;
  std::set<task_id> mThrottled;
  // Workers on which a task's earlier attempts failed; others are tried first.
  std::unordered_map<task_id, std::vector<worker_slot>> mFailedOn;
  // When the latest search for victims or a reservation failed; see
  // mSeekAgain.
  std::unordered_map<job_number, time_point> mFailedSearches;
  worker_slot mScanFrom = 0; // Where the next search for victims begins.
  double mRecoveryTokens = 0;
  time_point mRecoveryAt;

  time_point mNextHousekeeping;
  std::uint64_t mPolicyVersion = 0;
  bool mPolicyRead = false;
  std::vector<double> mWeights; // By organisation slot.

  // Updates the index from the state and the starts in flight.
  void Refresh(const cell_state& aState, worker_slot aSlot, time_point aNow);
  void RefreshAll(const cell_state& aState, time_point aNow);
  [[nodiscard]] bool MayTakeWork(const cell_state& aState,
                                 worker_slot aSlot,
                                 time_point aNow) const;
  [[nodiscard]] resources Free(const cell_state& aState,
                               worker_slot aSlot) const
  {
    return aState.Workers()[aSlot].Free() - mWorkers[aSlot].mInFlight -
           mWorkers[aSlot].mUnbookedUse;
  }

  void ReadPolicy(const cell_state& aState, const cell_policy& aPolicy);
  // The organisation's weighted dominant share, including starts in flight.
  [[nodiscard]] double ShareOf(const cell_state& aState,
                               organisation_slot aOrganisation) const;
  [[nodiscard]] bool QuotaAllows(const cell_state& aState,
                                 organisation_slot aOrganisation,
                                 const resources& aMore) const;

  [[nodiscard]] bool IsKnownUnplaceable(const unplaced_request& aRequest) const;
  void AddUnplaced(const unplaced_request& aRequest);
  void DropReservation(job_number aJob)
  {
    mReservations.Remove(aJob);
    mUnplaced.clear();
  }
  // Takes a token; returns false if no restart is allowed now.
  bool TakeRecoveryToken(time_point aNow);

  // Counts a start as booked until it is applied or dropped.
  void AddStart(const cell_state& aState,
                const task_id& aTask,
                const start_in_flight& aStart,
                time_point aNow);
  void ClearStart(const cell_state& aState,
                  const task_id& aTask,
                  time_point aNow);
  // Returns true if the proposal wasn't in flight yet.
  bool Propose(proposal_kind aKind, const task_id& aTask)
  {
    return mProposed.emplace(aKind, aTask).second;
  }
};

} // namespace oriolewalk::cell
