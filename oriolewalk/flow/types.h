#pragma once

// Value types of the workflow scheduler: queues, jobs of several steps, their
// tasks and the workers that run them.
//
//   job_spec job{ .mPayload = "...", .mSteps = { step_spec{ .mCount = 4 } } };
//   if (auto sound = CheckJob(job); !sound) { ... }
//
// Plain data, usable from any thread. Amounts are cell::resources, times are in
// milliseconds.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/organisations/organisation_row.h"

namespace oriolewalk::flow {

// A short identifier of one incarnation of a worker in the replicated state. It
// is never reused for another incarnation. 0 means none.
using worker_number = std::uint32_t;
// The number of a start of a task (or of a gang), counted from 1.
using attempt_t = std::uint32_t;

// The estimated latency of a query to the policy service, which grows with the
// number of workers in the query, and the validity of its answer.
struct advice_timing
{
  double mBaseMs = 0;
  double mPerWorkerMs = 0;
  std::int64_t mValidMs = 0; // validity of a ticket

  bool operator==(const advice_timing&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mBaseMs, mPerWorkerMs, mValidMs);
  }
};

// One queue of the table in force. Jobs are routed to it by host and path
// prefix.
struct queue_row
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  service_id mService; // its workers run the queue's tasks
  std::int64_t mTimeoutMs = 0;
  std::int64_t mTargetMs = 0; // see mStretch
  int mPriority = 0;          // 0 is the top priority
  std::uint32_t mMaxAttempts = 1;
  // A job's latency objective is mStretch times the estimated duration of its
  // longest chain of dependent steps, plus mTargetMs.
  double mStretch = 1;
  std::optional<advice_timing> mAdvice;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mName,
             mHost,
             mPrefix,
             mService,
             mTimeoutMs,
             mTargetMs,
             mPriority,
             mMaxAttempts,
             mStretch,
             mAdvice);
  }
};

struct service_row
{
  service_id mName;
  bool mHasAdmissionControl = false; // workers refuse tasks that don't fit
  bool mStandby = false;             // its instances are switched off

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mName, mHasAdmissionControl, mStandby);
  }
};

// The limits that an entry enforces on callers' requests. 0 means that no limit
// was given.
struct entry_limits
{
  std::int64_t mHeaderBytes = 0;
  std::int64_t mBodyBytes = 0;
  std::int64_t mHeaderTimeoutMs = 0;
  std::int64_t mIdleTimeoutMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mHeaderBytes, mBodyBytes, mHeaderTimeoutMs, mIdleTimeoutMs);
  }
};

// The table of queues and services. The highest version is in force.
struct queue_table
{
  std::int64_t mVersion = 0; // 0: there is no table yet
  std::vector<queue_row> mQueues;
  std::vector<service_row> mServices;
  entry_limits mLimits;

  [[nodiscard]] const queue_row* FindQueue(std::string_view aName) const;
  // Returns the queue with this host and the longest prefix that aPath begins
  // with, or null if there is none. Linear in the number of queues.
  [[nodiscard]] const queue_row* Route(std::string_view aHost,
                                       std::string_view aPath) const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVersion, mQueues, mServices, mLimits);
  }
};

// Errors: InvalidArgument, which names the row and the rule that it violates.
result<void>
CheckTable(const queue_table& aTable);

// The part of the table that says who may use the queues. A table without it
// lets everybody use every queue.
struct access_rules
{
  std::vector<organisations::organisation_row> mOrganisations;
  std::vector<std::string> mPublicQueues; // names of queues that need no key

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrganisations, mPublicQueues);
  }
};

