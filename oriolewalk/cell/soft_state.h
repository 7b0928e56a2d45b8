#pragma once

// What only the leading scheduler knows; lost with it and learnt again. The
// stages of the scheduler (poll, order, placing, ...) share it; nobody else
// includes this header.

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
  // Use above what is booked, by the latest report: offered to nobody.
  resources mHidden;
  time_point mHeard; // When the latest poll came in.
  data_centre_id mDataCentre;
  rack_id mRack;
  bool mSeen = false; // Heard since this leadership began.
  // Its loss is proposed: a lease given now would outlive the decision.
  bool mLossProposed = false;
};

// A request that found no worker since room last grew. Where places were held
// for others, it speaks only for requests that are no shorter, no easier to
// evict and no more urgent.
struct no_room
{
  resources mSize;
  bool mForAll = true;
  std::int64_t mExpectedMs = 0;
  bool mEvictable = false;
  job_class mClass = job_class::Urgent;

  [[nodiscard]] bool Covers(const no_room& aOther) const
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

  // Anything that one of them covers needs no search. Bounds the cost of a
  // Plan on a full cell.
  std::vector<no_room> mNoRoom;

  family_learning mLearning;
  worker_health mHealth;
  reservation_book mBook;
  rack_map mRacks;
  // Started on a held place for the time until it is needed.
  std::unordered_set<task_id> mBackfilled;
  std::set<task_id> mThrottled;
  // Where a task's earlier attempts failed: it goes elsewhere first.
  std::unordered_map<task_id, std::vector<worker_slot>> mFailedOn;
  // When room was sought for a job in vain; it isn't sought again at once.
  std::unordered_map<job_number, time_point> mSought;
  worker_slot mScanFrom = 0; // Where the next search for victims begins.
  double mRecoveryTokens = 0;
  time_point mRecoveryAt;

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
    return aState.Workers()[aSlot].Free() - mWorkers[aSlot].mInFlight -
           mWorkers[aSlot].mHidden;
  }

  void ReadPolicy(const cell_state& aState, const cell_policy& aPolicy);
  // The organisation's weighted dominant share, with what is in flight.
  [[nodiscard]] double ShareOf(const cell_state& aState,
                               organisation_slot aOrganisation) const;
  [[nodiscard]] bool QuotaAllows(const cell_state& aState,
                                 organisation_slot aOrganisation,
                                 const resources& aMore) const;

  [[nodiscard]] bool IsKnownToLackRoom(const no_room& aRequest) const;
  void NoteNoRoom(const no_room& aRequest);
  void DropReservation(job_number aJob)
  {
    mBook.Remove(aJob);
    mNoRoom.clear();
  }
  // True, if a restart may be made now; takes a token.
  bool TakeRecoveryToken(time_point aNow);

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
