#pragma once

// The values of the workflow rooms: queues, jobs of several steps, their tasks
// and the workers that run them.
//
//   job_spec job{ .mPayload = "...", .mSteps = { step_spec{ .mCount = 4 } } };
//   if (auto sound = CheckJob(job); !sound) { ... }
//
// Plain data; any thread. Amounts are cell::resources, times milliseconds.

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

namespace oriolewalk::flow {

// A worker's number in the replicated state: short, and never used again for
// another life of a worker. 0: none.
using worker_number = std::uint32_t;
// How often a task (or a gang) was started; from 1.
using attempt_t = std::uint32_t;

// What a policy service takes for one question.
struct advice_timing
{
  double mBaseMs = 0;
  double mPerWorkerMs = 0;
  std::int64_t mValidMs = 0; // of a ticket

  bool operator==(const advice_timing&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mBaseMs, mPerWorkerMs, mValidMs);
  }
};

// One queue of the table in force. Jobs come in by host and path prefix.
struct queue_row
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  service_id mService; // whose workers run its tasks
  std::int64_t mTimeoutMs = 0;
  std::int64_t mTargetMs = 0; // added to the stretched chain: the objective
  int mPriority = 0;          // 0 comes first
  std::uint32_t mMaxAttempts = 1;
  double mStretch = 1; // of the longest chain of work
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
  bool mHasAdmissionControl = false; // its workers refuse what doesn't fit
  bool mStandby = false;             // its instances are switched off

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mName, mHasAdmissionControl, mStandby);
  }
};

// What an entry accepts from callers. 0: no limit given.
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
  std::int64_t mVersion = 0; // 0: none yet
  std::vector<queue_row> mQueues;
  std::vector<service_row> mServices;
  entry_limits mLimits;

  [[nodiscard]] const queue_row* FindQueue(std::string_view aName) const;
  // The queue with this host whose prefix is the longest that aPath begins
  // with; null if there is none. Linear in the queues.
  [[nodiscard]] const queue_row* Route(std::string_view aHost,
                                       std::string_view aPath) const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVersion, mQueues, mServices, mLimits);
  }
};

// Errors: InvalidArgument, naming the row and the rule that it breaks.
result<void>
CheckTable(const queue_table& aTable);

struct step_spec
{
  std::uint32_t mCount = 1;
  cell::resources mSize; // of one task
  std::int64_t mEstimateMs = 0;
  std::vector<std::uint32_t> mDependsOn; // earlier steps, from 0
  std::string mImage;                    // tasks of one image behave alike
  std::string mLabel;                    // that a worker must have
  std::string mDataRack;
  std::uint32_t mMaxPerWorker = 0;       // 0: no bound
  std::int64_t mTailLatencyTargetMs = 0; // of a task that serves; 0: none
  std::uint32_t mMaxMisses = 0;
  bool mHasMaxMisses = false; // mMayMiss was given
  bool mCheckpoints = false;
  bool mGang = false;
  bool mSameRack = false;
  bool mAllowsCopies = false; // copies may run in parallel
  bool mLongRunning = false;  // runs until the job is cancelled
  bool mBestEffort = false;   // takes what the others leave

  // What it takes from a worker's capacity.
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
  std::uint32_t mRepeatCount = 0; // 0: not recurring
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
  std::string mPayload; // handed to each task as it is
  std::vector<step_spec> mSteps;
  recurrence mRecurrence;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPayload, mSteps, mRecurrence);
  }
};

// Errors: InvalidArgument, with the step and the field.
result<void>
CheckJob(const job_spec& aJob);

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
  Failed,  // through its own fault or the worker's
  Stopped, // as it was told
  Lapsed,  // its lease ran out
  Broken,  // another member of its gang ended
  Alone,   // it waited in vain for the others of its gang
};

std::string_view
ToString(run_outcome aOutcome);

// What a worker says of itself.
struct worker_description
{
  worker_id mId;
  std::string mAddress;
  data_centre_id mDataCentre;
  service_id mService;
  std::vector<std::string> mLabels;
  rack_id mRack;
  cell::resources mCapacity;
  // When its process started, in Unix ms; with mId it names one life of the
  // worker. 0: it doesn't say.
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
