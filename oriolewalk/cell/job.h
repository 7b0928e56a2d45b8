#pragma once

// Job specifications, and the identifiers and states of jobs and tasks.
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
// Identifies one incarnation of a worker process. An empty id is invalid.
using boot_id = text_id<struct boot_tag>;

enum class job_kind : std::uint8_t
{
  Batch,   // Each task runs to completion independently.
  Service, // Every task is a replica that is restarted when it ends.
  Gang,    // All unfinished tasks run together or not at all.
};

using job_class = work_class;

// A job as submitted. Immutable after the submit.
struct job_spec
{
  organisation_id mOrganisation;
  job_kind mKind = job_kind::Batch;
  job_class mClass = job_class::Normal;
  std::uint32_t mTasks = 1;
  resources mEach; // Requested by one task.
  std::int64_t mExpectedMs = 0;
  // Whether a batch or gang task may be restarted after an attempt that has
  // definitely ended. The replicas of a service always may.
  bool mRepeatable = false;
  bool mCheckpointable = false;
  // Jobs of one family behave alike; learned sizes are kept per family.
  std::string mFamily;

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

// Service replicas may always be restarted; other tasks only if repeatable.
inline bool
MayRunAgain(const job_spec& aSpec)
{
  return aSpec.mKind == job_kind::Service || aSpec.mRepeatable;
}

// Errors: InvalidArgument, with the field in the message, if the spec is
// invalid on every cell.
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

// Formats as "job-1" and "job-1/0".
std::string
ToString(job_number aJob);
std::string
ToString(const task_id& aTask);
std::optional<job_number>
ParseJob(std::string_view aText);
std::optional<task_id>
ParseTask(std::string_view aText);

// The result that a worker reports for an ended attempt.
enum class attempt_result : std::uint8_t
{
  Succeeded,
  Failed,
  Checkpointed, // Progress was saved; the next attempt continues from it.
  Stopped,
};

enum class task_state : std::uint8_t
{
  Waiting,
  Placed, // Booked on a worker, where it may not run yet.
  // Final:
  Succeeded,
  Failed,
  Cancelled, // Never started and never will.
  Stopped,   // Started, then ended on request; may have had effects.
  Unknown,   // Started, then its worker was lost; will not run again.
};

enum class job_state : std::uint8_t
{
  Waiting,    // No task is placed.
  Running,    // At least one task is placed.
  Cancelling, // Cancelled; the end of some task is not confirmed.
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
  Throttle, // Continues with a tenth of its processors.
  Checkpoint,
  Stop, // In increasing severity; a request is never downgraded.
};

enum class stop_reason : std::uint8_t
{
  None,
  Cancelled,
  Preempted,  // More urgent work needs the capacity.
  Drained,    // Its worker is being drained.
  GangBroken, // Another task of the gang ended early.
  Overrun,    // Backfilled reserved capacity for longer than it declared.
};

// Why a job was refused: the insufficient dimension and the worker with the
// largest amount of it.
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
    // The tasks of one job get neighbouring buckets. Every task index is below
    // 2^20.
    constexpr unsigned kIndexBits = 20;
    return std::hash<std::uint64_t>{}((aTask.mJob.Value() << kIndexBits) ^
                                      aTask.mIndex);
  }
};
