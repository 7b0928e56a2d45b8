#pragma once

// What an operator asks for and how it stands: jobs and their tasks.
//
//   job_spec spec;
//   spec.mOrganisation = organisation_id("taksa");
//   spec.mKind = job_kind::Gang;
//   spec.mTasks = 4;
//   spec.mEach = { 1000, 512, 0 };
//   ToString(task_id{ job_number(1), 0 }) == "job-1/0"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/work_class.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

using job_number = number_id<struct job_number_tag>;
// One life of a worker process; empty is not a boot.
using boot_id = text_id<struct boot_tag>;

enum class job_kind : std::uint8_t
{
  Batch,   // Each task runs to its end on its own.
  Service, // Every task is a replica that is started again when it ends.
  Gang,    // All unfinished tasks run together or none does.
};

using job_class = work_class;

// What was submitted; never changed afterwards.
struct job_spec
{
  organisation_id mOrganisation;
  job_kind mKind = job_kind::Batch;
  job_class mClass = job_class::Normal;
  std::uint32_t mTasks = 1;
  resources mEach; // Of one task.
  std::int64_t mExpectedMs = 0;
  // A batch or gang task may run again after an attempt that surely ended.
  // Replicas of a service always may.
  bool mRepeatable = false;
  bool mCheckpointable = false;
  std::string mFamily; // Jobs of one family behave alike; for learnt sizes.

  bool operator==(const job_spec&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrganisation,
             mKind,
             mClass,
             mTasks,
             mEach,
             mExpectedMs,
             mRepeatable,
             mCheckpointable,
             mFamily);
  }
};

// A replica may always start again; other work only if it says so.
inline bool
MayRunAgain(const job_spec& aSpec)
{
  return aSpec.mKind == job_kind::Service || aSpec.mRepeatable;
}

// Errors: InvalidArgument with the field, if the spec could make no sense on
// any cell.
result<void>
CheckSpec(const job_spec& aSpec);

struct task_id
{
  job_number mJob;
  std::uint32_t mIndex = 0;

  auto operator<=>(const task_id&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mJob, mIndex);
  }
};

// "job-1" and "job-1/0".
std::string
ToString(job_number aJob);
std::string
ToString(const task_id& aTask);
std::optional<job_number>
ParseJob(std::string_view aText);
std::optional<task_id>
ParseTask(std::string_view aText);

// What a worker reports of an attempt that is over.
enum class attempt_result : std::uint8_t
{
  Succeeded,
  Failed,
  Checkpointed, // Its progress is kept; a later attempt goes on from there.
  Stopped,
};

enum class task_state : std::uint8_t
{
  Waiting,
  Placed, // Booked on a worker; it may or may not run there yet.
  // Final:
  Succeeded,
  Failed,
  Cancelled, // Never started: it did not run and never will.
  Stopped,   // Started, then ended on request; it may have had effects.
  Unknown,   // Started, and its worker was lost; it won't run again.
};

enum class job_state : std::uint8_t
{
  Waiting,    // No task is placed.
  Running,    // Some task is placed.
  Cancelling, // Cancelled, but some task has not surely ended.
  // Final:
  Succeeded,
  Failed,
  Cancelled, // No task ever started.
  Stopped,
  Unknown,
  Refused, // It can never fit; see refusal.
};

bool
IsFinal(task_state aState);
bool
IsFinal(job_state aState);

enum class stop_mode : std::uint8_t
{
  None,
  Throttle, // Runs on with a tenth of its processors.
  Checkpoint,
  Stop, // Each asks for more than the one before: it is never taken back.
};

enum class stop_reason : std::uint8_t
{
  None,
  Cancelled,
  Preempted,  // More urgent work needs the room.
  Drained,    // Its worker leaves.
  GangBroken, // Another task of the gang ended early.
  Overrun,    // It backfilled a reserved place for longer than it declared.
};

// Why a job was refused: the dimension, and the worker that has most of it.
struct refusal
{
  dimension mDimension = dimension::Processors;
  std::int64_t mAsked = 0;
  std::int64_t mLargest = 0;
  worker_id mLargestWorker;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDimension, mAsked, mLargest, mLargestWorker);
  }
};

std::string_view
ToString(job_kind aKind);
std::string_view
ToString(attempt_result aResult);
std::string_view
ToString(task_state aState);
std::string_view
ToString(job_state aState);
std::string_view
ToString(stop_mode aMode);
std::string_view
ToString(stop_reason aReason);

std::optional<job_kind>
ParseKind(std::string_view aText);
std::optional<attempt_result>
ParseResult(std::string_view aText);

} // namespace oriolewalk::cell

template<>
struct std::hash<oriolewalk::cell::task_id>
{
  std::size_t operator()(const oriolewalk::cell::task_id& aTask) const
  {
    // Tasks of one job get neighbouring buckets; 2^20 is beyond any index.
    constexpr unsigned kIndexBits = 20;
    return std::hash<std::uint64_t>{}((aTask.mJob.Value() << kIndexBits) ^
                                      aTask.mIndex);
  }
};
