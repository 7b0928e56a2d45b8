#pragma once

// Decides at its arrival whether a job is accepted. Where the cell is so full
// that the job can't be done before its value to its caller ends, the caller
// learns it at once and is told when to come back.
//
//   admission admit(now);
//   admit.OnLoad(service, load);                 // after each plan
//   const arrival job = DescribeArrival(spec, queue, owner, id, durations);
//   if (const auto verdict = admit.Decide(job, load, now);
//       !verdict.mIsAccepted) { /* answer 429 with verdict.mRetryAfterMs */ }
//   admit.OnProposed(id);                        // and once it is committed:
//   admit.OnSettled(id);
//
// A refusal that is wrong costs the caller the whole job, so every figure that
// is unknown, old or off by its known spread speaks for the job. Only
// processors are considered.
//
// Soft state of the leader, bounded by the organisations and by a fixed number
// of ids. A decision costs the logarithm of those. Pure; no clock. Owned by
// leader_core; control thread only.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/flow/cell_load.h"
#include "oriolewalk/flow/duration_model.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A job as admission sees it.
struct arrival
{
  job_id mId;
  organisation_id mOwner; // empty: nobody
  service_id mService;
  int mPriority = 0;
  bool mMayBeRefused = false;          // by its kind
  std::vector<cell::resources> mSizes; // of a task of each step
  cell::resources mWidest;             // of the step that books the most
  waiting_load mDemand;                // of all steps
  std::int64_t mSlackMs = 0; // until its first step must start to be in time
  double mChainMs = 0;       // low duration of the longest chain of its steps
  double mEndOfValueMs = 0;  // after its arrival
};

// aDurations: of a task of each step.
arrival
DescribeArrival(const job_spec& aSpec,
                const queue_row& aQueue,
                const organisation_id& aOwner,
                const job_id& aId,
                std::span<const duration_estimate> aDurations);

struct admission_verdict
{
  bool mIsAccepted = true;
  std::int64_t mRetryAfterMs = 0; // of a refused job; at least 1,000
  std::string_view mReason;
  // What determined a refusal. Times are in milliseconds from now.
  waiting_load mAhead;
  double mCapacity = 0; // thousandths of a processor that serve the work ahead
  double mFreedPerMs = 0;
  double mExpectedEndMs = 0; // at the earliest
  double mEndOfValueMs = 0;
  bool mIsBeyondShare = false;
};

class admission
{
public:
  // The most refused ids that are remembered. With more, jobs are accepted.
  static constexpr std::size_t kMaxRefusals = 4'096;

  // aNow: when the leader's term began.
  explicit admission(time_point aNow)
    : mStartedAt(aNow)
  {
  }

  // A plan gave new figures for a service.
  void OnLoad(const service_id& aService, const cell_load& aLoad);
  // aLoad: of the job's service, as given to OnLoad() last. The job must be
  // unknown to the state.
  admission_verdict Decide(const arrival& aJob,
                           const cell_load& aLoad,
                           time_point aNow);
  // A submission of the job was proposed; its outcome is known.
  void OnProposed(const job_id& aId) { ++mInFlight[aId]; }
  void OnSettled(const job_id& aId);

  // The ids that are remembered as refused.
  [[nodiscard]] std::size_t Refusals() const { return mRefusals.size(); }

private:
  using priority_key = std::pair<service_id, int>;
  using owner_key = std::pair<service_id, organisation_id>;

  struct refusal
  {
    time_point mUntil{}; // the end of its Retry-After
    priority_key mKey;
    waiting_load mDemand;
  };
  struct standing
  {
    bool mIsBeyondShare = false;
    bool mReturns = false; // was refused before
    double mCapacity = 0;  // thousandths of a processor
  };
  struct recent_capacity
  {
    double mMost = 0; // thousandths of a processor
    time_point mAt{};
  };
  struct received_share
  {
    double mMean = 0; // of the capacity, over the last seconds
    time_point mAt{};
  };

  [[nodiscard]] admission_verdict Judge(const arrival& aJob,
                                        const cell_load& aLoad,
                                        bool aReturns,
                                        time_point aNow) const;
  // Whether it can be done in time where it has no room now.
  [[nodiscard]] admission_verdict JudgeFull(const arrival& aJob,
                                            const cell_load& aLoad,
                                            const standing& aStanding,
                                            time_point aNow) const;
  admission_verdict Refuse(const arrival& aJob,
                           admission_verdict aVerdict,
                           bool aReturns,
                           time_point aNow);
  void CountAdmitted(const arrival& aJob);
  // Without what long-running tasks book.
  [[nodiscard]] double RecentCapacity(const arrival& aJob,
                                      const cell_load& aLoad) const;
  [[nodiscard]] bool HasRoomNow(const arrival& aJob,
                                const cell_load& aLoad) const;
  [[nodiscard]] bool IsBeyondShare(const arrival& aJob,
                                   const cell_load& aLoad) const;
  [[nodiscard]] waiting_load WorkAhead(const arrival& aJob,
                                       const cell_load& aLoad,
                                       bool aBeyondShare) const;
  void Forget(std::map<job_id, refusal>::iterator aRefusal);
  void ForgetOldRefusals(time_point aNow);
  // Makes room for one more id. False: all are still needed.
  bool MakeRoom(time_point aNow);

  time_point mStartedAt;
  std::map<job_id, std::uint32_t> mInFlight; // proposals of each
  std::map<job_id, refusal> mRefusals;
  std::set<std::pair<time_point, job_id>> mByEnd; // mRefusals by mUntil
  // Demand of the refused jobs that are expected to return.
  std::map<priority_key, waiting_load> mReturning;
  // What was admitted since the last plan.
  std::map<priority_key, waiting_load> mAdmitted;
  std::map<owner_key, cell::resources> mAdmittedBy;
  std::map<owner_key, received_share> mReceived;
  std::map<service_id, recent_capacity> mCapacities;
};

} // namespace oriolewalk::flow