struct step_spec
{
  std::uint32_t mCount = 1;
  cell::resources mSize; // of one task
  std::int64_t mEstimateMs = 0;
  std::vector<std::uint32_t> mDependsOn; // indexes of earlier steps
  std::string mImage;                    // tasks of one image behave alike
  std::string mLabel;                    // the worker must have it
  std::string mDataRack;
  std::uint32_t mMaxPerWorker = 0;       // 0: no bound
  std::int64_t mTailLatencyTargetMs = 0; // of a latency-sensitive task; 0: none
  std::uint32_t mMaxMisses = 0;
  bool mHasMaxMisses = false; // mMaxMisses was given
  bool mCheckpoints = false;
  bool mGang = false;
  bool mSameRack = false;
  bool mAllowsCopies = false; // copies may run in parallel
  bool mLongRunning = false;  // runs until the job is cancelled
  bool mBestEffort = false;   // uses what other tasks leave

  // Whether a task of the step may have two runs in progress. The members of a
  // gang run together, a long-running task has no end to be first at, the tasks
  // of a step in one rack gain nothing from a worker elsewhere, and a
  // best-effort task is slow where other tasks leave it little.
  [[nodiscard]] bool MayHaveCopies() const
  {
    return mAllowsCopies && !mGang && !mLongRunning && !mSameRack &&
           !mBestEffort;
  }

  // What a task books of its worker's capacity. Best-effort tasks book no
  // processors.
  [[nodiscard]] cell::resources Booked() const
  {
    cell::resources booked = mSize;
    if (mBestEffort) {
      booked.mMilliProcessors = 0;
    }
    return booked;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mCount,
             mSize,
             mEstimateMs,
             mDependsOn,
             mImage,
             mLabel,
             mDataRack,
             mMaxPerWorker,
             mTailLatencyTargetMs,
             mMaxMisses,
             mHasMaxMisses,
             mCheckpoints,
             mGang,
             mSameRack,
             mAllowsCopies,
             mLongRunning,
             mBestEffort);
  }
};

struct recurrence
{
  std::uint32_t mRepeatCount = 0; // 0: the job doesn't recur
  std::int64_t mFirstWallMs = 0;
  std::int64_t mPeriodMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRepeatCount, mFirstWallMs, mPeriodMs);
  }
};

struct job_spec
{
  std::string mPayload; // passed to each task unchanged
  std::vector<step_spec> mSteps;
  recurrence mRecurrence;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPayload, mSteps, mRecurrence);
  }
};

// Limits of a job; what is larger is refused.
inline constexpr std::size_t kMaxJobSteps = 1'000;
inline constexpr std::uint32_t kMaxJobTasks = 100'000; // of all steps
inline constexpr std::size_t kMaxNameBytes = 1'024; // an image, a label, a rack
// Limit of a worker's description, whose names are bounded alike.
inline constexpr std::size_t kMaxLabels = 256;

// Errors: InvalidArgument, which names the step and the field.
result<void>
CheckJob(const job_spec& aJob);

// What a job takes in the state, without and with each time that it runs.
std::size_t
SpecBytes(const job_spec& aJob);
std::size_t
OccurrenceBytes(const job_spec& aJob);

struct task_ref
{
  job_id mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const task_ref&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mJob, mOccurrence, mStep, mIndex);
  }
};

// One start of a task.
struct run_ref
{
  task_ref mTask;
  attempt_t mAttempt = 0;

  auto operator<=>(const run_ref&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt);
  }
};

enum class run_outcome : std::uint8_t
{
  Done,
  Failed,  // by its own fault or the worker's
  Stopped, // as ordered
  Lapsed,  // its lease expired
  Broken,  // another member of its gang ended
  Alone,   // other members of its gang didn't start in time
};

std::string_view
ToString(run_outcome aOutcome);

// What a worker reports of itself.
struct worker_description
{
  worker_id mId;
  std::string mAddress;
  data_centre_id mDataCentre;
  service_id mService;
  std::vector<std::string> mLabels;
  rack_id mRack;
  cell::resources mCapacity;
  // The start time of its process in Unix ms. Together with mId it identifies
  // one incarnation of the worker. 0: the worker doesn't report it.
  std::int64_t mProcessStartMs = 0;

  bool operator==(const worker_description&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId,
             mAddress,
             mDataCentre,
             mService,
             mLabels,
             mRack,
             mCapacity,
             mProcessStartMs);
  }
};

} // namespace oriolewalk::flow
